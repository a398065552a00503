// How long each target takes to answer queries, and how long to wait for it.
//
// Index
//   answer_times   the aggregate: estimates by target
#pragma once

#include "base/answer_time.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace lagoon {

// ---- answer_times -------------------------------------------------------

class answer_times
{
public:
    explicit answer_times(answer_wait_limits limits);

    // Records an answer, whether or not it arrived within the wait.
    void record(peer_address target, duration took, time_point now);

    // How long to wait for the target. A target that has not answered yet is
    // expected to take as long as the others.
    duration wait_for(peer_address target) const;

    // The mean answer time of the target, if it has answered recently.
    std::optional<duration> find_mean(peer_address target) const;

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
