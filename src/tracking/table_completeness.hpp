// Whether the connection table of a target holds every connection of its back
// end. All packets of a back end pass its target, so the table is complete if
// the target process was running when the back end started. A target that was
// restarted alone knows nothing of the connections that were opened before.
//
// Model: models/lost_connections.pml, guard `complete`.
//
// Index
//   completeness_limits   bounds on restarts, clocks and connections
//   published_start       when a back end started, as told by an entry
//   table_completeness    the aggregate
#pragma once

#include "base/values.hpp"

#include <cstdint>
#include <optional>

namespace lagoon {

// ---- completeness_limits ------------------------------------------------

struct completeness_limits
{
    // Connections older than this no longer exist.
    duration max_connection_age = std::chrono::seconds{60};

    // A process that was killed isn't running again within this time. A back
    // end that started this shortly before the process therefore started after
    // the previous process had ended, as both do when power returns.
    duration min_restart_time = std::chrono::milliseconds{200};

    // The times of day of two VMs differ by less unless one of them was set.
    duration max_clock_difference = std::chrono::milliseconds{500};

    // How long start times are not trusted after clocks have disagreed.
    duration distrust_time = std::chrono::seconds{5};

    auto operator<=>(completeness_limits const&) const = default;
};

// ---- published_start ----------------------------------------------------

// All in Unix milliseconds.
struct published_start
{
    std::uint64_t back_end_started_at = 0;  // 0: unknown
    std::uint64_t sent_at = 0;              // time of day of the entry
    std::uint64_t received_at = 0;          // time of day of the target
    auto operator<=>(published_start const&) const = default;
};

// ---- table_completeness -------------------------------------------------

class table_completeness
{
public:
    // `process_started_at` is the time of day in Unix milliseconds at `now`.
    // With `is_first_start` the back end has no earlier connections.
    table_completeness(completeness_limits limits, bool is_first_start,
                       std::uint64_t process_started_at, time_point now);

    void record_published_start(published_start const& start, time_point now);

    // Records that a connection could not be added to the table.
    void record_overflow(time_point now);

    bool is_complete(time_point now) const;

private:
    bool do_clocks_agree(published_start const& start, time_point now) const;

    completeness_limits limits;
    std::uint64_t process_started_at;
    time_point started_at;
    bool is_started_before_back_end;
    std::optional<time_point> clocks_disagreed_at = {};
    std::optional<time_point> overflowed_at = {};
};

}  // namespace lagoon
