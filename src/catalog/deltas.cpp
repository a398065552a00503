#include "catalog/deltas.hpp"

#include <algorithm>

namespace lagoon::detail {

std::vector<target_record>::iterator
find_position(std::vector<target_record>& targets, target_id id)
{
    return std::find_if(targets.begin(), targets.end(),
                        [id](target_record const& one) {
                            return one.id == id;
                        });
}

std::vector<service_id> apply_services(std::vector<service_id> services,
                                       routes_delta const& delta)
{
    services.insert(services.end(), delta.added_services.begin(),
                    delta.added_services.end());
    std::sort(services.begin(), services.end());
    services.erase(std::unique(services.begin(), services.end()),
                   services.end());
    for (service_id const id : delta.removed_services)
        std::erase(services, id);
    return services;
}

void merge(service_delta& into, service_delta const& later)
{
    into.name = later.name;
    for (target_record const& target : later.changed) {
        std::erase(into.removed, target.id);
        auto const at = find_position(into.changed, target.id);
        if (at != into.changed.end())
            *at = target;
        else
            into.changed.push_back(target);
    }
    for (target_id const id : later.removed) {
        auto const at = find_position(into.changed, id);
        if (at != into.changed.end())
            into.changed.erase(at);
        std::erase(into.removed, id);
        into.removed.push_back(id);
    }
}

void merge(routes_delta& into, routes_delta const& later)
{
    into.idle_lifetime = later.idle_lifetime;
    into.version = later.version;
    into.warm_up_limits = later.warm_up_limits;
    auto const remove = [&into](peer_address address) {
        std::erase_if(into.changed, [address](route_record const& one) {
            return one.address == address;
        });
        std::erase(into.removed, address);
    };
    for (route_record const& route : later.changed) {
        remove(route.address);
        into.changed.push_back(route);
    }
    for (peer_address const& address : later.removed) {
        remove(address);
        into.removed.push_back(address);
    }
    for (service_id const id : later.added_services) {
        std::erase(into.removed_services, id);
        into.added_services.push_back(id);
    }
    for (service_id const id : later.removed_services) {
        std::erase(into.added_services, id);
        into.removed_services.push_back(id);
    }
}

}  // namespace lagoon::detail
