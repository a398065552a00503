// Encodes the messages between peers: digests, configuration updates, requests
// for changes, and fragments of messages that exceed a datagram.
//
// Index
//   writing   kind and fields of each message
//   reading   the fields, after the kind was read
#pragma once

#include "membership/peers.hpp"
#include "wire/fields.hpp"
#include "wire/fragments.hpp"

namespace lagoon::detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, peer_digest const& digest);
void write(packet_writer& out, peer_update const& update);
void write(packet_writer& out, change_request const& request);
void write(packet_writer& out, message_fragment const& fragment);

// ---- reading ------------------------------------------------------------

peer_digest read_digest(field_reader& in);
peer_update read_update(field_reader& in);
change_request read_change_request(field_reader& in);
message_fragment read_fragment(field_reader& in);

}  // namespace lagoon::detail
