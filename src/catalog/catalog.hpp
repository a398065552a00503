// Configuration in force: the targets of each service, the callers that may
// use it, the entries and the routes. Operators publish it; the load balancer
// only reads it.
//
// The catalog consists of parts (one per service, the fleet, the routes, the
// evacuations) that are published and transferred separately.
//
// Index
//   records   targets, entries, services, routes and evacuations as published
//   changes   difference between a catalog and a later generation of it
//   catalog   aggregate: adopts newer generations, answers look-ups
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

// Longest name of a service, target or data centre, in bytes. Peers reject a
// message with a longer one, and with it all other changes in that message.
constexpr std::size_t max_name_size = 200;

enum class target_state : std::uint8_t
{
    serving,  // accepts new flows
    joining,  // accepts new flows at a reduced rate until it is warm
    leaving   // finishes the flows it owns, accepts no new ones
};

struct target_record
{
    target_id id = {};
    std::string name = {};
    std::string data_centre = {};
    peer_address address = {};  // UDP, receives packets from entries
    peer_address control = {};  // TCP, for JSON-RPC
    std::uint32_t slots = 1;    // concurrent requests
    target_state state = target_state::serving;

    // Start of the back end as published, in Unix milliseconds; 0: unknown.
    std::uint64_t started_at_ms = 0;
    auto operator<=>(target_record const&) const = default;
};

struct entry_record
{
    process_id id = {};
    std::string name = {};
    std::string data_centre = {};
    peer_address exchange = {};  // UDP, for exchange between peers
    peer_address control = {};   // TCP, for JSON-RPC
    auto operator<=>(entry_record const&) const = default;
};

struct service_part
{
    service_id id = {};
    std::string name = {};
    generation changed_at = {};           // generation of the last change
    std::vector<caller_id> callers = {};  // permitted to open flows; sorted
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
    std::uint32_t weight = 1;  // relative share of new connections
    auto operator<=>(weighted_service const&) const = default;
};

// Services and request parameters for connections to one address.
struct route_record
{
    peer_address address = {};  // address that callers connect to
    std::vector<weighted_service> services = {};
    duration objective = {};     // latency objective of requests
    duration deadline = {};      // time after which an answer is useless
    std::uint8_t priority = 0;   // 0 is the highest
    bool is_idempotent = false;  // requests may be run more than once
    auto operator<=>(route_record const&) const = default;
};

// Limit on new connections to a back end that has just started.
struct warm_up_limit
{
    service_id service = {};
    duration warm_up_time = {};          // how long a back end takes to warm up
    std::uint32_t opens_per_second = 0;  // meanwhile; 0: unlimited
    auto operator<=>(warm_up_limit const&) const = default;
};

struct routes_part
{
    generation changed_at = {};
    std::vector<route_record> routes = {};  // sorted by address
    duration idle_lifetime = {};            // of idle connections; 0: unlimited
    std::uint64_t version = 0;  // set by the operator; only increases
    std::vector<warm_up_limit> warm_up_limits = {};  // sorted by service

    // The services that the operator has configured; sorted. Empty: all that
    // have targets. The targets of other services get no new connections.
    std::vector<service_id> services = {};
    auto operator<=>(routes_part const&) const = default;
};

// Data centres that get no new connections; open ones stay.
struct evacuations_part
{
    generation changed_at = {};
    std::vector<std::string> data_centres = {};  // sorted
    auto operator<=>(evacuations_part const&) const = default;
};

// The digest is a sum over the records, so it can be updated for a changed
// record without hashing the others.
digest compute_digest(service_part const& part);
digest compute_digest(fleet_part const& part);
digest compute_digest(routes_part const& part);
digest compute_digest(evacuations_part const& part);  // 0 without evacuations

// ---- changes ------------------------------------------------------------

// Change of one service: new and modified targets, and removed ones.
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

    // Values after the change.
    duration idle_lifetime = {};
    std::uint64_t version = 0;
    std::vector<warm_up_limit> warm_up_limits = {};

    std::vector<service_id> added_services = {};    // now configured
    std::vector<service_id> removed_services = {};  // no longer configured
    auto operator<=>(routes_delta const&) const = default;
};

// All changes after generation `base` up to `to`; base 0 denotes the full
// catalog. A service appears either in `parts` or in `deltas`.
struct catalog_change
{
    generation base = {};
    generation to = {};
    digest result_digest = {};  // of the catalog after the change
    std::vector<service_part> parts = {};
    std::vector<service_id> removed = {};
    std::optional<fleet_part> fleet = {};
    std::optional<routes_part> routes = {};
    std::vector<service_delta> deltas = {};
    std::optional<routes_delta> route_delta = {};
    std::optional<evacuations_part> evacuations = {};  // whole, if changed
    bool operator==(catalog_change const&) const = default;
};

// Returns whether the change consists of deltas, removed services and
// evacuations only. The
// size of such a change doesn't depend on the size of the catalog.
bool is_delta_only(catalog_change const& change);

// Version of a catalog. If two different documents are published by mistake
// with the same generation, all processes choose the one with the larger
// digest.
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
    // Applies a change that leads to a later version, and returns that version.
    // Routes of a lower version than the current one are left out: a full change
    // replaces all else, any other change is a conflict. Of two contents with
    // one generation, the later version of the routes wins, then the digest.
    // Errors, which leave the catalog unchanged: stale (not later), conflict
    // (the change starts after the current generation or doesn't produce its
    // digest; the full catalog is needed), malformed.
    std::optional<catalog_version> adopt(catalog_change const& change,
                                         failure& error);

    catalog_version version() const;

    service_part const* find_service(service_id id) const;
    bool is_permitted(service_id service, caller_id caller) const;

    // Returns whether the operator has configured the service. A service that
    // isn't may belong to another application, or may be one that was removed
    // from the configuration and still holds open connections.
    bool is_configured(service_id id) const;

    // Looks up a target in any service, leaving targets included.
    std::optional<peer_address> find_address(target_id id) const;
    std::optional<target_state> find_state(service_id service,
                                           target_id id) const;
    fleet_part const& fleet() const;
    routes_part const& routes() const;
    evacuations_part const& evacuations() const;
    bool is_evacuated(std::string const& data_centre) const;

    // Returns the route of an address, or null.
    route_record const* find_route(peer_address address) const;
    std::map<service_id, service_part> const& services() const;

    // Returns all changes after `base`, for a peer that is behind: as deltas if
    // the recent changes reach back that far, else as whole parts.
    catalog_change changes_since(generation base) const;

private:
    struct contents
    {
        std::map<service_id, service_part> services = {};
        std::map<service_id, generation> removed = {};  // tombstones
        fleet_part fleet = {};
        routes_part routes = {};
        evacuations_part evacuations = {};
        catalog_version version = {};
    };

    // Address of a target, and the number of services that list it.
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
    std::deque<catalog_change> recent_changes = {};  // deltas, oldest first
    std::unordered_map<target_id, target_location, detail::identifier_hash>
        targets = {};
};

}  // namespace lagoon
