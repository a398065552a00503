// Which target an entry believes to own a connection: a hint that saves the
// search along the ranking. All of it may be lost without a connection
// noticing.
//
// Index
//   owner_record   what is believed of one connection
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
    bool is_confirmed = false;     // no other target was offered its opening
    bool is_finished = false;      // the caller sends no more data
    time_point arrived_at = {};    // when its opening packet came in
    time_point requested_at = {};  // when the caller first asked
    time_point last_used = {};
    auto operator<=>(owner_record const&) const = default;
};

// ---- owner_table --------------------------------------------------------

struct owner_limits
{
    std::size_t max_owners = 200'000;  // connections; 100 bytes each
    duration idle_lifetime = std::chrono::seconds{60};
    duration finished_lifetime = std::chrono::seconds{3};  // last copies
    auto operator<=>(owner_limits const&) const = default;
};

class owner_table
{
public:
    explicit owner_table(owner_limits limits);

    std::optional<owner_record>
    find(connection_endpoints const& endpoints) const;

    // Notes an owner. A full table takes no new connection rather than
    // forget one that is open: it is then found by the search each time.
    // Says whether there was room.
    bool put(connection_endpoints const& endpoints, owner_record const& record);

    void erase(connection_endpoints const& endpoints);

    // Drops what is over from a part of the table; call it on every tick.
    void sweep(time_point now);

    // Connections that are idle this long may be forgotten.
    void set_idle_lifetime(duration idle);

    std::size_t size() const;

private:
    bool is_expired(owner_record const& record, time_point now) const;

    owner_limits limits;
    std::size_t next_bucket = 0;  // where the next sweep goes on
    std::unordered_map<connection_endpoints, owner_record,
                       detail::endpoints_hash>
        owners = {};
};

}  // namespace lagoon
