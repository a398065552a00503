// Datagrams as msgpack arrays. Only this part knows what a packet looks like;
// every field is checked before a typed message is made of it.
//
// Index
//   datagram        what a packet may hold
//   encode_packet   to bytes
//   decode_packet   from bytes; errors: malformed, out_of_range, too_large,
//                   unsupported (another version of the protocol)
#pragma once

#include "base/failure.hpp"
#include "protocol/messages.hpp"
#include "protocol/relay.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lagoon {

// ---- datagram -----------------------------------------------------------

constexpr std::uint32_t wire_version = 1;

using datagram =
    std::variant<caller_message, answer_message, inward_packet, outward_packet,
                 peer_digest, packet_offer, offer_answer>;

// ---- encode_packet ------------------------------------------------------

std::string encode_packet(caller_message const& message);
std::string encode_packet(answer_message const& message);
std::string encode_packet(inward_packet const& packet);
std::string encode_packet(outward_packet const& packet);
std::string encode_packet(peer_digest const& what);
std::string encode_packet(packet_offer const& offer);
std::string encode_packet(offer_answer const& answer);

// ---- decode_packet ------------------------------------------------------

std::optional<datagram> decode_packet(std::string_view bytes, peer_address from,
                                      failure& last);

}  // namespace lagoon
