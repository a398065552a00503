#include "fakes/fake_connections.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

peer_address const entry{0x0A010001, 7280};
peer_address const route{0xC6120001, 443};
constexpr std::uint32_t first_sequence = 5'000'000;  // of the back end

// ---- one target ---------------------------------------------------------

// A target with eight slots that has been running for ten seconds. Its back end
// may get four opening packets per second while it is cold.
struct a_target_with_a_cold_back_end : Utest
{
    static constexpr std::uint32_t limit = 4;
    time_point now{100s};
    service_id members = make_service_id("members");
    connection_target<> role{this->make_settings(), this->now - 10s};
    connection_target_effects effects = {};
    std::uint32_t last_query = 0;
    std::uint32_t opens_per_second = limit;

    connection_target_settings make_settings() const
    {
        return {.service = make_service_id("members"),
                .admission = {.slots = 8,
                              .extra_starts = 0,
                              .transit_time = 12ms,
                              .max_wait_share = 0.5},
                .is_table_complete = true};
    }

    void feed(connection_target_event const& event, duration after = 0ms)
    {
        this->now += after;
        this->effects = this->role.on(event, this->now);
    }

    static connection_packet make_opening(std::uint16_t port)
    {
        connection_packet packet{};
        packet.endpoints = {{0x64400001, port}, route};
        packet.is_opening = true;
        packet.bytes = "open " + std::to_string(port);
        return packet;
    }

    void offer_open(std::uint16_t port, bool is_last_resort = false)
    {
        request_attributes attributes{route, 400ms, 4s, 2, {}};
        attributes.opens_per_second = this->opens_per_second;
        this->feed(entry_offer{entry,
                               {{++this->last_query},
                                this->members,
                                8,
                                is_last_resort,
                                attributes,
                                {}},
                               make_opening(port)});
    }

    void accept(std::uint16_t port)
    {
        connection_packet packet = make_opening(port);
        packet.is_opening = false;
        packet.is_accepting = true;
        packet.sequence = first_sequence;
        this->feed(packet_from_back_end{packet});
    }

    // Runs a request on the connection for `span`. The connection stays open.
    void run_request(std::uint16_t port, duration span)
    {
        connection_packet request = make_opening(port);
        request.is_opening = false;
        request.acknowledgement = first_sequence + 1;
        request.data_size = 100;
        this->feed(
            entry_offer{entry, {{}, this->members, 0, false, {}, {}}, request});
        connection_packet answer = make_opening(port);
        answer.is_opening = false;
        answer.sequence = first_sequence + 1;
        answer.acknowledgement = 101;
        answer.data_size = 1000;
        this->feed(packet_from_back_end{answer}, span);
    }

    std::size_t count_sent() const
    {
        std::size_t sum = 0;
        for (connection_target_effect const& one : this->effects)
            sum += std::holds_alternative<send_to_back_end>(one);
        return sum;
    }

    offer_reply find_reply() const
    {
        for (connection_target_effect const& one : this->effects)
            if (auto const* reply = std::get_if<reply_to_entry>(&one))
                return reply->answer;
        return {};
    }

    bool replies_with(offer_verdict verdict) const
    {
        return this->count_replies() == 1 &&
               this->find_reply().verdict == verdict;
    }

    std::size_t count_replies() const
    {
        std::size_t sum = 0;
        for (connection_target_effect const& one : this->effects)
            sum += std::holds_alternative<reply_to_entry>(one);
        return sum;
    }

    // Opens as many connections as the back end may get in a second.
    void use_up_limit()
    {
        for (std::uint16_t port = 1; port <= limit; ++port) {
            this->offer_open(port);
            CHECK(this->replies_with(offer_verdict::taken));
            this->accept(port);
        }
    }
};

}  // namespace

SECTION(a_cold_back_end, a_target_with_a_cold_back_end){};

// Load pattern: after a power loss all callers reconnect at once, and the slots
// of the cold back ends are free.
TEST(a_cold_back_end, gets_no_connection_beyond_its_limit)
{
    this->use_up_limit();
    this->offer_open(9);
    CHECK(this->replies_with(offer_verdict::busy));
    UNSIGNED_LONGS_EQUAL(0, this->count_sent());
}

TEST(a_cold_back_end, is_offered_connections_again_after_a_second)
{
    this->use_up_limit();
    this->feed(clock_tick{}, 999ms);
    this->offer_open(9);
    CHECK(this->replies_with(offer_verdict::busy));
    this->feed(clock_tick{}, 1ms);
    this->offer_open(9);
    CHECK(this->replies_with(offer_verdict::taken));
}

// Load pattern: all targets of a service are cold.
TEST(a_cold_back_end, gets_a_connection_of_last_resort_after_waiting)
{
    this->use_up_limit();
    this->offer_open(9, true);
    CHECK(this->replies_with(offer_verdict::waiting));
    UNSIGNED_LONGS_EQUAL(0, this->count_sent());
    this->feed(clock_tick{}, 500ms);
    UNSIGNED_LONGS_EQUAL(0, this->count_sent());
    CHECK(this->role.next_due(this->now) <= this->now + 500ms);
    this->feed(clock_tick{}, 500ms);
    UNSIGNED_LONGS_EQUAL(1, this->count_sent());
}

// Each delay adds to the wait of all that follow in the queue.
TEST(a_cold_back_end, sends_the_next_packet_on_time)
{
    this->use_up_limit();
    this->offer_open(9, true);
    this->feed(clock_tick{}, 995ms);
    CHECK(this->role.next_due(this->now) == this->now + 5ms);
}

// A queue that starts four requests per second takes more than half of the
// deadline of four seconds once five wait: the ninth of a burst has to be told
// at once.
TEST(a_cold_back_end, refuses_what_its_limit_cannot_start_in_time)
{
    this->use_up_limit();
    for (std::uint16_t port = 11; port <= 15; ++port) {
        this->offer_open(port, true);
        CHECK(this->replies_with(offer_verdict::waiting));
    }
    this->offer_open(16, true);
    CHECK(this->replies_with(offer_verdict::refused));
}

// Callers retransmit the opening packets that a slow back end has not answered.
TEST(a_cold_back_end, gets_copies_without_counting_them)
{
    this->offer_open(1);
    for (int i = 0; i < 5; ++i) {
        this->offer_open(1);
        UNSIGNED_LONGS_EQUAL(1, this->count_sent());
    }
    for (std::uint16_t port = 2; port <= limit; ++port) {
        this->offer_open(port);
        CHECK(this->replies_with(offer_verdict::taken));
    }
}

// The entries choose the least loaded target if all are busy. A target that
// waits for its limit would win with its free slots.
TEST(a_cold_back_end, reports_the_load_of_a_full_one_while_it_gets_none)
{
    this->use_up_limit();
    this->offer_open(9);
    // 1,000 ms until the next start: 50 requests of 20 ms for each slot.
    UNSIGNED_LONGS_EQUAL(8 + 50 * 8, this->find_reply().load);
    this->feed(clock_tick{}, 1s);
    this->offer_open(9);
    CHECK(this->find_reply().load <= 5);
}

TEST(a_cold_back_end, has_no_limit_once_it_is_warm)
{
    this->use_up_limit();
    this->opens_per_second = 0;
    this->offer_open(5);
    CHECK(this->replies_with(offer_verdict::taken));
}

// ---- open connections ---------------------------------------------------

// Load pattern: callers keep connections open, and new ones are placed while
// these pause.
TEST(a_cold_back_end, tells_the_expected_load_of_paused_connections)
{
    this->opens_per_second = 0;
    for (std::uint16_t port = 1; port <= 4; ++port) {
        this->offer_open(port);
        this->accept(port);
    }
    for (int i = 0; i < 10; ++i)
        for (std::uint16_t port = 1; port <= 4; ++port) {
            this->run_request(port, 50ms);
            this->feed(clock_tick{}, 10ms);
        }
    this->offer_open(9);
    // The one that opens, and about one of the four at any time.
    UNSIGNED_LONGS_EQUAL(1, this->find_reply().load);
    CHECK(this->replies_with(offer_verdict::taken));
    UNSIGNED_LONGS_EQUAL(1, this->find_reply().expected_load);
    for (std::uint16_t port = 10; port <= 13; ++port) {
        this->offer_open(port);
        CHECK(this->replies_with(offer_verdict::taken));
    }
    UNSIGNED_LONGS_EQUAL(2, this->find_reply().expected_load);
}

namespace {

// ---- a fleet ------------------------------------------------------------

struct a_fleet_with_cold_back_ends : Utest
{
    static constexpr std::uint32_t limit = 12;  // per second and back end
    static constexpr std::size_t target_count = 6;
    fake_connections<> fleet{7};
    std::size_t kind = 0;

    void setup() override
    {
        this->kind = this->fleet.add_kind(
            {route, "members", 22ms, 200ms, 1500ms, 2, true, 1, 0.3});
        for (int data_centre : {0, 1, 2, 3})
            this->fleet.add_entry(data_centre);
        for (std::size_t i = 0; i < target_count; ++i)
            this->fleet.add_target("members", static_cast<int>(i % 4));
        this->fleet.publish();
        this->fleet.run_for(2s);
        this->fleet.warm_up_limits = {{make_service_id("members"), 8s, limit}};
    }

    void publish_cold(std::set<std::size_t> const& targets)
    {
        this->fleet.joining = targets;
        this->fleet.publish();
        this->fleet.run_for(500ms);
    }
};

}  // namespace

SECTION(a_fleet_warming_up, a_fleet_with_cold_back_ends){};

// Load pattern: two of six back ends restart, and new connections arrive at
// 300 per second from four entries, which don't know of each other's offers.
TEST(a_fleet_warming_up, keeps_the_limit_over_all_entries)
{
    this->publish_cold({0, 1});
    time_point const start = this->fleet.now();
    this->fleet.add_load(this->kind, 300, 5s, 4);
    this->fleet.run_for(7s);
    for (std::size_t const cold : {0U, 1U}) {
        std::size_t const largest =
            this->fleet.max_accepted_within(cold, 1s, start);
        CHECK(largest <= limit);
        CHECK(largest >= limit / 2);
    }
    CHECK(this->fleet.earned_share(start, start + 5s) > 0.9);
}

// Load pattern: power is lost, and entries offer connections to restarted back
// ends before the catalog lists them again.
TEST(a_fleet_warming_up, keeps_the_limit_of_a_target_that_is_not_listed)
{
    this->fleet.unlisted.insert(0);
    this->fleet.publish();
    time_point const start = this->fleet.now();
    this->fleet.add_load(this->kind, 300, 1s, 4);
    this->fleet.run_for(1500ms);
    std::size_t const largest = this->fleet.max_accepted_within(0, 1s, start);
    CHECK(largest > 0);
    CHECK(largest <= limit);
}

// Load pattern: after a power loss every back end of a service is cold.
TEST(a_fleet_warming_up, keeps_the_limit_when_all_are_cold)
{
    this->publish_cold({0, 1, 2, 3, 4, 5});
    time_point const start = this->fleet.now();
    this->fleet.add_load(this->kind, 200, 5s, 4);
    this->fleet.run_for(7s);
    for (std::size_t i = 0; i < target_count; ++i)
        CHECK(this->fleet.max_accepted_within(i, 1s, start) <= limit);
    // What the limits of six back ends let through, at the least.
    CHECK(this->fleet.count_requests(completion_status::in_time, start,
                                     this->fleet.now()) > 150);
}
