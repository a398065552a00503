// Asks all targets about open connections whose owner a search did not find,
// many connections at once. A target that owns one of them gets its packets. A
// connection that every target denies is lost, and its caller can be told so,
// if the list of targets is known to be whole.
//
// Load pattern: all VMs lose power, and callers that keep connections open find
// out one by one that theirs are gone. One query for each connection and target
// would take the processors of small entries for many seconds.
//
// Model: models/lost_connections.pml. Its guards: `all_targets` and `ask_after`
// hold in advance(), `after_packet` and `settled` in located_targets::as_of.
//
// Index
//   located_targets       the targets to ask, and how current that list is
//   locator_outcome       what the entry has to do
//   locator_limits        sizes and times
//   connection_locator    the aggregate
#pragma once

#include "protocol/relay.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lagoon {

// ---- located_targets ----------------------------------------------------

struct located_target
{
    peer_address address = {};
    service_id service = {};
    std::uint64_t started_at_ms = 0;  // of its back end, as published
    auto operator<=>(located_target const&) const = default;
};

struct located_targets
{
    std::vector<located_target> targets = {};  // of all services; sorted

    // Targets that were removed a moment ago. They are asked too, since they may
    // be alive, but a silent one is gone: its key would be back by then.
    std::vector<located_target> removed = {};

    // The list holds every living target as of this time. Empty while that is
    // not known: connections may be found, but none is known to be lost.
    std::optional<time_point> as_of = {};

    auto operator<=>(located_targets const&) const = default;
};

// ---- locator_outcome ----------------------------------------------------

struct send_locate_query
{
    peer_address to = {};
    locate_query query = {};
    auto operator<=>(send_locate_query const&) const = default;
};

struct connection_held
{
    connection_packet packet = {};
    located_target target = {};
    auto operator<=>(connection_held const&) const = default;
};

// An unsure target has to try the packet at its back end. All others have
// denied the connection.
struct try_at_target
{
    connection_packet packet = {};
    located_target target = {};
    auto operator<=>(try_at_target const&) const = default;
};

// No living back end holds the connection.
struct connection_lost
{
    connection_packet packet = {};
    time_point arrived_at = {};
    auto operator<=>(connection_lost const&) const = default;
};

using locator_outcome = std::variant<send_locate_query, connection_held,
                                     try_at_target, connection_lost>;
using locator_outcomes = std::vector<locator_outcome>;

// ---- locator_limits -----------------------------------------------------

struct locator_limits
{
    // Time between two rounds for each target that is asked, so that the
    // queries and their answers leave most of a small entry's processor to
    // other packets.
    duration time_per_target = std::chrono::milliseconds{4};

    // Time until the next attempt to begin a round that can't begin yet.
    duration retry_interval = std::chrono::milliseconds{100};

    // A round ends without the targets that have not answered by then.
    duration answer_timeout = std::chrono::milliseconds{300};
    duration removed_answer_timeout = std::chrono::milliseconds{40};

    // Callers retransmit at least every 1.6 s. A connection whose caller has
    // been silent for longer is dropped.
    duration max_silence = std::chrono::seconds{3};

    // In a larger fleet a round costs more than the callers' time-outs do.
    std::size_t max_targets = 512;
    std::size_t max_connections = 4096;

    // Unsure targets that may have to try one packet at their back ends. With
    // more, as after a restart of all targets, no proof is to be had soon, and
    // further rounds would only take time from the searches.
    std::size_t max_trials = 8;
    duration unsure_pause = std::chrono::seconds{1};

    // How long after a conclusive round others are expected to be so too.
    duration conclusive_lifetime = std::chrono::seconds{1};

    auto operator<=>(locator_limits const&) const = default;
};

// ---- connection_locator -------------------------------------------------

class connection_locator
{
public:
    explicit connection_locator(locator_limits limits);

    // Adds the connection of a packet for which no owner was found, or replaces
    // its latest packet.
    void add(connection_packet const& packet, time_point now);

    // Drops a connection, because its endpoints are used by a new one.
    void erase(connection_endpoints const& endpoints);

    bool is_pending(connection_endpoints const& endpoints) const;

    // Whether a connection that all targets have denied was added after
    // `as_of`, so that only a more recent list is missing.
    bool needs_list_after(time_point as_of) const;

    // Whether all targets answered the latest round a moment ago, and few were
    // unsure. Otherwise a connection is found sooner by a search along the
    // ranking.
    bool is_conclusive(time_point now) const;

    // Returns whether this was the last answer of a round.
    bool on_reply(peer_address from, locate_reply const& reply);

    // Ends a round whose answers are complete or overdue, decides about its
    // connections, and starts the next round if it is due.
    locator_outcomes advance(located_targets const& list, time_point now);

    // When advance() has something to do next, if anything is pending.
    std::optional<time_point> next_due() const;

    std::size_t size() const;

private:
    struct pending_connection
    {
        connection_packet packet = {};  // the latest
        time_point arrived_at = {};     // of the first packet
        time_point last_packet_at = {};
        std::uint64_t denied_in = 0;  // number of the latest such round
        auto operator<=>(pending_connection const&) const = default;
    };

    struct asked_target
    {
        located_target target = {};
        bool is_removed = false;
        std::vector<locate_verdict> verdicts = {};  // empty without an answer
        auto operator<=>(asked_target const&) const = default;
    };

    struct locate_round
    {
        std::uint64_t number = 0;
        time_point started_at = {};
        std::vector<connection_endpoints> connections = {};
        std::map<query_id, asked_target> asked = {};
        std::size_t answer_count = 0;
        std::size_t missing_count = 0;  // listed targets without an answer
        auto operator<=>(locate_round const&) const = default;
    };

    bool is_round_over(time_point now) const;
    duration round_timeout() const;
    void end_round(locator_outcomes& outcomes, located_targets const& list,
                   time_point now);
    void judge(locator_outcomes& outcomes,
               connection_endpoints const& endpoints, std::size_t position,
               bool is_list_covered);
    void collect_lost(locator_outcomes& outcomes, located_targets const& list);
    void start_round(locator_outcomes& outcomes, located_targets const& list,
                     time_point now);
    void drop_silent(time_point now);

    locator_limits limits;
    std::unordered_map<connection_endpoints, pending_connection,
                       detail::endpoints_hash>
        pending = {};
    std::deque<connection_endpoints> order = {};  // in which they are asked
    std::optional<locate_round> round = {};
    std::uint64_t last_round = 0;
    std::uint32_t last_query = 0;
    time_point next_round_at = {};
    std::optional<time_point> concluded_at = {};  // empty: not conclusive

    // The targets that answered in each of the latest rounds, sorted.
    std::map<std::uint64_t, std::vector<located_target>> answered = {};
};

}  // namespace lagoon
