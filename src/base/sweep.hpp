// Expiry of large tables a part at a time, so that no tick stalls the loop.
//
// Index
//   sweep_part   erases what is over from the next buckets of a hash table
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace lagoon {

// ---- sweep_part ---------------------------------------------------------

constexpr std::size_t sweep_buckets = 512;  // looked at in one sweep

// Erases the entries for which `is_over(key, value)` holds; goes on at bucket
// `next`, which it moves. Returns the keys.
template <class Table, class Over>
std::vector<typename Table::key_type>
sweep_part(Table& table, std::size_t& next, Over is_over)
{
    std::size_t const buckets = table.bucket_count();
    std::vector<typename Table::key_type> over;
    for (std::size_t i = 0; i < std::min(sweep_buckets, buckets); ++i) {
        next = (next + 1) % buckets;
        for (auto it = table.begin(next); it != table.end(next); ++it)
            if (is_over(it->first, it->second))
                over.push_back(it->first);
    }
    for (auto const& key : over)
        table.erase(key);
    return over;
}

}  // namespace lagoon
