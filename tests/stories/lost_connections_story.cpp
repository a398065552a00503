#include "fakes/fake_connections.hpp"
#include "membership/list_confirmation.hpp"
#include "placement/connection_locator.hpp"
#include "placement/search_yield.hpp"
#include "story.hpp"
#include "tracking/table_completeness.hpp"

using namespace lagoon;
using namespace lagoon::fakes;
using namespace std::chrono_literals;

namespace {

// ---- the connection table of a target -----------------------------------

// A target process that started at 100 s of its own clock.
struct a_restarted_target : Utest
{
    static constexpr std::uint64_t process_start = 1'700'000'000'000;
    time_point const start{100s};
    table_completeness table{{}, false, process_start, this->start};

    void tell(std::uint64_t back_end_start, duration age,
              std::int64_t entry_clock_offset = 0,
              std::int64_t own_clock_offset = 0)
    {
        auto const now = process_start + static_cast<std::uint64_t>(age / 1ms);
        this->table.record_published_start(
            {back_end_start,
             now + static_cast<std::uint64_t>(entry_clock_offset),
             now + static_cast<std::uint64_t>(own_clock_offset)},
            this->start + age);
    }

    bool is_complete_after(duration age) const
    {
        return this->table.is_complete(this->start + age);
    }
};

}  // namespace

SECTION(target_table, a_restarted_target){};

TEST(target_table, is_incomplete_after_a_restart)
{
    CHECK(!this->is_complete_after(1s));
}

TEST(target_table, is_complete_once_older_connections_are_too_old)
{
    CHECK(!this->is_complete_after(60s));
    CHECK(this->is_complete_after(60s + 1ms));
}

TEST(target_table, is_complete_if_the_back_end_started_with_the_process)
{
    this->tell(process_start - 90, 2s);
    CHECK(this->is_complete_after(2s));
}

TEST(target_table, is_complete_if_the_back_end_restarted_later)
{
    this->tell(process_start + 1000, 2s);
    CHECK(this->is_complete_after(2s));
}

// Guards against resets of connections that were opened before the target was
// restarted alone.
TEST(target_table, stays_incomplete_if_the_back_end_is_older)
{
    this->tell(process_start - 201, 2s);
    CHECK(!this->is_complete_after(2s));
}

TEST(target_table, stays_incomplete_if_the_start_is_unknown_or_in_the_future)
{
    this->tell(0, 2s);
    this->tell(process_start + 2001, 2s);
    CHECK(!this->is_complete_after(2s));
}

// A clock that was set back makes an old back end look younger than the process.
TEST(target_table, trusts_no_start_while_clocks_disagree)
{
    this->tell(process_start + 1000, 2s, 501);
    this->tell(process_start + 1000, 3s);
    CHECK(!this->is_complete_after(3s));
    this->tell(process_start + 1000, 7s + 1ms);
    CHECK(this->is_complete_after(7s + 1ms));
}

TEST(target_table, trusts_no_start_if_the_clock_was_set_since)
{
    this->tell(process_start + 1000, 2s, -2000, -2000);
    CHECK(!this->is_complete_after(2s));
}

TEST(target_table, is_incomplete_after_an_overflow)
{
    this->tell(process_start, 1s);
    this->table.record_overflow(this->start + 2s);
    CHECK(!this->is_complete_after(62s));
    CHECK(this->is_complete_after(62s + 1ms));
}

namespace {

// ---- the list of targets ------------------------------------------------

struct a_started_entry : Utest
{
    time_point const start{100s};
    list_confirmation list{this->start};

    void contact_until(duration from, duration end)
    {
        for (; from <= end; from += 100ms)
            this->list.record_contact(this->start + from);
    }
};

}  // namespace

SECTION(list_of_targets, a_started_entry){};

// Guards against resets after keys of living targets have lapsed: the platform
// may have come back just before the entry started.
TEST(list_of_targets, is_whole_some_time_after_the_first_contact)
{
    this->contact_until(100ms, 2700ms);
    this->list.record_read(this->start + 2599ms);
    CHECK(!this->list.whole_as_of());
    this->list.record_read(this->start + 2600ms);
    SAME(this->start + 2600ms, *this->list.whole_as_of());
}

TEST(list_of_targets, is_not_confirmed_by_contacts_before_the_start)
{
    this->list.record_contact(this->start - 1ms);
    this->contact_until(1s, 3s);
    this->list.record_read(this->start + 3s);
    CHECK(!this->list.whole_as_of());
}

TEST(list_of_targets, starts_over_when_the_platform_has_lost_writes)
{
    this->contact_until(0s, 3s);
    this->list.record_read(this->start + 3s);
    this->list.reset(this->start + 4s);
    this->contact_until(5s, 7s);
    this->list.record_read(this->start + 7s);
    CHECK(!this->list.whole_as_of());
}

// Guards against resets after an outage of the platform: keys of living targets
// lapsed meanwhile, and are back only some time after its return.
TEST(list_of_targets, starts_over_after_a_gap_in_the_contact)
{
    this->contact_until(0s, 3s);
    this->contact_until(13s, 15400ms);
    this->list.record_read(this->start + 15400ms);
    CHECK(!this->list.whole_as_of());
    this->contact_until(15500ms, 16s);
    this->list.record_read(this->start + 15500ms);
    SAME(this->start + 15500ms, *this->list.whole_as_of());
}

// Guards against the age of an answer that a peer has passed on: its contents
// may be older.
TEST(list_of_targets, is_not_whole_without_a_read_of_this_process)
{
    this->contact_until(0s, 10s);
    CHECK(!this->list.whole_as_of());
    CHECK(this->list.needs_read(this->start + 10s));
}

namespace {

// ---- asking all targets -------------------------------------------------

// A locator that knows three targets, and one connection without an owner.
struct a_locator : Utest
{
    static constexpr std::uint16_t port = 40001;
    connection_locator locator{locator_limits{}};
    time_point const start{100s};
    time_point now{this->start};
    located_targets list{{{{0x0A020001, 8000}, {1}, 5},
                          {{0x0A020002, 8000}, {1}, 5},
                          {{0x0A020003, 8000}, {2}, 5}},
                         {},
                         this->start};
    locator_outcomes outcomes = {};

    static connection_packet make_packet(std::uint16_t caller_port)
    {
        connection_packet packet{};
        packet.endpoints = {{0x64400001, caller_port}, {0xC6120001, 443}};
        packet.acknowledgement = 77;
        packet.bytes = "bytes";
        return packet;
    }

    void setup() override
    {
        this->add(port);
    }

    void add(std::uint16_t caller_port)
    {
        this->locator.add(make_packet(caller_port), this->now);
    }

    void advance(duration after = 0ms)
    {
        this->now += after;
        this->outcomes = this->locator.advance(this->list, this->now);
    }

    template <class Outcome> std::vector<Outcome> find_all() const
    {
        std::vector<Outcome> all;
        for (locator_outcome const& one : this->outcomes)
            if (Outcome const* outcome = std::get_if<Outcome>(&one))
                all.push_back(*outcome);
        return all;
    }

    void answer(send_locate_query const& query, locate_verdict verdict)
    {
        this->locator.on_reply(
            query.to,
            {query.query.query, std::vector<locate_verdict>(
                                    query.query.connections.size(), verdict)});
    }

    // Answers the queries of the latest outcomes, then decides.
    void answer_all(std::vector<locate_verdict> const& verdicts,
                    duration after = 5ms)
    {
        auto const queries = this->find_all<send_locate_query>();
        for (std::size_t i = 0; i < verdicts.size(); ++i)
            this->answer(queries.at(i), verdicts[i]);
        this->advance(after);
    }

    void deny_all()
    {
        this->answer_all({locate_verdict::denied, locate_verdict::denied,
                          locate_verdict::denied});
    }

    bool is_lost() const
    {
        return !this->find_all<connection_lost>().empty();
    }
};

}  // namespace

SECTION(locator, a_locator){};

TEST(locator, asks_every_target_once)
{
    this->advance();
    UNSIGNED_LONGS_EQUAL(3, this->find_all<send_locate_query>().size());
    this->advance(5ms);
    UNSIGNED_LONGS_EQUAL(0, this->find_all<send_locate_query>().size());
}

TEST(locator, finds_the_owner)
{
    this->advance();
    this->answer_all(
        {locate_verdict::denied, locate_verdict::held, locate_verdict::unsure});
    auto const held = this->find_all<connection_held>();
    UNSIGNED_LONGS_EQUAL(1, held.size());
    SAME(this->list.targets[1], held[0].target);
    CHECK(!this->locator.is_pending(make_packet(port).endpoints));
}

TEST(locator, knows_a_connection_to_be_lost_that_all_deny)
{
    this->advance();
    this->deny_all();
    CHECK(this->is_lost());
    UNSIGNED_LONGS_EQUAL(0, this->locator.size());
}

SECTION(locator_without_a_proof, a_locator){};

// Each guards against a reset of a connection that a back end holds.
TEST(locator_without_a_proof, waits_for_a_list_that_is_newer_than_the_packet)
{
    this->list.as_of = this->start - 1ms;
    this->advance();
    this->deny_all();
    CHECK(!this->is_lost());
    this->list.as_of = this->start;
    this->advance(1ms);
    CHECK(this->is_lost());
}

TEST(locator_without_a_proof, asks_again_if_the_list_has_grown)
{
    this->advance();
    this->list.targets.push_back({{0x0A020004, 8000}, {2}, 5});
    this->deny_all();
    CHECK(!this->is_lost());
    this->advance(20ms);
    UNSIGNED_LONGS_EQUAL(4, this->find_all<send_locate_query>().size());
}

TEST(locator_without_a_proof, does_not_take_silence_for_a_denial)
{
    this->advance();
    this->answer_all({locate_verdict::denied, locate_verdict::denied}, 300ms);
    CHECK(!this->is_lost());
}

TEST(locator_without_a_proof, does_not_need_a_target_that_has_left_the_list)
{
    this->advance();
    this->list.targets.pop_back();
    this->answer_all({locate_verdict::denied, locate_verdict::denied}, 300ms);
    CHECK(this->is_lost());
}

TEST(locator_without_a_proof, asks_targets_that_were_just_removed)
{
    this->list.removed = {{{0x0A020009, 8000}, {1}, 5}};
    this->advance();
    UNSIGNED_LONGS_EQUAL(4, this->find_all<send_locate_query>().size());
    this->answer_all({locate_verdict::denied, locate_verdict::denied,
                      locate_verdict::denied, locate_verdict::held});
    CHECK(!this->is_lost());
    UNSIGNED_LONGS_EQUAL(1, this->find_all<connection_held>().size());
}

// The platform would list it again if it were alive.
TEST(locator_without_a_proof, takes_a_removed_target_that_is_silent_for_gone)
{
    this->list.removed = {{{0x0A020009, 8000}, {1}, 5}};
    this->advance();
    this->deny_all();
    CHECK(!this->is_lost());
    this->advance(40ms);
    CHECK(this->is_lost());
}

TEST(locator_without_a_proof, has_unsure_targets_try_their_back_ends)
{
    this->advance();
    this->answer_all({locate_verdict::denied, locate_verdict::unsure,
                      locate_verdict::denied});
    CHECK(!this->is_lost());
    auto const trials = this->find_all<try_at_target>();
    UNSIGNED_LONGS_EQUAL(1, trials.size());
    SAME(this->list.targets[1], trials[0].target);
}

// Load pattern: all targets were restarted while their back ends run on, and
// searches find the owners. Guards against rounds that can't prove anything.
// Guards against an entry of another application at a target's address that
// keeps all connections from being proved lost.
TEST(locator_without_a_proof, asks_one_process_under_several_services)
{
    located_target other = this->list.targets.back();
    other.service = {3};
    this->list.targets.push_back(other);
    this->advance();
    this->answer_all({locate_verdict::denied, locate_verdict::denied,
                      locate_verdict::denied, locate_verdict::unsure});
    CHECK(this->find_all<try_at_target>().empty());
    CHECK(this->is_lost());
}

TEST(locator_without_a_proof, needs_a_denial_from_each_process)
{
    located_target other = this->list.targets.back();
    other.service = {3};
    this->list.targets.push_back(other);
    this->advance();
    this->answer_all({locate_verdict::denied, locate_verdict::denied,
                      locate_verdict::unsure, locate_verdict::unsure});
    UNSIGNED_LONGS_EQUAL(2, this->find_all<try_at_target>().size());
    CHECK(!this->is_lost());
}

TEST(locator_without_a_proof, pauses_while_many_targets_are_unsure)
{
    for (std::uint32_t i = 4; i < 14; ++i)
        this->list.targets.push_back({{0x0A020000 + i, 8000}, {2}, 5});
    this->advance();
    this->answer_all(std::vector<locate_verdict>(13, locate_verdict::unsure));
    UNSIGNED_LONGS_EQUAL(0, this->locator.size());
    this->add(port + 1);
    this->advance(900ms);
    UNSIGNED_LONGS_EQUAL(0, this->find_all<send_locate_query>().size());
    this->advance(100ms);
    UNSIGNED_LONGS_EQUAL(13, this->find_all<send_locate_query>().size());
}

TEST(locator_without_a_proof, drops_a_connection_that_is_opened_again)
{
    this->advance();
    this->locator.erase(make_packet(port).endpoints);
    this->deny_all();
    CHECK(!this->is_lost());
}

// The targets were asked about an earlier connection with the same endpoints.
TEST(locator_without_a_proof, applies_no_denial_to_a_later_connection)
{
    this->advance();
    this->now += 1ms;
    this->locator.erase(make_packet(port).endpoints);
    this->add(port);
    this->list.as_of = this->now;
    this->deny_all();
    CHECK(!this->is_lost());
    UNSIGNED_LONGS_EQUAL(1, this->locator.size());
}

// As above, but the later connection was opened through another entry.
TEST(locator_without_a_proof, notices_that_the_endpoints_are_used_again)
{
    this->list.as_of = this->start - 1ms;
    this->advance();
    this->deny_all();
    connection_packet later = make_packet(port);
    later.acknowledgement += 1'000'000;
    this->locator.add(later, this->now);
    this->list.as_of = this->now;
    this->advance(1ms);
    CHECK(!this->is_lost());
}

TEST(locator_without_a_proof, asks_nobody_while_the_list_may_lack_targets)
{
    this->list.as_of.reset();
    this->advance();
    UNSIGNED_LONGS_EQUAL(0, this->outcomes.size());
}

// Guards against a loop that is due again at once while it can do nothing.
TEST(locator_without_a_proof, is_not_due_at_once_while_it_cannot_ask)
{
    this->list.as_of.reset();
    this->advance();
    CHECK(*this->locator.next_due() > this->now);
}

// Guards against an event loop that wakes up all the time, because a round is
// overdue that no connection waits for.
TEST(locator_without_a_proof, is_not_due_without_connections)
{
    this->advance();
    this->locator.erase(make_packet(port).endpoints);
    CHECK(!this->locator.next_due());
}

TEST(locator_without_a_proof, forgets_a_caller_that_is_silent)
{
    this->list.as_of.reset();
    this->advance(3001ms);
    UNSIGNED_LONGS_EQUAL(0, this->locator.size());
}

SECTION(locator_with_many_connections, a_locator){};

// Load pattern: thousands of connections end at once. Guards against a query for
// each connection and target.
TEST(locator_with_many_connections, asks_about_them_together)
{
    for (std::uint16_t i = 1; i < 200; ++i)
        this->add(static_cast<std::uint16_t>(port + i));
    this->advance();
    auto const first = this->find_all<send_locate_query>();
    UNSIGNED_LONGS_EQUAL(3, first.size());
    UNSIGNED_LONGS_EQUAL(max_located_connections,
                         first[0].query.connections.size());
    this->deny_all();
    UNSIGNED_LONGS_EQUAL(max_located_connections,
                         this->find_all<connection_lost>().size());
}

TEST(locator_with_many_connections, begins_no_round_before_the_last_is_paid_for)
{
    this->advance();
    this->deny_all();
    this->add(port + 1);
    this->advance(6ms);
    UNSIGNED_LONGS_EQUAL(0, this->find_all<send_locate_query>().size());
    this->advance(1ms);
    UNSIGNED_LONGS_EQUAL(3, this->find_all<send_locate_query>().size());
}

TEST(locator_with_many_connections, asks_nobody_in_a_fleet_that_is_too_large)
{
    for (std::uint32_t i = 4; i < 520; ++i)
        this->list.targets.push_back({{0x0A020000 + i, 8000}, {2}, 5});
    this->advance();
    UNSIGNED_LONGS_EQUAL(0, this->outcomes.size());
}

namespace {

// ---- searches that fail -------------------------------------------------

struct recent_searches : Utest
{
    search_yield yield = {};
    time_point now{100s};

    void record(int found, int failed)
    {
        for (int i = 0; i < found; ++i)
            this->yield.record(true, this->now);
        for (int i = 0; i < failed; ++i)
            this->yield.record(false, this->now);
    }
};

}  // namespace

SECTION(yield_of_searches, recent_searches){};

// Guards against shortened searches after an entry has left, when connections
// arrive at entries that don't know their owners yet.
TEST(yield_of_searches, is_not_low_while_owners_are_found)
{
    this->record(3, 9);
    CHECK(!this->yield.is_low(this->now));
}

TEST(yield_of_searches, is_not_low_after_a_few_failures)
{
    this->record(0, 7);
    CHECK(!this->yield.is_low(this->now));
}

TEST(yield_of_searches, is_low_while_nearly_all_fail)
{
    this->record(2, 8);
    CHECK(this->yield.is_low(this->now));
    this->now += 2s;
    CHECK(!this->yield.is_low(this->now));
}

namespace {

// ---- a fleet that has lost power ----------------------------------------

peer_address const feed_route{0xC6120001, 445};

// Six entries and 48 targets of two slots each; 1200 callers keep their
// connections open for many requests.
struct a_fleet_with_lost_connections : Utest
{
    fake_connections<> fleet{11};
    time_point lost_at = {};
    time_point listed_at = {};

    virtual bool resets() const
    {
        return true;
    }

    void setup() override
    {
        this->fleet.entry_settings.reset_lost_connections = this->resets();
        this->fleet.entry_settings.membership.timing.read_now_interval = 100ms;
        this->fleet.clients_per_data_centre = 400;
        std::size_t const feed = this->fleet.add_kind(
            {feed_route, "atelier", 30ms, 250ms, 4s, 2, true, 1, 0.3});
        for (int i = 0; i < 6; ++i)
            this->fleet.add_entry(i % 3);
        for (int i = 0; i < 48; ++i)
            this->fleet.add_target("atelier", i % 3);
        this->fleet.publish();
        this->fleet.run_for(1s);
        this->fleet.add_sessions(feed, 1200, 5s, 60s, 3);
        this->fleet.run_for(12s);
    }

    // The back ends are listed again a second after power has returned.
    void lose_power()
    {
        this->lost_at = this->fleet.now();
        this->fleet.power_off_all(1100ms);
        this->fleet.run_for(2400ms);
        this->fleet.publish();
        this->listed_at = this->fleet.now();
    }

    double earned_between(duration from, duration until) const
    {
        return this->fleet.earned_share(this->listed_at + from,
                                        this->listed_at + until);
    }
};

struct a_fleet_without_resets : a_fleet_with_lost_connections
{
    bool resets() const override
    {
        return false;
    }
};

}  // namespace

SECTION(fleet_with_lost_connections, a_fleet_with_lost_connections){};

// Load pattern: a power failure ends all connections, and each caller finds that
// out with its next request. Guards against callers that wait until their
// deadline for connections that no back end holds.
TEST(fleet_with_lost_connections, tells_their_callers)
{
    this->lose_power();
    this->fleet.run_for(12s);
    CHECK(this->earned_between(3s, 5s) > 0.97);
    CHECK(this->earned_between(5s, 10s) > 0.97);
    UNSIGNED_LONGS_EQUAL(0, this->fleet.wrong_resets);
}

TEST(fleet_with_lost_connections, resets_none_that_a_back_end_holds)
{
    for (std::size_t i = 0; i < 16; ++i)
        this->fleet.kill_target(i);
    for (std::size_t i = 0; i < 6; ++i)
        this->fleet.kill_entry(i);
    this->fleet.run_for(500ms);
    for (std::size_t i = 0; i < 16; ++i)
        this->fleet.start_target(i);
    for (std::size_t i = 0; i < 6; ++i)
        this->fleet.start_entry(i);
    this->fleet.run_for(12s);
    UNSIGNED_LONGS_EQUAL(0, this->fleet.wrong_resets);
    time_point const end = this->fleet.now();
    CHECK(this->fleet.earned_share(end - 6s, end - 2s) > 0.97);
}

SECTION(fleet_without_resets, a_fleet_without_resets){};

// Shows that the stories above would fail without the resets.
TEST(fleet_without_resets, lets_callers_wait)
{
    this->lose_power();
    this->fleet.run_for(12s);
    CHECK(this->earned_between(3s, 5s) < 0.97);
}
