// The one place where the system's monotonic clock is read.
//
// Index
//   read_clock   this process's time now
#pragma once

#include "base/values.hpp"

namespace lagoon {

// ---- read_clock ---------------------------------------------------------

// The steady clock goes on while a process is stopped, so a pause shows as a
// gap between two readings.
inline time_point read_clock()
{
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch())};
}

}  // namespace lagoon
