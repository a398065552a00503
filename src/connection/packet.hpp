// Connections whose packets carry no token of ours: all there is to know one
// by are its two ends. The packets are passed on as they came.
//
// Index
//   connection_endpoints     names a connection
//   connection_packet   one packet, as much of it as decisions need
//   answer_report       what the answer that a packet begins says of itself
#pragma once

#include "base/values.hpp"

#include <string>

namespace lagoon {

// ---- connection_endpoints ----------------------------------------------------

struct connection_endpoints
{
    peer_address caller = {};
    peer_address service = {};  // what the caller connects to
    auto operator<=>(connection_endpoints const&) const = default;
};

// What the ranking of targets and the choice of a weighted service go by.
inline flow_key key_of(connection_endpoints const& endpoints)
{
    auto const packed = [](peer_address address) {
        return (std::uint64_t{address.ip} << 16U) | address.port;
    };
    return {hash_pair(packed(endpoints.caller), packed(endpoints.service))};
}

namespace detail {

struct endpoints_hash
{
    std::size_t operator()(connection_endpoints const& endpoints) const noexcept
    {
        return static_cast<std::size_t>(key_of(endpoints).value);
    }
};

}  // namespace detail

// ---- connection_packet --------------------------------------------------

struct connection_packet
{
    connection_endpoints endpoints = {};
    bool is_opening = false;    // asks for a connection
    bool is_accepting = false;  // the target's answer to that
    bool is_finishing = false;  // the sender will send no more data
    bool is_reset = false;
    std::uint8_t retransmission_count =
        0;  // of an opening packet: 0 for the first
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t data_size = 0;  // bytes of data
    std::string bytes = {};       // the packet as it goes on
    auto operator<=>(connection_packet const&) const = default;
};

// ---- answer_report ------------------------------------------------------

enum class answer_report : std::uint8_t
{
    none,    // nothing bad, or no answer begins here
    failed,  // the request failed at the back end
    full     // it hasn't run: there was no room for it
};

}  // namespace lagoon
