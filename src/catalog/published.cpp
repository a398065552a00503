#include "catalog/published.hpp"

#include <algorithm>
#include <iterator>

namespace lagoon {

namespace {

// Returns the name itself if it is short enough, else its first bytes and the
// hash of all of it.
std::string limit_name(std::string const& name)
{
    if (name.size() <= max_name_size)
        return name;
    std::string const hash = std::to_string(hash_bytes(name));
    return name.substr(0, max_name_size - hash.size() - 1) + "~" + hash;
}

target_record make_record(std::string const& key, published_target const& from)
{
    // A restarted target keeps its key but is a different target.
    std::string const name =
        limit_name(key + "@" + std::to_string(from.incarnation));
    return {
        make_target_id(name), name,       from.data_centre, from.address,
        from.address,         from.slots, from.state,       from.incarnation};
}

std::vector<route_record> sort_routes(std::vector<route_record> routes)
{
    std::sort(routes.begin(), routes.end());
    return routes;
}

std::vector<service_id> make_service_ids(std::vector<std::string> const& names)
{
    std::vector<service_id> ids;
    ids.reserve(names.size());
    for (std::string const& name : names)
        ids.push_back(make_service_id(name));
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

}  // namespace

namespace detail {

service_delta compute_delta(service_part const& old, service_part const& next)
{
    service_delta delta{next.id, next.name, {}, {}};
    std::set_difference(next.targets.begin(), next.targets.end(),
                        old.targets.begin(), old.targets.end(),
                        std::back_inserter(delta.changed));
    for (target_record const& one : old.targets)
        if (std::none_of(next.targets.begin(), next.targets.end(),
                         [&one](target_record const& other) {
                             return other.id == one.id;
                         }))
            delta.removed.push_back(one.id);
    return delta;
}

routes_delta compute_delta(routes_part const& old, routes_part const& next)
{
    routes_delta delta{
        {}, {}, next.idle_lifetime, next.version, next.warm_up_limits};
    std::set_difference(next.routes.begin(), next.routes.end(),
                        old.routes.begin(), old.routes.end(),
                        std::back_inserter(delta.changed));
    std::vector<peer_address> old_addresses;
    std::vector<peer_address> next_addresses;
    for (route_record const& one : old.routes)
        old_addresses.push_back(one.address);
    for (route_record const& one : next.routes)
        next_addresses.push_back(one.address);
    std::set_difference(old_addresses.begin(), old_addresses.end(),
                        next_addresses.begin(), next_addresses.end(),
                        std::back_inserter(delta.removed));
    std::set_difference(next.services.begin(), next.services.end(),
                        old.services.begin(), old.services.end(),
                        std::back_inserter(delta.added_services));
    std::set_difference(old.services.begin(), old.services.end(),
                        next.services.begin(), next.services.end(),
                        std::back_inserter(delta.removed_services));
    return delta;
}

}  // namespace detail

generation published_catalog::current_revision() const
{
    return this->revision;
}

void published_catalog::reset()
{
    this->revision = {};
    this->targets.clear();
    this->parts.clear();
    this->evacuations = {};
}

void published_catalog::keep_routes(routes_part const& in_force)
{
    if (in_force.version <= this->routes_version)
        return;
    this->routes_version = in_force.version;
    this->routes = in_force;
}

bool published_catalog::is_listed_service(published_target const& target) const
{
    std::vector<service_id> const& all = this->listed_services;
    return all.empty() || std::binary_search(all.begin(), all.end(),
                                             make_service_id(target.service));
}

std::set<std::string> published_catalog::list_unconfigured_keys() const
{
    std::set<std::string> keys;
    for (auto const& [key, target] : this->targets)
        if (!this->is_listed_service(target))
            keys.insert(key);
    return keys;
}

// Configured services use an address one after the other. A target of another
// service must not replace one of theirs: it may belong to another application.
// It isn't replaced by one of theirs either, since a service that was removed
// from the configuration may still hold open connections.
published_catalog::back_end_claim
published_catalog::make_claim(published_target const& target) const
{
    return {target.back_end, this->is_listed_service(target)
                                 ? service_id{}
                                 : make_service_id(target.service)};
}

// After a power failure, keys of dead back ends can remain for a while at
// addresses that new ones already use. Of two keys with one claim, the one
// created later is kept. Keys with different ports of one VM are different back
// ends.
std::map<published_catalog::back_end_claim, std::string>
published_catalog::find_newest_keys() const
{
    std::map<back_end_claim, std::string> newest;
    for (auto const& [key, target] : this->targets) {
        auto const [at, is_first] =
            newest.emplace(this->make_claim(target), key);
        if (!is_first &&
            this->targets.at(at->second).created_at < target.created_at)
            at->second = key;
    }
    return newest;
}

std::map<service_id, service_part>
published_catalog::build_parts(generation at_revision) const
{
    std::map<service_id, service_part> built;
    for (auto const& [claim, key] : this->find_newest_keys()) {
        published_target const& target = this->targets.at(key);
        service_id const id = make_service_id(target.service);
        service_part& part = built[id];
        part.id = id;
        part.name = target.service;
        part.changed_at = at_revision;
        part.targets.push_back(make_record(key, target));
    }
    for (auto& [id, part] : built)
        std::sort(part.targets.begin(), part.targets.end());
    return built;
}

std::optional<catalog_change>
published_catalog::apply(published_update const& update, generation base)
{
    if (!update.is_snapshot && this->revision == generation{})
        return std::nullopt;
    bool const is_next = !update.is_snapshot && this->revision == base;
    if (update.is_snapshot)
        this->targets.clear();
    for (key_change const& one : update.keys) {
        if (one.target)
            this->targets.insert_or_assign(one.key, *one.target);
        else
            this->targets.erase(one.key);
    }
    return this->build_change(update, is_next ? base : generation{});
}

// Services without targets have no part.
void published_catalog::replace_parts(catalog_change& change)
{
    std::map<service_id, service_part> built = this->build_parts(change.to);
    bool const is_full = change.base == generation{};
    for (auto& [id, part] : built) {
        if (is_full) {
            change.parts.push_back(part);
            continue;
        }
        auto const old = this->parts.find(id);
        service_delta const delta = detail::compute_delta(
            old == this->parts.end() ? service_part{} : old->second, part);
        if (!delta.changed.empty() || !delta.removed.empty())
            change.deltas.push_back(delta);
    }
    for (auto const& [id, part] : this->parts)
        if (!built.contains(id) && !is_full)
            change.removed.push_back(id);
    this->parts = std::move(built);
}

// Ignores routes that aren't newer: operators' versions only increase, and an
// older one would undo a change.
void published_catalog::replace_routes(published_routes const& update,
                                       catalog_change& change)
{
    if (update.version <= this->routes_version)
        return;
    this->routes_version = update.version;
    routes_part next{change.to,
                     sort_routes(update.routes),
                     update.idle_lifetime,
                     update.version,
                     update.warm_up_limits,
                     make_service_ids(update.services)};
    std::sort(next.warm_up_limits.begin(), next.warm_up_limits.end());
    if (change.base != generation{})
        change.route_delta = detail::compute_delta(this->routes, next);
    this->routes = next;
}

void published_catalog::replace_evacuations(published_update const& update,
                                            catalog_change& change)
{
    std::set<std::string> requested;
    if (!update.is_snapshot)
        requested.insert(this->evacuations.data_centres.begin(),
                         this->evacuations.data_centres.end());
    for (evacuation_change const& one : update.evacuations) {
        if (one.is_requested)
            requested.insert(one.data_centre);
        else
            requested.erase(one.data_centre);
    }
    std::vector<std::string> const next{requested.begin(), requested.end()};
    if (next != this->evacuations.data_centres) {
        this->evacuations = {change.to, next};
        change.evacuations = this->evacuations;
    }
    bool const is_full = change.base == generation{};
    if (is_full && this->evacuations != evacuations_part{})
        change.evacuations = this->evacuations;
}

catalog_change published_catalog::build_change(published_update const& update,
                                               generation base)
{
    catalog_change change{};
    change.base = base;
    change.to = update.revision;
    this->revision = std::max(this->revision, update.revision);
    if (update.is_snapshot)
        this->listed_services.clear();
    if (update.routes) {
        this->listed_services = make_service_ids(update.routes->services);
        this->replace_routes(*update.routes, change);
    }
    this->replace_parts(change);
    this->replace_evacuations(update, change);
    if (base == generation{})
        change.routes = this->routes;
    std::uint64_t sum = compute_digest(fleet_part{}).value;
    for (auto const& [id, part] : this->parts)
        sum += compute_digest(part).value;
    sum += compute_digest(this->routes).value;
    sum += compute_digest(this->evacuations).value;
    change.result_digest = {sum};
    return change;
}

}  // namespace lagoon
