#include "fakes/fake_connections.hpp"
#include "story.hpp"
#include "tracking/back_end_health.hpp"
#include "tracking/back_end_monitor.hpp"

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

struct a_back_end : Utest
{
    time_point now{100s};
    back_end_health health{};

    // Returns whether the health changed.
    bool record_result(request_result result, duration after = 10ms)
    {
        this->now += after;
        return this->health.record_result(result, this->now);
    }

    void record_answers(int times)
    {
        for (int i = 0; i < times; ++i)
            this->record_result(request_result::answered);
    }
};

}  // namespace

SECTION(a_healthy_back_end, a_back_end){};

TEST(a_healthy_back_end, is_healthy)
{
    this->record_answers(50);
    CHECK(!this->health.is_unhealthy());
}

TEST(a_healthy_back_end, stays_healthy_after_one_failure)
{
    CHECK(!this->record_result(request_result::failed));
    this->record_answers(7);
    CHECK(!this->record_result(request_result::failed));
}

TEST(a_healthy_back_end, stays_healthy_when_one_request_in_twenty_fails)
{
    for (int i = 0; i < 200; ++i)
        this->record_result(i % 20 == 0 ? request_result::failed
                                        : request_result::answered);
    CHECK(!this->health.is_unhealthy());
}

TEST(a_healthy_back_end, stays_healthy_when_the_failures_are_old)
{
    this->record_result(request_result::failed);
    CHECK(!this->record_result(request_result::failed, 2100ms));
}

SECTION(a_failing_back_end, a_back_end){};

TEST(a_failing_back_end, is_unhealthy_after_two_failures)
{
    CHECK(!this->record_result(request_result::failed));
    CHECK(this->record_result(request_result::failed));
    CHECK(this->health.is_unhealthy());
}

TEST(a_failing_back_end, is_unhealthy_when_every_other_request_fails)
{
    this->record_answers(8);
    for (int i = 0; i < 3; ++i) {
        this->record_result(request_result::failed);
        this->record_result(request_result::answered);
    }
    CHECK(this->health.is_unhealthy());
}

namespace {

struct an_unhealthy_back_end : a_back_end
{
    void setup() override
    {
        this->record_result(request_result::failed);
        this->record_result(request_result::failed);
    }
};

}  // namespace

SECTION(a_back_end_marked_unhealthy, an_unhealthy_back_end){};

TEST(a_back_end_marked_unhealthy, gets_a_trial_request_at_the_interval)
{
    CHECK(!this->health.may_send_trial(true, this->now + 249ms));
    CHECK(this->health.may_send_trial(true, this->now + 250ms));
    this->health.record_trial(this->now + 250ms);
    CHECK(!this->health.may_send_trial(true, this->now + 499ms));
}

TEST(a_back_end_marked_unhealthy, gets_non_retryable_trial_requests_less_often)
{
    CHECK(!this->health.may_send_trial(false, this->now + 1999ms));
    CHECK(this->health.may_send_trial(false, this->now + 2s));
}

TEST(a_back_end_marked_unhealthy, recovers_after_three_consecutive_answers)
{
    this->record_result(request_result::answered);
    this->record_result(request_result::answered);
    this->record_result(request_result::failed);
    this->record_result(request_result::answered);
    CHECK(!this->record_result(request_result::answered));
    CHECK(this->record_result(request_result::answered));
    CHECK(!this->health.is_unhealthy());
}

TEST(a_back_end_marked_unhealthy, starts_without_failures_after_its_recovery)
{
    this->record_answers(3);
    CHECK(!this->record_result(request_result::failed));
}

// ---- load patterns ------------------------------------------------------

namespace {

peer_address const notice_route{0xC6120001, 443};
peer_address const renewal_route{0xC6120001, 444};

constexpr int data_centres = 4;
constexpr std::size_t target_count = 12;

// Twelve targets at half load for fifteen seconds. From the fifth second to the
// tenth, some back ends fail their requests without delay.
struct a_service_with_failing_back_ends : Utest
{
    struct run_report
    {
        std::size_t failed_renewals = 0;
        std::size_t late_count = 0;
        std::size_t in_time_count = 0;
        std::size_t requests_at_failing = 0;
        auto operator<=>(run_report const&) const = default;
    };

    static run_report run(std::size_t failing_count, double failure_share,
                          bool detects_failures)
    {
        fake_connections<> fleet{11};
        if (!detects_failures)
            fleet.target_settings.health.min_failures = SIZE_MAX;
        std::size_t const notice = fleet.add_kind(
            {notice_route, "members", 13ms, 100ms, 1s, 2, true, 1, 0.1});
        std::size_t const renewal = fleet.add_kind(
            {renewal_route, "members", 17ms, 120ms, 1200ms, 1, false, 2, 0.2});
        for (int data_centre : {0, 1, 2, 3})
            fleet.add_entry(data_centre);
        for (std::size_t i = 0; i < target_count; ++i)
            fleet.add_target("members", static_cast<int>(i % data_centres));
        fleet.publish();
        fleet.run_for(2s);
        fleet.add_load(notice, 600, 15s, data_centres);
        fleet.add_load(renewal, 170, 15s, data_centres);
        fleet.run_for(5s);
        time_point const from = fleet.now();
        for (std::size_t i = 0; i < failing_count; ++i)
            fleet.set_reset_share(i, failure_share);
        fleet.run_for(5s);
        time_point const until = fleet.now();
        for (std::size_t i = 0; i < failing_count; ++i)
            fleet.set_reset_share(i, 0);
        fleet.run_for(8s);
        run_report report{.late_count = fleet.count_requests(
                              completion_status::late, from, until),
                          .in_time_count = fleet.count_requests(
                              completion_status::in_time, from, until),
                          .requests_at_failing = fleet.back_end_resets};
        for (simulated_request const& one : fleet.requests)
            report.failed_renewals += one.kind == renewal &&
                                      one.requested_at >= from &&
                                      one.requested_at < until &&
                                      one.status == completion_status::failed;
        return report;
    }
};

}  // namespace

SECTION(back_ends_that_fail_quickly, a_service_with_failing_back_ends){};

TEST(back_ends_that_fail_quickly, attract_requests_without_detection)
{
    run_report const report = run(2, 1, false);
    // They have a sixth of the slots and always report free ones.
    CHECK(report.requests_at_failing > 600);
}

TEST(back_ends_that_fail_quickly, get_few_requests_with_detection)
{
    run_report const before = run(2, 1, false);
    run_report const after = run(2, 1, true);
    CHECK(after.requests_at_failing * 8 < before.requests_at_failing);
    CHECK(after.failed_renewals * 8 < before.failed_renewals);
    CHECK(after.in_time_count > before.in_time_count);
}

TEST(back_ends_that_fail_quickly,
     lose_fewer_requests_when_half_of_their_requests_fail)
{
    run_report const before = run(2, 0.5, false);
    run_report const after = run(2, 0.5, true);
    CHECK(after.failed_renewals * 3 < before.failed_renewals);
}

// If all back ends of a service fail, no target serves a request better.
TEST(back_ends_that_fail_quickly, are_all_used_when_all_of_them_fail)
{
    run_report const before = run(target_count, 0.3, false);
    run_report const after = run(target_count, 0.3, true);
    CHECK(after.in_time_count * 20 >= before.in_time_count * 19);
}

TEST(back_ends_that_fail_quickly, lose_no_requests_at_a_low_failure_rate)
{
    run_report const before = run(target_count, 0.03, false);
    run_report const after = run(target_count, 0.03, true);
    CHECK(after.in_time_count * 100 >= before.in_time_count * 99);
}

namespace {

// All back ends of a service become five times slower.
struct a_slow_service : Utest
{
    fake_connections<> fleet{11};

    std::size_t in_time_count(bool detects_failures)
    {
        this->fleet = fake_connections<>{11};
        if (!detects_failures)
            this->fleet.target_settings.health.min_failures = SIZE_MAX;
        std::size_t const notice = this->fleet.add_kind(
            {notice_route, "members", 13ms, 100ms, 1s, 2, true, 1, 0.1});
        for (int data_centre : {0, 1, 2, 3})
            this->fleet.add_entry(data_centre);
        for (std::size_t i = 0; i < target_count; ++i)
            this->fleet.add_target("members",
                                   static_cast<int>(i % data_centres));
        this->fleet.publish();
        this->fleet.is_recording_notes = true;
        this->fleet.run_for(2s);
        this->fleet.add_load(notice, 200, 5s, data_centres);
        for (std::size_t i = 0; i < target_count; ++i)
            this->fleet.slow_back_end(i, 5);
        this->fleet.run_for(6s);
        return this->fleet.count_requests(completion_status::in_time,
                                          time_point{}, this->fleet.now());
    }
};

}  // namespace

SECTION(a_service_that_is_slow_as_a_whole, a_slow_service){};

// The service is overloaded; no back end fails.
TEST(a_service_that_is_slow_as_a_whole, is_not_marked_unhealthy)
{
    std::size_t const without_detection = this->in_time_count(false);
    CHECK(this->in_time_count(true) * 100 >= without_detection * 99);
    for (tracking_note const& note : this->fleet.tracking_notes)
        CHECK(note.result != tracking_result::unwell);
}

namespace {

// ---- back ends that accept late -----------------------------------------

// Load pattern: on a saturated machine a back end accepts a connection after
// 40 ms (soak-limits, seed 900: three back ends accepted the same connection,
// because each target had placed it elsewhere after 20 ms).
struct a_back_end_monitor : Utest
{
    time_point now{100s};
    std::uint16_t port = 1024;
    back_end_monitor monitor = {};

    // Returns whether the opening packet became overdue before the back end
    // accepted it.
    bool is_overdue_when_accepted_after(duration took)
    {
        connection_endpoints const endpoints{{0x64400001, ++this->port},
                                             {0xC6120001, 443}};
        this->monitor.record_open(endpoints, "open", this->now);
        this->now += took;
        bool const is_overdue = !this->monitor.take_overdue(this->now).empty();
        this->monitor.record_packet(endpoints, this->now);
        return is_overdue;
    }
};

}  // namespace

SECTION(a_slow_back_end, a_back_end_monitor){};

TEST(a_slow_back_end, is_given_up_only_before_its_accept_times_are_known)
{
    CHECK(this->is_overdue_when_accepted_after(40ms));
    for (int i = 0; i < 50; ++i)
        CHECK(!this->is_overdue_when_accepted_after(40ms));
}

TEST(a_slow_back_end, is_given_up_when_it_takes_longer_than_callers_wait)
{
    for (int i = 0; i < 10; ++i)
        CHECK(this->is_overdue_when_accepted_after(200ms));
}

TEST(a_slow_back_end, is_given_up_early_again_once_it_is_fast)
{
    this->is_overdue_when_accepted_after(100ms);
    for (int i = 0; i < 60; ++i)
        this->is_overdue_when_accepted_after(300us);
    CHECK(this->is_overdue_when_accepted_after(20ms));
}
