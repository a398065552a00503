// Selects the local socket that a process uses towards each peer. A device on
// the network path can permanently lose its state for one pair of ports while
// a new pair works, so a peer that does not reply on one socket is tried on the
// next.
//
// Index
//   socket_index     one local socket
//   channel_record   state of the path to one peer
//   channel_table    the aggregate
#pragma once

#include "base/values.hpp"

#include <map>

namespace lagoon {

// ---- socket_index -------------------------------------------------------

struct socket_index
{
    std::uint8_t value = 0;  // index of a local socket
    auto operator<=>(socket_index const&) const = default;
};

constexpr std::uint8_t peer_socket_count = 4;  // sockets towards peers

// A peer without a reply for this long is tried on the next socket.
constexpr duration max_reply_delay = std::chrono::milliseconds{300};

// New flows avoid a peer for this long after it failed on every socket.
constexpr duration peer_avoidance_time = std::chrono::seconds{2};

// ---- channel_record -----------------------------------------------------

struct channel_record
{
    socket_index socket = {};  // currently used
    bool is_reply_pending = false;
    time_point pending_since = {};
    std::uint8_t silent_socket_count = 0;  // consecutive, without a reply
    time_point last_silent_at = {};        // when the last of them timed out
    auto operator<=>(channel_record const&) const = default;
};

// ---- channel_table ------------------------------------------------------

class channel_table
{
public:
    // Returns the socket for a packet to `peer` that expects a reply.
    socket_index select_for_request(peer_address peer, time_point now);

    // Returns the socket for a packet that expects no reply.
    socket_index current_socket(peer_address peer) const;

    // Resets the timeout of the peer and its count of silent sockets.
    void record_reply(peer_address peer);

    // Returns whether the peer recently failed to reply on every socket. Used
    // only to direct new flows to other peers.
    bool is_unresponsive(peer_address peer, time_point now) const;

private:
    std::map<peer_address, channel_record> channels = {};
};

}  // namespace lagoon
