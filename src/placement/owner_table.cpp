#include "placement/owner_table.hpp"

#include "base/sweep.hpp"

namespace lagoon {

owner_table::owner_table(owner_limits limits) : limits(limits) {}

std::optional<owner_record>
owner_table::find(connection_endpoints const& endpoints) const
{
    auto const found = this->owners.find(endpoints);
    if (found == this->owners.end())
        return std::nullopt;
    return found->second;
}

bool owner_table::put(connection_endpoints const& endpoints,
                      owner_record const& record)
{
    auto const found = this->owners.find(endpoints);
    if (found != this->owners.end()) {
        found->second = record;
        return true;
    }
    if (this->owners.size() >= this->limits.max_owners)
        return false;
    this->owners.emplace(endpoints, record);
    return true;
}

void owner_table::erase(connection_endpoints const& endpoints)
{
    this->owners.erase(endpoints);
}

bool owner_table::is_expired(owner_record const& record, time_point now) const
{
    duration const lifetime = record.is_finished
                                  ? this->limits.finished_lifetime
                                  : this->limits.idle_lifetime;
    return now - record.last_used > lifetime;
}

void owner_table::sweep(time_point now)
{
    sweep_incrementally(
        this->owners, this->next_bucket,
        [this, now](connection_endpoints const&, owner_record const& record) {
            return this->is_expired(record, now);
        });
}

void owner_table::set_idle_lifetime(duration idle)
{
    this->limits.idle_lifetime = idle;
}

std::size_t owner_table::size() const
{
    return this->owners.size();
}

}  // namespace lagoon
