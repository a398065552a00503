// Connections whose packets carry no flow token and are identified by their two
// endpoints. Their packets are forwarded unchanged.
//
// Index
//   connection_endpoints   identify a connection
//   connection_packet      the fields of a packet used for decisions
//   answer_report          what an answer reports about its request
#pragma once

#include "base/values.hpp"

#include <string>

namespace lagoon {

// ---- connection_endpoints -----------------------------------------------

struct connection_endpoints
{
    peer_address caller = {};
    peer_address service = {};  // what the caller connects to
    auto operator<=>(connection_endpoints const&) const = default;
};

// Key for ranking targets and for selecting a weighted service.
inline flow_key make_flow_key(connection_endpoints const& endpoints)
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
        return static_cast<std::size_t>(make_flow_key(endpoints).value);
    }
};

}  // namespace detail

// ---- connection_packet --------------------------------------------------

struct connection_packet
{
    connection_endpoints endpoints = {};
    bool is_opening = false;    // requests a connection
    bool is_accepting = false;  // accepts the connection
    bool is_finishing = false;  // the sender sends no more data
    bool is_reset = false;
    std::uint8_t retransmission_count = 0;  // of an opening packet
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t data_size = 0;  // bytes of payload
    std::string bytes = {};       // the whole packet, as forwarded
    auto operator<=>(connection_packet const&) const = default;
};

// ---- answer_report ------------------------------------------------------

enum class answer_report : std::uint8_t
{
    none,    // no failure, or no answer begins in this packet
    failed,  // the request failed at the back end
    full     // the back end was full; the request has not run
};

}  // namespace lagoon
