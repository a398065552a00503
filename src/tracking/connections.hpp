// The connections that a target's back end holds, as the packets between the
// two ends show them. It only remembers: the back end itself is the owner, and
// whatever it says goes before this table.
//
// Index
//   connection_stage    how far a connection has come
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
    waiting,     // its opening packet waits here for a slot
    opening,     // the back end was given the opening packet
    open,        // the back end accepted it
    requested,   // a request is under way
    responding,  // the answer to it has begun
    unverified,  // given to the back end to learn whether it holds it
    not_owned    // the back end said that it doesn't hold it
};

// ---- connection_record --------------------------------------------------

struct connection_record
{
    connection_stage stage = connection_stage::opening;
    peer_address entry = {};      // the latest that sent a packet of it
    peer_address route = {};      // what kind of work its requests are
    time_point stage_since = {};  // in this stage
    time_point last_used = {};
    std::uint32_t target_sequence = 0;  // what the back end sends next
    bool has_sequence = false;
    bool is_caller_finished = false;
    bool is_target_finished = false;
    auto operator<=>(connection_record const&) const = default;
};

// Whether a packet's acknowledgement is of what this back end has sent. Two
// targets may both accept copies of one opening packet; the caller goes on
// with one of them, and the acknowledgement tells which.
bool acknowledges_sent_data(connection_record const& record,
                            connection_packet const& packet);

// ---- connection_table ---------------------------------------------------

struct connection_limits
{
    std::size_t max_connections = 200'000;  // connections; 150 bytes each
    duration idle_lifetime = std::chrono::seconds{60};
    duration finished_lifetime = std::chrono::seconds{3};  // last copies
    duration not_owned_lifetime = std::chrono::seconds{2};
    auto operator<=>(connection_limits const&) const = default;
};

class connection_table
{
public:
    explicit connection_table(connection_limits limits);

    connection_record const* find(connection_endpoints const& endpoints) const;

    // Adds or replaces. False when the table is full: an open connection is
    // never forgotten for a new one.
    bool put(connection_endpoints const& endpoints,
             connection_record const& record);
    void erase(connection_endpoints const& endpoints);

    // Drops what is over from a part of the table; call it on every tick.
    void sweep(time_point now);

    // Whether a connection was in use within the span.
    bool is_any_used_within(duration span, time_point now) const;

    std::size_t size() const;

private:
    bool is_expired(connection_record const& record, time_point now) const;

    connection_limits limits;
    std::size_t next_bucket = 0;  // where the next sweep goes on
    std::unordered_map<connection_endpoints, connection_record,
                       detail::endpoints_hash>
        connections = {};
};

}  // namespace lagoon
