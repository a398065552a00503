// What a store publishes key by key, put together into changes of the catalog.
// A platform that keeps one key for each target and one for the routes is read
// through this; its revisions are the catalog's generations.
//
// Index
//   published_target    one target, as its key says
//   publication         what one read of the store brought
//   published_catalog   the aggregate
#pragma once

#include "catalog/catalog.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- published_target ---------------------------------------------------

struct published_target
{
    std::string service = {};
    std::string data_centre = {};
    peer_address address = {};      // where entries send packets
    std::uint32_t slots = 1;        // requests it runs at once
    std::uint64_t incarnation = 0;  // tells one life of a target from the next
    generation created_at = {};     // when the key came to be
    target_state state = target_state::serving;
    auto operator<=>(published_target const&) const = default;
};

// ---- publication --------------------------------------------------------

// A key that changed; without a target it was removed, or names none to use.
struct key_change
{
    std::string key = {};
    std::optional<published_target> target = {};
    auto operator<=>(key_change const&) const = default;
};

struct published_routes
{
    std::uint64_t version = 0;  // the operator's; only grows
    std::vector<route_record> routes = {};
    duration idle_lifetime = {};
    auto operator<=>(published_routes const&) const = default;
};

struct published_update
{
    generation revision = {};  // the store's revision
    bool is_snapshot = false;  // all keys, in place of those that changed
    std::vector<key_change> keys = {};
    std::optional<published_routes> routes = {};
    auto operator<=>(published_update const&) const = default;
};

namespace detail {

// What leads from the old contents to the next; both are sorted.
service_delta compute_delta(service_part const& old, service_part const& next);
routes_delta compute_delta(routes_part const& old, routes_part const& next);

}  // namespace detail

// ---- published_catalog --------------------------------------------------

class published_catalog
{
public:
    // The change that leads from a catalog of generation `from` to what is
    // published now. It holds single records when this set knew just that
    // generation, else everything: a catalog that got ahead by its peers' news
    // may hold what this set never saw come or go. Empty when a change of keys
    // comes before any whole read.
    std::optional<catalog_change> apply(published_update const& update,
                                        generation base);

    // The revision that is known; the next read of changes starts there.
    generation current_revision() const;

    // Forgets everything, so that the next read must be a whole one.
    void reset();

private:
    std::map<service_id, service_part>
    build_parts(generation at_revision) const;
    catalog_change build_change(published_update const& update,
                                generation base);
    void replace_parts(catalog_change& change);
    void replace_routes(published_routes const& update, catalog_change& change);

    generation revision = {};
    std::uint64_t routes_version = 0;
    std::map<std::string, published_target> targets = {};
    std::map<service_id, service_part> parts = {};
    routes_part routes = {};
};

}  // namespace lagoon
