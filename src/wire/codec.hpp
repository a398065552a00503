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
#include "wire/fragments.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lagoon {

// ---- datagram -----------------------------------------------------------

using datagram =
    std::variant<caller_message, answer_message, inbound_packet,
                 outbound_packet, peer_digest, peer_update, change_request,
                 packet_fragment, packet_offer, offer_reply>;

// ---- encode_packet ------------------------------------------------------

std::string encode_packet(caller_message const& message);
std::string encode_packet(answer_message const& message);
std::string encode_packet(inbound_packet const& packet);
std::string encode_packet(outbound_packet const& packet);
std::string encode_packet(peer_digest const& what);
std::string encode_packet(peer_update const& news);  // of any size
std::string encode_packet(change_request const& what);
std::string encode_packet(packet_fragment const& part);
std::string encode_packet(packet_offer const& offer);
std::string encode_packet(offer_reply const& answer);

// What goes on the wire for a message: itself, or its fragments.
std::vector<std::string> datagrams_of(std::string const& packet,
                                      std::uint32_t number);

// ---- decode_packet ------------------------------------------------------

std::optional<datagram> decode_packet(std::string_view bytes, peer_address from,
                                      failure& last);

// The same for a message that was put together from fragments.
std::optional<datagram> decode_message(std::string_view bytes,
                                       peer_address from, failure& last);

}  // namespace lagoon
