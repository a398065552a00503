// How the packets of connections look is the business of an adapter; programs
// are templates over it.
//
// Index
//   back_end_packet   a packet that a back end sent
//   packet_format     the concept
#pragma once

#include "connection/packet.hpp"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon {

// ---- back_end_packet ----------------------------------------------------

struct back_end_packet
{
    connection_packet packet = {};
    bool is_returned = false;  // a caller's packet that it doesn't take
    answer_report report = answer_report::none;
    auto operator<=>(back_end_packet const&) const = default;
};

// ---- packet_format ------------------------------------------------------

template <class F>
concept packet_format = requires(std::string_view bytes,
                                 connection_packet const& packet)
{
    // Nothing comes back for bytes that are no packet.
    {
        F::parse_from_caller(bytes)
        } -> std::same_as<std::optional<connection_packet>>;
    {
        F::parse_from_back_end(bytes)
        } -> std::same_as<std::optional<back_end_packet>>;
    // A reset that answers a caller's packet.
    {
        F::write_reset(packet)
        } -> std::same_as<std::string>;
    // The id of the request that begins in a packet, or an empty text.
    {
        F::request_id(bytes)
        } -> std::same_as<std::string_view>;
};

}  // namespace lagoon
