#include "placement/target_directory.hpp"

#include <algorithm>

namespace lagoon {

namespace {

bool contains_address(std::vector<target_record> const& targets,
                      peer_address address)
{
    return std::any_of(targets.begin(), targets.end(), [&](auto const& target) {
        return target.address == address;
    });
}

}  // namespace

target_directory::target_directory(duration max_connection_age,
                                   time_point started_at)
    : history(max_connection_age, started_at)
{
}

service_part const* target_directory::find_configured(service_id id) const
{
    return this->configured.contains(id) ? this->find(id) : nullptr;
}

service_part const* target_directory::find(service_id id) const
{
    auto const found = this->merged.find(id);
    return found == this->merged.end() ? nullptr : &found->second;
}

std::map<service_id, service_part> const& target_directory::services() const
{
    return this->merged;
}

bool target_directory::contains(peer_address address) const
{
    return this->addresses.contains(address);
}

void target_directory::collect_addresses()
{
    this->addresses.clear();
    for (auto const& [id, part] : this->listed)
        for (target_record const& target : part.targets)
            this->addresses.insert(target.address);
    for (auto const& [id, targets] : this->unlisted)
        for (unlisted_target const& record : targets)
            this->addresses.insert(record.target.address);
}

std::size_t target_directory::unlisted_count() const
{
    std::size_t count = 0;
    for (auto const& [id, targets] : this->unlisted)
        count += targets.size();
    return count;
}

void target_directory::retain_unlisted(service_part const& old,
                                       service_part const* listed_now,
                                       time_point now)
{
    for (target_record const& target : old.targets) {
        bool const is_listed =
            listed_now != nullptr &&
            contains_address(listed_now->targets, target.address);
        // A leaving target was removed on purpose and is not retained.
        if (is_listed || target.state == target_state::leaving)
            continue;
        this->unlisted[old.id].push_back({target, now});
    }
}

void target_directory::update(catalog const& current, time_point now)
{
    std::map<service_id, service_part> const& services = current.services();
    for (auto const& [id, old] : this->listed) {
        auto const found = services.find(id);
        this->retain_unlisted(
            old, found == services.end() ? nullptr : &found->second, now);
    }
    this->listed = services;
    this->drop_replaced(current);
    this->history.update(current, now);
    this->configured.clear();
    for (auto const& [id, part] : services)
        if (current.is_configured(id))
            this->configured.insert(id);
    for (auto const& [id, targets] : this->unlisted)
        if (current.is_configured(id))
            this->configured.insert(id);
    this->rebuild_all(now);
    this->collect_addresses();
}

// A target that is listed again, or a listed one of a configured service,
// replaces the unlisted target at its address. One of another application
// doesn't.
void target_directory::drop_replaced(catalog const& current)
{
    for (auto& [id, targets] : this->unlisted)
        std::erase_if(targets, [&, owner = id](unlisted_target const& record) {
            return std::any_of(this->listed.begin(), this->listed.end(),
                               [&](auto const& service) {
                                   bool const may_replace =
                                       service.first == owner ||
                                       current.is_configured(service.first);
                                   return may_replace &&
                                          contains_address(
                                              service.second.targets,
                                              record.target.address);
                               });
        });
}

void target_directory::rebuild_all(time_point now)
{
    this->has_unknown_services = this->history.may_lack_services(now);
    this->merged.clear();
    for (auto const& [id, part] : this->listed)
        this->rebuild(id, now);
    for (auto const& [id, targets] : this->unlisted)
        this->rebuild(id, now);
}

void target_directory::rebuild(service_id id, time_point now)
{
    auto const part = this->listed.find(id);
    service_part combined =
        part == this->listed.end() ? service_part{id} : part->second;
    auto const records = this->unlisted.find(id);
    if (records != this->unlisted.end())
        for (unlisted_target const& record : records->second)
            combined.targets.push_back(record.target);
    bool const is_used =
        !combined.targets.empty() && this->history.may_own_connections(id, now);
    if (is_used)
        this->merged.insert_or_assign(id, combined);
    else
        this->merged.erase(id);
}

void target_directory::record_pause(time_point now)
{
    this->history.record_gap(now);
}

std::vector<target_record> target_directory::tick(duration platform_age,
                                                  time_point now)
{
    bool const is_platform_down = platform_age > platform_outage_age;
    if (this->was_platform_down && !is_platform_down) {
        this->platform_back_at = now;
        this->history.record_gap(now);
    }
    this->was_platform_down = is_platform_down;
    if (this->has_unknown_services != this->history.may_lack_services(now))
        this->rebuild_all(now);
    std::vector<target_record> expired;
    if (is_platform_down)
        return expired;
    for (auto& [id, targets] : this->unlisted) {
        std::size_t const before = expired.size();
        std::erase_if(targets, [&](unlisted_target const& record) {
            bool const is_expired =
                now - std::max(record.since, this->platform_back_at) >
                unlisted_lifetime;
            if (is_expired)
                expired.push_back(record.target);
            return is_expired;
        });
        if (expired.size() > before)
            this->rebuild(id, now);
    }
    if (!expired.empty())
        this->collect_addresses();
    return expired;
}

}  // namespace lagoon
