// UDP sockets with batched sending and receiving.
//
// Index
//   udp_socket        a bound socket, to be added to an event loop
//   bind_udp_socket   creates and binds a socket
//   datagram_writer   sends several datagrams with one system call
//   datagram_reader   receives several datagrams with one system call
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

constexpr int udp_buffer_size = 4 << 20;  // bytes; the kernel may grant less

// ---- bind_udp_socket ----------------------------------------------------

// Port 0 selects a free port. Errors: unreachable (the address can't be bound).
std::optional<udp_socket> bind_udp_socket(peer_address local, failure& error);

// ---- datagram_writer ----------------------------------------------------

// A datagram that doesn't fit into the kernel's send buffer is dropped, like
// one that is lost in the network.
class datagram_writer
{
public:
    // Queues a datagram, and sends the batch when it is full.
    void add(int descriptor, peer_address to, std::string_view bytes);
    void flush(int descriptor);

    static constexpr std::size_t batch_size = 16;  // datagrams

private:
    std::vector<char> bytes = {};
    std::array<std::size_t, batch_size> sizes = {};
    std::array<sockaddr_in, batch_size> destinations = {};
    std::size_t count = 0;
};

// ---- datagram_reader ----------------------------------------------------

// A received datagram; valid until the next read.
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

    // Receives the datagrams that are available, up to one batch, without
    // waiting. Returns their number.
    std::size_t read(int descriptor);

    // Returns a datagram of the last batch.
    datagram_view at(std::size_t index) const;

    static constexpr std::size_t batch_size = 8;  // datagrams

private:
    static constexpr std::size_t receive_buffer_size = 2048;  // bytes

    std::vector<char> bytes;
    std::array<sockaddr_in, batch_size> senders = {};
    std::array<iovec, batch_size> buffers = {};
    std::array<mmsghdr, batch_size> messages = {};
};

}  // namespace lagoon
