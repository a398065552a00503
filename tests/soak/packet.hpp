// Packets that callers and back ends of the soak exchange. Their encoding is
// defined in the platform's test folder.
//
// Index
//   soak_packet   a decoded packet
//   soak_format   concept of the encoder and decoder
#pragma once

#include "connection/packet.hpp"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoon::soak {

// ---- soak_packet --------------------------------------------------------

struct soak_packet
{
    connection_endpoints endpoints = {};
    bool is_from_caller = true;  // false: from a back end or a process
    bool is_opening = false;
    bool has_acknowledgement = false;
    bool is_finishing = false;
    bool is_reset = false;
    bool is_returned = false;  // by a back end without this connection
    bool is_genuine = true;    // has the checksum of a caller or a back end
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::string data = {};
    auto operator<=>(soak_packet const&) const = default;
};

using soak_packets = std::vector<soak_packet>;

// ---- soak_format --------------------------------------------------------

template <class F>
concept soak_format = requires(soak_packet const& packet,
                               std::string_view bytes, bool by_caller)
{
    {
        F::write(packet)
        } -> std::same_as<std::string>;
    {
        F::parse(bytes, by_caller)
        } -> std::same_as<std::optional<soak_packet>>;
};

}  // namespace lagoon::soak
