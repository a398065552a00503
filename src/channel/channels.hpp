// Which of its sockets a process uses towards each peer. Something between
// two processes may lose track of one pair of ports for good while a new one
// works, so a peer that stays silent on one socket is tried on the next.
//
// Index
//   lane             one local socket
//   channel_record   what is known of one peer
//   channel_table    the aggregate
#pragma once

#include "base/values.hpp"

#include <map>

namespace lagoon {

// ---- lane ---------------------------------------------------------------

struct socket_index
{
    std::uint8_t value = 0;  // index of a local socket
    auto operator<=>(socket_index const&) const = default;
};

constexpr std::uint8_t peer_socket_count = 4;  // sockets towards peers

// A peer that answers nothing for this long is tried on the next socket.
constexpr duration max_reply_delay = std::chrono::milliseconds{300};

// A peer that answered on none of the sockets is passed over for new flows.
constexpr duration peer_avoidance_time = std::chrono::seconds{2};

// ---- channel_record -----------------------------------------------------

struct channel_record
{
    socket_index socket = {};
    bool is_reply_pending = false;  // something sent is unanswered
    time_point pending_since = {};
    std::uint8_t silent_socket_count = 0;  // tried in a row without an answer
    time_point last_silent_at = {};        // when the last of them was given up
    auto operator<=>(channel_record const&) const = default;
};

// ---- channel_table ------------------------------------------------------

class channel_table
{
public:
    // The socket to use for a packet to `peer` that expects an answer.
    socket_index select_for_request(peer_address peer, time_point now);

    // The socket to use for a packet that expects none.
    socket_index current_socket(peer_address peer) const;

    void record_reply(peer_address peer);

    // Whether the peer was silent on every socket a short time ago. A hint:
    // it turns new flows away from the peer and nothing else.
    bool is_unresponsive(peer_address peer, time_point now) const;

private:
    std::map<peer_address, channel_record> channels = {};
};

}  // namespace lagoon
