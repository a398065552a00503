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

struct lane
{
    std::uint8_t value = 0;  // index of a local socket
    auto operator<=>(lane const&) const = default;
};

constexpr std::uint8_t lane_count = 4;  // sockets towards peers

// A peer that answers nothing for this long is tried on the next socket.
constexpr duration silence_limit = std::chrono::milliseconds{300};

// A peer that answered on none of the sockets is passed over for new flows.
constexpr duration avoid_span = std::chrono::seconds{2};

// ---- channel_record -----------------------------------------------------

struct channel_record
{
    lane in_use = {};
    bool waiting = false;  // something sent is unanswered
    time_point waiting_since = {};
    std::uint8_t lanes_silent = 0;  // tried in a row without an answer
    time_point silent_since = {};   // when the last of them was given up
    auto operator<=>(channel_record const&) const = default;
};

// ---- channel_table ------------------------------------------------------

class channel_table
{
public:
    // The socket to use for a packet to `peer` that expects an answer.
    lane send_to(peer_address peer, time_point now);

    // The socket to use for a packet that expects none.
    lane current(peer_address peer) const;

    void heard_from(peer_address peer);

    // Whether the peer was silent on every socket a short time ago. A hint:
    // it turns new flows away from the peer and nothing else.
    bool is_silent(peer_address peer, time_point now) const;

private:
    std::map<peer_address, channel_record> channels = {};
};

}  // namespace lagoon
