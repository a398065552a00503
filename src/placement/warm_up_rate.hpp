// The limit on opening packets to the cold back ends of a service.
//
// Index
//   find_warm_up_rate   opening packets per second
//   is_cold             whether the limit applies to a target
#pragma once

#include "catalog/catalog.hpp"

#include <algorithm>
#include <vector>

namespace lagoon {

// ---- find_warm_up_rate --------------------------------------------------

// Returns the limit per cold back end of the service; 0: unlimited. `limits` is
// sorted by service.
inline std::uint32_t find_warm_up_rate(std::vector<warm_up_limit> const& limits,
                                       service_id service)
{
    auto const found =
        std::lower_bound(limits.begin(), limits.end(), service,
                         [](warm_up_limit const& limit, service_id wanted) {
                             return limit.service < wanted;
                         });
    return found != limits.end() && found->service == service
               ? found->opens_per_second
               : 0;
}

// ---- is_cold ------------------------------------------------------------

namespace detail {

// A back end whose target the catalog does not list may have just restarted.
inline bool is_cold(target_record const& target, service_id service,
                    catalog const& current)
{
    return target.state == target_state::joining ||
           !current.find_state(service, target.id).has_value();
}

}  // namespace detail

}  // namespace lagoon
