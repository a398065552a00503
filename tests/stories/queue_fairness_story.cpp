#include "admission/fair_objective_queue.hpp"
#include "admission/objective_queue.hpp"
#include "fakes/fake_connections.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

constexpr duration running_time = 20ms;
constexpr duration objective = 200ms;

// Requests at one target with a single slot, which runs each for 20 ms.
template <queue_policy Q> struct a_queue : Utest
{
    time_point now{100s};
    Q queue = {};
    std::uint64_t last_key = 0;

    void add(std::uint64_t caller, std::uint8_t priority)
    {
        this->queue.push({{{++this->last_key}, {}},
                          {caller},
                          running_time,
                          this->now,
                          this->now + objective - running_time,
                          this->now + 1500ms,
                          priority});
    }

    // Runs the next request. Returns its caller, or 0 without a request.
    std::uint64_t run_next()
    {
        std::optional<waiting_request> const next =
            this->queue.pop({}, this->now);
        this->now += running_time;
        return next ? next->caller.value : 0;
    }

    // Returns how many of the next `count` requests are of the caller.
    std::size_t count_next(std::size_t count, std::uint64_t caller)
    {
        std::size_t sum = 0;
        for (std::size_t i = 0; i < count; ++i)
            sum += this->run_next() == caller ? 1U : 0U;
        return sum;
    }

    // Callers 1 (priority 1) and 2 (priority 2) send one request each in every
    // running time of one, for `count` times. Returns how many of the second
    // caller run within their objective.
    std::size_t run_overload(std::size_t count)
    {
        std::size_t in_time = 0;
        for (std::size_t i = 0; i < count; ++i) {
            this->add(1, 1);
            this->add(2, 2);
            std::optional<waiting_request> const next =
                this->queue.pop({}, this->now);
            in_time += next && next->caller.value == 2 &&
                       this->now <= next->latest_timely_start;
            this->now += running_time;
        }
        return in_time;
    }
};

using todays_queue = a_queue<objective_queue>;
using queue_with_caller_shares = a_queue<caller_share_queue>;
using queue_with_bounded_priority = a_queue<bounded_priority_queue>;

}  // namespace

// ---- today's queue ------------------------------------------------------

SECTION(objective_queue_under_overload, todays_queue){};

// Load pattern: a burst of the higher priority takes every slot. Its value is
// higher per slot time, so the lower priority gets what is left: nothing here.
TEST(objective_queue_under_overload, serves_the_lower_priority_last)
{
    UNSIGNED_LONGS_EQUAL(0, this->run_overload(100));
}

// Load pattern: one caller opens thirty connections, another opens one.
TEST(objective_queue_under_overload, lets_one_caller_delay_the_others)
{
    for (int i = 0; i < 30; ++i)
        this->add(1, 2);
    this->now += 1ms;
    this->add(2, 2);
    UNSIGNED_LONGS_EQUAL(0, this->count_next(9, 2));
}

// ---- shares of callers --------------------------------------------------

SECTION(caller_shares, queue_with_caller_shares){};

TEST(caller_shares, serve_a_caller_with_one_connection_before_a_backlog)
{
    for (int i = 0; i < 30; ++i)
        this->add(1, 2);
    this->now += 1ms;
    this->add(2, 2);
    UNSIGNED_LONGS_EQUAL(1, this->count_next(2, 2));
}

TEST(caller_shares, alternate_between_callers_with_a_backlog)
{
    for (int i = 0; i < 6; ++i)
        this->add(1, 2);
    for (int i = 0; i < 6; ++i)
        this->add(2, 2);
    std::size_t const first_half = this->count_next(6, 2);
    CHECK(first_half >= 2 && first_half <= 4);
}

// The order of requests is today's while no caller has more than one waiting.
TEST(caller_shares, keep_the_order_of_single_requests)
{
    for (std::uint64_t caller = 1; caller <= 5; ++caller) {
        this->add(caller, 2);
        this->now += 1ms;
    }
    for (std::uint64_t caller = 1; caller <= 5; ++caller)
        UNSIGNED_LONGS_EQUAL(caller, this->run_next());
}

TEST(caller_shares, do_not_outrank_a_priority)
{
    for (int i = 0; i < 4; ++i)
        this->add(1, 1);
    this->add(2, 2);
    UNSIGNED_LONGS_EQUAL(0, this->count_next(4, 2));
    UNSIGNED_LONGS_EQUAL(2, this->run_next());
}

namespace {

// ---- one caller among many ----------------------------------------------

// Seven targets of two slots each, at half their capacity without the one
// caller.
struct a_fleet_with_one_busy_caller : Utest
{
    fakes::fake_connections<> fleet{7};

    // Returns the share of the others' requests that were answered in time.
    double serve_others(double load_of_one)
    {
        std::size_t const others = this->fleet.add_kind({{0xC6120001, 443},
                                                         "members",
                                                         22ms,
                                                         objective,
                                                         1500ms,
                                                         2,
                                                         true,
                                                         1,
                                                         0.3});
        std::size_t const one = this->fleet.add_kind({{0xC6120001, 444},
                                                      "members",
                                                      22ms,
                                                      objective,
                                                      1500ms,
                                                      2,
                                                      true,
                                                      1,
                                                      0.3,
                                                      1});
        for (int i = 0; i < 5; ++i)
            this->fleet.add_entry(i % 4);
        for (int i = 0; i < 7; ++i)
            this->fleet.add_target("members", i % 4);
        this->fleet.publish();
        this->fleet.run_for(2s);
        time_point const start = this->fleet.now();
        this->fleet.add_load(others, 260, 5s, 4);
        this->fleet.add_load(one, load_of_one, 5s, 1);
        this->fleet.run_for(8s);
        double in_time = 0;
        double all = 0;
        for (fakes::simulated_request const& request : this->fleet.requests) {
            if (request.kind != others || request.requested_at < start)
                continue;
            all += 1;
            in_time +=
                request.status == fakes::completion_status::in_time ? 1 : 0;
        }
        return in_time / all;
    }
};

}  // namespace

SECTION(a_caller_with_many_connections, a_fleet_with_one_busy_caller){};

// Load pattern: one address opens twice as many connections per second as all
// others together, more than the slots can serve.
TEST(a_caller_with_many_connections, does_not_make_the_others_late)
{
    CHECK(this->serve_others(520) > 0.9);
}

// ---- the bound behind a higher priority ---------------------------------

SECTION(bounded_priority, queue_with_bounded_priority){};

// Load pattern: the higher priority sends one request in every running time.
TEST(bounded_priority, serves_the_lower_priority_while_it_can_be_in_time)
{
    this->add(2, 2);
    std::size_t served = 0;
    for (duration waited{}; waited < objective; waited += running_time) {
        this->add(1, 1);
        served += this->run_next() == 2 ? 1U : 0U;
    }
    UNSIGNED_LONGS_EQUAL(1, served);
}

// At twice the capacity all requests soon have waited for half of their time,
// and the bound leaves an order of latest starts in which most are late.
TEST(bounded_priority, serves_nearly_none_in_time_under_overload)
{
    CHECK(this->run_overload(100) < 20);
}

TEST(bounded_priority, serves_the_higher_priority_first_at_the_start)
{
    this->add(2, 2);
    this->add(1, 1);
    UNSIGNED_LONGS_EQUAL(1, this->run_next());
}
