// Which services may own open connections. New connections are opened to
// configured services only, but a service keeps its open ones when it is removed
// from the configuration. Other applications may publish targets of services
// that were never configured.
//
// A process can't tell the two apart if the service was removed before the
// process started, or while it got no configuration. It then takes each service
// for one that owns connections, until all connections from before are too old.
//
// Index
//   service_history   the aggregate
#pragma once

#include "catalog/catalog.hpp"

#include <map>
#include <optional>

namespace lagoon {

// ---- service_history ----------------------------------------------------

class service_history
{
public:
    // Connections don't get older than `max_connection_age`.
    service_history(duration max_connection_age, time_point started_at);

    // Records the configured services, and drops those that have had no target
    // for so long that no connection can be open.
    void update(catalog const& current, time_point now);

    // Records that configurations may have been missed until now.
    void record_gap(time_point now);

    bool may_own_connections(service_id id, time_point now) const;

    // Whether services that were not seen in a configuration may own
    // connections.
    bool may_lack_services(time_point now) const;

private:
    duration max_connection_age;
    time_point complete_since;

    // Services that were configured, and since when they have neither been
    // configured nor had a target.
    std::map<service_id, std::optional<time_point>> absent_since = {};
};

}  // namespace lagoon
