// Messages that are larger than a datagram, in pieces. A message of which a
// piece is lost is lost as a whole; whoever wants it asks again.
//
// Index
//   packet_fragment   one piece
//   fragments_of      a message's pieces
//   reassembly        the aggregate: pieces to messages
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- packet_fragment ----------------------------------------------------

struct packet_fragment
{
    std::uint32_t packet = 0;  // the sender's number of the message
    std::uint16_t index = 0;
    std::uint16_t count = 0;
    std::string bytes = {};
    auto operator<=>(packet_fragment const&) const = default;
};

constexpr std::size_t fragment_size = 1200;  // bytes of the message in a piece
constexpr std::size_t most_fragments = 256;  // pieces of a message
constexpr std::size_t max_message_size = fragment_size * most_fragments;

// ---- fragments_of -------------------------------------------------------

// Empty when the message is too large.
std::vector<packet_fragment> fragments_of(std::string const& message,
                                          std::uint32_t number);

// ---- reassembly ---------------------------------------------------------

// Of a message of which no piece came for this long the rest won't either.
constexpr duration fragment_lifetime = std::chrono::seconds{1};

constexpr std::size_t most_messages = 16;  // put together at once

class reassembly
{
public:
    // The message, once its last piece is there.
    std::optional<std::string>
    take(peer_address from, packet_fragment const& part, time_point now);

private:
    struct message_id
    {
        peer_address from = {};
        std::uint32_t packet = 0;
        auto operator<=>(message_id const&) const = default;
    };

    struct partial_message
    {
        std::vector<std::string> pieces = {};
        std::size_t missing = 0;
        time_point last = {};
        auto operator<=>(partial_message const&) const = default;
    };

    void make_room(time_point now);

    std::map<message_id, partial_message> messages = {};
};

}  // namespace lagoon
