#include "fakes/fake_connections.hpp"
#include "story.hpp"
#include "tracking/back_end_health.hpp"

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

// A back end that has just shown that it is unwell, or hasn't yet.
struct a_back_end_in_use : Utest
{
    time_point now{100s};
    back_end_health conduct{};

    // Whether that changed how it is.
    bool ends(request_result how, duration after = 10ms)
    {
        this->now += after;
        return this->conduct.record_result(how, this->now);
    }

    void answer(int times)
    {
        for (int i = 0; i < times; ++i)
            this->ends(request_result::answered);
    }
};

}  // namespace

SECTION(a_back_end_that_answers, a_back_end_in_use){};

TEST(a_back_end_that_answers, is_well)
{
    this->answer(50);
    CHECK(!this->conduct.is_unhealthy());
}

TEST(a_back_end_that_answers, is_well_with_one_failure)
{
    CHECK(!this->ends(request_result::failed));
    this->answer(7);
    CHECK(!this->ends(request_result::failed));
}

TEST(a_back_end_that_answers, is_well_when_one_in_twenty_fails)
{
    for (int i = 0; i < 200; ++i)
        this->ends(i % 20 == 0 ? request_result::failed
                               : request_result::answered);
    CHECK(!this->conduct.is_unhealthy());
}

TEST(a_back_end_that_answers, is_well_when_the_failures_are_old)
{
    this->ends(request_result::failed);
    CHECK(!this->ends(request_result::failed, 2100ms));
}

SECTION(a_back_end_that_fails, a_back_end_in_use){};

TEST(a_back_end_that_fails, is_unwell_after_two)
{
    CHECK(!this->ends(request_result::failed));
    CHECK(this->ends(request_result::failed));
    CHECK(this->conduct.is_unhealthy());
}

TEST(a_back_end_that_fails, is_unwell_when_every_other_one_fails)
{
    this->answer(8);
    for (int i = 0; i < 3; ++i) {
        this->ends(request_result::failed);
        this->ends(request_result::answered);
    }
    CHECK(this->conduct.is_unhealthy());
}

namespace {

struct an_unwell_back_end : a_back_end_in_use
{
    void setup() override
    {
        this->ends(request_result::failed);
        this->ends(request_result::failed);
    }
};

}  // namespace

SECTION(an_unwell_back_end_is, an_unwell_back_end){};

TEST(an_unwell_back_end_is, tried_now_and_then)
{
    CHECK(!this->conduct.may_send_trial(true, this->now + 249ms));
    CHECK(this->conduct.may_send_trial(true, this->now + 250ms));
    this->conduct.record_trial(this->now + 250ms);
    CHECK(!this->conduct.may_send_trial(true, this->now + 499ms));
}

TEST(an_unwell_back_end_is, tried_with_what_may_run_once_only_for_want_of_else)
{
    CHECK(!this->conduct.may_send_trial(false, this->now + 1999ms));
    CHECK(this->conduct.may_send_trial(false, this->now + 2s));
}

TEST(an_unwell_back_end_is, well_again_after_three_answers_in_a_row)
{
    this->ends(request_result::answered);
    this->ends(request_result::answered);
    this->ends(request_result::failed);
    this->ends(request_result::answered);
    CHECK(!this->ends(request_result::answered));
    CHECK(this->ends(request_result::answered));
    CHECK(!this->conduct.is_unhealthy());
}

TEST(an_unwell_back_end_is, judged_anew_once_it_is_well)
{
    this->answer(3);
    CHECK(!this->ends(request_result::failed));
}

// ---- the load pattern ---------------------------------------------------

namespace {

peer_address const notices{0xC6120001, 443};
peer_address const renewals{0xC6120001, 444};

constexpr int data_centres = 4;
constexpr std::size_t target_count = 12;

// Twelve targets at half of what they can do, of which some fail at once what
// they are given, as of five seconds in fifteen.
struct a_service_with_failing_back_ends : Utest
{
    struct day_report
    {
        std::size_t renewals_failed = 0;
        std::size_t late = 0;
        std::size_t in_time = 0;
        std::size_t at_failing = 0;  // requests that failing back ends got
        auto operator<=>(day_report const&) const = default;
    };

    static day_report play(std::size_t failing, double share, bool notices_it)
    {
        fake_connections<> fleet{11};
        if (!notices_it)
            fleet.target_settings.conduct.min_failures = SIZE_MAX;
        std::size_t const notice = fleet.add_kind(
            {notices, "members", 13ms, 100ms, 1s, 2, true, 1, 0.1});
        std::size_t const renewal = fleet.add_kind(
            {renewals, "members", 17ms, 120ms, 1200ms, 1, false, 2, 0.2});
        for (int data_centre : {0, 1, 2, 3})
            fleet.add_entry(data_centre);
        for (std::size_t i = 0; i < target_count; ++i)
            fleet.add_target("members", static_cast<int>(i % data_centres));
        fleet.publish();
        fleet.run_for(2s);
        fleet.load(notice, 600, 15s, data_centres);
        fleet.load(renewal, 170, 15s, data_centres);
        fleet.run_for(5s);
        time_point const from = fleet.now();
        for (std::size_t i = 0; i < failing; ++i)
            fleet.break_off_at(i, share);
        fleet.run_for(5s);
        time_point const upto = fleet.now();
        for (std::size_t i = 0; i < failing; ++i)
            fleet.break_off_at(i, 0);
        fleet.run_for(8s);
        day_report report{.late = fleet.count(request_end::late, from, upto),
                          .in_time =
                              fleet.count(request_end::in_time, from, upto),
                          .at_failing = fleet.broken_off};
        for (finished_request const& one : fleet.requests)
            report.renewals_failed += one.kind == renewal &&
                                      one.begun >= from && one.begun < upto &&
                                      one.end == request_end::failed;
        return report;
    }
};

}  // namespace

SECTION(back_ends_that_fail_what_they_get, a_service_with_failing_back_ends){};

TEST(back_ends_that_fail_what_they_get, draw_work_while_nobody_notices)
{
    day_report const day = play(2, 1, false);
    // They have a sixth of the slots, and seem free all the time.
    CHECK(day.at_failing > 600);
}

TEST(back_ends_that_fail_what_they_get, get_little_once_that_is_noticed)
{
    day_report const before = play(2, 1, false);
    day_report const after = play(2, 1, true);
    CHECK(after.at_failing * 8 < before.at_failing);
    CHECK(after.renewals_failed * 8 < before.renewals_failed);
    CHECK(after.in_time > before.in_time);
}

TEST(back_ends_that_fail_what_they_get, get_less_when_every_other_one_fails)
{
    day_report const before = play(2, 0.5, false);
    day_report const after = play(2, 0.5, true);
    CHECK(after.renewals_failed * 3 < before.renewals_failed);
}

// All of a service that fails is no outlier: nobody is better off elsewhere.
TEST(back_ends_that_fail_what_they_get, are_all_used_when_all_of_them_fail)
{
    day_report const before = play(target_count, 0.3, false);
    day_report const after = play(target_count, 0.3, true);
    CHECK(after.in_time * 20 >= before.in_time * 19);
}

TEST(back_ends_that_fail_what_they_get, lose_nothing_by_a_small_share)
{
    day_report const before = play(target_count, 0.03, false);
    day_report const after = play(target_count, 0.03, true);
    CHECK(after.in_time * 100 >= before.in_time * 99);
}

namespace {

// All of a service is five times slower for a while.
struct a_slow_service : Utest
{
    fake_connections<> fleet{11};

    std::size_t in_time(bool notices_failures)
    {
        this->fleet = fake_connections<>{11};
        if (!notices_failures)
            this->fleet.target_settings.conduct.min_failures = SIZE_MAX;
        std::size_t const notice = this->fleet.add_kind(
            {notices, "members", 13ms, 100ms, 1s, 2, true, 1, 0.1});
        for (int data_centre : {0, 1, 2, 3})
            this->fleet.add_entry(data_centre);
        for (std::size_t i = 0; i < target_count; ++i)
            this->fleet.add_target("members",
                                   static_cast<int>(i % data_centres));
        this->fleet.publish();
        this->fleet.keeps_notes = true;
        this->fleet.run_for(2s);
        this->fleet.load(notice, 200, 5s, data_centres);
        for (std::size_t i = 0; i < target_count; ++i)
            this->fleet.slow_back_end(i, 5);
        this->fleet.run_for(6s);
        return this->fleet.count(request_end::in_time, time_point{},
                                 this->fleet.now());
    }
};

}  // namespace

SECTION(a_whole_service_that_is_slow, a_slow_service){};

// Overloaded, and nobody's fault.
TEST(a_whole_service_that_is_slow, is_not_taken_for_failing)
{
    std::size_t const without = this->in_time(false);
    CHECK(this->in_time(true) * 100 >= without * 99);
    for (tracking_note const& note : this->fleet.trackings)
        CHECK(note.result != tracking_result::unwell);
}
