#include "loop/udp.hpp"

#include <arpa/inet.h>

#include <unistd.h>

namespace lagoon {

namespace {

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

std::optional<udp_socket> bind_udp_socket(peer_address local, failure& error)
{
    int const descriptor = ::socket(
        AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_UDP);
    sockaddr_in raw = to_sockaddr(local);
    socklen_t size = sizeof raw;
    int const buffer_size = udp_buffer_size;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_size,
                 sizeof buffer_size);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &buffer_size,
                 sizeof buffer_size);
    bool const is_bound =
        ::bind(descriptor, reinterpret_cast<sockaddr*>(&raw), size) == 0 &&
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&raw), &size) ==
            0;
    if (!is_bound) {
        ::close(descriptor);
        return fail(error, {step::read_settings, reason::unreachable, local,
                            "UDP address can't be bound"});
    }
    return udp_socket{descriptor, from_sockaddr(raw)};
}

void datagram_writer::add(int descriptor, peer_address to,
                          std::string_view datagram)
{
    this->bytes.insert(this->bytes.end(), datagram.begin(), datagram.end());
    this->sizes[this->count] = datagram.size();
    this->destinations[this->count] = to_sockaddr(to);
    if (++this->count == batch_size)
        this->flush(descriptor);
}

void datagram_writer::flush(int descriptor)
{
    if (this->count == 0)
        return;
    std::array<iovec, batch_size> buffers{};
    std::array<mmsghdr, batch_size> messages{};
    std::size_t at = 0;
    for (std::size_t i = 0; i < this->count; ++i) {
        buffers[i] = {this->bytes.data() + at, this->sizes[i]};
        at += this->sizes[i];
        messages[i].msg_hdr.msg_name = &this->destinations[i];
        messages[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        messages[i].msg_hdr.msg_iov = &buffers[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    // sendmmsg stops at a datagram that can't be sent, for example because the
    // VM of its receiver is gone. Skip it and send the rest.
    for (std::size_t done = 0; done < this->count;) {
        int const sent = ::sendmmsg(
            descriptor, messages.data() + done,
            static_cast<unsigned int>(this->count - done), MSG_DONTWAIT);
        done += sent > 0 ? static_cast<std::size_t>(sent) : 1;
    }
    this->bytes.clear();
    this->count = 0;
}

datagram_reader::datagram_reader() : bytes(batch_size * receive_buffer_size)
{
    for (std::size_t i = 0; i < batch_size; ++i) {
        this->buffers[i] = {this->bytes.data() + i * receive_buffer_size,
                            receive_buffer_size};
        this->messages[i].msg_hdr.msg_name = &this->senders[i];
        this->messages[i].msg_hdr.msg_iov = &this->buffers[i];
        this->messages[i].msg_hdr.msg_iovlen = 1;
    }
}

std::size_t datagram_reader::read(int descriptor)
{
    for (mmsghdr& message : this->messages)
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    int const count = ::recvmmsg(descriptor, this->messages.data(), batch_size,
                                 MSG_DONTWAIT, nullptr);
    return count < 0 ? 0 : static_cast<std::size_t>(count);
}

datagram_view datagram_reader::at(std::size_t index) const
{
    return {from_sockaddr(this->senders[index]),
            {this->bytes.data() + index * receive_buffer_size,
             this->messages[index].msg_len}};
}

}  // namespace lagoon
