#include "catalog/catalog.hpp"

#include "catalog/deltas.hpp"
#include "catalog/digests.hpp"
#include "catalog/route_versions.hpp"

#include <algorithm>

namespace lagoon {

namespace {

// Kept so that peers that are behind can be sent deltas.
constexpr std::size_t max_recent_changes = 32;

}  // namespace

// ---- records ------------------------------------------------------------

bool is_delta_only(catalog_change const& change)
{
    return change.base != generation{} && change.parts.empty() &&
           !change.fleet && !change.routes;
}

// ---- catalog ------------------------------------------------------------

// Returns the digest of the catalog after the change. It is a sum over the
// parts: independent of their order, and only changed parts are hashed.
digest catalog::compute_digest_after(contents const& from,
                                     catalog_change const& change)
{
    bool const is_full = change.base == generation{};
    std::uint64_t sum = is_full ? 0 : from.version.content.value;
    auto const remove_old = [&](service_id id) {
        auto const old = from.services.find(id);
        if (!is_full && old != from.services.end())
            sum -= compute_digest(old->second).value;
    };
    for (service_part const& part : change.parts) {
        remove_old(part.id);
        sum += compute_digest(part).value;
    }
    for (service_id const id : change.removed)
        remove_old(id);
    if (change.fleet && !is_full)
        sum -= compute_digest(from.fleet).value;
    if (change.fleet || is_full)
        sum += compute_digest(change.fleet.value_or(fleet_part{})).value;
    if (change.routes && !is_full)
        sum -= compute_digest(from.routes).value;
    if (change.routes || is_full)
        sum += compute_digest(change.routes.value_or(routes_part{})).value;
    for (service_delta const& delta : change.deltas) {
        auto const old = from.services.find(delta.id);
        sum += detail::compute_digest_gain(
            old == from.services.end() ? nullptr : &old->second, delta);
    }
    if (change.route_delta)
        sum += detail::compute_digest_gain(from.routes, *change.route_delta);
    if (change.evacuations && !is_full)
        sum -= compute_digest(from.evacuations).value;
    if (change.evacuations)
        sum += compute_digest(*change.evacuations).value;
    return {sum};
}

void catalog::apply(catalog_change const& change)
{
    if (change.base == generation{}) {
        this->current = {};
        this->targets.clear();
    }
    for (service_part const& part : change.parts) {
        this->drop_service(part.id);
        this->current.services.insert_or_assign(part.id, part);
        this->current.removed.erase(part.id);
    }
    for (service_id const id : change.removed) {
        this->drop_service(id);
        this->current.removed.insert_or_assign(id, change.to);
    }
    for (service_part const& part : change.parts)
        for (target_record const& target : part.targets)
            this->add_target(target);
    if (change.fleet)
        this->current.fleet = *change.fleet;
    if (change.routes)
        this->current.routes = *change.routes;
    if (change.evacuations)
        this->current.evacuations = *change.evacuations;
    for (service_delta const& delta : change.deltas)
        this->apply(delta, change.to);
    if (change.route_delta)
        this->apply(*change.route_delta, change.to);
    this->current.version = {change.to, change.result_digest};
    this->record_recent(change);
}

void catalog::apply(service_delta const& delta, generation to)
{
    service_part& part = this->current.services[delta.id];
    part.id = delta.id;
    part.name = delta.name;
    part.changed_at = to;
    this->current.removed.erase(delta.id);
    auto const remove_old = [this, &part](target_id id) {
        auto const at = detail::find_position(part.targets, id);
        if (at == part.targets.end())
            return;
        this->drop_target(*at);
        part.targets.erase(at);
    };
    for (target_id const id : delta.removed)
        remove_old(id);
    for (target_record const& target : delta.changed) {
        remove_old(target.id);
        part.targets.push_back(target);
        this->add_target(target);
    }
    std::sort(part.targets.begin(), part.targets.end());
}

void catalog::apply(routes_delta const& delta, generation to)
{
    routes_part& part = this->current.routes;
    part.changed_at = to;
    part.idle_lifetime = delta.idle_lifetime;
    part.version = delta.version;
    part.warm_up_limits = delta.warm_up_limits;
    part.services = detail::apply_services(part.services, delta);
    auto const remove_old = [&part](peer_address address) {
        std::erase_if(part.routes, [address](route_record const& one) {
            return one.address == address;
        });
    };
    for (peer_address const& address : delta.removed)
        remove_old(address);
    for (route_record const& route : delta.changed) {
        remove_old(route.address);
        part.routes.push_back(route);
    }
    std::sort(part.routes.begin(), part.routes.end());
}

void catalog::add_target(target_record const& target)
{
    target_location const old = this->targets[target.id];
    this->targets[target.id] = {target.address, old.reference_count + 1};
}

void catalog::drop_target(target_record const& target)
{
    target_location const known = this->targets[target.id];
    if (known.reference_count > 1)
        this->targets[target.id] = {known.address, known.reference_count - 1};
    else
        this->targets.erase(target.id);
}

void catalog::drop_service(service_id id)
{
    auto const old = this->current.services.find(id);
    if (old == this->current.services.end())
        return;
    for (target_record const& target : old->second.targets)
        this->drop_target(target);
    this->current.services.erase(old);
}

void catalog::record_recent(catalog_change const& change)
{
    if (!is_delta_only(change) || !change.removed.empty()) {
        this->recent_changes.clear();
        return;
    }
    this->recent_changes.push_back(change);
    if (this->recent_changes.size() > max_recent_changes)
        this->recent_changes.pop_front();
}

std::optional<catalog_version> catalog::adopt(catalog_change const& change,
                                              failure& error)
{
    catalog_version const offered{change.to, change.result_digest};
    if (change.to == generation{} || change.base >= change.to)
        return fail(error, {step::adopt_generation,
                            reason::malformed,
                            {},
                            "generation does not increase"});
    bool const has_earlier_routes =
        detail::has_earlier_routes(change, this->current.routes);
    // Of two contents with one generation, the later routes win, so that
    // processes that kept theirs and processes that did not agree.
    bool const is_replaced =
        offered.number == this->current.version.number &&
        detail::has_later_routes(change, this->current.routes);
    bool const is_later =
        offered > this->current.version &&
        (offered.number != this->current.version.number || !has_earlier_routes);
    if (!is_later && !is_replaced)
        return fail(error, {step::adopt_generation,
                            reason::stale,
                            {},
                            "generation " + std::to_string(change.to.value) +
                                " is not newer than the current one"});
    if (change.base > this->current.version.number)
        return fail(
            error,
            {step::adopt_generation,
             reason::conflict,
             {},
             "base generation of the change is newer than the current one"});
    if (compute_digest_after(this->current, change) != change.result_digest)
        return fail(error, {step::adopt_generation,
                            reason::conflict,
                            {},
                            "digest mismatch after applying the change"});
    if (has_earlier_routes && change.base != generation{})
        return fail(error, {step::adopt_generation,
                            reason::conflict,
                            {},
                            "routes of the change are earlier than the current "
                            "ones; the full catalog is needed"});
    this->apply(has_earlier_routes
                    ? detail::keep_routes(change, this->current.routes)
                    : change);
    return this->current.version;
}

catalog_version catalog::version() const
{
    return this->current.version;
}

service_part const* catalog::find_service(service_id id) const
{
    auto const found = this->current.services.find(id);
    return found == this->current.services.end() ? nullptr : &found->second;
}

bool catalog::is_permitted(service_id service, caller_id caller) const
{
    service_part const* part = this->find_service(service);
    return part != nullptr && std::binary_search(part->callers.begin(),
                                                 part->callers.end(), caller);
}

bool catalog::is_configured(service_id id) const
{
    std::vector<service_id> const& all = this->current.routes.services;
    return all.empty() || std::binary_search(all.begin(), all.end(), id);
}

std::optional<peer_address> catalog::find_address(target_id id) const
{
    auto const found = this->targets.find(id);
    if (found == this->targets.end())
        return std::nullopt;
    return found->second.address;
}

std::optional<target_state> catalog::find_state(service_id service,
                                                target_id id) const
{
    service_part const* part = this->find_service(service);
    if (part == nullptr)
        return std::nullopt;
    for (target_record const& target : part->targets)
        if (target.id == id)
            return target.state;
    return std::nullopt;
}

fleet_part const& catalog::fleet() const
{
    return this->current.fleet;
}

routes_part const& catalog::routes() const
{
    return this->current.routes;
}

evacuations_part const& catalog::evacuations() const
{
    return this->current.evacuations;
}

bool catalog::is_evacuated(std::string const& data_centre) const
{
    std::vector<std::string> const& all =
        this->current.evacuations.data_centres;
    return std::binary_search(all.begin(), all.end(), data_centre);
}

route_record const* catalog::find_route(peer_address address) const
{
    std::vector<route_record> const& all = this->current.routes.routes;
    auto const found =
        std::lower_bound(all.begin(), all.end(), address,
                         [](route_record const& route, peer_address wanted) {
                             return route.address < wanted;
                         });
    return found != all.end() && found->address == address ? &*found : nullptr;
}

std::map<service_id, service_part> const& catalog::services() const
{
    return this->current.services;
}

catalog_change catalog::changes_since(generation base) const
{
    std::optional<catalog_change> const change = this->merge_recent_since(base);
    return change ? *change : this->collect_parts_since(base);
}

// Merges the recent deltas after `base`; empty when they don't reach back that
// far. Deltas overlap when different processes read the platform; the record of
// the later one wins.
std::optional<catalog_change> catalog::merge_recent_since(generation base) const
{
    bool const is_covered = base != generation{} &&
                            !this->recent_changes.empty() &&
                            this->recent_changes.front().base <= base;
    if (!is_covered)
        return std::nullopt;
    catalog_change all{base, this->current.version.number,
                       this->current.version.content};
    for (catalog_change const& one : this->recent_changes) {
        if (one.to <= base)
            continue;
        for (service_delta const& delta : one.deltas) {
            auto const known =
                std::find_if(all.deltas.begin(), all.deltas.end(),
                             [&delta](service_delta const& other) {
                                 return other.id == delta.id;
                             });
            if (known == all.deltas.end())
                all.deltas.push_back(delta);
            else
                detail::merge(*known, delta);
        }
        if (one.evacuations)
            all.evacuations = one.evacuations;
        if (!one.route_delta)
            continue;
        if (!all.route_delta)
            all.route_delta = routes_delta{};
        detail::merge(*all.route_delta, *one.route_delta);
    }
    return all;
}

catalog_change catalog::collect_parts_since(generation base) const
{
    std::vector<service_part> parts;
    for (auto const& [id, part] : this->current.services)
        if (part.changed_at > base)
            parts.push_back(part);
    std::vector<service_id> removed;
    for (auto const& [id, when] : this->current.removed)
        if (when > base && base != generation{})
            removed.push_back(id);
    // A full catalog leaves out a fleet that was never published.
    bool const has_new_fleet = base == generation{}
                                   ? this->current.fleet != fleet_part{}
                                   : this->current.fleet.changed_at > base;
    bool const has_new_routes = this->current.routes.changed_at > base;
    catalog_change change{
        base,
        this->current.version.number,
        this->current.version.content,
        parts,
        removed,
        has_new_fleet ? std::optional{this->current.fleet} : std::nullopt,
        has_new_routes ? std::optional{this->current.routes} : std::nullopt};
    if (this->current.evacuations.changed_at > base)
        change.evacuations = this->current.evacuations;
    return change;
}

}  // namespace lagoon
