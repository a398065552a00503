// Access to the monotonic clock. Nothing else in the project reads it.
//
// Index
//   read_clock   the current time
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

}  // namespace lagoon
