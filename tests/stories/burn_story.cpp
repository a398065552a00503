#include "report/burn.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

peer_address const route{0xC6120001, 443};

std::string line(std::string const& event, double time, std::string const& more)
{
    return R"({"time":)" + std::to_string(time) +
           R"(,"process":"p","event":")" + event +
           R"(","connection":"100.64.0.1:1024-198.18.0.1:443")" + more + "}";
}

// ---- log lines ----------------------------------------------------------

struct a_reader_of_logs : Utest
{
    log_outcome_reader reader = {};
};

}  // namespace

SECTION(a_line_of_a_log, a_reader_of_logs){};

TEST(a_line_of_a_log, tells_of_an_answer_with_the_wait_before_it)
{
    CHECK(!this->reader.read(line("dequeued", 10, R"(,"took_ms":30.5)")));
    std::optional<logged_outcome> const outcome =
        this->reader.read(line("answered", 10.1, R"(,"took_ms":12)"));
    CHECK(outcome.has_value());
    CHECK(outcome->route == route);
    CHECK(outcome->is_answered);
    CHECK(outcome->latency == 42500us);
}

TEST(a_line_of_a_log, tells_of_a_refusal_once)
{
    CHECK(!this->reader.read(line("refused", 10, R"(,"load":8,"slots":2)")));
    std::optional<logged_outcome> const outcome =
        this->reader.read(line("refused", 10, R"(,"generation":7)"));
    CHECK(outcome.has_value() && !outcome->is_answered);
}

TEST(a_line_of_a_log, may_be_of_something_else)
{
    CHECK(!this->reader.read(line("placed", 10, "")));
    CHECK(!this->reader.read(R"({"time":1,"event":"started"})"));
    UNSIGNED_LONGS_EQUAL(0, this->reader.unreadable_lines());
}

TEST(a_line_of_a_log, is_counted_when_it_cannot_be_read)
{
    CHECK(!this->reader.read("no JSON"));
    CHECK(!this->reader.read("[]"));
    CHECK(!this->reader.read(R"({"event":"answered"})"));
    CHECK(!this->reader.read(R"({"time":1,"event":)" + std::string(2000, '[')));
    UNSIGNED_LONGS_EQUAL(4, this->reader.unreadable_lines());
}

TEST(a_line_of_a_log, is_of_no_connection_when_that_is_no_text)
{
    CHECK(!this->reader.read(
        R"({"time":1,"event":"answered","connection":["a-b"]})"));
}

TEST(a_line_of_a_log, says_how_many_others_are_missing)
{
    CHECK(
        !this->reader.read(R"({"time":1,"event":"log_budget","left_out":17})"));
    UNSIGNED_LONGS_EQUAL(17, this->reader.suppressed_lines());
}

// ---- the report ---------------------------------------------------------

namespace {

// Nine in ten are to be answered within 100 ms.
struct a_report : Utest
{
    burn_rate_report report{{{10s, 60s}, {{route, 100ms, 0.9}}}};

    void requests(int count, double from, bool good)
    {
        for (int i = 0; i < count; ++i)
            this->report.add({route,
                              time_point{duration{static_cast<std::int64_t>(
                                  (from + i * 0.1) * 1e6)}},
                              true, good ? 100ms : 101ms});
    }
};

}  // namespace

SECTION(a_report_of_burn, a_report){};

TEST(a_report_of_burn, uses_the_budget_as_allowed)
{
    this->requests(900, 0, true);
    this->requests(100, 90, false);
    route_burn_rate const row = this->report.build_rows().at(0);
    UNSIGNED_LONGS_EQUAL(1000, row.request_count);
    UNSIGNED_LONGS_EQUAL(900, row.good_requests);
    DOUBLES_EQUAL(1, row.budget_used_ratio, 0.001);
}

TEST(a_report_of_burn, tells_the_worst_window_of_each_length)
{
    this->requests(900, 0, true);
    this->requests(100, 90, false);
    route_burn_rate const row = this->report.build_rows().at(0);
    // All of the last ten seconds, and a sixth of the last minute.
    DOUBLES_EQUAL(10, row.worst_burn_rates.at(0), 0.001);
    DOUBLES_EQUAL(10.0 / 6, row.worst_burn_rates.at(1), 0.02);
}

TEST(a_report_of_burn, says_nothing_of_a_few_requests)
{
    this->requests(5, 0, false);
    DOUBLES_EQUAL(0, this->report.build_rows().at(0).worst_burn_rates.at(0),
                  0.001);
}

TEST(a_report_of_burn, passes_over_routes_without_an_objective)
{
    this->report.add({{1, 2}, {}, false, {}});
    UNSIGNED_LONGS_EQUAL(0, this->report.build_rows().at(0).request_count);
}

SECTION(the_settings_of_a_report, Utest){};

TEST(the_settings_of_a_report, are_read_with_comments)
{
    json_checker checker{"report"};
    std::optional<report_settings> const settings =
        parse_report_settings(checker, R"({"windows_s": [60], // short
        "objectives": [{"route": "198.18.0.1:443", "latency_ms": 100,
                        "good_per_mille": 990}]})");
    CHECK(settings.has_value());
    CHECK(settings->objectives.at(0) == (route_objective{route, 100ms, 0.99}));
}

TEST(the_settings_of_a_report, name_all_that_is_wrong)
{
    json_checker checker{"report"};
    CHECK(!parse_report_settings(checker, R"({"windows_s": [0, "x"],
        "objectives": [{"route": "here", "latency_ms": 0,
                        "good_per_mille": 1000}]})"));
    UNSIGNED_LONGS_EQUAL(5, checker.problems().size());
}
