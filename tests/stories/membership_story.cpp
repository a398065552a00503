#include "membership/membership.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

constexpr duration tick_interval = 100ms;

peer_address make_peer_address(std::uint64_t peer)
{
    return {0x0A010010 + static_cast<std::uint32_t>(peer), 7280};
}

// A process whose platform always answers: reads at once, watches when their
// time is over.
struct a_process : Utest
{
    time_point now{100s};
    catalog current = {};
    std::optional<membership<seeded_random>> member = {};
    time_point covered_until = this->now;  // by a read or a watch
    duration longest_gap = {};             // between reads or watches
    bool is_answer_due = false;

    void setup() override
    {
        service_part const part{make_service_id("members"), "members", {1}};
        catalog_change change{{}, {1}};
        change.parts = {part};
        change.result_digest = {compute_digest(part).value +
                                compute_digest(fleet_part{}).value +
                                compute_digest(routes_part{}).value};
        failure error;
        CHECK(this->current.adopt(change, error).has_value());
    }

    void start(std::uint64_t id, duration limit)
    {
        membership_settings settings{};
        settings.self = {id};
        settings.timing.is_platform_linearizable = true;
        settings.timing.first_read_delay = {};
        settings.timing.reading = make_read_timing(limit);
        this->member.emplace(settings, seeded_random{id}, this->now);
        this->covered_until = this->now;
        this->longest_gap = {};
    }

    void hear_from(std::uint64_t peer)
    {
        peer_digest message{};
        message.sender = {100 + peer};
        message.version = this->current.version();
        this->member->handle_digest(make_peer_address(peer), message,
                                    this->current, this->now);
    }

    void perform(read_platform const& read)
    {
        this->longest_gap =
            std::max(this->longest_gap, this->now - this->covered_until);
        this->covered_until =
            this->now + (read.is_watch ? read.watch_duration : 0ms);
    }

    void tick()
    {
        this->now += tick_interval;
        if (this->is_answer_due && this->now >= this->covered_until) {
            this->member->handle_response(change_source::platform, nullptr,
                                          this->current, this->now);
            this->covered_until = this->now;
            this->is_answer_due = false;
        }
        for (membership_effect const& effect :
             this->member->tick(this->current, this->now))
            if (auto const* read = std::get_if<read_platform>(&effect)) {
                this->perform(*read);
                this->is_answer_due = true;
            }
    }

    void run_for(duration length, std::uint64_t peer_count = 0)
    {
        for (time_point const end = this->now + length; this->now < end;) {
            for (std::uint64_t peer = 0; peer < peer_count; ++peer)
                this->hear_from(peer);
            this->tick();
        }
    }
};

}  // namespace

// ---- reading the platform -----------------------------------------------

SECTION(a_process_without_peers, a_process){};

// The rank of such a process depended on its name, and those with a high rank
// used leaving targets and dropped routes for up to 16 s.
TEST(a_process_without_peers, watches_the_platform)
{
    for (std::uint64_t id = 1; id <= 20; ++id) {
        this->start(id, 3s);
        this->run_for(30s);
        CHECK(this->longest_gap <= 250ms + tick_interval);
    }
}

SECTION(a_process_whose_peers_stop, a_process){};

// Peers that have stopped keep their ranks for a while. A process behind them
// must still notice each change in time.
TEST(a_process_whose_peers_stop, reads_within_the_limit_of_a_change)
{
    for (duration const limit : {duration{3s}, duration{6s}})
        for (std::uint64_t const peer_count : {1, 6, 24, 90})
            for (std::uint64_t id = 1; id <= 10; ++id) {
                this->start(id, limit);
                this->run_for(5s, peer_count);
                this->covered_until = this->now;
                this->longest_gap = {};
                this->run_for(30s);
                CHECK(this->longest_gap < limit);
            }
}

TEST(a_process_whose_peers_stop, watches_once_their_ranks_have_expired)
{
    this->start(1, 3s);
    this->run_for(5s, 90);
    this->run_for(peer_timeout + 3s);
    this->longest_gap = {};
    this->run_for(30s);
    CHECK(this->longest_gap <= 250ms + tick_interval);
}

// ---- reverts of the store -----------------------------------------------

namespace {

struct a_ready_process : a_process
{
    void setup() override
    {
        this->a_process::setup();
        this->start(1, 3s);
        this->run_for(3s);
    }

    static generation make_number(std::uint64_t era, std::uint64_t revision)
    {
        failure error;
        return *make_generation({era, revision}, error);
    }

    membership_effects hear_of(catalog_version version)
    {
        peer_digest message{};
        message.sender = {101};
        message.version = version;
        return this->member->handle_digest(make_peer_address(1), message,
                                           this->current, this->now);
    }

    bool is_ready() const
    {
        return this->member->is_ready(this->current, this->now);
    }

    static std::vector<generation>
    list_fetches(membership_effects const& effects)
    {
        std::vector<generation> since;
        for (membership_effect const& one : effects)
            if (auto const* fetch = std::get_if<fetch_from_peer>(&one))
                since.push_back(fetch->since);
        return since;
    }

    void adopt(generation number)
    {
        catalog_change change = this->current.changes_since({});
        change.to = number;
        failure error;
        CHECK(this->current.adopt(change, error).has_value());
        this->member->handle_response(change_source::platform, &change,
                                      this->current, this->now);
    }
};

}  // namespace

SECTION(a_process_whose_store_reverts, a_ready_process){};

TEST(a_process_whose_store_reverts, is_unconfirmed_until_it_read_the_store)
{
    CHECK(this->is_ready());
    this->hear_of({make_number(1, 1), {7}});
    CHECK(!this->is_ready());
    CHECK(this->member->platform_age(this->now) >= initial_platform_age);
    this->adopt(make_number(1, 1));
    CHECK(this->is_ready());
    CHECK(this->member->platform_age(this->now) == duration{});
}

TEST(a_process_whose_store_reverts, is_unconfirmed_after_a_failed_read)
{
    this->member->handle_era(1, this->current, this->now);
    CHECK(!this->is_ready());
}

// Such a peer hasn't noticed the revert.
TEST(a_process_whose_store_reverts, is_not_confirmed_by_an_earlier_era)
{
    this->hear_of({make_number(1, 1), {7}});
    this->hear_from(2);
    CHECK(!this->is_ready());
    CHECK(this->member->platform_age(this->now) >= initial_platform_age);
}

// A store whose reads keep failing must not withdraw readiness permanently.
TEST(a_process_whose_store_reverts, is_ready_again_after_a_limited_time)
{
    for (int i = 0; i < 30; ++i) {
        this->member->handle_era(1, this->current, this->now);
        this->now += tick_interval;
        this->member->tick(this->current, this->now);
    }
    CHECK(this->is_ready());
}

// A peer with other contents of the same generation may have later routes,
// whichever digest is larger.
TEST(a_process_whose_store_reverts, asks_for_other_contents_of_one_generation)
{
    catalog_version const own = this->current.version();
    CHECK(list_fetches(this->hear_of({own.number, {own.content.value - 1}})) ==
          std::vector<generation>{generation{}});
    this->member->handle_failure(change_source::peer, this->current, this->now);
    CHECK(list_fetches(this->hear_of(own)).empty());
}

// While a peer has earlier routes, each of its changes is a conflict.
TEST(a_process_whose_store_reverts, limits_the_rate_of_full_fetches)
{
    std::size_t fetches = 0;
    time_point const end = this->now + 1s;
    for (; this->now < end; this->now += 1ms)
        fetches +=
            list_fetches(this->member->fetch_full({}, {}, this->now)).size();
    CHECK(fetches > 0 && fetches <= 10);
}
