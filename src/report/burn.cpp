#include "report/burn.hpp"

#include <algorithm>
#include <cstdio>

namespace lagoon {

namespace {

// Fewer requests than this in a window say nothing about a rate.
constexpr std::size_t least_in_window = 20;

report_settings read_settings(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"windows_s", "objectives"});
    report_settings settings{};
    for (json_node const& one : checker.read_list(object, "windows_s")) {
        if (one.value->isUInt() && one.value->asUInt() > 0)
            settings.windows.push_back(
                std::chrono::seconds{one.value->asUInt()});
        else
            checker.add_problem(one, "a number of seconds above 0");
    }
    for (json_node const& one : checker.read_list(object, "objectives")) {
        checker.check_keys(one, {"route", "latency_ms", "good_per_mille"});
        constexpr double whole = 1000;
        settings.objectives.push_back(
            {checker.read_address(one, "route"),
             checker.read_duration(one, "latency_ms",
                                   std::chrono::milliseconds{1}),
             static_cast<double>(
                 checker.read_number(one, "good_per_mille", {1, 999})) /
                 whole});
    }
    return settings;
}

std::optional<Json::Value> parse_line(std::string const& line)
{
    std::optional<Json::Value> value = parse_json_object(line);
    bool const is_line =
        value && (*value)["event"].isString() && (*value)["time"].isNumeric();
    return is_line ? value : std::nullopt;
}

std::string text_of(Json::Value const& value)
{
    return value.isString() ? value.asString() : std::string{};
}

duration milliseconds_of(Json::Value const& value)
{
    constexpr double microseconds = 1000;
    return value.isNumeric() ? duration{static_cast<std::int64_t>(
                                   value.asDouble() * microseconds)}
                             : duration{};
}

// An entry that gave a request up, or a target whose back end lost it. A
// target's own refusal comes back as its entry's line.
bool is_failure(Json::Value const& line, std::string const& event)
{
    bool const is_of_entry = line.isMember("generation");
    return (event == "refused" && is_of_entry) || event == "dropped" ||
           event == "owner_lost" || event == "gone";
}

}  // namespace

std::optional<report_settings> parse_report_settings(json_checker& checker,
                                                     std::string const& text)
{
    return parse_checked(checker, text, read_settings);
}

// ---- outcome_reader -----------------------------------------------------

std::optional<logged_outcome> outcome_reader::read(std::string const& line)
{
    std::optional<Json::Value> const parsed = parse_line(line);
    if (!parsed) {
        ++this->bad_lines;
        return std::nullopt;
    }
    std::string const event = (*parsed)["event"].asString();
    if (event == "log_budget" && (*parsed)["left_out"].isUInt64())
        this->lines_left_out += (*parsed)["left_out"].asUInt64();
    std::string const connection = text_of((*parsed)["connection"]);
    std::size_t const dash = connection.find('-');
    std::optional<peer_address> const route =
        dash == std::string::npos ? std::nullopt
                                  : parse_address(connection.substr(dash + 1));
    if (!route)
        return std::nullopt;
    duration const took = milliseconds_of((*parsed)["took_ms"]);
    if (event == "dequeued" && this->waits.size() < most_waits)
        this->waits[connection] = took;
    bool const is_answered = event == "answered";
    if (!is_answered && !is_failure(*parsed, event))
        return std::nullopt;
    constexpr double microseconds = 1e6;
    time_point const at{duration{static_cast<std::int64_t>(
        (*parsed)["time"].asDouble() * microseconds)}};
    duration const waited = this->waits[connection];
    this->waits.erase(connection);
    return logged_outcome{*route, at, is_answered, waited + took};
}

std::size_t outcome_reader::unreadable() const
{
    return this->bad_lines;
}

std::size_t outcome_reader::left_out() const
{
    return this->lines_left_out;
}

// ---- burn_report --------------------------------------------------------

burn_report::burn_report(report_settings settings)
    : settings(std::move(settings))
{
}

void burn_report::add(logged_outcome const& outcome)
{
    for (route_objective const& one : this->settings.objectives)
        if (one.route == outcome.route)
            this->requests[one.route].push_back(
                {outcome.at,
                 outcome.is_answered && outcome.took <= one.latency});
}

double burn_report::worst_rate(std::vector<judged_request> const& requests,
                               duration window, double good_share) const
{
    double worst = 0;
    std::size_t bad = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        bad += !requests[i].is_good;
        while (requests[i].at - requests[first].at >= window)
            bad -= !requests[first++].is_good;
        std::size_t const count = i - first + 1;
        double const share =
            static_cast<double>(bad) / static_cast<double>(count);
        if (count >= least_in_window)
            worst = std::max(worst, share / (1 - good_share));
    }
    return worst;
}

std::vector<burn_row> burn_report::rows() const
{
    std::vector<burn_row> rows;
    for (route_objective const& one : this->settings.objectives) {
        auto const found = this->requests.find(one.route);
        std::vector<judged_request> sorted;
        if (found != this->requests.end())
            sorted = found->second;
        std::sort(sorted.begin(), sorted.end());
        burn_row row{.objective = one, .requests = sorted.size()};
        row.good = static_cast<std::size_t>(
            std::count_if(sorted.begin(), sorted.end(), [](auto const& each) {
                return each.is_good;
            }));
        double const allowed =
            static_cast<double>(row.requests) * (1 - one.good_share);
        if (row.requests > 0)
            row.budget_used =
                static_cast<double>(row.requests - row.good) / allowed;
        for (duration const window : this->settings.windows)
            row.worst.push_back(
                this->worst_rate(sorted, window, one.good_share));
        rows.push_back(row);
    }
    return rows;
}

std::string to_text(burn_row const& row, report_settings const& settings)
{
    constexpr double percent = 100;
    char text[160];
    std::snprintf(text, sizeof text,
                  "%s: %zu requests, %zu within %.0f ms; budget used %.0f%%",
                  to_text(row.objective.route).c_str(), row.requests, row.good,
                  static_cast<double>(row.objective.latency.count()) / 1000,
                  row.budget_used * percent);
    std::string line = text;
    for (std::size_t i = 0; i < row.worst.size(); ++i) {
        std::snprintf(text, sizeof text, "; worst %lld s burn %.1f",
                      static_cast<long long>(settings.windows[i] /
                                             std::chrono::seconds{1}),
                      row.worst[i]);
        line += text;
    }
    return line;
}

}  // namespace lagoon
