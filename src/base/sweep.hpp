// Incremental removal of expired entries from large hash tables. One call
// visits a bounded number of buckets, so a tick can't stall the event loop.
//
// Index
//   sweep_incrementally   removes expired entries from the next buckets
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lagoon {

// ---- sweep_incrementally ------------------------------------------------

constexpr std::size_t buckets_per_sweep = 512;

// Erases the entries for which `is_expired(key, value)` holds from the
// buckets that follow `next_bucket`, and advances `next_bucket`. Returns the
// erased keys.
template <class Table, class Predicate>
std::vector<typename Table::key_type>
sweep_incrementally(Table& table, std::size_t& next_bucket,
                    Predicate is_expired)
{
    std::size_t const bucket_count = table.bucket_count();
    std::vector<typename Table::key_type> expired;
    for (std::size_t i = 0; i < std::min(buckets_per_sweep, bucket_count);
         ++i) {
        next_bucket = (next_bucket + 1) % bucket_count;
        for (auto it = table.begin(next_bucket); it != table.end(next_bucket);
             ++it)
            if (is_expired(it->first, it->second))
                expired.push_back(it->first);
    }
    for (auto const& key : expired)
        table.erase(key);
    return expired;
}

}  // namespace lagoon
