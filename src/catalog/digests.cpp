#include "catalog/digests.hpp"

#include "catalog/deltas.hpp"

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

std::uint64_t hash_target(service_id service, target_record const& target)
{
    std::uint64_t seed = hash_pair(target.id.value, service.value);
    seed = hash_text(seed, target.name);
    seed = hash_text(seed, target.data_centre);
    seed = hash_address(seed, target.address);
    seed = hash_address(seed, target.control);
    seed = hash_pair(target.slots, seed);
    seed = hash_pair(static_cast<std::uint64_t>(target.state), seed);
    return target.started_at_ms == 0 ? seed
                                     : hash_pair(target.started_at_ms, seed);
}

std::uint64_t hash_name(service_id service, std::string const& name)
{
    return hash_text(service.value, name);
}

std::uint64_t hash_entry(std::uint64_t seed, entry_record const& entry)
{
    seed = hash_pair(entry.id.value, seed);
    seed = hash_text(seed, entry.name);
    seed = hash_text(seed, entry.data_centre);
    seed = hash_address(seed, entry.exchange);
    return hash_address(seed, entry.control);
}

std::uint64_t hash_route(route_record const& route)
{
    std::uint64_t seed = hash_address(0, route.address);
    for (weighted_service const& share : route.services) {
        seed = hash_pair(share.service.value, seed);
        seed = hash_pair(share.weight, seed);
    }
    seed = hash_pair(static_cast<std::uint64_t>(route.objective.count()), seed);
    seed = hash_pair(static_cast<std::uint64_t>(route.deadline.count()), seed);
    seed = hash_pair(route.priority, seed);
    return hash_pair(route.is_idempotent ? 1U : 0U, seed);
}

std::uint64_t hash_lifetime(duration idle_lifetime)
{
    return idle_lifetime == duration{}
               ? 0
               : hash_pair(static_cast<std::uint64_t>(idle_lifetime.count()),
                           1);
}

std::uint64_t hash_warm_up_limit(warm_up_limit const& limit)
{
    std::uint64_t const seed =
        hash_pair(static_cast<std::uint64_t>(limit.warm_up_time.count()),
                  limit.service.value);
    return hash_pair(limit.opens_per_second, seed);
}

// Hash of what a part or a delta holds beside the routes.
template <class Part> std::uint64_t hash_route_settings(Part const& part)
{
    std::uint64_t sum = hash_lifetime(part.idle_lifetime);
    if (part.version != 0)
        sum += hash_pair(part.version, 2);
    for (warm_up_limit const& limit : part.warm_up_limits)
        sum += hash_warm_up_limit(limit);
    return sum;
}

std::uint64_t hash_configured(std::vector<service_id> const& services)
{
    constexpr std::uint64_t seed = 4;
    std::uint64_t sum = 0;
    for (service_id const id : services)
        sum += hash_pair(id.value, seed);
    return sum;
}

target_record const* find_target(service_part const& part, target_id id)
{
    for (target_record const& one : part.targets)
        if (one.id == id)
            return &one;
    return nullptr;
}

route_record const* find_route_record(routes_part const& part,
                                      peer_address address)
{
    auto const found =
        std::lower_bound(part.routes.begin(), part.routes.end(), address,
                         [](route_record const& route, peer_address wanted) {
                             return route.address < wanted;
                         });
    bool const is_found =
        found != part.routes.end() && found->address == address;
    return is_found ? &*found : nullptr;
}

}  // namespace

namespace detail {

std::uint64_t compute_digest_gain(service_part const* old,
                                  service_delta const& delta)
{
    std::uint64_t gain = old == nullptr ? hash_name(delta.id, delta.name) : 0;
    auto const remove_old = [&](target_id id) {
        target_record const* previous =
            old == nullptr ? nullptr : find_target(*old, id);
        if (previous != nullptr)
            gain -= hash_target(delta.id, *previous);
    };
    for (target_record const& target : delta.changed) {
        remove_old(target.id);
        gain += hash_target(delta.id, target);
    }
    for (target_id const id : delta.removed)
        remove_old(id);
    return gain;
}

std::uint64_t compute_digest_gain(routes_part const& old,
                                  routes_delta const& delta)
{
    std::uint64_t gain = hash_route_settings(delta) - hash_route_settings(old);
    gain += hash_configured(apply_services(old.services, delta)) -
            hash_configured(old.services);
    auto const remove_old = [&](peer_address address) {
        if (route_record const* previous = find_route_record(old, address))
            gain -= hash_route(*previous);
    };
    for (route_record const& route : delta.changed) {
        remove_old(route.address);
        gain += hash_route(route);
    }
    for (peer_address const& address : delta.removed)
        remove_old(address);
    return gain;
}

}  // namespace detail

// Digests cover the contents without `changed_at`: two processes that got the
// same contents through different reads may have different generations there.
digest compute_digest(service_part const& part)
{
    std::uint64_t sum = hash_name(part.id, part.name);
    for (caller_id const caller : part.callers)
        sum += hash_pair(caller.value, part.id.value);
    for (target_record const& target : part.targets)
        sum += hash_target(part.id, target);
    return {sum};
}

digest compute_digest(fleet_part const& part)
{
    std::uint64_t sum = 0;
    for (entry_record const& entry : part.entries)
        sum += hash_entry(0, entry);
    return {sum};
}

digest compute_digest(routes_part const& part)
{
    std::uint64_t sum =
        hash_route_settings(part) + hash_configured(part.services);
    for (route_record const& route : part.routes)
        sum += hash_route(route);
    return {sum};
}

digest compute_digest(evacuations_part const& part)
{
    constexpr std::uint64_t seed = 3;
    std::uint64_t sum = 0;
    for (std::string const& data_centre : part.data_centres)
        sum += hash_text(seed, data_centre);
    return {sum};
}

}  // namespace lagoon
