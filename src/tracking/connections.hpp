// The connections of a target's back end, tracked from the packets between the
// caller and the back end. The back end owns the connections; its packets
// override this table.
//
// Index
//   connection_stage    the state of a connection
//   connection_record   one connection
//   connection_table    the aggregate
#pragma once

#include "connection/packet.hpp"
#include "protocol/relay.hpp"

#include <cstddef>
#include <unordered_map>

namespace lagoon {

// ---- connection_stage ---------------------------------------------------

enum class connection_stage : std::uint8_t
{
    waiting,     // the opening packet waits at the target for a slot
    opening,     // the opening packet was sent to the back end
    open,        // the back end accepted it
    requested,   // a request was sent to the back end
    responding,  // the back end has begun to answer it
    unverified,  // a packet was sent to learn whether the back end has it
    not_owned    // the back end does not have this connection
};

// ---- connection_record --------------------------------------------------

struct connection_record
{
    connection_stage stage = connection_stage::opening;
    peer_address entry = {};      // that sent its latest packet
    peer_address route = {};      // its address; identifies the kind of request
    time_point stage_since = {};  // when this stage began
    time_point last_used = {};
    std::uint32_t target_sequence = 0;  // next sequence number of the back end
    bool has_sequence = false;
    bool is_caller_finished = false;
    bool is_target_finished = false;
    auto operator<=>(connection_record const&) const = default;
};

// Whether a packet acknowledges data that this back end has sent. If two
// targets accept the same opening packet, the caller continues with one of
// them, which the acknowledgement identifies.
bool acknowledges_sent_data(connection_record const& record,
                            connection_packet const& packet);
bool acknowledges_sent_data(connection_record const& record,
                            std::uint32_t acknowledgement);

// ---- connection_table ---------------------------------------------------

struct connection_limits
{
    std::size_t max_connections = 200'000;  // 150 bytes each
    duration idle_lifetime = std::chrono::seconds{60};
    // A finished connection still gets its last retransmissions.
    duration finished_lifetime = std::chrono::seconds{3};
    duration not_owned_lifetime = std::chrono::seconds{2};
    auto operator<=>(connection_limits const&) const = default;
};

class connection_table
{
public:
    explicit connection_table(connection_limits limits);

    connection_record const* find(connection_endpoints const& endpoints) const;

    // Adds or replaces a connection. Returns false if the table is full: open
    // connections are not evicted.
    bool put(connection_endpoints const& endpoints,
             connection_record const& record);
    void erase(connection_endpoints const& endpoints);

    // Removes expired entries from part of the table; to be called each tick.
    void sweep(time_point now);

    // Whether an unfinished connection of this back end was used within the
    // span.
    bool has_connection_used_within(duration span, time_point now) const;

    std::size_t size() const;

    // Connections that were sent to the back end and that neither end has
    // finished, so that they may carry further requests.
    std::size_t open_count() const;

private:
    bool is_expired(connection_record const& record, time_point now) const;

    connection_limits limits;
    std::size_t next_bucket = 0;       // where the next sweep starts
    std::size_t unfinished_count = 0;  // see open_count()
    std::unordered_map<connection_endpoints, connection_record,
                       detail::endpoints_hash>
        connections = {};
};

}  // namespace lagoon
