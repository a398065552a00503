#include "placement/search_table.hpp"

#include "base/sweep.hpp"

namespace lagoon {

namespace {

bool is_expired(search_record const& record, time_point now)
{
    return now - record.updated_at > search_lifetime;
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

void search_table::put_progress(connection_endpoints const& endpoints,
                                search_record const& record)
{
    this->put(endpoints, record);
}

void search_table::put_failure(connection_endpoints const& endpoints,
                               time_point now)
{
    this->put(endpoints, {true, {}, {}, {}, now});
}

bool search_table::has_failed(connection_endpoints const& endpoints,
                              time_point now) const
{
    auto const found = this->searches.find(endpoints);
    return found != this->searches.end() && found->second.has_failed &&
           !is_expired(found->second, now);
}

std::optional<search_record>
search_table::take(connection_endpoints const& endpoints, time_point now)
{
    auto const found = this->searches.find(endpoints);
    if (found == this->searches.end())
        return std::nullopt;
    search_record const record = found->second;
    this->searches.erase(found);
    if (record.has_failed || is_expired(record, now))
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
