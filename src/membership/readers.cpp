#include "membership/readers.hpp"

namespace lagoon {

namespace {

// Processes that the fleet does not list get ranks after those of the fleet, in
// a range of this size.
constexpr std::size_t unlisted_rank_spread = 64;

std::uint64_t compute_score(process_id id, std::string const& data_centre)
{
    return hash_pair(id.value, hash_bytes(data_centre));
}

}  // namespace

read_schedule make_read_schedule(std::size_t rank, read_timing const& timing)
{
    if (rank < timing.watcher_count)
        return {true, timing.interval_step,
                rank == 0 ? timing.first_watch_duration
                          : timing.other_watch_duration};
    return {
        false, timing.interval_step * static_cast<std::int64_t>(rank + 1), {}};
}

std::size_t compute_reader_rank(fleet_part const& fleet, process_id self,
                                std::string const& data_centre)
{
    std::uint64_t const own = compute_score(self, data_centre);
    std::size_t rank = 0;
    bool is_listed = false;
    for (entry_record const& entry : fleet.entries) {
        if (entry.data_centre != data_centre)
            continue;
        is_listed = is_listed || entry.id == self;
        if (compute_score(entry.id, data_centre) > own)
            ++rank;
    }
    if (is_listed)
        return rank;
    return fleet.entries.size() + own % unlisted_rank_spread;
}

}  // namespace lagoon
