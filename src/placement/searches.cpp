#include "placement/searches.hpp"

#include "base/sweep.hpp"

namespace lagoon {

namespace {

bool is_over(search_record const& record, time_point now)
{
    return now - record.at > search_lifetime;
}

}  // namespace

// A full table takes nothing new: the connection is then searched again.
void search_memory::put(connection_ends const& ends,
                        search_record const& record)
{
    if (this->searches.size() < most_searches || this->searches.contains(ends))
        this->searches.insert_or_assign(ends, record);
}

void search_memory::tries(connection_ends const& ends,
                          search_record const& record)
{
    this->put(ends, record);
}

void search_memory::lost(connection_ends const& ends, time_point now)
{
    this->put(ends, {true, {}, {}, {}, now});
}

bool search_memory::is_lost(connection_ends const& ends, time_point now) const
{
    auto const found = this->searches.find(ends);
    return found != this->searches.end() && found->second.is_lost &&
           !is_over(found->second, now);
}

std::optional<search_record> search_memory::take(connection_ends const& ends,
                                                 time_point now)
{
    auto const found = this->searches.find(ends);
    if (found == this->searches.end())
        return std::nullopt;
    search_record const record = found->second;
    this->searches.erase(found);
    if (record.is_lost || is_over(record, now))
        return std::nullopt;
    return record;
}

void search_memory::sweep(time_point now)
{
    sweep_incrementally(
        this->searches, this->next_bucket,
        [now](connection_ends const&, search_record const& one) {
            return is_over(one, now);
        });
}

std::size_t search_memory::size() const
{
    return this->searches.size();
}

}  // namespace lagoon
