#include "membership/readers.hpp"

#include <algorithm>

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
    duration const interval =
        timing.interval_step * static_cast<std::int64_t>(rank + 1);
    return {false, std::min(interval, timing.max_interval), {}};
}

// Two processes watch, so that updates still arrive if one of them fails. The
// others read when the latest known contact is older than two thirds of the
// limit, which leaves a third for the read.
read_timing make_read_timing(duration limit)
{
    duration const max_age = limit * 2 / 3;
    return {.watcher_count = 2,
            .max_platform_age = max_age,
            .interval_step = std::chrono::milliseconds{250},
            .max_interval = max_age,
            .first_watch_duration = limit / 2,
            .other_watch_duration = limit * 3,
            .retry_interval = std::chrono::milliseconds{120}};
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
