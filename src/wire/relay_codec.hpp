// Encodes offers, evacuation notices, locate queries and their answers.
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
void write(packet_writer& out, evacuation_notice const& notice);
void write(packet_writer& out, locate_query const& query);
void write(packet_writer& out, locate_reply const& reply);

// ---- reading ------------------------------------------------------------

packet_offer read_offer(field_reader& in);
offer_reply read_offer_reply(field_reader& in);
evacuation_notice read_evacuation_notice(field_reader& in);
locate_query read_locate_query(field_reader& in);
locate_reply read_locate_reply(field_reader& in);

}  // namespace lagoon::detail
