// Converts the keys of a store into catalog changes. Used for platforms that
// keep one key per target and one for the routes. Store revisions serve as
// catalog generations.
//
// Index
//   published_target    value of a target's key
//   published_update    result of one read of the store
//   published_catalog   aggregate: accumulates updates, computes changes
#pragma once

#include "catalog/catalog.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoon {

// ---- published_target ---------------------------------------------------

struct published_target
{
    std::string service = {};
    std::string data_centre = {};
    peer_address back_end = {};  // as published
    peer_address address = {};   // receives packets from entries
    std::uint32_t slots = 1;     // concurrent requests
    std::uint64_t incarnation =
        0;                       // start of the back end, Unix ms; 0: unknown
    generation created_at = {};  // revision that created the key
    target_state state = target_state::serving;
    auto operator<=>(published_target const&) const = default;
};

// ---- published_update ---------------------------------------------------

// A changed key. `target` is empty when the key was removed or its value names
// no usable target.
struct key_change
{
    std::string key = {};
    std::optional<published_target> target = {};
    auto operator<=>(key_change const&) const = default;
};

struct published_routes
{
    std::uint64_t version = 0;  // set by the operator; only increases
    std::vector<route_record> routes = {};
    duration idle_lifetime = {};
    std::vector<std::string> services = {};  // configured; empty: unknown
    std::vector<warm_up_limit> warm_up_limits = {};
    auto operator<=>(published_routes const&) const = default;
};

// A changed request of the operator to evacuate a data centre.
struct evacuation_change
{
    std::string data_centre = {};
    bool is_requested = false;  // false: the request was removed
    auto operator<=>(evacuation_change const&) const = default;
};

struct published_update
{
    generation revision = {};  // revision of the store
    bool is_snapshot = false;  // holds all keys, not only changed ones
    std::vector<key_change> keys = {};
    std::optional<published_routes> routes = {};
    std::vector<evacuation_change> evacuations = {};
    auto operator<=>(published_update const&) const = default;
};

namespace detail {

// Returns the difference from `old` to `next`; their records must be sorted.
service_delta compute_delta(service_part const& old, service_part const& next);
routes_delta compute_delta(routes_part const& old, routes_part const& next);

}  // namespace detail

// ---- published_catalog --------------------------------------------------

class published_catalog
{
public:
    // Applies an update and returns the change that leads a catalog from
    // generation `base` to the published state. The change consists of deltas
    // if `base` is the revision known here, else of the full contents: a
    // catalog that peers updated to a later generation may hold records that
    // were never seen here. Returns nothing for an incremental update before
    // the first snapshot.
    std::optional<catalog_change> apply(published_update const& update,
                                        generation base);

    // Returns the known revision, from which the next incremental read starts.
    generation current_revision() const;

    // Returns the keys of targets whose services aren't configured.
    std::set<std::string> list_unconfigured_keys() const;

    // Discards all state except the routes, whose version never falls while
    // the process runs; the next update must be a snapshot.
    void reset();

    // Takes over routes in force, unless they are earlier than the known ones.
    void keep_routes(routes_part const& in_force);

private:
    // Of several keys with one claim, all but one are outdated.
    struct back_end_claim
    {
        peer_address back_end = {};
        service_id service = {};  // 0: any configured one
        auto operator<=>(back_end_claim const&) const = default;
    };

    back_end_claim make_claim(published_target const& target) const;
    bool is_listed_service(published_target const& target) const;
    std::map<back_end_claim, std::string> find_newest_keys() const;
    std::map<service_id, service_part>
    build_parts(generation at_revision) const;
    catalog_change build_change(published_update const& update,
                                generation base);
    void replace_parts(catalog_change& change);
    void replace_routes(published_routes const& update, catalog_change& change);
    void replace_evacuations(published_update const& update,
                             catalog_change& change);

    generation revision = {};
    std::uint64_t routes_version = 0;

    // The services that the platform lists, also with an earlier version of the
    // routes: what is made of the keys depends on the revision alone, so that
    // all processes agree.
    std::vector<service_id> listed_services = {};  // sorted; empty: unknown
    std::map<std::string, published_target> targets = {};
    std::map<service_id, service_part> parts = {};
    routes_part routes = {};
    evacuations_part evacuations = {};
};

}  // namespace lagoon
