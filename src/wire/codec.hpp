// Encodes messages as datagrams and decodes them. A packet is a msgpack array;
// its layout is private to this folder. Every field is checked before a typed
// message is built.
//
// Index
//   datagram        the messages that a packet can contain
//   encode_packet   messages to bytes
//   decode_packet   bytes to messages
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
                 message_fragment, packet_offer, offer_reply, evacuation_notice,
                 locate_query, locate_reply>;

// ---- encode_packet ------------------------------------------------------

std::string encode_packet(caller_message const& message);
std::string encode_packet(answer_message const& message);
std::string encode_packet(inbound_packet const& packet);
std::string encode_packet(outbound_packet const& packet);
std::string encode_packet(peer_digest const& digest);
std::string encode_packet(peer_update const& update);  // may exceed a datagram
std::string encode_packet(change_request const& request);
std::string encode_packet(message_fragment const& fragment);
std::string encode_packet(packet_offer const& offer);
std::string encode_packet(offer_reply const& answer);
std::string encode_packet(evacuation_notice const& notice);
std::string encode_packet(locate_query const& query);
std::string encode_packet(locate_reply const& reply);

// Returns the datagrams that transport an encoded message: the message itself,
// or its fragments when it doesn't fit into one. `number` identifies the
// message among those of this sender. Empty when the message exceeds
// max_message_size.
std::vector<std::string> split_into_datagrams(std::string const& packet,
                                              std::uint32_t number);

// ---- decode_packet ------------------------------------------------------

// Decodes one datagram. Errors: malformed, too_large, unsupported (another
// version of the protocol).
std::optional<datagram> decode_packet(std::string_view bytes, peer_address from,
                                      failure& error);

// Decodes a message that was reassembled from fragments. Errors: as above.
std::optional<datagram> decode_message(std::string_view bytes,
                                       peer_address from, failure& error);

}  // namespace lagoon
