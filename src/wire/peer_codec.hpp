// Messages between peers as msgpack arrays: digests, news, questions for what
// changed, and fragments of what is larger than a datagram.
//
// Index
//   writing   each type's fields
//   reading   the fields of a packet whose kind was read
#pragma once

#include "membership/peers.hpp"
#include "wire/fields.hpp"
#include "wire/fragments.hpp"

namespace lagoon::detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, peer_digest const& digest);
void write(packet_writer& out, peer_news const& news);
void write(packet_writer& out, change_request const& request);
void write(packet_writer& out, message_fragment const& fragment);

// ---- reading ------------------------------------------------------------

peer_digest read_digest(field_reader& in);
peer_news read_news(field_reader& in);
change_request read_change_request(field_reader& in);
message_fragment read_fragment(field_reader& in);

}  // namespace lagoon::detail
