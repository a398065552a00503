// The peers that a process has heard of, where no document lists them: from
// the digests they send and from what those say of others.
//
// Index
//   known_peer   one peer
//   peer_table   the aggregate
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
    process_id id = {};    // empty until the peer itself was heard
    time_point last_seen;  // of it, by whomever
    auto operator<=>(known_peer const&) const = default;
};

// A peer that nobody has heard for this long is gone: several times the
// longest interval between two digests of a live one.
constexpr duration peer_timeout = std::chrono::seconds{10};

constexpr std::size_t max_peers = 10'000;         // twice the design size
constexpr std::size_t max_peers_per_digest = 12;  // fits a digest in one packet

// ---- peer_table ---------------------------------------------------------

class peer_table
{
public:
    // A digest of the peer itself came in.
    void record_digest(peer_address exchange, process_id id, time_point now);

    // Another peer named it. It is tried, and forgotten if it stays silent.
    void add_mentioned(peer_address exchange, time_point now);

    // Forgets those that were silent too long.
    void sweep(time_point now);

    std::vector<known_peer> all() const;
    std::size_t size() const;

    // How many live peers precede the process when all are put in the order
    // that everyone computes alike.
    std::size_t compute_rank(process_id self, std::uint64_t seed) const;

private:
    std::map<peer_address, known_peer> peers = {};
};

}  // namespace lagoon
