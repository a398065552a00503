// What an entry has recently observed of each target: its reported load and
// whether it answers. Hints only order the targets to which a connection is
// offered; each target decides whether it accepts the connection.
//
// Index
//   target_hint    observations of one target
//   target_hints   the aggregate
#pragma once

#include "base/values.hpp"

#include <optional>
#include <unordered_map>

namespace lagoon {

// ---- target_hint --------------------------------------------------------

struct target_hint
{
    std::uint32_t load = 0;           // requests at the target
    std::uint32_t slots = 0;          // requests it can run at once; 0: unknown
    std::uint32_t expected_load = 0;  // of its open connections
    time_point reported_at = {};
    std::uint32_t timeout_count = 0;  // consecutive queries without an answer
    time_point avoided_until = {};

    // Smoothed over the reports, without the connection that each report
    // answered and without connections placed since.
    double mean_load = 0;
    auto operator<=>(target_hint const&) const = default;
};

// How long a reported load is used. The base is about the running time of a
// short request, after which the load has changed. Each request waiting beyond
// the slots adds about its own running time, up to a limit.
constexpr duration load_lifetime = std::chrono::milliseconds{15};
constexpr duration lifetime_per_waiting_request = std::chrono::milliseconds{8};
constexpr duration max_load_lifetime = std::chrono::milliseconds{150};

// How long a reported expected load is used. It is a mean over one to two
// seconds and changes accordingly slowly.
constexpr duration expected_load_lifetime = std::chrono::seconds{1};

// How long a target is avoided after a query without an answer. It doubles with
// each further one, so that a single lost datagram costs little and a dead
// target is queried about once a second.
constexpr duration min_avoidance = std::chrono::milliseconds{50};
constexpr duration max_avoidance = std::chrono::milliseconds{800};

// ---- target_hints -------------------------------------------------------

class target_hints
{
public:
    // Stores the load that a target reported; `placed` of it was added by the
    // connection that the target accepted with the report.
    void record_load(peer_address target, std::uint32_t load,
                     std::uint32_t slots, time_point now,
                     std::uint32_t expected_load = 0, std::uint32_t placed = 0);
    // Counts a query without an answer and avoids the target for a while.
    void record_timeout(peer_address target, time_point now);

    // Adds a connection placed since the latest report to the target's load.
    void record_placement(peer_address target);

    // Avoids a target whose back end does not answer or that accepts no new
    // connections. A longer avoidance in force is kept.
    void avoid(peer_address target, duration span, time_point now);

    bool is_avoided(peer_address target, time_point now) const;

    // Whether a current report, with connections placed since, leaves no free
    // slot.
    bool is_reported_busy(peer_address target, time_point now) const;

    // Whether the open connections of the target need all its slots on average,
    // according to a current report. A slot may be free nevertheless.
    bool is_expected_busy(peer_address target, time_point now) const;

    // The larger of load() and the expected load, to choose among busy targets.
    std::uint32_t load_to_compare(peer_address target) const;

    // The latest reported load plus connections placed since, whatever its
    // age; 0 if unknown.
    std::uint32_t load(peer_address target) const;

    // The same per slot; 0 if unknown or the report is too old.
    double load_per_slot(peer_address target, time_point now) const;

    // Returns what is known of a target, whatever its age.
    std::optional<target_hint> find(peer_address target) const;

    // Removes targets without a recent report or avoidance.
    void sweep(time_point now);

private:
    std::unordered_map<peer_address, target_hint, detail::address_hash> hints =
        {};
};

}  // namespace lagoon
