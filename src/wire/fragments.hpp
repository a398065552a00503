// Messages that are larger than a datagram, in pieces. A message of which a
// piece is lost is lost as a whole; whoever wants it asks again.
//
// Index
//   message_fragment   one piece
//   split_into_fragments      a message's pieces
//   fragment_reassembler        the aggregate: pieces to messages
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- message_fragment ---------------------------------------------------

struct message_fragment
{
    std::uint32_t message_number = 0;  // the sender's number of the message
    std::uint16_t index = 0;
    std::uint16_t count = 0;
    std::string bytes = {};
    auto operator<=>(message_fragment const&) const = default;
};

constexpr std::size_t fragment_size = 1200;  // bytes of the message in a piece
constexpr std::size_t max_fragments = 256;   // pieces of a message
constexpr std::size_t max_message_size = fragment_size * max_fragments;

// ---- split_into_fragments -----------------------------------------------

// Empty when the message is too large.
std::vector<message_fragment> split_into_fragments(std::string const& message,
                                                   std::uint32_t number);

// ---- fragment_reassembler -----------------------------------------------

// Of a message of which no piece came for this long the rest won't either.
constexpr duration fragment_timeout = std::chrono::seconds{1};

constexpr std::size_t max_partial_messages = 16;  // put together at once

class fragment_reassembler
{
public:
    // The message, once its last piece is there.
    std::optional<std::string>
    add(peer_address from, message_fragment const& fragment, time_point now);

private:
    struct message_id
    {
        peer_address from = {};
        std::uint32_t message_number = 0;
        auto operator<=>(message_id const&) const = default;
    };

    struct partial_message
    {
        std::vector<std::string> fragments = {};
        std::size_t missing_count = 0;
        time_point last_received_at = {};
        auto operator<=>(partial_message const&) const = default;
    };

    void evict_messages(time_point now);

    std::map<message_id, partial_message> messages = {};
};

}  // namespace lagoon
