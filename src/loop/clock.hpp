// Access to the clocks.
//
// Index
//   read_clock               the current time
//   read_unix_milliseconds   the time of day
#pragma once

#include "base/values.hpp"

namespace lagoon {

// ---- read_clock ---------------------------------------------------------

// The steady clock keeps running while the process is stopped, so that a pause
// shows up as a gap between two readings.
inline time_point read_clock()
{
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

// ---- read_unix_milliseconds ---------------------------------------------

// The time of day may jump and differs between VMs; see table_completeness.
inline std::uint64_t read_unix_milliseconds()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(now / std::chrono::milliseconds{1});
}

}  // namespace lagoon
