// A bound UDP socket; the event loop adopts it.
//
// Index
//   udp_socket        what was bound
//   bind_udp_socket          binds one
//   datagram_writer   sends several with one call
//   datagram_reader   reads what is already there, several with one call
#pragma once

#include "base/failure.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace lagoon {

// ---- udp_socket ---------------------------------------------------------

struct udp_socket
{
    int descriptor = -1;
    peer_address local = {};
    auto operator<=>(udp_socket const&) const = default;
};

constexpr int udp_buffer_size = 4 << 20;  // bytes asked of the kernel

// ---- bind_udp_socket ----------------------------------------------------

// Port 0 takes a free one. Errors: unreachable (the address can't be bound).
std::optional<udp_socket> bind_udp_socket(peer_address local, failure& last);

// ---- datagram_writer ----------------------------------------------------

// A datagram that doesn't fit the kernel's buffer is lost, as on the way.
class datagram_writer
{
public:
    // Sends at once when a batch is full.
    void add(int descriptor, peer_address to, std::string_view bytes);
    void flush(int descriptor);

    static constexpr std::size_t batch_size =
        16;  // datagrams sent with one call

private:
    std::vector<char> bytes = {};
    std::array<std::size_t, batch_size> sizes = {};
    std::array<sockaddr_in, batch_size> destinations = {};
    std::size_t count = 0;
};

// ---- datagram_reader ----------------------------------------------------

// Valid until the next read.
struct datagram_view
{
    peer_address from = {};
    std::string_view bytes = {};
    auto operator<=>(datagram_view const&) const = default;
};

class datagram_reader
{
public:
    datagram_reader();

    // Reads what is there, up to a batch, and says how many. Never waits.
    std::size_t read(int descriptor);

    datagram_view at(std::size_t index) const;

    static constexpr std::size_t batch_size =
        8;  // datagrams read with one call

private:
    static constexpr std::size_t receive_buffer_size = 2048;  // bytes

    std::vector<char> bytes;
    std::array<sockaddr_in, batch_size> senders = {};
    std::array<iovec, batch_size> buffers = {};
    std::array<mmsghdr, batch_size> messages = {};
};

}  // namespace lagoon
