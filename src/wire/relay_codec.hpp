// Encodes offers and their answers.
//
// Index
//   writing   kind and fields of each message
//   reading   the fields, after the kind was read
#pragma once

#include "protocol/relay.hpp"
#include "wire/fields.hpp"

namespace lagoon::detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, packet_offer const& offer);
void write(packet_writer& out, offer_reply const& answer);

// ---- reading ------------------------------------------------------------

packet_offer read_offer(field_reader& in);
offer_reply read_offer_reply(field_reader& in);

}  // namespace lagoon::detail
