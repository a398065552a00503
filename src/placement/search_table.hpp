// Searches for the owners of open connections that ended without one, or may
// have to go on. Callers send the packets of a dead connection again and again;
// each is searched once in a while, not with every packet.
//
// Index
//   search_record   how far a search has come
//   search_table   the aggregate
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
    bool has_failed = false;  // everybody was asked
    service_id service = {};
    std::vector<placement_candidate> remaining =
        {};  // those to be asked yet, in order
    search_progress progress = {};
    time_point updated_at = {};
    auto operator<=>(search_record const&) const = default;
};

// Callers repeat a packet after 200, 400 and 800 ms; what they send within
// this finds no other owner than the packet before.
constexpr duration search_lifetime = std::chrono::milliseconds{1600};

constexpr std::size_t max_searches = 8192;  // remembered at once

// ---- search_table ------------------------------------------------------

class search_table
{
public:
    // A target that isn't sure was made to try its back end.
    void put_progress(connection_endpoints const& endpoints,
                      search_record const& record);

    // All were asked, all answered, and nobody owns the connection.
    void put_failure(connection_endpoints const& endpoints, time_point now);

    bool has_failed(connection_endpoints const& endpoints,
                    time_point now) const;

    // Whom to ask next, where a search has begun; it is forgotten.
    std::optional<search_record> take(connection_endpoints const& endpoints,
                                      time_point now);

    // Drops what is over; call it on every tick.
    void sweep(time_point now);

    std::size_t size() const;

private:
    void put(connection_endpoints const& endpoints,
             search_record const& record);

    std::size_t next_bucket = 0;  // where the next sweep goes on
    std::unordered_map<connection_endpoints, search_record,
                       detail::endpoints_hash>
        searches = {};
};

}  // namespace lagoon
