#include "report/burn.hpp"

#include <algorithm>
#include <cstdio>

namespace lagoon {

namespace {

// A window with fewer requests is too small for a meaningful rate.
constexpr std::size_t min_requests_in_window = 20;

report_settings read_settings(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"windows_s", "objectives"});
    report_settings settings{};
    for (json_node const& window : checker.read_list(object, "windows_s")) {
        if (window.value->isUInt() && window.value->asUInt() > 0)
            settings.windows.push_back(
                std::chrono::seconds{window.value->asUInt()});
        else
            checker.add_problem(window, "a number of seconds above 0");
    }
    for (json_node const& objective : checker.read_list(object, "objectives")) {
        checker.check_keys(objective,
                           {"route", "latency_ms", "good_per_mille"});
        constexpr double per_mille = 1000;
        settings.objectives.push_back(
            {checker.read_address(objective, "route"),
             checker.read_duration(objective, "latency_ms",
                                   std::chrono::milliseconds{1}),
             static_cast<double>(
                 checker.read_number(objective, "good_per_mille", {1, 999})) /
                 per_mille});
    }
    return settings;
}

// Returns a number of `unit`s; nothing if the value isn't a number, is negative or
// exceeds max_duration.
std::optional<duration> parse_span(Json::Value const& value, duration unit)
{
    if (!value.isNumeric())
        return std::nullopt;
    double const count = value.asDouble() * static_cast<double>(unit.count());
    bool const is_valid =
        count >= 0 && count <= static_cast<double>(max_duration.count());
    return is_valid ? std::optional{duration{static_cast<std::int64_t>(count)}}
                    : std::nullopt;
}

struct parsed_line
{
    Json::Value fields = {};
    time_point at = {};
    duration elapsed = {};  // 0 if the line doesn't tell
};

std::optional<parsed_line> parse_log_line(std::string const& line)
{
    std::optional<Json::Value> const fields = parse_json_object(line);
    if (!fields || !(*fields)["event"].isString())
        return std::nullopt;
    std::optional<duration> const at =
        parse_span((*fields)["time"], std::chrono::seconds{1});
    std::optional<duration> const elapsed =
        fields->isMember("took_ms")
            ? parse_span((*fields)["took_ms"], std::chrono::milliseconds{1})
            : duration{};
    if (!at || !elapsed)
        return std::nullopt;
    return parsed_line{*fields, time_point{*at}, *elapsed};
}

std::string get_string_or_empty(Json::Value const& value)
{
    return value.isString() ? value.asString() : std::string{};
}

// Returns whether an event means that an entry gave up a request, or that a
// target's back end lost it. Refusals of targets are not counted, because the
// entry logs them as well. Only lines of entries have a generation.
bool is_failure(Json::Value const& line, std::string const& event)
{
    bool const is_from_entry = line.isMember("generation");
    return (event == "refused" && is_from_entry) || event == "dropped" ||
           event == "owner_lost" || event == "gone";
}

}  // namespace

std::optional<report_settings> parse_report_settings(json_checker& checker,
                                                     std::string const& text)
{
    return parse_checked(checker, text, read_settings);
}

// ---- log_outcome_reader -------------------------------------------------

std::optional<logged_outcome> log_outcome_reader::read(std::string const& line)
{
    std::optional<parsed_line> const parsed = parse_log_line(line);
    if (!parsed) {
        ++this->unreadable_count;
        return std::nullopt;
    }
    Json::Value const& fields = parsed->fields;
    std::string const event = fields["event"].asString();
    if (event == "log_budget" && fields["left_out"].isUInt64())
        this->suppressed_count += fields["left_out"].asUInt64();
    std::string const connection = get_string_or_empty(fields["connection"]);
    std::size_t const dash = connection.find('-');
    std::optional<peer_address> const route =
        dash == std::string::npos ? std::nullopt
                                  : parse_address(connection.substr(dash + 1));
    if (!route)
        return std::nullopt;
    if (event == "dequeued" &&
        this->wait_by_connection.size() < max_connections)
        this->wait_by_connection[connection] = parsed->elapsed;
    bool const is_answered = event == "answered";
    if (!is_answered && !is_failure(fields, event))
        return std::nullopt;
    duration const wait_time = this->wait_by_connection[connection];
    this->wait_by_connection.erase(connection);
    return logged_outcome{*route, parsed->at, is_answered,
                          wait_time + parsed->elapsed};
}

std::size_t log_outcome_reader::unreadable_lines() const
{
    return this->unreadable_count;
}

std::size_t log_outcome_reader::suppressed_lines() const
{
    return this->suppressed_count;
}

// ---- burn_rate_report ---------------------------------------------------

burn_rate_report::burn_rate_report(report_settings settings)
    : settings(std::move(settings))
{
}

void burn_rate_report::add(logged_outcome const& outcome)
{
    for (route_objective const& objective : this->settings.objectives)
        if (objective.route == outcome.route)
            this->requests[objective.route].push_back(
                {outcome.at, outcome.is_answered &&
                                 outcome.latency <= objective.max_latency});
}

double burn_rate_report::find_worst_burn_rate(
    std::vector<rated_request> const& requests, duration window,
    double good_ratio) const
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
        if (count >= min_requests_in_window)
            worst = std::max(worst, share / (1 - good_ratio));
    }
    return worst;
}

std::vector<route_burn_rate> burn_rate_report::build_rows() const
{
    std::vector<route_burn_rate> rows;
    for (route_objective const& objective : this->settings.objectives) {
        auto const found = this->requests.find(objective.route);
        std::vector<rated_request> sorted;
        if (found != this->requests.end())
            sorted = found->second;
        std::sort(sorted.begin(), sorted.end());
        route_burn_rate row{.objective = objective,
                            .request_count = sorted.size()};
        row.good_requests = static_cast<std::size_t>(std::count_if(
            sorted.begin(), sorted.end(), [](auto const& request) {
                return request.is_good;
            }));
        double const allowed =
            static_cast<double>(row.request_count) * (1 - objective.good_ratio);
        if (row.request_count > 0)
            row.budget_used_ratio =
                static_cast<double>(row.request_count - row.good_requests) /
                allowed;
        for (duration const window : this->settings.windows)
            row.worst_burn_rates.push_back(this->find_worst_burn_rate(
                sorted, window, objective.good_ratio));
        rows.push_back(row);
    }
    return rows;
}

std::string to_text(route_burn_rate const& row, report_settings const& settings)
{
    constexpr double percent = 100;
    char text[160];
    std::snprintf(text, sizeof text,
                  "%s: %zu requests, %zu within %.0f ms; budget used %.0f%%",
                  to_text(row.objective.route).c_str(), row.request_count,
                  row.good_requests,
                  static_cast<double>(row.objective.max_latency.count()) / 1000,
                  row.budget_used_ratio * percent);
    std::string line = text;
    for (std::size_t i = 0; i < row.worst_burn_rates.size(); ++i) {
        std::snprintf(text, sizeof text, "; worst %lld s burn %.1f",
                      static_cast<long long>(settings.windows[i] /
                                             std::chrono::seconds{1}),
                      row.worst_burn_rates[i]);
        line += text;
    }
    return line;
}

}  // namespace lagoon
