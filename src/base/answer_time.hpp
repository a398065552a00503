// How long a peer takes to answer, and how long to wait for it. On a saturated
// VM or link every answer is late; a fixed wait would take all peers for dead at
// once and add more work to the load.
//
// Index
//   answer_time_estimate   smoothed answer time and its variation
//   answer_wait_limits     bounds of the wait
//   compute_wait           the wait that follows an estimate
#pragma once

#include "base/values.hpp"

namespace lagoon {

// ---- answer_time_estimate -----------------------------------------------

struct answer_time_estimate
{
    duration mean = {};
    duration variation = {};  // mean deviation from `mean`
    bool is_known = false;
    time_point updated_at = {};
    auto operator<=>(answer_time_estimate const&) const = default;
};

// Returns the estimate after one more answer, smoothed as in RFC 6298.
answer_time_estimate update_estimate(answer_time_estimate const& estimate,
                                     duration took, time_point now);

// ---- answer_wait_limits -------------------------------------------------

struct answer_wait_limits
{
    // Several times the round trip between two data centres, and dozens of times
    // that to a process on the same VM. Used alone until something is measured.
    duration min_wait = std::chrono::milliseconds{20};

    // Below the 200 ms after which callers retransmit, with room to try another
    // peer.
    duration max_wait = std::chrono::milliseconds{150};

    duration lifetime = std::chrono::seconds{60};  // after the last answer

    auto operator<=>(answer_wait_limits const&) const = default;
};

// ---- compute_wait -------------------------------------------------------

duration compute_wait(answer_time_estimate const& estimate,
                      answer_wait_limits const& limits);

}  // namespace lagoon
