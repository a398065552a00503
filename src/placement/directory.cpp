#include "placement/directory.hpp"

#include <algorithm>

namespace lagoon {

namespace {

bool holds_address(std::vector<target_record> const& targets,
                   peer_address address)
{
    return std::any_of(targets.begin(), targets.end(), [&](auto const& one) {
        return one.address == address;
    });
}

bool holds_address(std::map<service_id, service_part> const& services,
                   peer_address address)
{
    return std::any_of(services.begin(), services.end(), [&](auto const& one) {
        return holds_address(one.second.targets, address);
    });
}

}  // namespace

service_part const* target_directory::find(service_id id) const
{
    auto const found = this->merged.find(id);
    return found == this->merged.end() ? nullptr : &found->second;
}

std::size_t target_directory::lapsed_count() const
{
    std::size_t count = 0;
    for (auto const& [id, targets] : this->lapsed)
        count += targets.size();
    return count;
}

void target_directory::lapse(service_part const& old,
                             service_part const* listed_now, time_point now)
{
    for (target_record const& target : old.targets) {
        bool const stays = listed_now != nullptr &&
                           holds_address(listed_now->targets, target.address);
        // One that said it leaves has left.
        if (stays || target.state == target_state::leaving)
            continue;
        this->lapsed[old.id].push_back({target, now});
    }
}

void target_directory::update(catalog const& known, time_point now)
{
    std::map<service_id, service_part> const& services = known.services();
    for (auto const& [id, old] : this->listed) {
        auto const found = services.find(id);
        this->lapse(old, found == services.end() ? nullptr : &found->second,
                    now);
    }
    this->listed = services;
    // An address that is listed again belongs to whoever is listed there.
    for (auto& [id, targets] : this->lapsed)
        std::erase_if(targets, [&](lapsed_target const& one) {
            return holds_address(services, one.target.address);
        });
    this->merged.clear();
    for (auto const& [id, part] : services)
        this->rebuild(id);
    for (auto const& [id, targets] : this->lapsed)
        this->rebuild(id);
}

void target_directory::rebuild(service_id id)
{
    auto const part = this->listed.find(id);
    service_part whole =
        part == this->listed.end() ? service_part{id} : part->second;
    for (lapsed_target const& one : this->lapsed[id])
        whole.targets.push_back(one.target);
    if (whole.targets.empty())
        this->merged.erase(id);
    else
        this->merged.insert_or_assign(id, whole);
}

std::vector<target_record> target_directory::tick(duration platform_age,
                                                  time_point now)
{
    bool const is_away = platform_age > platform_away_age;
    if (this->platform_was_away && !is_away)
        this->platform_back = now;
    this->platform_was_away = is_away;
    std::vector<target_record> gone;
    if (is_away)
        return gone;
    for (auto& [id, targets] : this->lapsed) {
        std::size_t const before = gone.size();
        std::erase_if(targets, [&](lapsed_target const& one) {
            bool const over =
                now - std::max(one.since, this->platform_back) > lapse_lifetime;
            if (over)
                gone.push_back(one.target);
            return over;
        });
        if (gone.size() > before)
            this->rebuild(id);
    }
    return gone;
}

}  // namespace lagoon
