// What the processes that carry connections log and count of their decisions.
//
// Index
//   connection_metrics   counters and histograms
//   write_note           a decision as a line
#pragma once

#include "entry/connection_entry.hpp"
#include "target/connection_target.hpp"
#include "telemetry/exposition.hpp"
#include "telemetry/logging.hpp"

#include <array>
#include <string>
#include <string_view>

namespace lagoon {

char const* to_text(placement_result value);
char const* to_text(tracking_result value);
char const* to_text(status_change value);

// ---- connection_metrics -------------------------------------------------

class connection_metrics
{
public:
    void count(placement_note const& note);
    void count(tracking_note const& note);
    void count(note_failure const& what);

    // Everything but what the caller adds.
    exposition text() const;

private:
    static constexpr std::size_t placement_results =
        static_cast<std::size_t>(placement_result::returned) + 1;
    static constexpr std::size_t tracking_results =
        static_cast<std::size_t>(tracking_result::table_full) + 1;

    std::array<std::uint64_t, placement_results> placements = {};
    std::array<std::uint64_t, tracking_results> trackings = {};
    std::uint64_t failures = 0;
    latency_histogram placed = {};   // arrival to a target's word
    latency_histogram waited = {};   // arrival at a target to a slot
    latency_histogram running = {};  // a request's first data to its answer's
};

// ---- write_note ---------------------------------------------------------

void write_note(part_log const& log, placement_note const& note);
void write_note(part_log const& log, tracking_note const& note,
                std::string_view request_id);
void write_note(part_log const& log, status_change_note const& note);
void write_note(part_log const& log, note_failure const& note);

}  // namespace lagoon
