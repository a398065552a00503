#include "catalog/catalog.hpp"

#include <algorithm>

namespace lagoon {

namespace {

std::uint64_t hash_text(std::uint64_t seed, std::string const& text)
{
    return hash_bytes(text, seed);
}

std::uint64_t hash_address(std::uint64_t seed, peer_address const& address)
{
    auto const packed =
        (std::uint64_t{address.ip} << 16U) | std::uint64_t{address.port};
    return hash_pair(packed, seed);
}

std::uint64_t hash_target(std::uint64_t seed, target_record const& target)
{
    seed = hash_pair(target.id.value, seed);
    seed = hash_text(seed, target.name);
    seed = hash_text(seed, target.data_centre);
    seed = hash_address(seed, target.address);
    seed = hash_address(seed, target.control);
    seed = hash_pair(target.slots, seed);
    return hash_pair(static_cast<std::uint64_t>(target.state), seed);
}

std::uint64_t hash_entry(std::uint64_t seed, entry_record const& entry)
{
    seed = hash_pair(entry.id.value, seed);
    seed = hash_text(seed, entry.name);
    seed = hash_text(seed, entry.data_centre);
    seed = hash_address(seed, entry.exchange);
    return hash_address(seed, entry.control);
}

std::uint64_t hash_route(std::uint64_t seed, route_record const& route)
{
    seed = hash_address(seed, route.address);
    for (weighted_service const& share : route.services) {
        seed = hash_pair(share.service.value, seed);
        seed = hash_pair(share.weight, seed);
    }
    seed = hash_pair(static_cast<std::uint64_t>(route.objective.count()), seed);
    seed = hash_pair(static_cast<std::uint64_t>(route.deadline.count()), seed);
    seed = hash_pair(route.priority, seed);
    return hash_pair(route.is_idempotent ? 1U : 0U, seed);
}

}  // namespace

// ---- records ------------------------------------------------------------

// A digest is of the contents alone: two processes that came to them by other
// reads may date them differently.
digest digest_of(service_part const& part)
{
    std::uint64_t seed = part.id.value;
    seed = hash_text(seed, part.name);
    for (caller_id const caller : part.callers)
        seed = hash_pair(caller.value, seed);
    for (target_record const& target : part.targets)
        seed = hash_target(seed, target);
    return {seed};
}

digest digest_of(fleet_part const& part)
{
    std::uint64_t seed = 0;
    for (entry_record const& entry : part.entries)
        seed = hash_entry(seed, entry);
    return {seed};
}

digest digest_of(routes_part const& part)
{
    std::uint64_t seed = 0;
    for (route_record const& route : part.routes)
        seed = hash_route(seed, route);
    if (part.idle_lifetime != duration{})
        seed = hash_pair(static_cast<std::uint64_t>(part.idle_lifetime.count()),
                         seed);
    return {seed};
}

// ---- catalog ------------------------------------------------------------

// The catalog's digest once the change is applied: a sum over the parts, so
// that it doesn't depend on their order and only the changed ones are hashed.
digest catalog::digest_after(contents const& from, catalog_change const& change)
{
    bool const whole = change.base == generation{};
    std::uint64_t sum = whole ? 0 : from.version.content.value;
    auto const take_out = [&](service_id id) {
        auto const old = from.services.find(id);
        if (!whole && old != from.services.end())
            sum -= digest_of(old->second).value;
    };
    for (service_part const& part : change.parts) {
        take_out(part.id);
        sum += digest_of(part).value;
    }
    for (service_id const id : change.removed)
        take_out(id);
    if (change.fleet && !whole)
        sum -= digest_of(from.fleet).value;
    if (change.fleet || whole)
        sum += digest_of(change.fleet.value_or(fleet_part{})).value;
    if (change.routes && !whole)
        sum -= digest_of(from.routes).value;
    if (change.routes || whole)
        sum += digest_of(change.routes.value_or(routes_part{})).value;
    return {sum};
}

void catalog::apply(catalog_change const& change)
{
    if (change.base == generation{}) {
        this->now = {};
        this->targets.clear();
    }
    for (service_part const& part : change.parts) {
        this->drop_service(part.id);
        this->now.services.insert_or_assign(part.id, part);
        this->now.removed.erase(part.id);
    }
    for (service_id const id : change.removed) {
        this->drop_service(id);
        this->now.removed.insert_or_assign(id, change.to);
    }
    for (service_part const& part : change.parts)
        for (target_record const& target : part.targets) {
            located_target const old = this->targets[target.id];
            this->targets[target.id] = {target.address, old.uses + 1};
        }
    if (change.fleet)
        this->now.fleet = *change.fleet;
    if (change.routes)
        this->now.routes = *change.routes;
    this->now.version = {change.to, change.whole};
}

void catalog::drop_service(service_id id)
{
    auto const old = this->now.services.find(id);
    if (old == this->now.services.end())
        return;
    for (target_record const& target : old->second.targets) {
        located_target const known = this->targets[target.id];
        if (known.uses > 1)
            this->targets[target.id] = {known.address, known.uses - 1};
        else
            this->targets.erase(target.id);
    }
    this->now.services.erase(old);
}

std::optional<catalog_version> catalog::adopt(catalog_change const& change,
                                              failure& last)
{
    catalog_version const offered{change.to, change.whole};
    if (change.to == generation{} || change.base >= change.to)
        return fail(last, {step::adopt_generation,
                           reason::malformed,
                           {},
                           "generation does not grow"});
    if (offered <= this->now.version)
        return fail(last, {step::adopt_generation,
                           reason::stale,
                           {},
                           "generation " + std::to_string(change.to.value) +
                               " is not newer"});
    if (change.base > this->now.version.number)
        return fail(last, {step::adopt_generation,
                           reason::conflict,
                           {},
                           "change starts after the generation in force"});
    if (digest_after(this->now, change) != change.whole)
        return fail(last, {step::adopt_generation,
                           reason::conflict,
                           {},
                           "digest differs after the change"});
    this->apply(change);
    return this->now.version;
}

catalog_version catalog::version() const
{
    return this->now.version;
}

service_part const* catalog::find_service(service_id id) const
{
    auto const found = this->now.services.find(id);
    return found == this->now.services.end() ? nullptr : &found->second;
}

bool catalog::permits(service_id service, caller_id caller) const
{
    service_part const* part = this->find_service(service);
    return part != nullptr && std::binary_search(part->callers.begin(),
                                                 part->callers.end(), caller);
}

std::optional<peer_address> catalog::address_of(target_id id) const
{
    auto const found = this->targets.find(id);
    if (found == this->targets.end())
        return std::nullopt;
    return found->second.address;
}

std::optional<target_state> catalog::state_of(service_id service,
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
    return this->now.fleet;
}

routes_part const& catalog::routes() const
{
    return this->now.routes;
}

route_record const* catalog::find_route(peer_address address) const
{
    std::vector<route_record> const& all = this->now.routes.routes;
    auto const found =
        std::lower_bound(all.begin(), all.end(), address,
                         [](route_record const& route, peer_address wanted) {
                             return route.address < wanted;
                         });
    return found != all.end() && found->address == address ? &*found : nullptr;
}

std::map<service_id, service_part> const& catalog::services() const
{
    return this->now.services;
}

catalog_change catalog::changes_since(generation base) const
{
    std::vector<service_part> parts;
    for (auto const& [id, part] : this->now.services)
        if (part.changed_at > base)
            parts.push_back(part);
    std::vector<service_id> removed;
    for (auto const& [id, when] : this->now.removed)
        if (when > base && base != generation{})
            removed.push_back(id);
    // What was never published isn't part of the whole.
    bool const fleet_changed = base == generation{}
                                   ? this->now.fleet != fleet_part{}
                                   : this->now.fleet.changed_at > base;
    bool const routes_changed = this->now.routes.changed_at > base;
    return {base,
            this->now.version.number,
            this->now.version.content,
            parts,
            removed,
            fleet_changed ? std::optional{this->now.fleet} : std::nullopt,
            routes_changed ? std::optional{this->now.routes} : std::nullopt};
}

}  // namespace lagoon
