#include "loop/udp.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <unistd.h>

namespace lagoon {

namespace {

constexpr std::size_t largest_datagram = 2048;  // bytes read at most

sockaddr_in to_sockaddr(peer_address address)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(address.ip);
    raw.sin_port = htons(address.port);
    return raw;
}

peer_address from_sockaddr(sockaddr_in const& raw)
{
    return {ntohl(raw.sin_addr.s_addr), ntohs(raw.sin_port)};
}

}  // namespace

std::optional<udp_socket> bind_udp(peer_address local, failure& last)
{
    int const descriptor = ::socket(
        AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_UDP);
    sockaddr_in raw = to_sockaddr(local);
    socklen_t size = sizeof raw;
    int const wanted = udp_buffer_size;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &wanted, sizeof wanted);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &wanted, sizeof wanted);
    bool const bound =
        ::bind(descriptor, reinterpret_cast<sockaddr*>(&raw), size) == 0 &&
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&raw), &size) ==
            0;
    if (!bound) {
        ::close(descriptor);
        return fail(last, {step::read_settings, reason::unreachable, local,
                           "UDP address can't be bound"});
    }
    return udp_socket{descriptor, from_sockaddr(raw)};
}

void send_udp(int descriptor, peer_address to, std::string_view bytes)
{
    sockaddr_in const raw = to_sockaddr(to);
    ::sendto(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
             reinterpret_cast<sockaddr const*>(&raw), sizeof raw);
}

std::optional<received_datagram> drain_udp(int descriptor)
{
    std::array<char, largest_datagram> buffer;
    sockaddr_in raw{};
    socklen_t size = sizeof raw;
    ssize_t const count =
        ::recvfrom(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT,
                   reinterpret_cast<sockaddr*>(&raw), &size);
    if (count < 0)
        return std::nullopt;
    return received_datagram{
        from_sockaddr(raw),
        std::string{buffer.data(), static_cast<std::size_t>(count)}};
}

}  // namespace lagoon
