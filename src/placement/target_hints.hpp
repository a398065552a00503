// What an entry has lately seen of each target: how loaded it said it was, and
// whether it answered at all. Hints only order the targets that a connection
// is offered to; the targets themselves decide.
//
// Index
//   target_hint    what was seen of one target
//   target_hints   the aggregate
#pragma once

#include "base/values.hpp"

#include <unordered_map>

namespace lagoon {

// ---- target_hint --------------------------------------------------------

struct target_hint
{
    std::uint32_t load = 0;   // requests it held
    std::uint32_t slots = 0;  // requests it can run at once; 0: not told
    time_point reported_at = {};
    std::uint32_t timeout_count = 0;  // questions in a row without an answer
    time_point avoid_until = {};
    auto operator<=>(target_hint const&) const = default;
};

// A load that was told longer ago than this says nothing: it is about the
// running time of a short request, after which the load is another one. Each
// request that waits beyond the slots adds about its own time, up to a limit.
constexpr duration load_lifetime = std::chrono::milliseconds{15};
constexpr duration lifetime_per_waiting_request = std::chrono::milliseconds{8};
constexpr duration max_load_lifetime = std::chrono::milliseconds{150};

// How long a target is passed over after a question without an answer. It
// doubles with each further one: a single lost datagram costs little, and a
// dead target is asked about once a second.
constexpr duration min_avoidance = std::chrono::milliseconds{50};
constexpr duration max_avoidance = std::chrono::milliseconds{800};

// ---- target_hints -------------------------------------------------------

class target_hints
{
public:
    void record_load(peer_address target, std::uint32_t load,
                     std::uint32_t slots, time_point now);
    void record_timeout(peer_address target, time_point now);

    // A connection was placed there, beyond what it told.
    void record_placement(peer_address target);

    // Its back end doesn't answer, or it takes nothing new.
    void avoid(peer_address target, duration span, time_point now);

    bool is_avoided(peer_address target, time_point now) const;

    // Whether it said a moment ago that no slot is free.
    bool is_reported_busy(peer_address target, time_point now) const;

    // Requests that it held when it said that no slot is free, and those that
    // were placed there since.
    std::uint32_t load(peer_address target) const;

    // Requests for each slot as told a moment ago; 0 when nothing is known.
    double load_per_slot(peer_address target, time_point now) const;

    // Forgets targets that were not heard of for a long time.
    void sweep(time_point now);

private:
    std::unordered_map<peer_address, target_hint, detail::address_hash> hints =
        {};
};

}  // namespace lagoon
