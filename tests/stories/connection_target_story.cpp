#include "story.hpp"
#include "target/connection_target.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

peer_address const entry{0x0A010001, 7280};
peer_address const other_entry{0x0A010002, 7280};
peer_address const route{0xC6120001, 443};
constexpr std::uint32_t first_sequence = 5'000'000;  // of the back end

connection_endpoints make_endpoints(std::uint16_t port)
{
    return {{0x64400001, port}, route};
}

// One target with two slots, driven by events.
struct a_connection_target : Utest
{
    time_point now{100s};
    service_id members = make_service_id("members");
    connection_target<> role{this->make_settings(), this->now};
    connection_target_effects effects = {};
    std::uint32_t last_query = 0;

    connection_target_settings make_settings() const
    {
        return {.service = make_service_id("members"),
                .admission = {.slots = 2,
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

    connection_packet make_opening(std::uint16_t port,
                                   std::uint8_t copy = 0) const
    {
        connection_packet packet{};
        packet.endpoints = make_endpoints(port);
        packet.is_opening = true;
        packet.retransmission_count = copy;
        packet.bytes = "open " + std::to_string(port);
        return packet;
    }

    connection_packet make_data(std::uint16_t port) const
    {
        connection_packet packet{};
        packet.endpoints = make_endpoints(port);
        packet.sequence = 1;
        packet.acknowledgement = first_sequence + 1;
        packet.data_size = 100;
        packet.bytes = "data " + std::to_string(port);
        return packet;
    }

    request_attributes make_attributes(duration age = 0ms) const
    {
        return {route, 100ms, 1s, 2, age};
    }

    void offer_open(std::uint16_t port, bool is_last_resort = false,
                    duration age = 0ms)
    {
        this->feed(entry_offer{entry,
                               {{++this->last_query},
                                this->members,
                                2,
                                is_last_resort,
                                this->make_attributes(age),
                                {}},
                               this->make_opening(port)});
    }

    void offer_data(std::uint16_t port, bool has_query = false,
                    bool is_last_resort = false)
    {
        query_id const query{has_query ? ++this->last_query : 0};
        this->feed(
            entry_offer{entry,
                        {query, this->members, 0, is_last_resort, {}, {}},
                        this->make_data(port)});
    }

    void accept(std::uint16_t port, duration after = 0ms)
    {
        connection_packet packet{};
        packet.endpoints = make_endpoints(port);
        packet.is_accepting = true;
        packet.sequence = first_sequence;
        this->feed(packet_from_back_end{packet}, after);
    }

    void answer(std::uint16_t port, duration after)
    {
        connection_packet packet{};
        packet.endpoints = make_endpoints(port);
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

    std::optional<offer_reply> find_reply() const
    {
        for (connection_target_effect const& one : this->effects)
            if (auto const* answer = std::get_if<reply_to_entry>(&one))
                return answer->answer;
        return std::nullopt;
    }

    bool replies_with(offer_verdict verdict) const
    {
        std::optional<offer_reply> const answer = this->find_reply();
        return answer && answer->verdict == verdict;
    }

    bool sends_to_back_end(std::string const& bytes) const
    {
        for (connection_target_effect const& one : this->effects)
            if (auto const* sent = std::get_if<send_to_back_end>(&one))
                if (sent->bytes == bytes)
                    return true;
        return false;
    }
};

}  // namespace

SECTION(connection_target_with_free_slots, a_connection_target){};

TEST(connection_target_with_free_slots, sends_an_opening_packet_to_its_back_end)
{
    this->offer_open(1);
    CHECK(this->sends_to_back_end("open 1"));
    CHECK(this->replies_with(offer_verdict::taken));
    UNSIGNED_LONGS_EQUAL(1, this->find_reply()->load);
}

TEST(connection_target_with_free_slots, refuses_packets_of_another_service)
{
    this->feed(entry_offer{
        entry,
        {{1}, make_service_id("archive"), 2, true, this->make_attributes(), {}},
        this->make_opening(1)});
    CHECK(this->replies_with(offer_verdict::wrong_service));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
}

TEST(connection_target_with_free_slots, sends_answers_directly_to_the_caller)
{
    this->run_request(1);
    this->answer(1, 13ms);
    UNSIGNED_LONGS_EQUAL(1, this->count<forward_to_caller>());
}

namespace {

// ---- slots --------------------------------------------------------------

struct with_every_slot_in_use : a_connection_target
{
    void setup() override
    {
        this->run_request(1);
        this->run_request(2);
    }
};

}  // namespace

SECTION(connection_target_with_every_slot_in_use, with_every_slot_in_use){};

TEST(connection_target_with_every_slot_in_use, replies_busy_to_a_new_connection)
{
    this->offer_open(3);
    CHECK(this->replies_with(offer_verdict::busy));
    UNSIGNED_LONGS_EQUAL(2, this->find_reply()->load);
}

TEST(connection_target_with_every_slot_in_use, queues_an_offer_of_last_resort)
{
    this->offer_open(3, true);
    CHECK(this->replies_with(offer_verdict::waiting));
    CHECK(!this->sends_to_back_end("open 3"));
}

TEST(connection_target_with_every_slot_in_use, keeps_serving_its_connections)
{
    this->offer_data(1);
    CHECK(this->sends_to_back_end("data 1"));
}

TEST(connection_target_with_every_slot_in_use,
     frees_a_slot_when_the_answer_begins)
{
    this->offer_open(3, true);
    this->answer(1, 13ms);
    CHECK(this->sends_to_back_end("open 3"));
}

// Callers give up without notice, so a timeout must free their slots.
TEST(connection_target_with_every_slot_in_use,
     frees_a_slot_whose_caller_sends_no_request)
{
    this->answer(1, 13ms);
    this->offer_open(3);
    this->accept(3);
    this->offer_open(4, true);
    this->feed(clock_tick{}, 90ms);
    CHECK(this->sends_to_back_end("open 4"));
}

namespace {

struct with_queued_requests : with_every_slot_in_use
{
    void setup() override
    {
        this->with_every_slot_in_use::setup();
        this->offer_open(3, true);
        this->offer_open(4, true);
    }
};

}  // namespace

SECTION(queued_requests, with_queued_requests){};

TEST(queued_requests, start_in_the_order_of_their_latest_start)
{
    this->answer(1, 13ms);
    CHECK(this->sends_to_back_end("open 3"));
    this->answer(2, 1ms);
    CHECK(this->sends_to_back_end("open 4"));
}

TEST(queued_requests, stay_queued_when_their_opening_packet_is_retransmitted)
{
    this->feed(
        entry_offer{other_entry,
                    {{99}, this->members, 2, true, this->make_attributes(), {}},
                    this->make_opening(3, 1)});
    CHECK(this->replies_with(offer_verdict::waiting));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
}

// Retry surge after an outage: late requests must not delay new ones.
TEST(queued_requests, run_after_a_new_request_once_they_are_late)
{
    this->now += 120ms;
    this->offer_open(5, true);
    this->answer(1, 0ms);
    CHECK(this->sends_to_back_end("open 5"));
}

TEST(queued_requests, are_refused_when_they_can_no_longer_meet_their_deadline)
{
    this->feed(clock_tick{}, 990ms);
    std::size_t refused = 0;
    for (connection_target_effect const& one : this->effects)
        if (auto const* sent_reply = std::get_if<reply_to_entry>(&one))
            refused += sent_reply->answer.verdict == offer_verdict::refused &&
                       !sent_reply->answer.bytes.empty();
    UNSIGNED_LONGS_EQUAL(2, refused);
}

TEST(queued_requests,
     are_refused_on_arrival_if_half_of_their_deadline_would_pass_in_the_queue)
{
    for (std::uint16_t port = 10; port < 70; ++port)
        this->offer_open(port, true);
    this->offer_open(99, true, 900ms);
    CHECK(this->replies_with(offer_verdict::refused));
}

namespace {

// ---- the back end -------------------------------------------------------

struct with_a_silent_back_end : a_connection_target
{
    void setup() override
    {
        this->offer_open(1);
        this->feed(clock_tick{}, 20ms);
    }
};

}  // namespace

SECTION(silent_back_end, with_a_silent_back_end){};

TEST(silent_back_end, has_its_opening_packet_returned_to_the_entry)
{
    CHECK(this->replies_with(offer_verdict::no_answer));
    STRCMP_EQUAL("open 1", this->find_reply()->bytes.c_str());
}

TEST(silent_back_end, gets_no_packets_during_the_trial_interval)
{
    this->offer_open(2);
    CHECK(this->replies_with(offer_verdict::no_answer));
    CHECK(!this->sends_to_back_end("open 2"));
}

TEST(silent_back_end, is_tried_again_after_the_trial_interval)
{
    this->now += trial_interval;
    this->offer_open(2);
    CHECK(this->sends_to_back_end("open 2"));
}

TEST(silent_back_end, is_used_again_after_its_first_packet)
{
    this->accept(1);
    this->offer_open(2);
    CHECK(this->sends_to_back_end("open 2"));
}

SECTION(back_end_that_returns_packets, a_connection_target){};

TEST(back_end_that_returns_packets,
     causes_an_opening_packet_to_be_placed_elsewhere)
{
    this->offer_open(1);
    this->feed(packet_returned{this->make_opening(1)}, 1ms);
    CHECK(this->replies_with(offer_verdict::no_answer));
    STRCMP_EQUAL("open 1", this->find_reply()->bytes.c_str());
    UNSIGNED_LONGS_EQUAL(0, this->role.connection_count());
}

// The back end held the connection and lost it in a restart.
TEST(back_end_that_returns_packets, causes_a_reset_of_connections_that_it_held)
{
    this->run_request(1);
    this->feed(packet_returned{this->make_data(1)}, 5ms);
    UNSIGNED_LONGS_EQUAL(1, this->count<reset_connection>());
}

// ---- ownership ----------------------------------------------------------

SECTION(packets_of_established_connections, a_connection_target){};

TEST(packets_of_established_connections,
     are_not_owned_if_the_connection_is_not_in_the_table)
{
    this->offer_data(7, true);
    CHECK(this->replies_with(offer_verdict::not_owner));
    CHECK(!this->sends_to_back_end("data 7"));
}

// Two back ends accepted copies of one opening packet, and the caller
// continues with the other one.
TEST(packets_of_established_connections,
     are_not_owned_if_they_acknowledge_another_sequence)
{
    this->offer_open(1);
    this->accept(1);
    connection_packet packet = this->make_data(1);
    packet.acknowledgement = first_sequence + 10'000'000;
    this->feed(
        entry_offer{entry, {{5}, this->members, 0, true, {}, {}}, packet});
    CHECK(this->replies_with(offer_verdict::not_owner));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
}

namespace {

struct after_a_restart : a_connection_target
{
    void setup() override
    {
        connection_target_settings settings = this->make_settings();
        settings.is_table_complete = false;
        this->role = connection_target<>{settings, this->now};
    }
};

}  // namespace

SECTION(restarted_connection_target, after_a_restart){};

TEST(restarted_connection_target, replies_unsure_for_an_unknown_connection)
{
    this->offer_data(7, true);
    CHECK(this->replies_with(offer_verdict::unsure));
    CHECK(!this->sends_to_back_end("data 7"));
}

TEST(restarted_connection_target,
     tries_its_back_end_for_an_offer_of_last_resort)
{
    this->offer_data(7, true, true);
    CHECK(this->sends_to_back_end("data 7"));
}

TEST(restarted_connection_target,
     adopts_a_connection_that_its_back_end_continues)
{
    this->offer_data(7, true, true);
    this->answer(7, 2ms);
    this->offer_data(7, true);
    CHECK(this->replies_with(offer_verdict::taken));
}

TEST(restarted_connection_target,
     forwards_data_after_a_late_copy_of_the_opening_packet)
{
    this->offer_open(1);
    this->offer_data(1);
    UNSIGNED_LONGS_EQUAL(1, this->count<send_to_back_end>());
}

TEST(restarted_connection_target, sends_no_reset_for_an_unknown_connection)
{
    this->offer_data(7, true, true);
    this->feed(packet_returned{this->make_data(7)}, 1ms);
    UNSIGNED_LONGS_EQUAL(0, this->count<reset_connection>());
    CHECK(this->replies_with(offer_verdict::not_owner));
}

TEST(restarted_connection_target,
     has_a_complete_table_after_the_maximum_connection_age)
{
    this->now += 61s;
    this->offer_data(7, true);
    CHECK(this->replies_with(offer_verdict::not_owner));
}

namespace {

// ---- stopping -----------------------------------------------------------

struct while_stopping : a_connection_target
{
    void setup() override
    {
        this->run_request(1);
        this->feed(stop_requested{});
    }
};

}  // namespace

SECTION(stopping_connection_target, while_stopping){};

TEST(stopping_connection_target, accepts_no_new_connections)
{
    this->offer_open(2);
    CHECK(this->replies_with(offer_verdict::leaving));
}

TEST(stopping_connection_target, waits_for_connections_in_use)
{
    this->offer_data(1);
    CHECK(this->sends_to_back_end("data 1"));
    CHECK(!this->role.can_stop(this->now));
}

TEST(stopping_connection_target, can_stop_when_its_connections_are_idle)
{
    CHECK(this->role.can_stop(this->now + 700ms));
}

TEST(stopping_connection_target,
     can_stop_at_the_time_limit_with_connections_in_use)
{
    this->now += 5100ms;
    this->offer_data(1);
    CHECK(this->role.can_stop(this->now));
}

namespace {

struct while_stopping_with_a_queue : with_queued_requests
{
    void setup() override
    {
        this->with_queued_requests::setup();
        this->feed(stop_requested{});
    }
};

}  // namespace

// Planned stop under load: what was accepted and waits for a slot is served.
SECTION(stopping_connection_target_with_a_queue, while_stopping_with_a_queue){};

TEST(stopping_connection_target_with_a_queue, serves_what_it_has_queued)
{
    this->answer(1, 13ms);
    CHECK(this->sends_to_back_end("open 3"));
    this->answer(2, 1ms);
    CHECK(this->sends_to_back_end("open 4"));
}

TEST(stopping_connection_target_with_a_queue, waits_for_its_queue)
{
    CHECK(!this->role.can_stop(this->now + 700ms));
    this->feed(stop_requested{}, 700ms);
    CHECK(!this->role.can_stop(this->now));
}

TEST(stopping_connection_target_with_a_queue,
     can_stop_when_the_queue_is_refused)
{
    this->feed(clock_tick{}, 990ms);
    CHECK(this->role.can_stop(this->now));
}

// ---- a back end that fails ----------------------------------------------

namespace {

struct with_a_failing_back_end : a_connection_target
{
    // The back end resets the connection during a request.
    void fail(std::uint16_t port)
    {
        this->run_request(port);
        connection_packet packet{};
        packet.endpoints = make_endpoints(port);
        packet.is_reset = true;
        packet.sequence = first_sequence + 1;
        this->feed(packet_from_back_end{packet}, 5ms);
    }

    // The back end answers that it failed or that it is full.
    void answer_failure(std::uint16_t port,
                        answer_report report = answer_report::failed)
    {
        this->run_request(port);
        connection_packet packet{};
        packet.endpoints = make_endpoints(port);
        packet.sequence = first_sequence + 1;
        packet.data_size = 100;
        this->feed(packet_from_back_end{packet, report}, 5ms);
    }

    std::size_t count_notes(tracking_result result) const
    {
        std::size_t sum = 0;
        for (connection_target_effect const& one : this->effects)
            if (auto const* note = std::get_if<tracking_note>(&one))
                sum += note->result == result;
        return sum;
    }
};

}  // namespace

SECTION(failing_back_end, with_a_failing_back_end){};

TEST(failing_back_end, gets_no_further_requests)
{
    this->fail(1);
    this->answer_failure(2);
    UNSIGNED_LONGS_EQUAL(1, this->count_notes(tracking_result::unwell));
    this->offer_open(3);
    CHECK(this->replies_with(offer_verdict::busy));
    // Four requests for each of the two slots.
    UNSIGNED_LONGS_EQUAL(8, this->find_reply()->load);
}

TEST(failing_back_end, counts_a_full_report_with_free_slots_as_a_failure)
{
    this->answer_failure(1, answer_report::full);
    this->answer_failure(2, answer_report::full);
    this->offer_open(3);
    CHECK(this->replies_with(offer_verdict::busy));
}

TEST(failing_back_end, does_not_count_a_full_report_without_free_slots)
{
    for (std::uint16_t port = 11; port < 14; ++port) {
        this->offer_open(port, true);
        this->accept(port);
        this->offer_data(port);
    }
    this->answer_failure(1, answer_report::full);
    this->answer_failure(2, answer_report::full);
    UNSIGNED_LONGS_EQUAL(0, this->count_notes(tracking_result::unwell));
}

TEST(failing_back_end, gets_offers_of_last_resort)
{
    this->fail(1);
    this->fail(2);
    this->offer_open(3, true);
    CHECK(this->replies_with(offer_verdict::taken));
}

// Packets sent at almost the same time can arrive in another order.
TEST(failing_back_end, does_not_count_reordered_packets_as_a_failure)
{
    for (std::uint16_t port = 1; port < 9; ++port) {
        this->run_request(port);
        connection_packet end{};
        end.endpoints = make_endpoints(port);
        end.is_finishing = true;
        end.sequence = first_sequence + 1001;
        this->feed(packet_from_back_end{end}, 5ms);
        UNSIGNED_LONGS_EQUAL(0, this->count_notes(tracking_result::unwell));
        this->answer(port, 0ms);
    }
    this->offer_open(9);
    CHECK(this->replies_with(offer_verdict::taken));
}

TEST(failing_back_end, gets_one_trial_request_at_a_time)
{
    this->fail(1);
    this->fail(2);
    this->feed(clock_tick{}, 250ms);
    this->offer_open(3);
    CHECK(this->replies_with(offer_verdict::taken));
    this->feed(clock_tick{}, 60ms);
    this->offer_open(4);
    CHECK(this->replies_with(offer_verdict::busy));
}

TEST(failing_back_end, gets_no_trial_request_that_is_not_retryable)
{
    this->fail(1);
    this->fail(2);
    this->feed(clock_tick{}, 250ms);
    request_attributes attributes = this->make_attributes();
    attributes.is_retryable = false;
    this->feed(entry_offer{entry,
                           {{99}, this->members, 2, false, attributes, {}},
                           this->make_opening(3)});
    CHECK(this->replies_with(offer_verdict::busy));
}

TEST(failing_back_end, is_used_again_after_enough_answers)
{
    this->fail(1);
    this->fail(2);
    for (std::uint16_t port = 3; port < 6; ++port) {
        this->feed(clock_tick{}, 250ms);
        this->run_request(port);
        this->answer(port, 10ms);
    }
    UNSIGNED_LONGS_EQUAL(1, this->count_notes(tracking_result::well));
    this->offer_open(7);
    CHECK(this->replies_with(offer_verdict::taken));
    UNSIGNED_LONGS_EQUAL(1, this->find_reply()->load);
}

TEST(failing_back_end, is_detected_while_a_request_is_stuck)
{
    this->run_request(1);
    this->feed(clock_tick{}, 290ms);
    this->offer_open(2);
    CHECK(this->replies_with(offer_verdict::taken));
    this->accept(2);
    this->feed(clock_tick{}, 20ms);
    this->offer_open(3);
    CHECK(this->replies_with(offer_verdict::busy));
    CHECK(this->find_reply()->load > 8);
}

TEST(failing_back_end, is_unhealthy_after_two_unanswered_requests)
{
    this->run_request(1);
    this->run_request(2);
    this->feed(clock_tick{}, 1001ms);
    UNSIGNED_LONGS_EQUAL(1, this->count_notes(tracking_result::unwell));
}

// ---- two back ends that accept one opening packet -----------------------

namespace {

// This back end is slow to accept, and the caller continues with another one.
struct with_a_second_acceptor : a_connection_target
{
    connection_packet make_data_for_another() const
    {
        connection_packet packet = this->make_data(1);
        packet.acknowledgement = 77'000'001;
        return packet;
    }

    void offer(connection_packet const& packet, bool has_query)
    {
        query_id const query{has_query ? ++this->last_query : 0};
        this->feed(entry_offer{
            entry, {query, this->members, 0, false, {}, {}}, packet});
    }
};

}  // namespace

SECTION(connection_target_with_a_slow_back_end, with_a_second_acceptor){};

// Every packet of a back end passes its target, beginning with the acceptance.
// A caller's packet that acknowledges an acceptance can therefore not belong
// to a target whose back end has not accepted.
TEST(connection_target_with_a_slow_back_end,
     owns_no_connection_before_its_back_end_has_accepted)
{
    this->offer_open(1);
    this->offer(this->make_data_for_another(), false);
    CHECK(this->replies_with(offer_verdict::not_owner));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
}

TEST(connection_target_with_a_slow_back_end,
     never_resets_a_connection_of_another_target)
{
    this->offer_open(1);
    this->accept(1, 100ms);
    this->feed(packet_returned{this->make_data_for_another()}, 1ms);
    UNSIGNED_LONGS_EQUAL(0, this->count<reset_connection>());
    CHECK(this->replies_with(offer_verdict::not_owner));
}

TEST(connection_target_with_a_slow_back_end,
     owns_the_connection_once_the_caller_continues_here)
{
    this->offer_open(1);
    this->accept(1, 100ms);
    this->offer(this->make_data(1), false);
    UNSIGNED_LONGS_EQUAL(1, this->count<send_to_back_end>());
}

// ---- evacuation of the data centre --------------------------------------

namespace {

struct with_an_evacuation_notice : a_connection_target
{
    static constexpr std::uint64_t noticed = 40;

    void setup() override
    {
        this->notify(noticed);
    }

    void notify(std::uint64_t number)
    {
        this->feed(notice_from_entry{{this->members, {number}}});
    }

    void offer_open_at(std::uint16_t port, std::uint64_t number,
                       std::uint8_t copy = 0)
    {
        request_attributes attributes = this->make_attributes();
        attributes.config_generation = {number};
        this->feed(entry_offer{
            other_entry,
            {{++this->last_query}, this->members, 2, true, attributes, {}},
            this->make_opening(port, copy)});
    }

    std::size_t count_refusals() const
    {
        std::size_t sum = 0;
        for (connection_target_effect const& one : this->effects)
            if (auto const* note = std::get_if<tracking_note>(&one))
                sum += note->result == tracking_result::evacuated &&
                       note->entry == other_entry;
        return sum;
    }
};

}  // namespace

SECTION(connection_target_in_an_evacuated_data_centre,
        with_an_evacuation_notice){};

// An entry that neither the store nor a peer reaches keeps opening connections
// by its old catalog.
TEST(connection_target_in_an_evacuated_data_centre,
     refuses_a_connection_from_an_outdated_entry)
{
    this->offer_open_at(1, noticed - 1);
    CHECK(this->replies_with(offer_verdict::leaving));
    UNSIGNED_LONGS_EQUAL(0, this->count<send_to_back_end>());
    UNSIGNED_LONGS_EQUAL(1, this->count_refusals());
}

TEST(connection_target_in_an_evacuated_data_centre,
     refuses_a_connection_without_a_generation)
{
    this->offer_open(1);
    CHECK(this->replies_with(offer_verdict::leaving));
}

TEST(connection_target_in_an_evacuated_data_centre,
     accepts_a_connection_from_an_entry_that_knows_its_end)
{
    this->offer_open_at(1, noticed + 1);
    CHECK(this->replies_with(offer_verdict::taken));
    this->offer_open_at(2, noticed);
    CHECK(this->replies_with(offer_verdict::taken));
}

// Notifiers have different generations, and notices may arrive out of order.
TEST(connection_target_in_an_evacuated_data_centre, keeps_the_newest_notice)
{
    this->notify(noticed - 10);
    this->offer_open_at(1, noticed - 5);
    CHECK(this->replies_with(offer_verdict::leaving));
}

TEST(connection_target_in_an_evacuated_data_centre,
     accepts_a_copy_of_an_accepted_packet)
{
    this->offer_open_at(1, noticed);
    this->offer_open_at(1, noticed - 1, 1);
    CHECK(this->replies_with(offer_verdict::taken));
    CHECK(this->sends_to_back_end("open 1"));
}

// Guards against opening packets that reach the back end as late as their
// deadline permits, after the time limit of the evacuation.
TEST(connection_target_in_an_evacuated_data_centre,
     returns_what_was_queued_before)
{
    for (std::uint16_t port : {1, 2, 3, 4})
        this->offer_open_at(port, noticed);
    CHECK(this->replies_with(offer_verdict::waiting));
    this->notify(noticed + 10);
    this->answer(1, 13ms);
    CHECK(this->replies_with(offer_verdict::leaving));
    CHECK(!this->sends_to_back_end("open 3"));
    CHECK(!this->sends_to_back_end("open 4"));
    UNSIGNED_LONGS_EQUAL(2, this->count_refusals());
}

TEST(connection_target_in_an_evacuated_data_centre, serves_open_connections)
{
    this->offer_open_at(1, noticed);
    this->accept(1);
    this->notify(noticed + 10);
    this->offer_data(1);
    CHECK(this->sends_to_back_end("data 1"));
}

SECTION(connection_target_that_gets_a_notice, a_connection_target){};

// The address may have belonged to a target of the other service.
TEST(connection_target_that_gets_a_notice, ignores_one_for_another_service)
{
    this->feed(notice_from_entry{{make_service_id("archive"), {40}}});
    this->offer_open(1);
    CHECK(this->replies_with(offer_verdict::taken));
}
