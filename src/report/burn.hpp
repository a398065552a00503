// Burn rates of the error budgets of routes, computed from the log lines of
// entries and targets. A burn rate of 1 uses the budget up exactly.
//
// Index
//   route_objective      service-level objective of a route
//   report_settings      settings, read from JSON with comments
//   logged_outcome       outcome of a request, from a log line
//   log_outcome_reader   parses log lines
//   route_burn_rate      result for one route
//   burn_rate_report     collects outcomes and computes the results
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
    duration max_latency = {};  // until the answer starts at the target
    double good_ratio = 0;      // share of answers needed within max_latency
    auto operator<=>(route_objective const&) const = default;
};

// ---- report_settings ----------------------------------------------------

struct report_settings
{
    std::vector<duration> windows = {};  // lengths of the sliding windows
    std::vector<route_objective> objectives = {};
    auto operator<=>(report_settings const&) const = default;
};

std::optional<report_settings> parse_report_settings(json_checker& checker,
                                                     std::string const& text);

// ---- logged_outcome -----------------------------------------------------

struct logged_outcome
{
    peer_address route = {};
    time_point at = {};  // time stamp of the line
    bool is_answered = false;
    duration latency = {};  // waiting and running; valid when answered
    auto operator<=>(logged_outcome const&) const = default;
};

// ---- log_outcome_reader -------------------------------------------------

// Combines the log lines of a connection into the outcome of its request. Also
// counts lines that are unreadable, and lines that the processes suppressed to
// keep their log budgets.
class log_outcome_reader
{
public:
    // Returns the outcome if the line reports one.
    std::optional<logged_outcome> read(std::string const& line);

    std::size_t unreadable_lines() const;
    std::size_t suppressed_lines() const;

private:
    static constexpr std::size_t max_connections = 100'000;

    std::map<std::string, duration> wait_by_connection = {};
    std::size_t unreadable_count = 0;
    std::size_t suppressed_count = 0;
};

// ---- route_burn_rate ----------------------------------------------------

struct route_burn_rate
{
    route_objective objective = {};
    std::size_t request_count = 0;
    std::size_t good_requests = 0;
    double budget_used_ratio = 0;               // 1: all of the budget
    std::vector<double> worst_burn_rates = {};  // by window of the settings
    auto operator<=>(route_burn_rate const&) const = default;
};

std::string to_text(route_burn_rate const& row,
                    report_settings const& settings);

// ---- burn_rate_report ---------------------------------------------------

class burn_rate_report
{
public:
    explicit burn_rate_report(report_settings settings);

    // Ignores outcomes of routes without an objective.
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
