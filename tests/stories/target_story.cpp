#include "story.hpp"
#include "target/target.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

peer_address const entry_address{1, 1};
peer_address const caller_address{2, 2};

// One target without entries or callers, driven by events.
struct a_target : Utest
{
    time_point now{100s};
    target_record record{make_target_id("m1"), "m1", "zg-a", {3, 3}, {3, 4}, 2,
                         target_state::serving};
    target<standard_policy> role{
        {.self = this->record.id,
         .address = this->record.address,
         .key = {1, 2, 3},
         .own_epoch = {7},
         .admission = {.slots = 2, .max_queue_length = 2},
         .flows = {}},
        {make_process_id("m1"), "zg-a", {3, 3}, {3, 4}, {}},
        seeded_random{1},
        this->now};
    target_effects effects = {};
    std::uint64_t last_generation = 0;

    void setup() override
    {
        this->publish(target_state::serving);
        for (int i = 0; i < 30; ++i)
            this->feed(clock_tick{}, 100ms);
    }

    void feed(target_event const& event, duration after = 1ms)
    {
        this->now += after;
        this->effects = this->role.on(event, this->now);
    }

    void publish(target_state state)
    {
        generation const next{++this->last_generation};
        target_record changed = this->record;
        changed.state = state;
        service_part const part{make_service_id("members"),
                                "members",
                                next,
                                {make_caller_id("club")},
                                {changed}};
        fleet_part const fleet{next, {}};
        this->feed(change_received{change_source::platform,
                                   {},
                                   catalog_change{{},
                                                  next,
                                                  {compute_digest(part).value +
                                                   compute_digest(fleet).value},
                                                  {part},
                                                  {},
                                                  fleet}});
    }

    void receive(caller_message const& message, duration after = 1ms)
    {
        this->feed(
            inbound_received{entry_address, {caller_address, {}, {}, message}},
            after);
    }

    template <class Message> Message const* find_message() const
    {
        for (target_effect const& effect : this->effects)
            if (auto const* outbound = std::get_if<send_outbound>(&effect))
                if (auto const* one =
                        std::get_if<Message>(&outbound->packet.message))
                    return one;
        return nullptr;
    }

    start_run const* find_started_run() const
    {
        for (target_effect const& effect : this->effects)
            if (auto const* one = std::get_if<start_run>(&effect))
                return one;
        return nullptr;
    }

    flow_token open(std::uint64_t key)
    {
        this->receive(open_request{make_service_id("members"),
                                   make_caller_id("club"),
                                   {key},
                                   0,
                                   0,
                                   0,
                                   {}});
        open_reply const* reply = this->find_message<open_reply>();
        CHECK(reply != nullptr);
        return reply != nullptr ? reply->token : flow_token{};
    }

    void submit(flow_token const& token, std::uint32_t number,
                std::string const& body = "x")
    {
        this->receive(
            submit_request{token, {number}, false, 5s, {}, "renewal", body});
    }
};

struct a_target_with_a_settled_request : a_target
{
    flow_token token = {};

    void setup() override
    {
        this->a_target::setup();
        this->token = this->open(1);
        this->submit(this->token, 1);
        this->feed(run_output{{1}, "answer"});
        this->feed(run_ended{{1}, back_end_outcome::completed, {}});
        this->receive(acknowledge_answer{this->token, {1}});
    }
};

struct a_leaving_target : a_target
{
    flow_token token = {};

    void setup() override
    {
        this->a_target::setup();
        this->token = this->open(1);
        this->publish(target_state::leaving);
    }
};

}  // namespace

SECTION(target_of_flows, a_target){};

TEST(target_of_flows, answers_a_copy_of_an_open_with_the_same_token)
{
    flow_token const first = this->open(1);
    SAME(first, this->open(1));
    UNSIGNED_LONGS_EQUAL(1, this->role.open_flow_count());
}

TEST(target_of_flows, starts_a_request_once_for_any_number_of_copies)
{
    flow_token const token = this->open(1);
    this->submit(token, 1);
    CHECK(this->find_started_run() != nullptr);
    for (int i = 0; i < 5; ++i) {
        this->submit(token, 1);
        CHECK(this->find_started_run() == nullptr);
    }
}

TEST(target_of_flows, does_not_reply_to_a_forged_token)
{
    flow_token forged = this->open(1);
    forged.mac[0] ^= 1U;
    this->submit(forged, 1);
    CHECK(this->find_message<request_status>() == nullptr);
    CHECK(this->find_started_run() == nullptr);
}

TEST(target_of_flows, answers_unknown_to_a_token_of_another_epoch)
{
    flow_token old = this->open(1);
    old.issuer_epoch = {6};
    this->submit(old, 1);
    SAME(request_state::unknown, this->find_message<request_status>()->state);
    SAME(reason::wrong_epoch, this->find_message<request_status>()->cause);
}

TEST(target_of_flows, refuses_a_flow_of_another_service)
{
    this->receive(open_request{
        make_service_id("archive"), make_caller_id("club"), {1}, 0, 0, 0, {}});
    SAME(reason::wrong_service, this->find_message<open_refusal>()->cause);
}

TEST(target_of_flows, refuses_a_path_with_special_characters)
{
    flow_token const token = this->open(1);
    this->receive(submit_request{token, {1}, false, 5s, {}, "a?b=c", "x"});
    SAME(request_state::not_run, this->find_message<request_status>()->state);
    SAME(reason::malformed, this->find_message<request_status>()->cause);
}

// Guards against two callers that use the same flow key and request number,
// as two load generators with one seed did: the answer of one run was sent to
// both.
TEST(target_of_flows, never_returns_the_answer_of_another_request)
{
    flow_token const token = this->open(1);
    this->submit(token, 1, "x");
    this->submit(token, 1, "y");
    SAME(request_state::not_run, this->find_message<request_status>()->state);
    SAME(reason::duplicate, this->find_message<request_status>()->cause);
}

TEST(target_of_flows, reports_not_run_when_the_back_end_sheds)
{
    flow_token const token = this->open(1);
    this->submit(token, 1);
    this->feed(run_ended{{1}, back_end_outcome::shed, 100ms});
    SAME(request_state::not_run, this->find_message<request_status>()->state);
    this->submit(token, 1);
    CHECK(this->find_started_run() == nullptr);
}

// Guards against incomplete segments: a caller that stored one as a full
// segment never completed its answer.
TEST(target_of_flows, sends_only_whole_segments_during_a_run)
{
    flow_token const token = this->open(1);
    this->submit(token, 1);
    this->feed(run_output{{1}, std::string(segment_size + 100, 'a')});
    UNSIGNED_LONGS_EQUAL(segment_size,
                         this->find_message<answer_segment>()->bytes.size());
    this->receive(pull_answer{token, {1}, segment_size, segment_size});
    CHECK(this->find_message<answer_segment>() == nullptr);
    this->feed(run_ended{{1}, back_end_outcome::completed, {}});
    UNSIGNED_LONGS_EQUAL(100,
                         this->find_message<answer_segment>()->bytes.size());
}

TEST(target_of_flows, drops_request_numbers_too_far_ahead)
{
    flow_token const token = this->open(1);
    this->submit(token, max_requests_per_flow + 1);
    CHECK(this->find_started_run() == nullptr);
    CHECK(this->find_message<request_status>() == nullptr);
}

TEST(target_of_flows, refuses_requests_when_the_queue_is_full)
{
    for (std::uint64_t i = 1; i <= 4; ++i)
        this->submit(this->open(i), 1);
    this->submit(this->open(5), 1);
    SAME(request_state::not_run, this->find_message<request_status>()->state);
    SAME(reason::overloaded, this->find_message<request_status>()->cause);
}

// A lost acknowledgement must not delay a graceful stop for long.
TEST(target_of_flows, is_idle_ten_seconds_after_the_last_query_when_stopping)
{
    this->submit(this->open(1), 1);
    this->feed(run_ended{{1}, back_end_outcome::completed, {}});
    this->feed(stop_requested{});
    this->feed(clock_tick{}, 9s);
    CHECK_FALSE(this->role.is_idle());
    this->feed(clock_tick{}, 2s);
    CHECK(this->role.is_idle());
}

SECTION(target_with_a_settled_request, a_target_with_a_settled_request){};

TEST(target_with_a_settled_request, keeps_no_record_of_it)
{
    CHECK(this->role.is_idle());
}

TEST(target_with_a_settled_request, answers_a_late_copy_with_unknown)
{
    this->submit(this->token, 1);
    CHECK(this->find_started_run() == nullptr);
    SAME(request_state::unknown, this->find_message<request_status>()->state);
}

TEST(target_with_a_settled_request, runs_the_next_request)
{
    this->submit(this->token, 2);
    CHECK(this->find_started_run() != nullptr);
}

TEST(target_with_a_settled_request, settles_numbers_in_any_order)
{
    this->submit(this->token, 3);
    this->feed(run_ended{{2}, back_end_outcome::completed, {}});
    this->receive(acknowledge_answer{this->token, {3}});
    this->submit(this->token, 2);
    CHECK(this->find_started_run() != nullptr);
    this->submit(this->token, 3);
    CHECK(this->find_started_run() == nullptr);
}

TEST(target_with_a_settled_request, erases_the_flow_when_it_is_closed)
{
    this->receive(close_flow{this->token});
    UNSIGNED_LONGS_EQUAL(0, this->role.open_flow_count());
    this->submit(this->token, 2);
    SAME(request_state::unknown, this->find_message<request_status>()->state);
}

SECTION(leaving_target, a_leaving_target){};

TEST(leaving_target, refuses_new_flows)
{
    this->receive(open_request{
        make_service_id("members"), make_caller_id("club"), {9}, 0, 0, 0, {}});
    SAME(reason::leaving, this->find_message<open_refusal>()->cause);
}

TEST(leaving_target, accepts_requests_of_open_flows_within_the_grace_period)
{
    this->submit(this->token, 1);
    CHECK(this->find_started_run() != nullptr);
}

TEST(leaving_target, refuses_requests_of_open_flows_after_the_grace_period)
{
    this->now += leave_grace_period;
    this->submit(this->token, 1);
    SAME(request_state::not_run, this->find_message<request_status>()->state);
    SAME(reason::leaving, this->find_message<request_status>()->cause);
}

TEST(leaving_target, accepts_requests_again_when_published_as_serving)
{
    this->publish(target_state::serving);
    this->now += leave_grace_period;
    this->submit(this->token, 1);
    CHECK(this->find_started_run() != nullptr);
}
