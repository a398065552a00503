#include "story.hpp"
#include "target/connection_target.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

peer_address const entry{0x0A010001, 7280};
peer_address const other_entry{0x0A010002, 7280};
peer_address const route{0xC6120001, 443};
constexpr std::uint32_t first_sequence = 5'000'000;  // of the back end

connection_endpoints ends_of(std::uint16_t port)
{
    return {{0x64400001, port}, route};
}

// A target with two slots, driven packet by packet.
struct a_connection_target : Utest
{
    time_point now{100s};
    service_id members = service_named("members");
    connection_target<> role{this->settings(), this->now};
    connection_target_effects effects = {};
    std::uint32_t last_question = 0;

    connection_target_settings settings() const
    {
        return {.service = service_named("members"),
                .admission = {.slots = 2,
                              .ahead = 0,
                              .on_the_way = 12ms,
                              .most_waiting_share = 0.5},
                .knows_all = true};
    }

    void feed(connection_target_event const& event, duration after = 0ms)
    {
        this->now += after;
        this->effects = this->role.on(event, this->now);
    }

    connection_packet opening(std::uint16_t port, std::uint8_t copy = 0) const
    {
        connection_packet packet{};
        packet.endpoints = ends_of(port);
        packet.is_opening = true;
        packet.retransmission_count = copy;
        packet.bytes = "open " + std::to_string(port);
        return packet;
    }

    connection_packet data(std::uint16_t port) const
    {
        connection_packet packet{};
        packet.endpoints = ends_of(port);
        packet.sequence = 1;
        packet.acknowledgement = first_sequence + 1;
        packet.data_size = 100;
        packet.bytes = "data " + std::to_string(port);
        return packet;
    }

    request_terms terms(duration age = 0ms) const
    {
        return {route, 100ms, 1s, 2, age};
    }

    void offer_open(std::uint16_t port, bool insists = false,
                    duration age = 0ms)
    {
        this->feed(offer_from_entry{entry,
                                    {{++this->last_question},
                                     this->members,
                                     2,
                                     insists,
                                     this->terms(age),
                                     {}},
                                    this->opening(port)});
    }

    void offer_data(std::uint16_t port, bool asks = false, bool insists = false)
    {
        question_id const question{asks ? ++this->last_question : 0};
        this->feed(
            offer_from_entry{entry,
                             {question, this->members, 0, insists, {}, {}},
                             this->data(port)});
    }

    void accept(std::uint16_t port, duration after = 0ms)
    {
        connection_packet packet{};
        packet.endpoints = ends_of(port);
        packet.is_accepting = true;
        packet.sequence = first_sequence;
        this->feed(packet_from_back_end{packet}, after);
    }

    void answer(std::uint16_t port, duration after)
    {
        connection_packet packet{};
        packet.endpoints = ends_of(port);
        packet.is_finishing = true;
        packet.sequence = first_sequence + 1;
        packet.acknowledgement = 101;
        packet.data_size = 1000;
        this->feed(packet_from_back_end{packet}, after);
    }

    void run_request(std::uint16_t port)
    {
        this->offer_open(port);
        this->accept(port);
        this->offer_data(port);
    }

    template <class Effect> std::size_t count() const
    {
        std::size_t sum = 0;
        for (connection_target_effect const& one : this->effects)
            sum += std::holds_alternative<Effect>(one);
        return sum;
    }

    std::optional<offer_answer> told() const
    {
        for (connection_target_effect const& one : this->effects)
            if (auto const* answer = std::get_if<answer_entry>(&one))
                return answer->answer;
        return std::nullopt;
    }

    bool tells(offer_verdict verdict) const
    {
        std::optional<offer_answer> const answer = this->told();
        return answer && answer->verdict == verdict;
    }

    bool gives(std::string const& bytes) const
    {
        for (connection_target_effect const& one : this->effects)
            if (auto const* sent = std::get_if<send_to_back_end>(&one))
                if (sent->bytes == bytes)
                    return true;
        return false;
    }
};

}  // namespace

SECTION(a_target_of_connections, a_connection_target){};

TEST(a_target_of_connections, gives_its_back_end_an_opening_packet)
{
    this->offer_open(1);
    CHECK(this->gives("open 1"));
    CHECK(this->tells(offer_verdict::taken));
    UNSIGNED_LONGS_EQUAL(1, this->told()->load);
}

TEST(a_target_of_connections, refuses_what_is_meant_for_another_service)
{
    this->feed(offer_from_entry{
        entry,
        {{1}, service_named("archive"), 2, true, this->terms(), {}},
        this->opening(1)});
    CHECK(this->tells(offer_verdict::wrong_service));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
}

TEST(a_target_of_connections, sends_answers_straight_to_the_caller)
{
    this->run_request(1);
    this->answer(1, 13ms);
    UNSIGNED_LONGS_EQUAL(1, this->count<pass_to_caller>());
}

namespace {

// ---- slots --------------------------------------------------------------

struct a_full_target : a_connection_target
{
    void setup() override
    {
        this->run_request(1);
        this->run_request(2);
    }
};

}  // namespace

SECTION(a_target_with_every_slot_taken, a_full_target){};

TEST(a_target_with_every_slot_taken, says_that_it_is_busy)
{
    this->offer_open(3);
    CHECK(this->tells(offer_verdict::busy));
    UNSIGNED_LONGS_EQUAL(2, this->told()->load);
}

TEST(a_target_with_every_slot_taken, queues_a_packet_that_must_go_somewhere)
{
    this->offer_open(3, true);
    CHECK(this->tells(offer_verdict::waiting));
    CHECK(!this->gives("open 3"));
}

TEST(a_target_with_every_slot_taken, keeps_serving_the_connections_it_has)
{
    this->offer_data(1);
    CHECK(this->gives("data 1"));
}

TEST(a_target_with_every_slot_taken, frees_a_slot_with_the_answer)
{
    this->offer_open(3, true);
    this->answer(1, 13ms);
    CHECK(this->gives("open 3"));
}

// A caller that gave up says nothing; its slot comes back by time.
TEST(a_target_with_every_slot_taken, frees_a_slot_whose_caller_never_answers)
{
    this->answer(1, 13ms);
    this->offer_open(3);
    this->accept(3);
    this->offer_open(4, true);
    this->feed(clock_tick{}, 90ms);
    CHECK(this->gives("open 4"));
}

namespace {

struct a_target_with_a_queue : a_full_target
{
    void setup() override
    {
        this->a_full_target::setup();
        this->offer_open(3, true);
        this->offer_open(4, true);
    }
};

}  // namespace

SECTION(requests_that_wait, a_target_with_a_queue){};

TEST(requests_that_wait, start_in_the_order_of_their_latest_start)
{
    this->answer(1, 13ms);
    CHECK(this->gives("open 3"));
    this->answer(2, 1ms);
    CHECK(this->gives("open 4"));
}

TEST(requests_that_wait, are_known_by_copies_of_their_opening_packet)
{
    this->feed(
        offer_from_entry{other_entry,
                         {{99}, this->members, 2, true, this->terms(), {}},
                         this->opening(3, 1)});
    CHECK(this->tells(offer_verdict::waiting));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
}

// The crowd after an outage: what is late already yields to what is not.
TEST(requests_that_wait, go_after_a_new_one_once_they_are_late)
{
    this->now += 120ms;
    this->offer_open(5, true);
    this->answer(1, 0ms);
    CHECK(this->gives("open 5"));
}

TEST(requests_that_wait, are_refused_when_no_slot_can_serve_them_in_time)
{
    this->feed(clock_tick{}, 990ms);
    std::size_t refused = 0;
    for (connection_target_effect const& one : this->effects)
        if (auto const* told = std::get_if<answer_entry>(&one))
            refused += told->answer.verdict == offer_verdict::refused &&
                       !told->answer.bytes.empty();
    UNSIGNED_LONGS_EQUAL(2, refused);
}

TEST(requests_that_wait, are_refused_on_arrival_past_half_of_their_time)
{
    for (std::uint16_t port = 10; port < 70; ++port)
        this->offer_open(port, true);
    this->offer_open(99, true, 900ms);
    CHECK(this->tells(offer_verdict::refused));
}

namespace {

// ---- the back end -------------------------------------------------------

struct a_target_with_a_silent_back_end : a_connection_target
{
    void setup() override
    {
        this->offer_open(1);
        this->feed(clock_tick{}, 20ms);
    }
};

}  // namespace

SECTION(a_back_end_that_stays_silent, a_target_with_a_silent_back_end){};

TEST(a_back_end_that_stays_silent, has_its_opening_packet_handed_back)
{
    CHECK(this->tells(offer_verdict::no_answer));
    STRCMP_EQUAL("open 1", this->told()->bytes.c_str());
}

TEST(a_back_end_that_stays_silent, is_given_no_more_for_a_while)
{
    this->offer_open(2);
    CHECK(this->tells(offer_verdict::no_answer));
    CHECK(!this->gives("open 2"));
}

TEST(a_back_end_that_stays_silent, is_tried_again_after_the_interval)
{
    this->now += trial_interval;
    this->offer_open(2);
    CHECK(this->gives("open "
                      "2"));
}

TEST(a_back_end_that_stays_silent, is_used_again_once_it_is_heard)
{
    this->accept(1);
    this->offer_open(2);
    CHECK(this->gives("op"
                      "en"
                      " "
                      "2"));
}

SECTION(a_back_end_that_returns_packets, a_connection_target){};

TEST(a_back_end_that_returns_packets, has_an_opening_packet_placed_elsewhere)
{
    this->offer_open(1);
    this->feed(packet_returned{this->opening(1)}, 1ms);
    CHECK(this->tells(offer_verdict::no_answer));
    STRCMP_EQUAL("op"
                 "en"
                 " "
                 "1",
                 this->told()->bytes.c_str());
    UNSIGNED_LONGS_EQUAL(0, this->role.connections());
}

// It held the connection before: it has restarted, and the caller can't go on.
TEST(a_back_end_that_returns_packets, has_lost_the_connections_that_it_held)
{
    this->run_request(1);
    this->feed(packet_returned{this->data(1)}, 5ms);
    UNSIGNED_LONGS_EQUAL(1, this->count<reset_connection>());
}

// ---- ownership ----------------------------------------------------------

SECTION(packets_of_open_connections, a_connection_target){};

TEST(packets_of_open_connections, belong_elsewhere_when_they_are_unknown)
{
    this->offer_data(7, true);
    CHECK(this->tells(offer_verdict::not_owner));
    CHECK(!this->gives("data 7"));
}

// Two targets accepted copies of one opening packet; the caller goes on with
// the other.
TEST(packets_of_open_connections, belong_elsewhere_by_what_they_acknowledge)
{
    this->offer_open(1);
    this->accept(1);
    connection_packet packet = this->data(1);
    packet.acknowledgement = first_sequence + 10'000'000;
    this->feed(
        offer_from_entry{entry, {{5}, this->members, 0, true, {}, {}}, packet});
    CHECK(this->tells(offer_verdict::not_owner));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
}

namespace {

struct a_restarted_target : a_connection_target
{
    void setup() override
    {
        connection_target_settings settings = this->settings();
        settings.knows_all = false;
        this->role = connection_target<>{settings, this->now};
    }
};

}  // namespace

SECTION(a_target_that_has_restarted, a_restarted_target){};

TEST(a_target_that_has_restarted, says_that_it_isnt_sure)
{
    this->offer_data(7, true);
    CHECK(this->tells(offer_verdict::unsure));
    CHECK(!this->gives("data 7"));
}

TEST(a_target_that_has_restarted, asks_its_back_end_when_nobody_else_knows)
{
    this->offer_data(7, true, true);
    CHECK(this->gives("data 7"));
}

TEST(a_target_that_has_restarted, adopts_what_its_back_end_goes_on_with)
{
    this->offer_data(7, true, true);
    this->answer(7, 2ms);
    this->offer_data(7, true);
    CHECK(this->tells(offer_verdict::taken));
}

TEST(a_target_that_has_restarted, lets_its_back_end_go_on_after_a_late_copy)
{
    this->offer_open(1);
    this->offer_data(1);
    UNSIGNED_LONGS_EQUAL(1, this->count<send_to_back_end>());
}

TEST(a_target_that_has_restarted, passes_on_no_reset_of_its_own)
{
    this->offer_data(7, true, true);
    this->feed(packet_returned{this->data(7)}, 1ms);
    UNSIGNED_LONGS_EQUAL(0, this->count<reset_connection>());
    CHECK(this->tells(offer_verdict::not_owner));
}

TEST(a_target_that_has_restarted, knows_all_after_the_longest_connection)
{
    this->now += 61s;
    this->offer_data(7, true);
    CHECK(this->tells(offer_verdict::not_owner));
}

namespace {

// ---- stopping -----------------------------------------------------------

struct a_stopping_target : a_connection_target
{
    void setup() override
    {
        this->run_request(1);
        this->feed(stop_asked{});
    }
};

}  // namespace

SECTION(a_target_that_stops, a_stopping_target){};

TEST(a_target_that_stops, takes_nothing_new)
{
    this->offer_open(2);
    CHECK(this->tells(offer_verdict::leaving));
}

TEST(a_target_that_stops, stays_for_the_connections_it_has)
{
    this->offer_data(1);
    CHECK(this->gives("data 1"));
    CHECK(!this->role.may_stop(this->now));
}

TEST(a_target_that_stops, goes_when_they_are_quiet)
{
    CHECK(this->role.may_stop(this->now + 700ms));
}

TEST(a_target_that_stops, goes_at_its_limit_all_the_same)
{
    this->now += 5100ms;
    this->offer_data(1);
    CHECK(this->role.may_stop(this->now));
}

// ---- a back end that fails ----------------------------------------------

namespace {

struct a_failing_back_end : a_connection_target
{
    // The back end breaks a request off.
    void fail(std::uint16_t port)
    {
        this->run_request(port);
        connection_packet packet{};
        packet.endpoints = ends_of(port);
        packet.is_reset = true;
        packet.sequence = first_sequence + 1;
        this->feed(packet_from_back_end{packet}, 5ms);
    }

    // Or answers that it failed, or that it is full.
    void answer_failure(std::uint16_t port,
                        answer_report report = answer_report::failed)
    {
        this->run_request(port);
        connection_packet packet{};
        packet.endpoints = ends_of(port);
        packet.sequence = first_sequence + 1;
        packet.data_size = 100;
        this->feed(packet_from_back_end{packet, report}, 5ms);
    }

    std::size_t notes(tracking_result result) const
    {
        std::size_t sum = 0;
        for (connection_target_effect const& one : this->effects)
            if (auto const* note = std::get_if<tracking_note>(&one))
                sum += note->result == result;
        return sum;
    }
};

}  // namespace

SECTION(a_back_end_that_fails_requests, a_failing_back_end){};

TEST(a_back_end_that_fails_requests, is_offered_no_more_of_them)
{
    this->fail(1);
    this->answer_failure(2);
    UNSIGNED_LONGS_EQUAL(1, this->notes(tracking_result::unwell));
    this->offer_open(3);
    CHECK(this->tells(offer_verdict::busy));
    // As if four requests waited for each of its slots.
    UNSIGNED_LONGS_EQUAL(8, this->told()->load);
}

TEST(a_back_end_that_fails_requests,
     may_also_say_that_it_is_full_with_free_slots)
{
    this->answer_failure(1, answer_report::full);
    this->answer_failure(2, answer_report::full);
    this->offer_open(3);
    CHECK(this->tells(offer_verdict::busy));
}

TEST(a_back_end_that_fails_requests, is_not_one_that_is_full_indeed)
{
    for (std::uint16_t port = 11; port < 14; ++port) {
        this->offer_open(port, true);
        this->accept(port);
        this->offer_data(port);
    }
    this->answer_failure(1, answer_report::full);
    this->answer_failure(2, answer_report::full);
    UNSIGNED_LONGS_EQUAL(0, this->notes(tracking_result::unwell));
}

TEST(a_back_end_that_fails_requests, takes_them_when_there_is_nobody_else)
{
    this->fail(1);
    this->fail(2);
    this->offer_open(3, true);
    CHECK(this->tells(offer_verdict::taken));
}

// Packets of one moment may change places on the way.
TEST(a_back_end_that_fails_requests, is_not_one_whose_answers_end_comes_first)
{
    for (std::uint16_t port = 1; port < 9; ++port) {
        this->run_request(port);
        connection_packet end{};
        end.endpoints = ends_of(port);
        end.is_finishing = true;
        end.sequence = first_sequence + 1001;
        this->feed(packet_from_back_end{end}, 5ms);
        UNSIGNED_LONGS_EQUAL(0, this->notes(tracking_result::unwell));
        this->answer(port, 0ms);
    }
    this->offer_open(9);
    CHECK(this->tells(offer_verdict::taken));
}

TEST(a_back_end_that_fails_requests, is_tried_with_one_at_a_time)
{
    this->fail(1);
    this->fail(2);
    this->feed(clock_tick{}, 250ms);
    this->offer_open(3);
    CHECK(this->tells(offer_verdict::taken));
    this->feed(clock_tick{}, 60ms);
    this->offer_open(4);
    CHECK(this->tells(offer_verdict::busy));
}

TEST(a_back_end_that_fails_requests, is_not_tried_with_what_may_run_once)
{
    this->fail(1);
    this->fail(2);
    this->feed(clock_tick{}, 250ms);
    request_terms terms = this->terms();
    terms.may_repeat = false;
    this->feed(offer_from_entry{
        entry, {{99}, this->members, 2, false, terms, {}}, this->opening(3)});
    CHECK(this->tells(offer_verdict::busy));
}

TEST(a_back_end_that_fails_requests, is_used_again_when_it_answers)
{
    this->fail(1);
    this->fail(2);
    for (std::uint16_t port = 3; port < 6; ++port) {
        this->feed(clock_tick{}, 250ms);
        this->run_request(port);
        this->answer(port, 10ms);
    }
    UNSIGNED_LONGS_EQUAL(1, this->notes(tracking_result::well));
    this->offer_open(7);
    CHECK(this->tells(offer_verdict::taken));
    UNSIGNED_LONGS_EQUAL(1, this->told()->load);
}

TEST(a_back_end_that_fails_requests, is_noticed_while_a_request_is_stuck)
{
    this->run_request(1);
    this->feed(clock_tick{}, 290ms);
    this->offer_open(2);
    CHECK(this->tells(offer_verdict::taken));
    this->accept(2);
    this->feed(clock_tick{}, 20ms);
    this->offer_open(3);
    CHECK(this->tells(offer_verdict::busy));
    CHECK(this->told()->load > 8);
}

TEST(a_back_end_that_fails_requests, is_unwell_after_two_were_never_answered)
{
    this->run_request(1);
    this->run_request(2);
    this->feed(clock_tick{}, 1001ms);
    UNSIGNED_LONGS_EQUAL(1, this->notes(tracking_result::unwell));
}

// ---- two back ends that accept one opening packet -----------------------

namespace {

// This back end is slow to accept; the caller goes on with another one.
struct a_second_acceptor : a_connection_target
{
    connection_packet data_for_another() const
    {
        connection_packet packet = this->data(1);
        packet.acknowledgement = 77'000'001;
        return packet;
    }

    void offer(connection_packet const& packet, bool asks)
    {
        question_id const question{asks ? ++this->last_question : 0};
        this->feed(offer_from_entry{
            entry, {question, this->members, 0, false, {}, {}}, packet});
    }
};

}  // namespace

SECTION(a_target_whose_back_end_accepts_late, a_second_acceptor){};

// All that a back end sends passes its target, its acceptance first: nothing
// that answers an acceptance can be for one that has sent none.
TEST(a_target_whose_back_end_accepts_late, owns_nothing_before_it_has_accepted)
{
    this->offer_open(1);
    this->offer(this->data_for_another(), false);
    CHECK(this->tells(offer_verdict::not_owner));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
}

TEST(a_target_whose_back_end_accepts_late, never_resets_what_another_one_holds)
{
    this->offer_open(1);
    this->accept(1, 100ms);
    this->feed(packet_returned{this->data_for_another()}, 1ms);
    UNSIGNED_LONGS_EQUAL(0, this->count<reset_connection>());
    CHECK(this->tells(offer_verdict::not_owner));
}

TEST(a_target_whose_back_end_accepts_late, owns_it_once_the_caller_goes_on_here)
{
    this->offer_open(1);
    this->accept(1, 100ms);
    this->offer(this->data(1), false);
    UNSIGNED_LONGS_EQUAL(1, this->count<send_to_back_end>());
}
