#include "placement/search_table.hpp"

#include "base/sweep.hpp"

namespace lagoon {

namespace {

// A suspended search starts over after a while: targets come and go, and those
// that denied the connection may have restarted.
bool is_expired(search_record const& record, time_point now)
{
    time_point const since = record.state == search_state::suspended
                                 ? record.progress.started_at
                                 : record.updated_at;
    return now - since > search_lifetime;
}

}  // namespace

// A full table adds no entry: the next packet then starts another search.
void search_table::put(connection_endpoints const& endpoints,
                       search_record const& record)
{
    if (this->searches.size() < max_searches ||
        this->searches.contains(endpoints))
        this->searches.insert_or_assign(endpoints, record);
}

bool search_table::is_blocked(connection_endpoints const& endpoints,
                              time_point now) const
{
    auto const found = this->searches.find(endpoints);
    if (found == this->searches.end())
        return false;
    switch (found->second.state) {
    case search_state::found:
        return false;
    case search_state::suspended:
        return now - found->second.updated_at < suspension;
    case search_state::failed:
        return !is_expired(found->second, now);
    }
    return false;
}

std::optional<search_record>
search_table::take_found(connection_endpoints const& endpoints, time_point now)
{
    return this->take(endpoints, search_state::found, now);
}

std::optional<search_record>
search_table::take_suspended(connection_endpoints const& endpoints,
                             time_point now)
{
    std::optional<search_record> search =
        this->take(endpoints, search_state::suspended, now);
    if (!search || search->remaining.empty())
        return std::nullopt;
    search->progress.earlier_trial_count = search->progress.trial_count;
    return search;
}

std::optional<search_record>
search_table::take(connection_endpoints const& endpoints, search_state state,
                   time_point now)
{
    auto const found = this->searches.find(endpoints);
    if (found == this->searches.end())
        return std::nullopt;
    search_record const record = found->second;
    this->searches.erase(found);
    if (record.state != state || is_expired(record, now))
        return std::nullopt;
    return record;
}

void search_table::sweep(time_point now)
{
    sweep_incrementally(
        this->searches, this->next_bucket,
        [now](connection_endpoints const&, search_record const& record) {
            return is_expired(record, now);
        });
}

std::size_t search_table::size() const
{
    return this->searches.size();
}

}  // namespace lagoon
