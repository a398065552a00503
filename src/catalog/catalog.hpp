// The configuration in force: which targets serve which service, and which
// callers may reach it. Operators publish it; nothing here writes it.
//
// Index
//   records   targets, entries, services, routes, as published
//   changes   what moves a catalog from one generation to a later one
//   catalog   the aggregate: adopts only what is newer, answers look-ups
#pragma once

#include "base/failure.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoon {

// ---- records ------------------------------------------------------------

enum class target_state : std::uint8_t
{
    serving,  // takes new flows
    joining,  // takes new flows at a reduced share until it is warm
    leaving   // finishes what it owns, takes nothing new
};

struct target_record
{
    target_id id = {};
    std::string name = {};
    std::string data_centre = {};
    peer_address address = {};  // UDP, where entries send packets
    peer_address control = {};  // TCP, for JSON-RPC
    std::uint32_t slots = 1;    // requests it runs at once
    target_state state = target_state::serving;
    auto operator<=>(target_record const&) const = default;
};

struct entry_record
{
    process_id id = {};
    std::string name = {};
    std::string data_centre = {};
    peer_address exchange = {};  // UDP, for digests between peers
    peer_address control = {};   // TCP, for JSON-RPC
    auto operator<=>(entry_record const&) const = default;
};

struct service_part
{
    service_id id = {};
    std::string name = {};
    generation changed_at = {};           // when this part last changed
    std::vector<caller_id> callers = {};  // who may open flows, sorted
    std::vector<target_record> targets = {};
    auto operator<=>(service_part const&) const = default;
};

struct fleet_part
{
    generation changed_at = {};
    std::vector<entry_record> entries = {};  // sorted by id
    auto operator<=>(fleet_part const&) const = default;
};

struct weighted_service
{
    service_id service = {};
    std::uint32_t weight = 1;  // share of the route's new connections
    auto operator<=>(weighted_service const&) const = default;
};

// Where connections to one address go, and what their requests are owed.
struct route_record
{
    peer_address address = {};  // what callers connect to
    std::vector<weighted_service> services = {};
    duration objective = {};     // latency objective of a request
    duration deadline = {};      // a later answer is of no use
    std::uint8_t priority = 0;   // 0 is the most urgent
    bool is_idempotent = false;  // its requests may run more than once
    auto operator<=>(route_record const&) const = default;
};

struct routes_part
{
    generation changed_at = {};
    std::vector<route_record> routes = {};  // sorted by address
    duration idle_lifetime = {};  // idle connections may be forgotten; 0: never
    auto operator<=>(routes_part const&) const = default;
};

// Sums over the records, so that a change of one costs no more than that one.
digest compute_digest(service_part const& part);
digest compute_digest(fleet_part const& part);
digest compute_digest(routes_part const& part);

// ---- changes ------------------------------------------------------------

// What changed within one service: the targets that are new or other than
// before, and those that are gone.
struct service_delta
{
    service_id id = {};
    std::string name = {};
    std::vector<target_record> changed = {};
    std::vector<target_id> removed = {};
    auto operator<=>(service_delta const&) const = default;
};

struct routes_delta
{
    std::vector<route_record> changed = {};
    std::vector<peer_address> removed = {};
    duration idle_lifetime = {};  // in force from now on
    auto operator<=>(routes_delta const&) const = default;
};

// Everything that changed after `base` and up to `to`. With base 0 it is the
// whole catalog. A service stands in `parts` or in `deltas`, not in both.
struct catalog_change
{
    generation base = {};
    generation to = {};
    digest result_digest = {};  // of the catalog once the change is applied
    std::vector<service_part> parts = {};
    std::vector<service_id> removed = {};
    std::optional<fleet_part> fleet = {};
    std::optional<routes_part> routes = {};
    std::vector<service_delta> deltas = {};
    std::optional<routes_delta> route_delta = {};
    bool operator==(catalog_change const&) const = default;
};

// Whether a change brings single records and no whole part, so that it stays
// small however large the catalog is.
bool is_delta_only(catalog_change const& change);

// A catalog's version. Of two documents that carry one generation by mistake
// the one with the larger digest wins everywhere.
struct catalog_version
{
    generation number = {};
    digest content = {};
    auto operator<=>(catalog_version const&) const = default;
};

// ---- catalog ------------------------------------------------------------

class catalog
{
public:
    // Adopts a change whose result is a later version than this one.
    // Leaves the catalog as it was on: stale, conflict (the change doesn't
    // lead from here to its digest; ask for the whole), malformed.
    std::optional<catalog_version> adopt(catalog_change const& change,
                                         failure& error);

    catalog_version version() const;

    service_part const* find_service(service_id id) const;
    bool is_permitted(service_id service, caller_id caller) const;

    // A target under any service, a leaving one included.
    std::optional<peer_address> find_address(target_id id) const;
    std::optional<target_state> find_state(service_id service,
                                           target_id id) const;
    fleet_part const& fleet() const;
    routes_part const& routes() const;

    // The route of an address; nothing when there is none.
    route_record const* find_route(peer_address address) const;
    std::map<service_id, service_part> const& services() const;

    // Everything that changed after `base`, for a peer that is behind: just
    // the records, where the latest changes reach back far enough.
    catalog_change changes_since(generation base) const;

private:
    struct contents
    {
        std::map<service_id, service_part> services = {};
        std::map<service_id, generation> removed = {};  // tombstones
        fleet_part fleet = {};
        routes_part routes = {};
        catalog_version version = {};
    };

    // Where a target is reached, and in how many services it stands.
    struct target_location
    {
        peer_address address = {};
        std::uint32_t reference_count = 0;
        auto operator<=>(target_location const&) const = default;
    };

    static digest compute_digest_after(contents const& from,
                                       catalog_change const& change);
    void apply(catalog_change const& change);
    void apply(service_delta const& delta, generation to);
    void apply(routes_delta const& delta, generation to);
    void drop_service(service_id id);
    void add_target(target_record const& target);
    void drop_target(target_record const& target);
    void record_recent(catalog_change const& change);
    std::optional<catalog_change> merge_recent_since(generation base) const;
    catalog_change collect_parts_since(generation base) const;

    contents current = {};
    std::deque<catalog_change> recent_changes =
        {};  // records alone, oldest first
    std::unordered_map<target_id, target_location, detail::identifier_hash>
        targets = {};
};

}  // namespace lagoon
