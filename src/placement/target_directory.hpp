// The targets that an entry may use for each service: those that the catalog
// lists, and for a short time those whose keys lapsed though nobody said that
// they leave. A store that was away loses the keys of targets that live; each
// target answers for itself when it is asked.
//
// Index
//   unlisted_target      a target that fell out of the catalog unannounced
//   target_directory   the aggregate
#pragma once

#include "catalog/catalog.hpp"

#include <map>
#include <vector>

namespace lagoon {

// ---- unlisted_target ------------------------------------------------------

struct unlisted_target
{
    target_record target = {};
    time_point since = {};
    auto operator<=>(unlisted_target const&) const = default;
};

// Targets that live are back in the store within this of its return, or of
// the lapse; those that aren't are gone.
constexpr duration unlisted_lifetime = std::chrono::seconds{2};

// News of the platform older than this: it is away, and lapses prove nothing.
constexpr duration platform_outage_age = std::chrono::milliseconds{2500};

// ---- target_directory ---------------------------------------------------

class target_directory
{
public:
    // Takes in the catalog after a change.
    void update(catalog const& known, time_point now);

    // Lets go of lapsed targets; says which.
    std::vector<target_record> tick(duration platform_age, time_point now);

    // The targets of a service; nothing when it has none.
    service_part const* find(service_id id) const;

    // Lapsed targets still in use.
    std::size_t unlisted_count() const;

private:
    void retain_unlisted(service_part const& old, service_part const* listed,
                         time_point now);
    void rebuild(service_id id);

    std::map<service_id, service_part> listed = {};
    std::map<service_id, std::vector<unlisted_target>> unlisted = {};
    std::map<service_id, service_part> merged = {};
    bool was_platform_away = false;
    time_point platform_back_at = {};
};

}  // namespace lagoon
