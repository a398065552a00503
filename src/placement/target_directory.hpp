// The targets that an entry may use for each service: those listed in the
// catalog and, for a short time, those whose keys expired without the target
// having announced that it is leaving. A store outage can expire the keys of
// running targets, so unlisted targets are still queried; one that has stopped
// does not answer.
//
// Index
//   unlisted_target    a target removed from the catalog unannounced
//   target_directory   the aggregate
#pragma once

#include "catalog/catalog.hpp"

#include <map>
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
    // Updates the targets after a change of the catalog.
    void update(catalog const& current, time_point now);

    // Removes unlisted targets that have expired and returns them.
    std::vector<target_record> tick(duration platform_age, time_point now);

    // Returns the targets of a service, or null if it has none.
    service_part const* find(service_id id) const;

    // All services that have targets.
    std::map<service_id, service_part> const& services() const;

    // Whether a target of any service has the address.
    bool contains(peer_address address) const;

    // Number of unlisted targets still in use.
    std::size_t unlisted_count() const;

private:
    void retain_unlisted(service_part const& old,
                         service_part const* listed_now, time_point now);
    void rebuild(service_id id);
    void collect_addresses();

    std::map<service_id, service_part> listed = {};
    std::map<service_id, std::vector<unlisted_target>> unlisted = {};
    std::map<service_id, service_part> merged = {};
    std::unordered_set<peer_address, detail::address_hash> addresses = {};
    bool was_platform_down = false;
    time_point platform_back_at = {};
};

}  // namespace lagoon
