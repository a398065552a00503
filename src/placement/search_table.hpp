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

enum class search_state : std::uint8_t
{
    found,      // may be resumed if the target that was found is not the owner
    suspended,  // stopped early; goes on with the next packet
    failed      // all targets answered, none owns the connection
};

struct search_record
{
    search_state state = search_state::found;
    std::vector<placement_candidate> remaining = {};  // to be queried
    search_progress progress = {};
    time_point updated_at = {};
    auto operator<=>(search_record const&) const = default;
};

// Callers retransmit a packet after 200, 400 and 800 ms. A search within this
// time of a failed one would fail as well.
constexpr duration search_lifetime = std::chrono::milliseconds{1600};

// A suspended search goes on with the caller's next retransmission, not with
// the other packets that it has in flight.
constexpr duration suspension = std::chrono::milliseconds{150};

constexpr std::size_t max_searches = 8192;  // connections in the table

// ---- search_table -------------------------------------------------------

class search_table
{
public:
    void put(connection_endpoints const& endpoints,
             search_record const& record);

    // Whether the connection is not to be searched for now.
    bool is_blocked(connection_endpoints const& endpoints,
                    time_point now) const;

    // Remove and return a search that goes on: after its target turned out not
    // to be the owner, and after a suspension. Nothing if it starts over.
    std::optional<search_record>
    take_found(connection_endpoints const& endpoints, time_point now);
    std::optional<search_record>
    take_suspended(connection_endpoints const& endpoints, time_point now);

    // Removes expired entries from part of the table; to be called each tick.
    void sweep(time_point now);

    std::size_t size() const;

private:
    std::optional<search_record> take(connection_endpoints const& endpoints,
                                      search_state state, time_point now);

    std::size_t next_bucket = 0;  // where the next sweep starts
    std::unordered_map<connection_endpoints, search_record,
                       detail::endpoints_hash>
        searches = {};
};

}  // namespace lagoon
