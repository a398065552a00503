// A bound UDP socket; the event loop adopts it.
//
// Index
//   udp_socket   what was bound
//   bind_udp     binds one
//   send_udp     sends one datagram
//   drain_udp    reads what is already there
#pragma once

#include "base/failure.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace lagoon {

// ---- udp_socket ---------------------------------------------------------

struct udp_socket
{
    int descriptor = -1;
    peer_address local = {};
    auto operator<=>(udp_socket const&) const = default;
};

struct received_datagram
{
    peer_address from = {};
    std::string bytes = {};
    auto operator<=>(received_datagram const&) const = default;
};

constexpr int udp_buffer_size = 4 << 20;  // bytes asked of the kernel

// ---- bind_udp -----------------------------------------------------------

// Port 0 takes a free one. Errors: unreachable (the address can't be bound).
std::optional<udp_socket> bind_udp(peer_address local, failure& last);

// ---- send_udp -----------------------------------------------------------

// A datagram that doesn't fit the kernel's buffer is lost, as on the way.
void send_udp(int descriptor, peer_address to, std::string_view bytes);

// ---- drain_udp ----------------------------------------------------------

// One more datagram if there is one; never waits.
std::optional<received_datagram> drain_udp(int descriptor);

}  // namespace lagoon
