// How fast the service-level objectives of routes burn their error budgets,
// from the log lines of entries and targets.
//
// Index
//   route_objective     what is owed to the requests of a route
//   report_settings     JSON with comments
//   logged_outcome      what one log line says of a request
//   log_outcome_reader      joins the lines of one connection
//   route_burn_rate            the report of one route
//   burn_rate_report         the aggregate
#pragma once

#include "base/values.hpp"
#include "documents/checked_json.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- route_objective ----------------------------------------------------

struct route_objective
{
    peer_address route = {};
    duration max_latency = {};  // until the answer begins, at the target
    double good_ratio = 0;      // of the requests, answered within it
    auto operator<=>(route_objective const&) const = default;
};

// ---- report_settings ----------------------------------------------------

struct report_settings
{
    std::vector<duration> windows = {};  // of which the worst is told
    std::vector<route_objective> objectives = {};
    auto operator<=>(report_settings const&) const = default;
};

std::optional<report_settings> parse_report_settings(json_checker& checker,
                                                     std::string const& text);

// ---- logged_outcome -----------------------------------------------------

struct logged_outcome
{
    peer_address route = {};
    time_point at = {};  // by the line's time stamp
    bool is_answered = false;
    duration latency = {};  // waiting and running, when answered
    auto operator<=>(logged_outcome const&) const = default;
};

// ---- log_outcome_reader -------------------------------------------------

// What can't be read and what budgets have left out is counted.
class log_outcome_reader
{
public:
    std::optional<logged_outcome> read(std::string const& line);

    std::size_t unreadable_lines() const;
    std::size_t suppressed_lines() const;

private:
    static constexpr std::size_t max_connections = 100'000;  // connections

    std::map<std::string, duration> wait_by_connection = {};  // by connection
    std::size_t unreadable_count = 0;
    std::size_t suppressed_count = 0;
};

// ---- route_burn_rate ----------------------------------------------------

struct route_burn_rate
{
    route_objective objective = {};
    std::size_t request_count = 0;
    std::size_t good_requests = 0;
    double budget_used_ratio = 0;  // 1: all of it
    std::vector<double> worst_burn_rates =
        {};  // burn rate, by window; 1: as allowed
    auto operator<=>(route_burn_rate const&) const = default;
};

std::string to_text(route_burn_rate const& row,
                    report_settings const& settings);

// ---- burn_rate_report ---------------------------------------------------

class burn_rate_report
{
public:
    explicit burn_rate_report(report_settings settings);

    // Outcomes of routes without an objective are passed over.
    void add(logged_outcome const& outcome);

    std::vector<route_burn_rate> build_rows() const;

private:
    struct rated_request
    {
        time_point at = {};
        bool is_good = false;
        auto operator<=>(rated_request const&) const = default;
    };

    double find_worst_burn_rate(std::vector<rated_request> const& requests,
                                duration window, double good_ratio) const;

    report_settings settings;
    std::map<peer_address, std::vector<rated_request>> requests = {};
};

}  // namespace lagoon
