#include "catalog/published.hpp"

#include <algorithm>
#include <iterator>

namespace lagoon {

namespace {

target_record record_of(std::string const& key, published_target const& from)
{
    // Another life under the same key is another target.
    std::string const name = key + "@" + std::to_string(from.started);
    return {target_named(name), name,       from.data_centre, from.address,
            from.address,       from.slots, from.state};
}

std::vector<route_record> sorted(std::vector<route_record> routes)
{
    std::sort(routes.begin(), routes.end());
    return routes;
}

}  // namespace

namespace detail {

service_delta delta_between(service_part const& old, service_part const& next)
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
            delta.gone.push_back(one.id);
    return delta;
}

routes_delta delta_between(routes_part const& old, routes_part const& next)
{
    routes_delta delta{{}, {}, next.idle_lifetime};
    std::set_difference(next.routes.begin(), next.routes.end(),
                        old.routes.begin(), old.routes.end(),
                        std::back_inserter(delta.changed));
    std::vector<peer_address> had;
    std::vector<peer_address> has;
    for (route_record const& one : old.routes)
        had.push_back(one.address);
    for (route_record const& one : next.routes)
        has.push_back(one.address);
    std::set_difference(had.begin(), had.end(), has.begin(), has.end(),
                        std::back_inserter(delta.gone));
    return delta;
}

}  // namespace detail

generation published_set::known() const
{
    return this->revision;
}

void published_set::forget()
{
    *this = published_set{};
}

// The parts as the keys have them. After a loss of power the keys of the dead
// targets stay for a while at addresses where new ones run: of two targets at
// one address the one whose key is younger stands.
std::map<service_id, service_part>
published_set::parts_at(generation upto) const
{
    std::map<peer_address, std::string> youngest;
    for (auto const& [key, target] : this->targets) {
        auto const [at, is_first] = youngest.emplace(target.address, key);
        if (!is_first && this->targets.at(at->second).created < target.created)
            at->second = key;
    }
    std::map<service_id, service_part> made;
    for (auto const& [key, target] : this->targets) {
        if (youngest.at(target.address) != key)
            continue;
        service_id const id = service_named(target.service);
        service_part& part = made[id];
        part.id = id;
        part.name = target.service;
        part.changed_at = upto;
        part.targets.push_back(record_of(key, target));
    }
    for (auto& [id, part] : made)
        std::sort(part.targets.begin(), part.targets.end());
    return made;
}

std::optional<catalog_change> published_set::take(publication const& what,
                                                  generation from)
{
    if (!what.is_whole && this->revision == generation{})
        return std::nullopt;
    bool const is_next = !what.is_whole && this->revision == from;
    if (what.is_whole)
        this->targets.clear();
    for (published_key const& one : what.keys) {
        if (one.target)
            this->targets.insert_or_assign(one.key, *one.target);
        else
            this->targets.erase(one.key);
    }
    return this->change_to(what, is_next ? from : generation{});
}

// A service without any target has no part.
void published_set::replace_parts(catalog_change& change)
{
    std::map<service_id, service_part> made = this->parts_at(change.to);
    bool const is_whole = change.base == generation{};
    for (auto& [id, part] : made) {
        if (is_whole) {
            change.parts.push_back(part);
            continue;
        }
        auto const old = this->parts.find(id);
        service_delta const delta = detail::delta_between(
            old == this->parts.end() ? service_part{} : old->second, part);
        if (!delta.changed.empty() || !delta.gone.empty())
            change.deltas.push_back(delta);
    }
    for (auto const& [id, part] : this->parts)
        if (!made.contains(id) && !is_whole)
            change.removed.push_back(id);
    this->parts = std::move(made);
}

// The operator's versions only grow; an older one would be a step back.
void published_set::replace_routes(published_routes const& what,
                                   catalog_change& change)
{
    if (what.version <= this->routes_version)
        return;
    this->routes_version = what.version;
    routes_part const next{change.to, sorted(what.routes), what.idle_lifetime};
    if (change.base != generation{})
        change.route_delta = detail::delta_between(this->routes, next);
    this->routes = next;
}

catalog_change published_set::change_to(publication const& what,
                                        generation base)
{
    catalog_change change{};
    change.base = base;
    change.to = what.upto;
    this->revision = std::max(this->revision, what.upto);
    this->replace_parts(change);
    if (what.routes)
        this->replace_routes(*what.routes, change);
    if (base == generation{})
        change.routes = this->routes;
    std::uint64_t sum = digest_of(fleet_part{}).value;
    for (auto const& [id, part] : this->parts)
        sum += digest_of(part).value;
    sum += digest_of(this->routes).value;
    change.whole = {sum};
    return change;
}

}  // namespace lagoon
