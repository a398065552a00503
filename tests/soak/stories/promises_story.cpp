// Tests of the promise checker: each promise is reported as broken when it is,
// and not where the users' rules allow an exception. Also tests the simulated
// callers and back ends, packets and plans.
#include "back_ends.hpp"
#include "callers.hpp"
#include "fake_packets.hpp"
#include "fake_store.hpp"
#include "faulty_store.hpp"
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

// Two entries, two back ends of different services and a route to the first of
// these services.
struct a_promise_checker : Utest
{
    time_point const start{1000s};
    promise_checker checker = promise_checker{};
    back_end_incarnation const first_back_end{1};
    back_end_incarnation const second_back_end{2};
    connection_endpoints const endpoints{{0x7F110501, 2000}, route};

    void setup() override
    {
        this->checker.on_back_end_started(this->first_back_end, target,
                                          "archive", "north");
        this->checker.on_back_end_started(this->second_back_end, next_target,
                                          "members", "south");
        this->store_route("archive", this->start);
    }

    void store_route(std::string const& service, time_point stored_at)
    {
        this->checker.on_routes_stored({stored_at, {{route, {service}}}});
    }

    // Opens a connection to a back end through an entry.
    void open_connection(connection_endpoints const& connection,
                         back_end_incarnation incarnation, time_point sent,
                         std::size_t through_entry = entry)
    {
        this->checker.on_packet_sent(connection, through_entry, true, sent);
        this->checker.on_connection_accepted(connection, incarnation,
                                             sent + 1ms);
        this->checker.on_connection_opened(connection, incarnation, sent + 2ms);
    }

    connection_endpoints make_endpoints(std::uint16_t port) const
    {
        return {{0x7F110501, port}, route};
    }

    std::size_t count_broken(promise kind) const
    {
        std::size_t sum = 0;
        for (broken_promise const& one : this->checker.broken_promises())
            sum += one.kind == kind;
        return sum;
    }

    void expect_broken(promise kind, std::size_t times = 1)
    {
        UNSIGNED_LONGS_EQUAL(times, this->count_broken(kind));
        UNSIGNED_LONGS_EQUAL(times, this->checker.broken_promises().size());
    }

    void expect_no_broken_promise()
    {
        UNSIGNED_LONGS_EQUAL(0, this->checker.broken_promises().size());
    }
};

}  // namespace

// ---- requests -----------------------------------------------------------

SECTION(a_non_idempotent_request, a_promise_checker){};

TEST(a_non_idempotent_request, must_not_run_in_two_attempts)
{
    this->checker.on_request_run({7, 1}, false, this->start);
    this->expect_no_broken_promise();
    this->checker.on_request_run({7, 2}, false, this->start);
    this->expect_broken(promise::runs_once);
}

TEST(a_non_idempotent_request, may_run_again_if_it_is_declared_idempotent)
{
    this->checker.on_request_run({7, 1}, true, this->start);
    this->checker.on_request_run({7, 2}, true, this->start);
    this->expect_no_broken_promise();
}

SECTION(a_refused_request, a_promise_checker){};

TEST(a_refused_request, must_not_have_run)
{
    this->checker.on_request_run({7, 1}, true, this->start);
    this->checker.on_request_refused({7, 1}, this->start + 1ms);
    this->expect_broken(promise::refusals_are_true);
}

TEST(a_refused_request, must_not_run_later)
{
    this->checker.on_request_refused({7, 1}, this->start);
    this->checker.on_request_run({7, 1}, true, this->start + 1ms);
    this->expect_broken(promise::refusals_are_true);
}

TEST(a_refused_request, may_run_in_its_next_attempt)
{
    this->checker.on_request_refused({7, 1}, this->start);
    this->checker.on_request_run({7, 2}, false, this->start + 1ms);
    this->expect_no_broken_promise();
}

SECTION(an_answer, a_promise_checker){};

TEST(an_answer, must_be_complete)
{
    this->checker.on_request_answered({7, 1}, true, this->start);
    this->expect_no_broken_promise();
    this->checker.on_request_answered({7, 1}, false, this->start);
    this->expect_broken(promise::answers_are_whole);
}

// ---- connections --------------------------------------------------------

SECTION(an_opening_packet, a_promise_checker){};

TEST(an_opening_packet, must_not_reach_another_service)
{
    this->open_connection(this->endpoints, this->second_back_end,
                          this->start + 5s);
    this->expect_broken(promise::right_service);
}

TEST(an_opening_packet, must_have_been_sent_by_a_caller)
{
    this->checker.on_connection_accepted(this->endpoints, this->first_back_end,
                                         this->start + 5s);
    this->expect_broken(promise::packets_are_unaltered);
}

TEST(an_opening_packet, must_arrive_unaltered)
{
    this->checker.on_packet_altered(this->endpoints, this->start + 5s);
    this->expect_broken(promise::packets_are_unaltered);
}

namespace {

// A connection that is open at a running back end.
struct an_open_connection : a_promise_checker
{
    time_point opened = this->start + 10s;

    void setup() override
    {
        a_promise_checker::setup();
        this->open_connection(this->endpoints, this->first_back_end,
                              this->opened);
    }

    // Three packets reach another back end within 2.2 s, longer than the limit
    // of 2 s.
    void misroute_packets()
    {
        for (int i = 0; i < 3; ++i)
            this->checker.on_packet_misrouted(this->endpoints,
                                              this->opened + 1s + i * 1100ms);
    }
};

}  // namespace

SECTION(an_open_connection_of_the_soak, an_open_connection){};

TEST(an_open_connection_of_the_soak, must_not_be_reset)
{
    this->checker.on_connection_reset(this->endpoints, entry,
                                      this->opened + 1s);
    this->expect_broken(promise::open_connections_stay);
}

TEST(an_open_connection_of_the_soak, must_not_be_reset_during_planned_work)
{
    this->checker.record_disturbance(target, disturbance::planned,
                                     this->opened + 1s);
    this->checker.on_connection_reset(this->endpoints, entry,
                                      this->opened + 2s);
    this->expect_broken(promise::open_connections_stay);
}

TEST(an_open_connection_of_the_soak,
     may_be_reset_shortly_after_its_machine_failed)
{
    this->checker.record_disturbance(target, disturbance::unplanned,
                                     this->opened + 1s);
    this->checker.on_connection_reset(this->endpoints, entry,
                                      this->opened + 2s);
    this->expect_no_broken_promise();
    this->checker.on_connection_reset(this->endpoints, entry,
                                      this->opened + 5s);
    this->expect_broken(promise::open_connections_stay);
}

TEST(an_open_connection_of_the_soak, may_be_reset_after_its_back_end_ended)
{
    this->checker.on_back_end_ended(this->first_back_end);
    this->checker.on_connection_reset(this->endpoints, entry,
                                      this->opened + 1s);
    this->expect_no_broken_promise();
}

TEST(an_open_connection_of_the_soak, may_be_reset_after_its_route_was_removed)
{
    this->checker.on_routes_stored({this->opened + 1s, {}});
    this->checker.on_connection_reset(this->endpoints, entry,
                                      this->opened + 2s);
    this->expect_no_broken_promise();
}

TEST(an_open_connection_of_the_soak, must_not_have_its_packets_misrouted)
{
    this->misroute_packets();
    this->expect_broken(promise::packets_find_their_own);
}

TEST(an_open_connection_of_the_soak, may_have_a_few_packets_misrouted)
{
    this->checker.on_packet_misrouted(this->endpoints, this->opened + 1s);
    this->checker.on_packet_misrouted(this->endpoints, this->opened + 2s);
    this->checker.on_packet_delivered(this->endpoints, this->first_back_end,
                                      this->opened + 3s);
    this->checker.on_packet_misrouted(this->endpoints, this->opened + 4s);
    this->expect_no_broken_promise();
}

TEST(an_open_connection_of_the_soak,
     may_be_misrouted_by_an_entry_that_just_failed)
{
    this->checker.record_disturbance(entry, disturbance::unplanned,
                                     this->opened + 1s);
    this->misroute_packets();
    this->expect_no_broken_promise();
}

// Packets from before the machines had settled don't count afterwards.
TEST(an_open_connection_of_the_soak,
     may_be_misrouted_until_its_machines_have_settled)
{
    this->checker.record_disturbance(target, disturbance::unplanned,
                                     this->opened - 2500ms);
    this->misroute_packets();
    this->expect_no_broken_promise();
    this->checker.on_packet_misrouted(this->endpoints, this->opened + 4200ms);
    this->expect_broken(promise::packets_find_their_own);
}

// ---- leaving ------------------------------------------------------------

namespace {

struct a_leaving_back_end : a_promise_checker
{
    time_point leaving_at = this->start + 20s;

    void setup() override
    {
        a_promise_checker::setup();
        this->checker.on_back_end_leaving(this->first_back_end,
                                          this->leaving_at);
    }
};

}  // namespace

SECTION(a_leaving_back_end_of_the_soak, a_leaving_back_end){};

TEST(a_leaving_back_end_of_the_soak, must_get_no_connection_after_the_limit)
{
    this->open_connection(this->endpoints, this->first_back_end,
                          this->leaving_at + 2500ms);
    this->expect_no_broken_promise();
    this->open_connection(this->make_endpoints(2001), this->first_back_end,
                          this->leaving_at + 3100ms);
    this->expect_broken(promise::leaving_admits_nothing);
}

TEST(a_leaving_back_end_of_the_soak, may_get_a_connection_while_the_store_fails)
{
    this->checker.record_store_disturbance(this->leaving_at + 1s);
    this->open_connection(this->endpoints, this->first_back_end,
                          this->leaving_at + 3100ms);
    this->expect_no_broken_promise();
}

TEST(a_leaving_back_end_of_the_soak, may_get_a_connection_from_a_frozen_entry)
{
    this->checker.record_disturbance(entry, disturbance::unplanned,
                                     this->leaving_at + 1s);
    this->open_connection(this->endpoints, this->first_back_end,
                          this->leaving_at + 3100ms);
    this->expect_no_broken_promise();
}

// ---- the store ----------------------------------------------------------

namespace {

struct a_store_with_faults : Utest
{
    faulty_store<platform::fake_store> store{7};

    void put_evacuation(std::string const& name)
    {
        this->store.write([name](platform::fake_store& documents) {
            documents.put_evacuation(name);
        });
    }

    http_reply read() const
    {
        faulty_store<platform::fake_store> copy = this->store;
        return copy
            .answer({.method = "GET", .path = "/kv-range"}, 0, time_point{1s},
                    time_point{1s})
            .reply;
    }
};

}  // namespace

SECTION(a_store_that_returns_older, a_store_with_faults){};

// Guards against a fault after which no write is lost, or lost writes are never
// repeated.
TEST(a_store_that_returns_older, loses_writes_until_they_are_repeated)
{
    CHECK(this->store.keep_copy());
    CHECK(!this->store.keep_copy());
    this->put_evacuation("north");
    this->store.revert_to_copy();
    this->put_evacuation("south");
    CHECK(this->read().body.find("evacuate/north") == std::string::npos);
    STRCMP_EQUAL("1", this->read().header.value.c_str());
    this->store.write_lost();
    CHECK(this->read().body.find("evacuate/north") != std::string::npos);
    CHECK(this->read().body.find("evacuate/south") != std::string::npos);
    CHECK(this->store.keep_copy());
}

// ---- evacuation ---------------------------------------------------------

namespace {

// The data centre of the first back end is evacuated; a packet through the
// other entry has made that entry known.
struct an_evacuated_data_centre : a_promise_checker
{
    time_point evacuated_at = this->start + 20s;

    void setup() override
    {
        a_promise_checker::setup();
        this->open_connection(this->make_endpoints(1999), this->first_back_end,
                              this->start + 1s, other_entry);
        this->checker.on_evacuation_stored("north", this->evacuated_at);
    }

    void open_late(std::uint16_t port = 2001)
    {
        this->open_connection(this->make_endpoints(port), this->first_back_end,
                              this->evacuated_at + 3100ms);
    }
};

}  // namespace

SECTION(an_evacuated_data_centre_of_the_soak, an_evacuated_data_centre){};

TEST(an_evacuated_data_centre_of_the_soak, must_get_nothing_new_after_the_limit)
{
    this->open_connection(this->endpoints, this->first_back_end,
                          this->evacuated_at + 2900ms);
    this->expect_no_broken_promise();
    this->open_late();
    this->expect_broken(promise::evacuated_admits_nothing);
}

TEST(an_evacuated_data_centre_of_the_soak, may_get_connections_after_its_end)
{
    this->checker.on_evacuation_removed("north");
    this->open_late();
    this->expect_no_broken_promise();
}

TEST(an_evacuated_data_centre_of_the_soak, leaves_the_others_in_use)
{
    this->checker.on_evacuation_removed("north");
    this->checker.on_evacuation_stored("south", this->evacuated_at);
    this->open_late();
    this->expect_no_broken_promise();
}

TEST(an_evacuated_data_centre_of_the_soak, is_excused_while_the_store_fails)
{
    this->checker.record_store_disturbance(this->evacuated_at + 1s);
    this->open_late();
    this->expect_no_broken_promise();
}

TEST(an_evacuated_data_centre_of_the_soak, is_excused_for_a_frozen_entry)
{
    this->checker.record_disturbance(entry, disturbance::unplanned,
                                     this->evacuated_at + 1s);
    this->open_late();
    this->expect_no_broken_promise();
}

// Guards against excusing an entry that its peers must tell.
TEST(an_evacuated_data_centre_of_the_soak, is_known_from_peers)
{
    this->checker.record_disturbance(entry, disturbance::store_refused,
                                     this->evacuated_at + 1s);
    this->open_late();
    this->expect_broken(promise::evacuated_admits_nothing);
}

TEST(an_evacuated_data_centre_of_the_soak, is_unknown_without_store_and_peers)
{
    this->checker.record_disturbance(entry, disturbance::store_refused,
                                     this->evacuated_at + 1s);
    this->checker.record_disturbance(other_entry, disturbance::unplanned,
                                     this->evacuated_at + 1s);
    this->open_late();
    this->expect_no_broken_promise();
}

// ---- routes -------------------------------------------------------------

namespace {

// The route has moved from one service to another.
struct a_moved_route : a_promise_checker
{
    time_point moved = this->start + 30s;

    void setup() override
    {
        a_promise_checker::setup();
        this->store_route("members", this->moved);
    }
};

}  // namespace

SECTION(a_moved_route_of_the_soak, a_moved_route){};

TEST(a_moved_route_of_the_soak, is_in_force_after_the_limit)
{
    this->open_connection(this->endpoints, this->first_back_end,
                          this->moved + 2900ms);
    this->expect_no_broken_promise();
    this->open_connection(this->make_endpoints(2001), this->first_back_end,
                          this->moved + 3100ms);
    this->expect_broken(promise::routes_in_force);
}

TEST(a_moved_route_of_the_soak, is_excused_while_the_store_fails)
{
    this->checker.record_store_disturbance(this->moved + 1s);
    this->open_connection(this->endpoints, this->first_back_end,
                          this->moved + 3100ms);
    this->expect_no_broken_promise();
    this->open_connection(this->make_endpoints(2001), this->first_back_end,
                          this->moved + 5100ms);
    this->expect_broken(promise::routes_in_force);
}

TEST(a_moved_route_of_the_soak, never_reverts_at_an_entry)
{
    this->open_connection(this->endpoints, this->second_back_end,
                          this->moved + 1s);
    this->open_connection(this->make_endpoints(2001), this->first_back_end,
                          this->moved + 1200ms);
    this->expect_no_broken_promise();
    this->open_connection(this->make_endpoints(2002), this->first_back_end,
                          this->moved + 1300ms);
    this->expect_broken(promise::routes_never_back);
}

TEST(a_moved_route_of_the_soak, may_reach_one_entry_before_another)
{
    this->open_connection(this->endpoints, this->second_back_end,
                          this->moved + 1s);
    this->open_connection(this->make_endpoints(2001), this->first_back_end,
                          this->moved + 2s, other_entry);
    this->expect_no_broken_promise();
}

TEST(a_moved_route_of_the_soak, may_revert_in_a_process_that_restarted)
{
    this->open_connection(this->endpoints, this->second_back_end,
                          this->moved + 1s);
    this->checker.on_process_started(entry);
    this->open_connection(this->make_endpoints(2001), this->first_back_end,
                          this->moved + 2s);
    this->expect_no_broken_promise();
}

TEST(a_moved_route_of_the_soak, is_not_checked_by_packets_of_two_entries)
{
    this->open_connection(this->endpoints, this->second_back_end,
                          this->moved + 1s);
    this->checker.on_packet_sent(this->make_endpoints(2001), entry, true,
                                 this->moved + 2s);
    this->checker.on_packet_sent(this->make_endpoints(2001), other_entry, true,
                                 this->moved + 2s);
    this->checker.on_connection_accepted(
        this->make_endpoints(2001), this->first_back_end, this->moved + 2s);
    this->expect_no_broken_promise();
}

// ---- processes ----------------------------------------------------------

SECTION(a_process_of_the_soak, a_promise_checker){};

TEST(a_process_of_the_soak, must_not_exit_by_itself)
{
    this->checker.on_process_exited(entry, "signal 11", this->start);
    this->expect_broken(promise::stays_up);
}

TEST(a_process_of_the_soak, must_stop_in_time)
{
    this->checker.on_process_stopped(entry, 5900ms, this->start);
    this->expect_no_broken_promise();
    this->checker.on_process_stopped(entry, 6100ms, this->start);
    this->expect_broken(promise::stops_in_time);
}

SECTION(a_restart_of_all_processes, a_promise_checker){};

TEST(a_restart_of_all_processes, must_serve_requests_within_the_limit)
{
    time_point const restarted_at = this->start + 10s;
    this->checker.on_all_killed(restarted_at);
    for (int i = 0; i < 8; ++i)
        this->checker.on_request_ended(restarted_at + 13s, i == 0);
    this->checker.finish(restarted_at + 17s);
    this->expect_broken(promise::back_in_time);
}

// A pause of the soak itself delays recovery and isn't a fault of the programs
// under test.
TEST(a_restart_of_all_processes, is_checked_later_when_the_soak_stalls)
{
    time_point const restarted_at = this->start + 10s;
    this->checker.on_all_killed(restarted_at);
    this->checker.on_stall(4, restarted_at + 8s);
    this->checker.on_request_ended(restarted_at + 13s, false);
    this->checker.finish(restarted_at + 17s);
    this->expect_no_broken_promise();
    this->checker.on_request_ended(restarted_at + 21s, false);
    this->checker.finish(restarted_at + 25s);
    this->expect_broken(promise::back_in_time);
}

TEST(a_restart_of_all_processes, must_serve_a_quarter_of_the_requests)
{
    time_point const restarted_at = this->start + 10s;
    this->checker.on_all_killed(restarted_at);
    this->checker.on_request_ended(restarted_at + 11s, false);
    for (int i = 0; i < 8; ++i)
        this->checker.on_request_ended(restarted_at + 13s, i < 2);
    this->checker.finish(restarted_at + 17s);
    this->expect_no_broken_promise();
}

// ---- callers and back ends ----------------------------------------------

namespace {

// A caller and a back end that are connected directly.
struct a_connected_pair : a_promise_checker
{
    std::vector<soak_route> const routes{{route, 2s, false, 3000, 2, 1}};
    caller_pool callers{1, {{0x7F110501, 0}}, this->routes, this->checker};
    soak_back_end back_end{
        this->first_back_end, 1, {}, this->checker, this->start};
    time_point now = this->start + 10s;
    bool is_losing_answers = false;

    // Delivers packets in both directions until there are none left.
    void deliver(soak_packets in)
    {
        while (!in.empty()) {
            soak_packets next;
            for (soak_packet const& packet : in) {
                this->checker.on_packet_sent(packet.endpoints, entry,
                                             packet.is_opening, this->now);
                for (soak_packet const& answer :
                     this->back_end.handle_packet(packet, this->now))
                    this->deliver_answer(answer, next);
            }
            in = next;
        }
    }

    void deliver_answer(soak_packet const& packet, soak_packets& next)
    {
        if (this->is_losing_answers && !packet.data.empty())
            return;
        for (soak_packet const& one :
             this->callers.handle_packet(packet, target, this->now))
            next.push_back(one);
    }

    void advance(duration span)
    {
        for (duration step{}; step < span; step += 10ms) {
            this->now += 10ms;
            soak_packets next;
            for (soak_packet const& packet : this->back_end.tick(this->now))
                this->deliver_answer(packet, next);
            this->deliver(next);
            this->deliver(this->callers.tick(this->now));
        }
    }
};

}  // namespace

SECTION(a_caller_and_a_back_end, a_connected_pair){};

TEST(a_caller_and_a_back_end, complete_their_requests_and_connection)
{
    this->deliver(this->callers.start_request(this->now));
    this->advance(3s);
    UNSIGNED_LONGS_EQUAL(2, this->checker.get_served_count());
    UNSIGNED_LONGS_EQUAL(0, this->checker.get_failed_count());
    UNSIGNED_LONGS_EQUAL(0, this->callers.get_connection_count());
    this->expect_no_broken_promise();
}

TEST(a_caller_and_a_back_end, recover_from_lost_answers)
{
    this->is_losing_answers = true;
    this->deliver(this->callers.start_request(this->now));
    this->advance(300ms);
    this->is_losing_answers = false;
    this->advance(3s);
    UNSIGNED_LONGS_EQUAL(2, this->checker.get_served_count());
    this->expect_no_broken_promise();
}

TEST(a_caller_and_a_back_end, close_with_an_answer_when_the_back_end_leaves)
{
    this->deliver(this->callers.start_request(this->now));
    this->back_end.start_leaving();
    this->advance(2s);
    UNSIGNED_LONGS_EQUAL(1, this->checker.get_served_count());
    UNSIGNED_LONGS_EQUAL(0, this->callers.get_connection_count());
}

// A delayed copy of the opening packet may be answered with a reset after the
// connection has opened.
TEST(a_caller_and_a_back_end, ignore_a_reset_outside_the_window)
{
    soak_packets const opening = this->callers.start_request(this->now);
    this->deliver(opening);
    soak_packet reset{.endpoints = opening.front().endpoints,
                      .is_from_caller = false,
                      .is_reset = true,
                      .is_genuine = false};
    this->callers.handle_packet(reset, entry, this->now);
    this->expect_no_broken_promise();
    UNSIGNED_LONGS_EQUAL(1, this->callers.get_connection_count());
}

TEST(a_caller_and_a_back_end, return_packets_of_unknown_connections)
{
    soak_packet const lost{.endpoints = this->make_endpoints(9), .data = "x"};
    soak_packets const back = this->back_end.handle_packet(lost, this->now);
    UNSIGNED_LONGS_EQUAL(1, back.size());
    CHECK(back.front().is_returned && back.front().is_from_caller);
}

// ---- packets and plans --------------------------------------------------

SECTION(a_packet_of_the_soak, a_promise_checker){};

TEST(a_packet_of_the_soak, is_read_as_it_was_written)
{
    soak_packet const packet{.endpoints = this->endpoints,
                             .has_acknowledgement = true,
                             .is_finishing = true,
                             .sequence = 17,
                             .acknowledgement = 18,
                             .data = "some data"};
    std::string const bytes = platform::fake_packets::write(packet);
    CHECK(platform::fake_packets::parse(bytes, true) == packet);
}

TEST(a_packet_of_the_soak, is_detected_as_altered)
{
    std::string bytes = platform::fake_packets::write(
        {.endpoints = this->endpoints, .data = "some data"});
    bytes.back() = 'b';
    CHECK(!platform::fake_packets::parse(bytes, true)->is_genuine);
}

SECTION(a_plan_of_the_soak, Utest){};

TEST(a_plan_of_the_soak, is_the_same_for_the_same_seed)
{
    CHECK(generate_plan(7, 60s, 16) == generate_plan(7, 60s, 16));
    CHECK(generate_plan(7, 60s, 16) != generate_plan(8, 60s, 16));
}

TEST(a_plan_of_the_soak, is_read_as_it_was_written)
{
    soak_plan const plan = generate_plan(7, 60s, 16);
    json_checker checker{"plan"};
    std::optional<soak_plan> const read = parse_plan(checker, write_plan(plan));
    CHECK(read.has_value());
    // Times are rounded to milliseconds and shares to per mille.
    STRCMP_EQUAL(write_plan(plan).c_str(), write_plan(*read).c_str());
}

TEST(a_plan_of_the_soak, reports_each_error)
{
    json_checker checker{"plan"};
    CHECK(!parse_plan(checker, R"({"seed": 1, "length_ms": 1000, "entries": 2,
        "targets": 3, "faults": [{"at_ms": 1, "span_ms": 1,
        "kind": "flood", "machine": 9}]})"));
    UNSIGNED_LONGS_EQUAL(2, checker.problems().size());
}

TEST(a_plan_of_the_soak, is_reduced_by_halves_and_by_quarters)
{
    soak_plan plan{.entries = 1, .targets = 1};
    for (std::size_t i = 0; i < 4; ++i)
        plan.faults.push_back({.at = std::chrono::seconds{i}});
    std::vector<soak_plan> const parts = make_reduced_plans(plan);
    UNSIGNED_LONGS_EQUAL(6, parts.size());
    UNSIGNED_LONGS_EQUAL(2, parts.front().faults.size());
    UNSIGNED_LONGS_EQUAL(3, parts.back().faults.size());
    CHECK(make_reduced_plans(parts.front()).size() == 2);
}
