// Each promise of the soak is shown to be found broken, and not to be where
// the users' rules excuse it.
#include "back_ends.hpp"
#include "callers.hpp"
#include "fake_packets.hpp"
#include "plan.hpp"
#include "promises.hpp"
#include "stories/story.hpp"

using namespace lagoon;
using namespace lagoon::soak;

namespace {

constexpr std::size_t entry = 0;
constexpr std::size_t other_entry = 1;
constexpr std::size_t target = 2;
constexpr std::size_t next_target = 3;
constexpr peer_address route{0xC6120001, 443};

// Two entries and two back ends of one service each; a route to the first.
struct a_book : Utest
{
    time_point const start{1000s};
    promise_book book = promise_book{};
    back_end_life const own{1};
    back_end_life const another{2};
    connection_endpoints const endpoints{{0x7F110501, 2000}, route};

    void setup() override
    {
        this->book.back_end_started(this->own, target, "archive");
        this->book.back_end_started(this->another, next_target, "members");
        this->store_route("archive", this->start);
    }

    void store_route(std::string const& service, time_point acked)
    {
        this->book.routes_stored({acked, {{route, {service}}}});
    }

    // A connection is asked for through an entry, and accepted.
    void open(connection_endpoints const& which, back_end_life by,
              time_point sent, std::size_t through = entry)
    {
        this->book.sent(which, through, true, sent);
        this->book.accepted(which, by, sent + 1ms);
        this->book.opened(which, by, sent + 2ms);
    }

    connection_endpoints number(std::uint16_t which) const
    {
        return {{0x7F110501, which}, route};
    }

    std::size_t count(promise what) const
    {
        std::size_t sum = 0;
        for (broken_promise const& one : this->book.broken())
            sum += one.what == what;
        return sum;
    }

    void finds(promise what, std::size_t times = 1)
    {
        UNSIGNED_LONGS_EQUAL(times, this->count(what));
        UNSIGNED_LONGS_EQUAL(times, this->book.broken().size());
    }

    void finds_nothing()
    {
        UNSIGNED_LONGS_EQUAL(0, this->book.broken().size());
    }
};

}  // namespace

// ---- requests -----------------------------------------------------------

SECTION(a_request_that_may_run_once, a_book){};

TEST(a_request_that_may_run_once, is_not_to_run_at_two_attempts)
{
    this->book.ran({7, 1}, false, this->start);
    this->finds_nothing();
    this->book.ran({7, 2}, false, this->start);
    this->finds(promise::runs_once);
}

TEST(a_request_that_may_run_once, may_run_again_where_it_may_be_repeated)
{
    this->book.ran({7, 1}, true, this->start);
    this->book.ran({7, 2}, true, this->start);
    this->finds_nothing();
}

SECTION(a_refused_request, a_book){};

TEST(a_refused_request, is_not_to_have_run)
{
    this->book.ran({7, 1}, true, this->start);
    this->book.told_not_run({7, 1}, this->start + 1ms);
    this->finds(promise::refusals_are_true);
}

TEST(a_refused_request, is_not_to_run_later)
{
    this->book.told_not_run({7, 1}, this->start);
    this->book.ran({7, 1}, true, this->start + 1ms);
    this->finds(promise::refusals_are_true);
}

TEST(a_refused_request, may_run_at_its_next_attempt)
{
    this->book.told_not_run({7, 1}, this->start);
    this->book.ran({7, 2}, false, this->start + 1ms);
    this->finds_nothing();
}

SECTION(an_answer, a_book){};

TEST(an_answer, is_to_be_whole)
{
    this->book.answered({7, 1}, true, this->start);
    this->finds_nothing();
    this->book.answered({7, 1}, false, this->start);
    this->finds(promise::answers_are_whole);
}

// ---- connections --------------------------------------------------------

SECTION(an_opening_packet_of_the_soak, a_book){};

TEST(an_opening_packet_of_the_soak, is_not_to_reach_another_service)
{
    this->open(this->endpoints, this->another, this->start + 5s);
    this->finds(promise::right_service);
}

TEST(an_opening_packet_of_the_soak, is_to_have_a_sender)
{
    this->book.accepted(this->endpoints, this->own, this->start + 5s);
    this->finds(promise::packets_are_unaltered);
}

TEST(an_opening_packet_of_the_soak, is_to_arrive_as_it_was_sent)
{
    this->book.altered(this->endpoints, this->start + 5s);
    this->finds(promise::packets_are_unaltered);
}

namespace {

// A connection that is open at a back end which lives.
struct an_open_connection : a_book
{
    time_point opened = this->start + 10s;

    void setup() override
    {
        a_book::setup();
        this->open(this->endpoints, this->own, this->opened);
    }

    // Three packets that reach another back end, over more than two seconds.
    void stray()
    {
        for (int i = 0; i < 3; ++i)
            this->book.strayed(this->endpoints, this->opened + 1s + i * 1100ms);
    }
};

}  // namespace

SECTION(an_open_connection_of_the_soak, an_open_connection){};

TEST(an_open_connection_of_the_soak, is_not_to_be_reset)
{
    this->book.reset(this->endpoints, entry, this->opened + 1s);
    this->finds(promise::open_connections_stay);
}

TEST(an_open_connection_of_the_soak, is_not_to_be_reset_in_planned_work_either)
{
    this->book.disturb(target, disturbance::planned, this->opened + 1s);
    this->book.reset(this->endpoints, entry, this->opened + 2s);
    this->finds(promise::open_connections_stay);
}

TEST(an_open_connection_of_the_soak, may_be_reset_soon_after_its_machine_failed)
{
    this->book.disturb(target, disturbance::unplanned, this->opened + 1s);
    this->book.reset(this->endpoints, entry, this->opened + 2s);
    this->finds_nothing();
    this->book.reset(this->endpoints, entry, this->opened + 5s);
    this->finds(promise::open_connections_stay);
}

TEST(an_open_connection_of_the_soak, may_be_reset_when_its_back_end_is_gone)
{
    this->book.back_end_gone(this->own);
    this->book.reset(this->endpoints, entry, this->opened + 1s);
    this->finds_nothing();
}

TEST(an_open_connection_of_the_soak, may_be_reset_when_its_route_is_gone)
{
    this->book.routes_stored({this->opened + 1s, {}});
    this->book.reset(this->endpoints, entry, this->opened + 2s);
    this->finds_nothing();
}

TEST(an_open_connection_of_the_soak, is_not_to_have_its_packets_elsewhere)
{
    this->stray();
    this->finds(promise::packets_find_their_own);
}

TEST(an_open_connection_of_the_soak, may_have_a_few_elsewhere_on_the_way)
{
    this->book.strayed(this->endpoints, this->opened + 1s);
    this->book.strayed(this->endpoints, this->opened + 2s);
    this->book.reached(this->endpoints, this->own, this->opened + 3s);
    this->book.strayed(this->endpoints, this->opened + 4s);
    this->finds_nothing();
}

TEST(an_open_connection_of_the_soak, may_stray_by_an_entry_that_just_failed)
{
    this->book.disturb(entry, disturbance::unplanned, this->opened + 1s);
    this->stray();
    this->finds_nothing();
}

// Those of the time before don't count either.
TEST(an_open_connection_of_the_soak, may_have_strayed_until_all_are_in_touch)
{
    this->book.disturb(target, disturbance::unplanned, this->opened - 2500ms);
    this->stray();
    this->finds_nothing();
    this->book.strayed(this->endpoints, this->opened + 4200ms);
    this->finds(promise::packets_find_their_own);
}

// ---- leaving ------------------------------------------------------------

namespace {

struct a_leaving_back_end : a_book
{
    time_point acked = this->start + 20s;

    void setup() override
    {
        a_book::setup();
        this->book.back_end_leaves(this->own, this->acked);
    }
};

}  // namespace

SECTION(a_back_end_that_leaves, a_leaving_back_end){};

TEST(a_back_end_that_leaves, is_to_get_nothing_new_after_the_bound)
{
    this->open(this->endpoints, this->own, this->acked + 2500ms);
    this->finds_nothing();
    this->open(this->number(2001), this->own, this->acked + 3100ms);
    this->finds(promise::leaving_admits_nothing);
}

TEST(a_back_end_that_leaves, may_get_something_while_the_store_fails)
{
    this->book.disturb_store(this->acked + 1s);
    this->open(this->endpoints, this->own, this->acked + 3100ms);
    this->finds_nothing();
}

TEST(a_back_end_that_leaves, may_get_something_by_an_entry_that_was_frozen)
{
    this->book.disturb(entry, disturbance::unplanned, this->acked + 1s);
    this->open(this->endpoints, this->own, this->acked + 3100ms);
    this->finds_nothing();
}

// ---- routes -------------------------------------------------------------

namespace {

// The route has gone from one service to another.
struct a_moved_route : a_book
{
    time_point moved = this->start + 30s;

    void setup() override
    {
        a_book::setup();
        this->store_route("members", this->moved);
    }
};

}  // namespace

SECTION(a_moved_route_of_the_soak, a_moved_route){};

TEST(a_moved_route_of_the_soak, is_in_force_after_the_bound)
{
    this->open(this->endpoints, this->own, this->moved + 2900ms);
    this->finds_nothing();
    this->open(this->number(2001), this->own, this->moved + 3100ms);
    this->finds(promise::routes_in_force);
}

TEST(a_moved_route_of_the_soak, is_excused_while_the_store_fails)
{
    this->book.disturb_store(this->moved + 1s);
    this->open(this->endpoints, this->own, this->moved + 3100ms);
    this->finds_nothing();
    this->open(this->number(2001), this->own, this->moved + 5100ms);
    this->finds(promise::routes_in_force);
}

TEST(a_moved_route_of_the_soak, never_moves_back_at_an_entry)
{
    this->open(this->endpoints, this->another, this->moved + 1s);
    this->open(this->number(2001), this->own, this->moved + 1200ms);
    this->finds_nothing();
    this->open(this->number(2002), this->own, this->moved + 1300ms);
    this->finds(promise::routes_never_back);
}

TEST(a_moved_route_of_the_soak, may_be_known_to_one_entry_before_another)
{
    this->open(this->endpoints, this->another, this->moved + 1s);
    this->open(this->number(2001), this->own, this->moved + 2s, other_entry);
    this->finds_nothing();
}

TEST(a_moved_route_of_the_soak, may_be_read_anew_by_a_process_that_started)
{
    this->open(this->endpoints, this->another, this->moved + 1s);
    this->book.process_started(entry);
    this->open(this->number(2001), this->own, this->moved + 2s);
    this->finds_nothing();
}

TEST(a_moved_route_of_the_soak, is_not_judged_by_what_two_entries_were_sent)
{
    this->open(this->endpoints, this->another, this->moved + 1s);
    this->book.sent(this->number(2001), entry, true, this->moved + 2s);
    this->book.sent(this->number(2001), other_entry, true, this->moved + 2s);
    this->book.accepted(this->number(2001), this->own, this->moved + 2s);
    this->finds_nothing();
}

// ---- processes ----------------------------------------------------------

SECTION(a_process_of_the_soak, a_book){};

TEST(a_process_of_the_soak, is_not_to_end_by_itself)
{
    this->book.process_ended(entry, "signal 11", this->start);
    this->finds(promise::stays_up);
}

TEST(a_process_of_the_soak, is_to_stop_in_time)
{
    this->book.process_stopped(entry, 5900ms, this->start);
    this->finds_nothing();
    this->book.process_stopped(entry, 6100ms, this->start);
    this->finds(promise::stops_in_time);
}

SECTION(a_service_that_was_killed_whole, a_book){};

TEST(a_service_that_was_killed_whole, is_back_within_the_bound)
{
    time_point const back = this->start + 10s;
    this->book.killed_all(back);
    for (int i = 0; i < 8; ++i)
        this->book.ended(back + 13s, i == 0);
    this->book.finish(back + 17s);
    this->finds(promise::back_in_time);
}

// What the soak's own standing still makes late is nobody else's doing.
TEST(a_service_that_was_killed_whole, is_looked_at_later_when_the_soak_stalls)
{
    time_point const back = this->start + 10s;
    this->book.killed_all(back);
    this->book.stalled(4, back + 8s);
    this->book.ended(back + 13s, false);
    this->book.finish(back + 17s);
    this->finds_nothing();
    this->book.ended(back + 21s, false);
    this->book.finish(back + 25s);
    this->finds(promise::back_in_time);
}

TEST(a_service_that_was_killed_whole, needs_a_quarter_of_its_requests_served)
{
    time_point const back = this->start + 10s;
    this->book.killed_all(back);
    this->book.ended(back + 11s, false);
    for (int i = 0; i < 8; ++i)
        this->book.ended(back + 13s, i < 2);
    this->book.finish(back + 17s);
    this->finds_nothing();
}

// ---- callers and back ends ----------------------------------------------

namespace {

// A caller and a back end with nothing between them.
struct a_pair : a_book
{
    std::vector<soak_route> const routes{{route, 2s, false, 3000, 2, 1}};
    caller_crowd crowd{1, {{0x7F110501, 0}}, this->routes, this->book};
    soak_back_end back_end{this->own, 1, {}, this->book, this->start};
    time_point now = this->start + 10s;
    bool loses_answers = false;

    // Carries packets to and fro until there are none.
    void exchange(soak_packets in)
    {
        while (!in.empty()) {
            soak_packets next;
            for (soak_packet const& packet : in) {
                this->book.sent(packet.endpoints, entry, packet.opens,
                                this->now);
                for (soak_packet const& answer :
                     this->back_end.take(packet, this->now))
                    this->answer(answer, next);
            }
            in = next;
        }
    }

    void answer(soak_packet const& packet, soak_packets& next)
    {
        if (this->loses_answers && !packet.data.empty())
            return;
        for (soak_packet const& one :
             this->crowd.take(packet, target, this->now))
            next.push_back(one);
    }

    void pass(duration span)
    {
        for (duration step{}; step < span; step += 10ms) {
            this->now += 10ms;
            soak_packets next;
            for (soak_packet const& packet : this->back_end.tick(this->now))
                this->answer(packet, next);
            this->exchange(next);
            this->exchange(this->crowd.tick(this->now));
        }
    }
};

}  // namespace

SECTION(a_caller_and_a_back_end, a_pair){};

TEST(a_caller_and_a_back_end, finish_their_requests_and_their_connection)
{
    this->exchange(this->crowd.begin(this->now));
    this->pass(3s);
    UNSIGNED_LONGS_EQUAL(2, this->book.served());
    UNSIGNED_LONGS_EQUAL(0, this->book.failed());
    UNSIGNED_LONGS_EQUAL(0, this->crowd.open());
    this->finds_nothing();
}

TEST(a_caller_and_a_back_end, make_up_for_lost_answers)
{
    this->loses_answers = true;
    this->exchange(this->crowd.begin(this->now));
    this->pass(300ms);
    this->loses_answers = false;
    this->pass(3s);
    UNSIGNED_LONGS_EQUAL(2, this->book.served());
    this->finds_nothing();
}

TEST(a_caller_and_a_back_end, end_it_with_an_answer_when_the_back_end_leaves)
{
    this->exchange(this->crowd.begin(this->now));
    this->back_end.leave();
    this->pass(2s);
    UNSIGNED_LONGS_EQUAL(1, this->book.served());
    UNSIGNED_LONGS_EQUAL(0, this->crowd.open());
}

// A copy of its opening packet may be refused somewhere after it has opened.
TEST(a_caller_and_a_back_end, take_no_notice_of_a_reset_of_something_else)
{
    soak_packets const opening = this->crowd.begin(this->now);
    this->exchange(opening);
    soak_packet reset{.endpoints = opening.front().endpoints,
                      .by_caller = false,
                      .resets = true,
                      .is_genuine = false};
    this->crowd.take(reset, entry, this->now);
    this->finds_nothing();
    UNSIGNED_LONGS_EQUAL(1, this->crowd.open());
}

TEST(a_caller_and_a_back_end, give_back_what_belongs_to_nobody_here)
{
    soak_packet const lost{.endpoints = this->number(9), .data = "x"};
    soak_packets const back = this->back_end.take(lost, this->now);
    UNSIGNED_LONGS_EQUAL(1, back.size());
    CHECK(back.front().is_returned && back.front().by_caller);
}

// ---- packets and plans --------------------------------------------------

SECTION(a_packet_of_the_soak, a_book){};

TEST(a_packet_of_the_soak, is_read_as_it_was_written)
{
    soak_packet const packet{.endpoints = this->endpoints,
                             .acknowledges = true,
                             .finishes = true,
                             .sequence = 17,
                             .acknowledged = 18,
                             .data = "some data"};
    std::string const bytes = platform::fake_packets::write(packet);
    CHECK(platform::fake_packets::parse(bytes, true) == packet);
}

TEST(a_packet_of_the_soak, shows_that_it_was_altered)
{
    std::string bytes = platform::fake_packets::write(
        {.endpoints = this->endpoints, .data = "some data"});
    bytes.back() = 'b';
    CHECK(!platform::fake_packets::parse(bytes, true)->is_genuine);
}

SECTION(a_plan_of_the_soak, Utest){};

TEST(a_plan_of_the_soak, is_the_same_for_the_same_seed)
{
    CHECK(draw_plan(7, 60s, 16) == draw_plan(7, 60s, 16));
    CHECK(draw_plan(7, 60s, 16) != draw_plan(8, 60s, 16));
}

TEST(a_plan_of_the_soak, is_read_as_it_was_written)
{
    soak_plan const plan = draw_plan(7, 60s, 16);
    json_checker checker{"plan"};
    std::optional<soak_plan> const read = parse_plan(checker, write_plan(plan));
    CHECK(read.has_value());
    // Times are written in milliseconds and shares per mille.
    STRCMP_EQUAL(write_plan(plan).c_str(), write_plan(*read).c_str());
}

TEST(a_plan_of_the_soak, names_what_is_wrong_with_it)
{
    json_checker checker{"plan"};
    CHECK(!parse_plan(checker, R"({"seed": 1, "length_ms": 1000, "entries": 2,
        "targets": 3, "faults": [{"at_ms": 1, "span_ms": 1,
        "kind": "flood", "machine": 9}]})"));
    UNSIGNED_LONGS_EQUAL(2, checker.problems().size());
}

TEST(a_plan_of_the_soak, is_made_shorter_by_halves_and_by_quarters)
{
    soak_plan plan{.entries = 1, .targets = 1};
    for (std::size_t i = 0; i < 4; ++i)
        plan.faults.push_back({.at = std::chrono::seconds{i}});
    std::vector<soak_plan> const parts = parts_of(plan);
    UNSIGNED_LONGS_EQUAL(6, parts.size());
    UNSIGNED_LONGS_EQUAL(2, parts.front().faults.size());
    UNSIGNED_LONGS_EQUAL(3, parts.back().faults.size());
    CHECK(parts_of(parts.front()).size() == 2);
}
