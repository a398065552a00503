// Caches which target owns a connection, which saves a search along the
// ranking. Losing the cache does not affect connections: owners are found
// again by a search.
//
// Index
//   owner_record   the cached owner of one connection
//   owner_table    the aggregate
#pragma once

#include "connection/packet.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace lagoon {

// ---- owner_record -------------------------------------------------------

struct owner_record
{
    peer_address target = {};
    service_id service = {};
    bool is_confirmed = false;     // no other target can have accepted it
    bool is_finished = false;      // the caller sends no more data
    time_point arrived_at = {};    // when its opening packet was received
    time_point requested_at = {};  // when the caller first sent the request
    time_point last_used = {};
    auto operator<=>(owner_record const&) const = default;
};

// ---- owner_table --------------------------------------------------------

struct owner_limits
{
    std::size_t max_owners = 200'000;  // 100 bytes each
    duration idle_lifetime = std::chrono::seconds{60};
    // A finished connection still gets its last retransmissions.
    duration finished_lifetime = std::chrono::seconds{3};
    auto operator<=>(owner_limits const&) const = default;
};

class owner_table
{
public:
    explicit owner_table(owner_limits limits);

    std::optional<owner_record>
    find(connection_endpoints const& endpoints) const;

    // Adds or replaces an owner. Returns false if the table is full: open
    // connections are not evicted, and the owner of the new one is searched for
    // with each packet.
    bool put(connection_endpoints const& endpoints, owner_record const& record);

    void erase(connection_endpoints const& endpoints);

    // Removes expired entries from part of the table; to be called each tick.
    void sweep(time_point now);

    void set_idle_lifetime(duration idle);

    std::size_t size() const;

private:
    bool is_expired(owner_record const& record, time_point now) const;

    owner_limits limits;
    std::size_t next_bucket = 0;  // where the next sweep starts
    std::unordered_map<connection_endpoints, owner_record,
                       detail::endpoints_hash>
        owners = {};
};

}  // namespace lagoon
