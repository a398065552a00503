// Splits messages that exceed a datagram into fragments and reassembles them.
// Fragments are not retransmitted: when one is lost the message is lost, and
// the receiver requests its content again.
//
// Index
//   message_fragment       one part of a message
//   split_into_fragments   a message to fragments
//   fragment_reassembler   fragments to messages
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
    std::uint32_t message_number = 0;  // unique for the sender's address
    std::uint16_t index = 0;
    std::uint16_t count = 0;
    std::string bytes = {};
    auto operator<=>(message_fragment const&) const = default;
};

constexpr std::size_t fragment_size = 1200;  // bytes of the message
constexpr std::size_t max_fragments = 256;   // of one message
constexpr std::size_t max_message_size = fragment_size * max_fragments;

// ---- split_into_fragments -----------------------------------------------

// Returns an empty list when the message exceeds max_message_size.
std::vector<message_fragment> split_into_fragments(std::string const& message,
                                                   std::uint32_t number);

// ---- fragment_reassembler -----------------------------------------------

// A partial message is discarded after this long without a fragment: the others
// are not expected to arrive any more.
constexpr duration fragment_timeout = std::chrono::seconds{1};

constexpr std::size_t max_partial_messages = 16;

class fragment_reassembler
{
public:
    // Returns the message once its last fragment has arrived.
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
