// Candidates of an entry: the service that a new connection goes to, and the
// targets that may own an open one, in the order in which they are asked.
//
// Index
//   services     the service of a new connection, the services to search
//   candidates   the targets of these services, in the order of a search
#pragma once

#include "connection/packet.hpp"
#include "entry/home_preference.hpp"
#include "flow/ranking.hpp"
#include "placement/policies.hpp"
#include "placement/target_directory.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lagoon::detail {

// ---- services -----------------------------------------------------------

// Selects the service of a connection by the weights of its route. Every entry
// selects the same one.
inline std::optional<service_id>
select_service(route_record const& route, connection_endpoints const& endpoints)
{
    std::uint64_t total = 0;
    for (weighted_service const& service : route.services)
        total += service.weight;
    if (total == 0)
        return std::nullopt;
    // Not the hash of the ranking, so that the two choices are independent.
    std::uint64_t offset =
        hash_pair(make_flow_key(endpoints).value, total) % total;
    for (weighted_service const& service : route.services) {
        if (offset < service.weight)
            return service.service;
        offset -= service.weight;
    }
    return std::nullopt;
}

// Returns the services to which a connection may belong: the one selected by
// the weights, then the others of the route, since the weights may have changed
// since the connection was opened.
inline std::vector<service_id>
list_services(route_record const& route, connection_endpoints const& endpoints)
{
    std::vector<service_id> services;
    if (std::optional<service_id> const first =
            select_service(route, endpoints))
        services.push_back(*first);
    for (weighted_service const& service : route.services)
        if (std::find(services.begin(), services.end(), service.service) ==
            services.end())
            services.push_back(service.service);
    return services;
}

// The services that may hold an open connection.
struct searched_services
{
    std::vector<service_part const*> of_route = {};

    // The route may have been given to another service since the connection was
    // opened. Services that aren't configured any more come last.
    std::vector<service_part const*> others = {};
};

inline searched_services
list_searched_services(target_directory const& directory,
                       catalog const& current, route_record const& route,
                       connection_endpoints const& endpoints)
{
    std::vector<service_id> const own = list_services(route, endpoints);
    searched_services services;
    for (service_id const id : own)
        if (service_part const* part = directory.find(id))
            services.of_route.push_back(part);
    for (auto const& [id, part] : directory.services())
        if (std::find(own.begin(), own.end(), id) == own.end())
            services.others.push_back(&part);
    std::stable_partition(services.others.begin(), services.others.end(),
                          [&current](service_part const* part) {
                              return current.is_configured(part->id);
                          });
    return services;
}

// ---- candidates ---------------------------------------------------------

// Twice the preferred targets, in case some of those do not answer.
constexpr std::size_t max_candidates = 2 * default_preferred_count;

// The targets of one service, in the order in which to search for an owner.
struct ranked_service
{
    service_id service = {};
    std::vector<target_record const*> targets = {};
};

inline std::vector<ranked_service>
rank_services(std::vector<service_part const*> const& services, flow_key flow,
              home_preference const& preference)
{
    std::vector<ranked_service> ranked;
    ranked.reserve(services.size());
    for (service_part const* part : services)
        ranked.push_back({part->id, preference.order_owners(
                                        part->id, rank_owners(*part, flow),
                                        flow, default_preferred_count)});
    return ranked;
}

// Appends the targets at the positions [from, to) of each service.
inline void append_candidates(std::vector<placement_candidate>& candidates,
                              std::vector<ranked_service> const& services,
                              std::size_t from, std::size_t to)
{
    for (ranked_service const& one : services)
        for (std::size_t i = from; i < std::min(to, one.targets.size()); ++i)
            candidates.push_back(
                {one.targets[i]->address, one.targets[i]->slots, one.service});
}

// Returns the targets that may own a connection, in the order of the search.
// Nearly all owners are among the preferred targets of a service of the route.
// While targets are unsure, one packet reaches `max_candidates` back ends: those
// of the route's services come first, and other services follow with the next
// packet.
inline std::vector<placement_candidate>
list_owner_candidates(searched_services const& services, flow_key flow,
                      home_preference const& preference)
{
    constexpr std::size_t preferred = default_preferred_count;
    std::vector<ranked_service> const own =
        rank_services(services.of_route, flow, preference);
    std::vector<ranked_service> const others =
        rank_services(services.others, flow, preference);
    std::vector<placement_candidate> candidates;
    append_candidates(candidates, own, 0, preferred);
    append_candidates(candidates, own, preferred, max_candidates);
    append_candidates(candidates, others, 0, preferred);
    append_candidates(candidates, own, max_candidates, SIZE_MAX);
    append_candidates(candidates, others, preferred, SIZE_MAX);
    return candidates;
}

// Moves the target `preferred` to the front and `returned_by` to the end.
inline void move_candidates(std::vector<placement_candidate>& candidates,
                            std::optional<peer_address> preferred,
                            std::optional<peer_address> returned_by)
{
    if (preferred)
        std::stable_partition(candidates.begin(), candidates.end(),
                              [&](placement_candidate const& candidate) {
                                  return candidate.address == *preferred;
                              });
    if (returned_by)
        std::stable_partition(candidates.begin(), candidates.end(),
                              [&](placement_candidate const& candidate) {
                                  return candidate.address != *returned_by;
                              });
}

}  // namespace lagoon::detail
