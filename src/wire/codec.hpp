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
    std::variant<caller_message, answer_message, inward_packet, outward_packet,
                 peer_digest, peer_news, change_request, message_fragment,
                 packet_offer, offer_answer>;

// ---- encode_packet ------------------------------------------------------

std::string encode_packet(caller_message const& message);
std::string encode_packet(answer_message const& message);
std::string encode_packet(inward_packet const& packet);
std::string encode_packet(outward_packet const& packet);
std::string encode_packet(peer_digest const& digest);
std::string encode_packet(peer_news const& news);  // of any size
std::string encode_packet(change_request const& request);
std::string encode_packet(message_fragment const& fragment);
std::string encode_packet(packet_offer const& offer);
std::string encode_packet(offer_answer const& answer);

// What goes on the wire for a message: itself, or its fragments.
std::vector<std::string> split_into_datagrams(std::string const& packet,
                                              std::uint32_t number);

// ---- decode_packet ------------------------------------------------------

std::optional<datagram> decode_packet(std::string_view bytes, peer_address from,
                                      failure& last);

// The same for a message that was put together from fragments.
std::optional<datagram> decode_message(std::string_view bytes,
                                       peer_address from, failure& last);

}  // namespace lagoon
