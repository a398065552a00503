// How fast the service-level objectives of routes burn their error budgets,
// from the log lines of entries and targets.
//
// Index
//   route_objective     what is owed to the requests of a route
//   report_settings     JSON with comments
//   logged_outcome      what one log line says of a request
//   outcome_reader      joins the lines of one connection
//   burn_row            the report of one route
//   burn_report         the aggregate
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
    duration latency = {};  // until the answer begins, at the target
    double good_share = 0;  // of the requests, answered within it
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
    duration took = {};  // waiting and running, when answered
    auto operator<=>(logged_outcome const&) const = default;
};

// ---- outcome_reader -----------------------------------------------------

// What can't be read and what budgets have left out is counted.
class outcome_reader
{
public:
    std::optional<logged_outcome> read(std::string const& line);

    std::size_t unreadable() const;
    std::size_t left_out() const;

private:
    static constexpr std::size_t most_waits = 100'000;  // connections

    std::map<std::string, duration> waits = {};  // by connection
    std::size_t bad_lines = 0;
    std::size_t lines_left_out = 0;
};

// ---- burn_row -----------------------------------------------------------

struct burn_row
{
    route_objective objective = {};
    std::size_t requests = 0;
    std::size_t good = 0;
    double budget_used = 0;          // 1: all of it
    std::vector<double> worst = {};  // burn rate, by window; 1: as allowed
    auto operator<=>(burn_row const&) const = default;
};

std::string to_text(burn_row const& row, report_settings const& settings);

// ---- burn_report --------------------------------------------------------

class burn_report
{
public:
    explicit burn_report(report_settings settings);

    // Outcomes of routes without an objective are passed over.
    void add(logged_outcome const& outcome);

    std::vector<burn_row> rows() const;

private:
    struct judged_request
    {
        time_point at = {};
        bool is_good = false;
        auto operator<=>(judged_request const&) const = default;
    };

    double worst_rate(std::vector<judged_request> const& requests,
                      duration window, double good_share) const;

    report_settings settings;
    std::map<peer_address, std::vector<judged_request>> requests = {};
};

}  // namespace lagoon
