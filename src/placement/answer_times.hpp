// How long targets take to answer queries, and how long to wait for an answer.
// On a saturated VM or link every answer is late; a fixed wait would take all
// targets for dead at once and add more queries to the load.
//
// Index
//   answer_time_estimate   smoothed answer time and its variation
//   answer_times           the aggregate: estimates by target
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <unordered_map>

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

// ---- answer_times -------------------------------------------------------

struct answer_wait_limits
{
    // Several times the round trip between two data centres. Used alone while
    // nothing has been measured.
    duration min_wait = std::chrono::milliseconds{20};

    // Below the 200 ms after which callers retransmit, with room for the query
    // of another target.
    duration max_wait = std::chrono::milliseconds{150};

    duration lifetime = std::chrono::seconds{60};  // after the last answer

    auto operator<=>(answer_wait_limits const&) const = default;
};

class answer_times
{
public:
    explicit answer_times(answer_wait_limits limits);

    // Records an answer, whether or not it arrived within the wait.
    void record(peer_address target, duration took, time_point now);

    // How long to wait for the target. A target that has not answered yet is
    // expected to take as long as the others.
    duration wait_for(peer_address target) const;

    // Removes expired estimates from part of the table; to be called each tick.
    void sweep(time_point now);

private:
    answer_wait_limits limits;
    std::size_t next_bucket = 0;  // where the next sweep starts
    answer_time_estimate overall = {};
    std::unordered_map<peer_address, answer_time_estimate, detail::address_hash>
        estimates = {};
};

}  // namespace lagoon
