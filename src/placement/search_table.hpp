// Searches for owners of open connections: those that failed, and those that
// may have to be resumed. Callers retransmit the packets of a dead connection
// many times; the table limits how often such a connection is searched for.
//
// Index
//   search_record   the progress of a search
//   search_table    the aggregate
#pragma once

#include "placement/placer.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoon {

// ---- search_record ------------------------------------------------------

struct search_record
{
    bool has_failed = false;  // all targets answered, none owns it
    service_id service = {};
    std::vector<placement_candidate> remaining = {};  // not queried yet
    search_progress progress = {};
    time_point updated_at = {};
    auto operator<=>(search_record const&) const = default;
};

// Callers retransmit a packet after 200, 400 and 800 ms. A search within this
// time of a failed one would fail as well.
constexpr duration search_lifetime = std::chrono::milliseconds{1600};

constexpr std::size_t max_searches = 8192;  // connections in the table

// ---- search_table -------------------------------------------------------

class search_table
{
public:
    // Stores the progress of a search that found a target, in case its back
    // end returns the packet.
    void put_progress(connection_endpoints const& endpoints,
                      search_record const& record);

    // Records that all targets answered and none owns the connection.
    void put_failure(connection_endpoints const& endpoints, time_point now);

    bool has_failed(connection_endpoints const& endpoints,
                    time_point now) const;

    // Removes and returns the progress of a search that can be resumed.
    std::optional<search_record> take(connection_endpoints const& endpoints,
                                      time_point now);

    // Removes expired entries from part of the table; to be called each tick.
    void sweep(time_point now);

    std::size_t size() const;

private:
    void put(connection_endpoints const& endpoints,
             search_record const& record);

    std::size_t next_bucket = 0;  // where the next sweep starts
    std::unordered_map<connection_endpoints, search_record,
                       detail::endpoints_hash>
        searches = {};
};

}  // namespace lagoon
