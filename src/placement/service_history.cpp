#include "placement/service_history.hpp"

#include <algorithm>

namespace lagoon {

service_history::service_history(duration max_connection_age,
                                 time_point started_at)
    : max_connection_age(max_connection_age), complete_since(started_at)
{
}

void service_history::update(catalog const& current, time_point now)
{
    for (service_id const id : current.routes().services)
        this->absent_since[id] = std::nullopt;
    for (auto const& [id, part] : current.services())
        if (current.is_configured(id) || this->absent_since.contains(id))
            this->absent_since[id] = std::nullopt;
    for (auto& [id, since] : this->absent_since) {
        bool const is_present =
            current.find_service(id) != nullptr || current.is_configured(id);
        if (!is_present && !since)
            since = now;
    }
    std::erase_if(this->absent_since, [&](auto const& one) {
        return one.second && now - *one.second > this->max_connection_age;
    });
}

void service_history::record_gap(time_point now)
{
    this->complete_since = std::max(this->complete_since, now);
}

bool service_history::may_lack_services(time_point now) const
{
    return now - this->complete_since <= this->max_connection_age;
}

bool service_history::may_own_connections(service_id id, time_point now) const
{
    return this->absent_since.contains(id) || this->may_lack_services(now);
}

}  // namespace lagoon
