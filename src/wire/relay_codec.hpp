// Offers and their answers as msgpack arrays.
//
// Index
//   writing   each type's fields
//   reading   the fields of a packet whose kind was read
#pragma once

#include "protocol/relay.hpp"
#include "wire/fields.hpp"

namespace lagoon::detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, packet_offer const& offer);
void write(packet_writer& out, offer_reply const& answer);

// ---- reading ------------------------------------------------------------

packet_offer read_offer(field_reader& in);
offer_reply read_offer_answer(field_reader& in);

}  // namespace lagoon::detail
