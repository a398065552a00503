#include "story.hpp"
#include "target/target.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

peer_address const entry_address{1, 1};
peer_address const caller_address{2, 2};

// A target alone, driven packet by packet.
struct a_target : Utest
{
    time_point now{100s};
    target_record record{make_target_id("m1"), "m1", "zg-a", {3, 3}, {3, 4}, 2,
                         target_state::serving};
    target<standard_policy> role{
        {.self = this->record.id,
         .address = this->record.address,
         .key = {1, 2, 3},
         .started = {7},
         .admission = {.slots = 2, .most_waiting = 2},
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
            inward_arrived{entry_address, {caller_address, {}, {}, message}},
            after);
    }

    template <class Message> Message const* told() const
    {
        for (target_effect const& effect : this->effects)
            if (auto const* outward = std::get_if<send_outward>(&effect))
                if (auto const* one =
                        std::get_if<Message>(&outward->packet.message))
                    return one;
        return nullptr;
    }

    start_run const* started() const
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
        open_reply const* reply = this->told<open_reply>();
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

struct with_a_settled_request : a_target
{
    flow_token token = {};

    void setup() override
    {
        this->a_target::setup();
        this->token = this->open(1);
        this->submit(this->token, 1);
        this->feed(run_bytes{{1}, "answer"});
        this->feed(run_ended{{1}, run_outcome::completed, {}});
        this->receive(acknowledge_answer{this->token, {1}});
    }
};

struct that_is_leaving : a_target
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

SECTION(target_story, a_target){};

TEST(target_story, answers_a_copy_of_an_open_with_the_same_token)
{
    flow_token const first = this->open(1);
    SAME(first, this->open(1));
    UNSIGNED_LONGS_EQUAL(1, this->role.open_flows());
}

TEST(target_story, starts_a_request_once_however_often_it_comes)
{
    flow_token const token = this->open(1);
    this->submit(token, 1);
    CHECK(this->started() != nullptr);
    for (int i = 0; i < 5; ++i) {
        this->submit(token, 1);
        CHECK(this->started() == nullptr);
    }
}

TEST(target_story, answers_a_forged_token_with_nothing)
{
    flow_token forged = this->open(1);
    forged.mac[0] ^= 1U;
    this->submit(forged, 1);
    CHECK(this->told<request_status>() == nullptr);
    CHECK(this->started() == nullptr);
}

TEST(target_story, answers_a_token_of_another_life_with_unknown)
{
    flow_token old = this->open(1);
    old.issuer_epoch = {6};
    this->submit(old, 1);
    SAME(request_state::unknown, this->told<request_status>()->state);
    SAME(reason::wrong_epoch, this->told<request_status>()->why);
}

TEST(target_story, does_not_open_a_flow_of_another_service)
{
    this->receive(open_request{
        make_service_id("archive"), make_caller_id("club"), {1}, 0, 0, 0, {}});
    SAME(reason::wrong_service, this->told<open_refusal>()->why);
}

TEST(target_story, refuses_a_path_that_could_mean_more_to_the_back_end)
{
    flow_token const token = this->open(1);
    this->receive(submit_request{token, {1}, false, 5s, {}, "a?b=c", "x"});
    SAME(request_state::not_run, this->told<request_status>()->state);
    SAME(reason::malformed, this->told<request_status>()->why);
}

// Found by the process tests: two loads of one seed shared a flow key, and
// one run's answer went to both.
TEST(target_story, never_answers_a_request_with_the_run_of_another)
{
    flow_token const token = this->open(1);
    this->submit(token, 1, "x");
    this->submit(token, 1, "y");
    SAME(request_state::not_run, this->told<request_status>()->state);
    SAME(reason::duplicate, this->told<request_status>()->why);
}

TEST(target_story, says_not_run_when_the_back_end_sheds)
{
    flow_token const token = this->open(1);
    this->submit(token, 1);
    this->feed(run_ended{{1}, run_outcome::shed, 100ms});
    SAME(request_state::not_run, this->told<request_status>()->state);
    this->submit(token, 1);
    CHECK(this->started() == nullptr);
}

// Found by the process tests: a caller took the part of a segment for the
// whole of it, and its download never ended.
TEST(target_story, sends_no_part_of_a_segment_while_the_run_goes_on)
{
    flow_token const token = this->open(1);
    this->submit(token, 1);
    this->feed(run_bytes{{1}, std::string(segment_size + 100, 'a')});
    UNSIGNED_LONGS_EQUAL(segment_size,
                         this->told<answer_segment>()->bytes.size());
    this->receive(pull_answer{token, {1}, segment_size, segment_size});
    CHECK(this->told<answer_segment>() == nullptr);
    this->feed(run_ended{{1}, run_outcome::completed, {}});
    UNSIGNED_LONGS_EQUAL(100, this->told<answer_segment>()->bytes.size());
}

TEST(target_story, keeps_numbers_that_run_too_far_ahead_out)
{
    flow_token const token = this->open(1);
    this->submit(token, requests_per_flow + 1);
    CHECK(this->started() == nullptr);
    CHECK(this->told<request_status>() == nullptr);
}

TEST(target_story, bounds_its_queue)
{
    for (std::uint64_t i = 1; i <= 4; ++i)
        this->submit(this->open(i), 1);
    this->submit(this->open(5), 1);
    SAME(request_state::not_run, this->told<request_status>()->state);
    SAME(reason::overloaded, this->told<request_status>()->why);
}

// An acknowledgement that is lost must not hold a graceful stop up for long.
TEST(target_story, is_idle_soon_when_it_stops_and_nobody_asks)
{
    this->submit(this->open(1), 1);
    this->feed(run_ended{{1}, run_outcome::completed, {}});
    this->feed(stop_requested{});
    this->feed(clock_tick{}, 9s);
    CHECK_FALSE(this->role.is_idle());
    this->feed(clock_tick{}, 2s);
    CHECK(this->role.is_idle());
}

SECTION(target_with_a_settled_request, with_a_settled_request){};

TEST(target_with_a_settled_request, holds_nothing_of_it)
{
    CHECK(this->role.is_idle());
}

TEST(target_with_a_settled_request, answers_a_late_copy_with_unknown)
{
    this->submit(this->token, 1);
    CHECK(this->started() == nullptr);
    SAME(request_state::unknown, this->told<request_status>()->state);
}

TEST(target_with_a_settled_request, runs_the_next_one)
{
    this->submit(this->token, 2);
    CHECK(this->started() != nullptr);
}

TEST(target_with_a_settled_request, settles_numbers_in_any_order)
{
    this->submit(this->token, 3);
    this->feed(run_ended{{2}, run_outcome::completed, {}});
    this->receive(acknowledge_answer{this->token, {3}});
    this->submit(this->token, 2);
    CHECK(this->started() != nullptr);
    this->submit(this->token, 3);
    CHECK(this->started() == nullptr);
}

TEST(target_with_a_settled_request, forgets_the_flow_when_it_is_closed)
{
    this->receive(close_flow{this->token});
    UNSIGNED_LONGS_EQUAL(0, this->role.open_flows());
    this->submit(this->token, 2);
    SAME(request_state::unknown, this->told<request_status>()->state);
}

SECTION(target_that_is_leaving, that_is_leaving){};

TEST(target_that_is_leaving, opens_no_flow)
{
    this->receive(open_request{
        make_service_id("members"), make_caller_id("club"), {9}, 0, 0, 0, {}});
    SAME(reason::leaving, this->told<open_refusal>()->why);
}

TEST(target_that_is_leaving, takes_a_request_of_an_open_flow_for_a_moment)
{
    this->submit(this->token, 1);
    CHECK(this->started() != nullptr);
}

TEST(target_that_is_leaving, tells_an_open_flow_to_go_elsewhere_after_that)
{
    this->now += leave_grace;
    this->submit(this->token, 1);
    SAME(request_state::not_run, this->told<request_status>()->state);
    SAME(reason::leaving, this->told<request_status>()->why);
}

TEST(target_that_is_leaving, serves_again_when_it_is_published_so)
{
    this->publish(target_state::serving);
    this->now += leave_grace;
    this->submit(this->token, 1);
    CHECK(this->started() != nullptr);
}
