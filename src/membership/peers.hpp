// Peers learnt from digests: their senders, and the peers that they mention.
// Used to find peers that the catalog doesn't list.
//
// Index
//   known_peer   one peer
//   peer_table   aggregate: records and expires peers
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace lagoon {

// ---- known_peer ---------------------------------------------------------

struct known_peer
{
    peer_address exchange = {};
    process_id id = {};    // 0 until it sent a digest
    time_point last_seen;  // last digest, or first mention
    auto operator<=>(known_peer const&) const = default;
};

// A peer not seen for this long is removed. Several times the longest interval
// between two digests of a live peer.
constexpr duration peer_timeout = std::chrono::seconds{10};

constexpr std::size_t max_peers = 10'000;  // twice the designed fleet size
constexpr std::size_t max_peers_per_digest = 12;  // fits into one packet

// ---- peer_table ---------------------------------------------------------

class peer_table
{
public:
    // Records a digest sent by the peer itself.
    void record_digest(peer_address exchange, process_id id, time_point now);

    // Adds a peer mentioned by another one, unless it is known. It expires
    // unless it sends a digest.
    void add_mentioned(peer_address exchange, time_point now);

    // Removes peers not seen within the timeout.
    void sweep(time_point now);

    std::vector<known_peer> all() const;
    std::size_t size() const;

    // Returns the number of peers that precede the process in an order that is
    // the same on all processes.
    std::size_t compute_rank(process_id self, std::uint64_t seed) const;

private:
    std::map<peer_address, known_peer> peers = {};
};

}  // namespace lagoon
