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

}  // namespace

// ---- records ------------------------------------------------------------

digest digest_of(service_part const& part)
{
    std::uint64_t seed = hash_pair(part.id.value, part.changed_at.value);
    seed = hash_text(seed, part.name);
    for (caller_id const caller : part.callers)
        seed = hash_pair(caller.value, seed);
    for (target_record const& target : part.targets)
        seed = hash_target(seed, target);
    return {seed};
}

digest digest_of(fleet_part const& part)
{
    std::uint64_t seed = part.changed_at.value;
    for (entry_record const& entry : part.entries)
        seed = hash_entry(seed, entry);
    return {seed};
}

// ---- catalog ------------------------------------------------------------

digest catalog::digest_of_contents(contents const& what)
{
    // A sum, so that the digest doesn't depend on the order of the parts.
    std::uint64_t sum = digest_of(what.fleet).value;
    for (auto const& [id, part] : what.services)
        sum += digest_of(part).value;
    return {sum};
}

catalog::contents catalog::apply(contents const& from,
                                 catalog_change const& change)
{
    bool const whole = change.base == generation{};
    contents next = whole ? contents{} : from;
    for (service_part const& part : change.parts) {
        next.services.insert_or_assign(part.id, part);
        next.removed.erase(part.id);
    }
    for (service_id const id : change.removed) {
        next.services.erase(id);
        next.removed.insert_or_assign(id, change.to);
    }
    if (change.fleet)
        next.fleet = *change.fleet;
    next.version = {change.to, digest_of_contents(next)};
    return next;
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
    contents const next = apply(this->now, change);
    if (next.version != offered)
        return fail(last, {step::adopt_generation,
                           reason::conflict,
                           {},
                           "digest differs after the change"});
    this->now = next;
    this->index_targets();
    return this->now.version;
}

void catalog::index_targets()
{
    this->targets.clear();
    for (auto const& [id, part] : this->now.services)
        for (target_record const& target : part.targets)
            this->targets.insert_or_assign(target.id, target);
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

target_record const* catalog::find_target(target_id id) const
{
    auto const found = this->targets.find(id);
    return found == this->targets.end() ? nullptr : &found->second;
}

std::optional<peer_address> catalog::address_of(target_id id) const
{
    target_record const* target = this->find_target(id);
    if (target == nullptr)
        return std::nullopt;
    return target->address;
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
    bool const fleet_changed =
        base == generation{} || this->now.fleet.changed_at > base;
    return {base,
            this->now.version.number,
            this->now.version.content,
            parts,
            removed,
            fleet_changed ? std::optional{this->now.fleet} : std::nullopt};
}

}  // namespace lagoon
