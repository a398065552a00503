#include "membership/readers.hpp"

namespace lagoon {

namespace {

constexpr std::size_t ranks_behind = 64;  // spreads those outside the fleet

std::uint64_t score_of(process_id id, std::string const& data_centre)
{
    return hash_pair(id.value, hash_bytes(data_centre));
}

}  // namespace

reading_plan plan_for_rank(std::size_t rank, reading_pace const& pace)
{
    if (rank < pace.watchers)
        return {true, pace.step,
                rank == 0 ? pace.first_watch : pace.other_watch};
    return {false, pace.step * static_cast<std::int64_t>(rank + 1), {}};
}

std::size_t reader_rank(fleet_part const& fleet, process_id self,
                        std::string const& data_centre)
{
    std::uint64_t const own = score_of(self, data_centre);
    std::size_t before = 0;
    bool listed = false;
    for (entry_record const& entry : fleet.entries) {
        if (entry.data_centre != data_centre)
            continue;
        listed = listed || entry.id == self;
        if (score_of(entry.id, data_centre) > own)
            ++before;
    }
    if (listed)
        return before;
    return fleet.entries.size() + own % ranks_behind;
}

}  // namespace lagoon
