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

bool contains_address(std::map<service_id, service_part> const& services,
                      peer_address address)
{
    return std::any_of(
        services.begin(), services.end(), [&](auto const& service) {
            return contains_address(service.second.targets, address);
        });
}

}  // namespace

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
    for (auto const& [id, part] : this->merged)
        for (target_record const& target : part.targets)
            this->addresses.insert(target.address);
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
    // An address that is listed again replaces the unlisted target there.
    for (auto& [id, targets] : this->unlisted)
        std::erase_if(targets, [&](unlisted_target const& record) {
            return contains_address(services, record.target.address);
        });
    this->merged.clear();
    for (auto const& [id, part] : services)
        this->rebuild(id);
    for (auto const& [id, targets] : this->unlisted)
        this->rebuild(id);
    this->collect_addresses();
}

void target_directory::rebuild(service_id id)
{
    auto const part = this->listed.find(id);
    service_part combined =
        part == this->listed.end() ? service_part{id} : part->second;
    for (unlisted_target const& record : this->unlisted[id])
        combined.targets.push_back(record.target);
    if (combined.targets.empty())
        this->merged.erase(id);
    else
        this->merged.insert_or_assign(id, combined);
}

std::vector<target_record> target_directory::tick(duration platform_age,
                                                  time_point now)
{
    bool const is_platform_down = platform_age > platform_outage_age;
    if (this->was_platform_down && !is_platform_down)
        this->platform_back_at = now;
    this->was_platform_down = is_platform_down;
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
            this->rebuild(id);
    }
    if (!expired.empty())
        this->collect_addresses();
    return expired;
}

}  // namespace lagoon
