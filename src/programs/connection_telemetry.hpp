// Metrics and log lines of the processes that carry connections without tokens.
//
// Index
//   to_text              names of results and changes in metrics and log lines
//   connection_metrics   counters and histograms
//   write_log_line       writes one decision or failure to the log
#pragma once

#include "entry/connection_entry.hpp"
#include "target/connection_target.hpp"
#include "telemetry/exposition.hpp"
#include "telemetry/logging.hpp"

#include <array>
#include <string>
#include <string_view>

namespace lagoon {

// ---- to_text ------------------------------------------------------------

char const* to_text(placement_result value);
char const* to_text(tracking_result value);
char const* to_text(status_change value);
char const* to_text(placement_site value);

// ---- connection_metrics -------------------------------------------------

class connection_metrics
{
public:
    void record(placement_note const& note);
    void record(tracking_note const& note);
    void record(status_change_note const& note);
    void record(report_failure const& note);

    // Returns all counters and histograms; the program adds its gauges.
    exposition_writer make_exposition() const;

private:
    static constexpr std::size_t placement_results =
        static_cast<std::size_t>(placement_result::returned) + 1;
    static constexpr std::size_t tracking_results =
        static_cast<std::size_t>(tracking_result::table_full) + 1;
    static constexpr std::size_t status_changes =
        static_cast<std::size_t>(status_change::home_empty) + 1;

    static constexpr std::size_t placement_sites =
        static_cast<std::size_t>(placement_site::home_empty) + 1;

    std::array<std::uint64_t, placement_results> placement_counts = {};
    std::array<std::uint64_t, placement_sites> site_counts = {};
    std::array<std::uint64_t, tracking_results> tracking_counts = {};
    std::array<std::uint64_t, status_changes> status_change_counts = {};
    std::uint64_t failure_count = 0;
    latency_histogram placing_time = {};  // until a target answered
    latency_histogram waiting_time = {};  // queued at a target
    latency_histogram running_time = {};  // first data of request to answer
};

// ---- write_log_line -----------------------------------------------------

void write_log_line(component_log const& log, placement_note const& note);
void write_log_line(component_log const& log, tracking_note const& note,
                    std::string_view request_id);
void write_log_line(component_log const& log, status_change_note const& note);
void write_log_line(component_log const& log, report_failure const& note);

}  // namespace lagoon
