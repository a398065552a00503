// The targets that an entry may use for each service: those listed in the
// catalog and, for a short time, those whose keys expired without the target
// having announced that it is leaving. A store outage can expire the keys of
// running targets, so unlisted targets are still queried; one that has stopped
// does not answer.
//
// Which targets are used for what:
//   - New connections: targets of services that are configured now.
//   - Open connections are searched, and known to be lost only if all of these
//     targets deny them: targets of all services that may own connections (see
//     service_history), as long as the platform lists them.
//   - A packet whose owner is known is forwarded to it, listed or not.
//
// Index
//   unlisted_target    a target removed from the catalog unannounced
//   target_directory   the aggregate
#pragma once

#include "placement/service_history.hpp"

#include <map>
#include <set>
#include <unordered_set>
#include <vector>

namespace lagoon {

// ---- unlisted_target ----------------------------------------------------

struct unlisted_target
{
    target_record target = {};
    time_point since = {};
    auto operator<=>(unlisted_target const&) const = default;
};

// A running target registers again within this time of the expiry of its key
// or of the store's return. One that has not is considered gone.
constexpr duration unlisted_lifetime = std::chrono::seconds{2};

// When the latest platform data is older than this, the platform counts as
// down and an expired key does not show that its target has stopped.
constexpr duration platform_outage_age = std::chrono::milliseconds{2500};

// ---- target_directory ---------------------------------------------------

class target_directory
{
public:
    // See service_history for the parameters.
    target_directory(duration max_connection_age, time_point started_at);

    // Updates the targets after a change of the catalog.
    void update(catalog const& current, time_point now);

    // Removes unlisted targets that have expired and returns them.
    std::vector<target_record> tick(duration platform_age, time_point now);

    // Records that the process did not run for a while.
    void record_pause(time_point now);

    // Returns the targets of a service for new connections, or null if it has
    // none or isn't configured.
    service_part const* find_configured(service_id id) const;

    // Returns the targets of a service for open connections, or null.
    service_part const* find(service_id id) const;

    // All services that have targets and may own connections.
    std::map<service_id, service_part> const& services() const;

    // Whether a target of any service, also of one that is never used, has the
    // address.
    bool contains(peer_address address) const;

    // Number of unlisted targets still in use.
    std::size_t unlisted_count() const;

private:
    void retain_unlisted(service_part const& old,
                         service_part const* listed_now, time_point now);
    void drop_replaced(catalog const& current);
    void rebuild_all(time_point now);
    void rebuild(service_id id, time_point now);
    void collect_addresses();

    service_history history;
    std::set<service_id> configured = {};
    std::map<service_id, service_part> listed = {};
    std::map<service_id, std::vector<unlisted_target>> unlisted = {};
    std::map<service_id, service_part> merged = {};
    std::unordered_set<peer_address, detail::address_hash> addresses = {};
    bool has_unknown_services = false;  // in `merged`
    bool was_platform_down = false;
    time_point platform_back_at = {};
};

}  // namespace lagoon
