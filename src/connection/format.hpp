// Concept of an adapter that reads and writes connection packets. The programs
// are templates over the adapter.
//
// Index
//   back_end_packet   a packet received from a back end
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
    bool is_returned = false;  // a caller's packet that the back end rejected
    answer_report report = answer_report::none;
    auto operator<=>(back_end_packet const&) const = default;
};

// ---- packet_format ------------------------------------------------------

template <class F>
concept packet_format = requires(std::string_view bytes,
                                 connection_packet const& packet)
{
    // Both return nothing if the bytes are not a packet.
    {
        F::parse_from_caller(bytes)
        } -> std::same_as<std::optional<connection_packet>>;
    {
        F::parse_from_back_end(bytes)
        } -> std::same_as<std::optional<back_end_packet>>;
    // Returns a reset in reply to a caller's packet.
    {
        F::write_reset(packet)
        } -> std::same_as<std::string>;
    // Returns the id of the request that begins in a packet; may be empty.
    {
        F::request_id(bytes)
        } -> std::same_as<std::string_view>;
};

}  // namespace lagoon
