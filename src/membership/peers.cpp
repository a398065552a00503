#include "membership/peers.hpp"

namespace lagoon {

void peer_table::record_digest(peer_address exchange, process_id id,
                               time_point now)
{
    if (this->peers.size() >= max_peers && !this->peers.contains(exchange))
        return;
    this->peers.insert_or_assign(exchange, known_peer{exchange, id, now});
}

void peer_table::add_mentioned(peer_address exchange, time_point now)
{
    if (this->peers.size() >= max_peers)
        return;
    this->peers.emplace(exchange, known_peer{exchange, {}, now});
}

void peer_table::sweep(time_point now)
{
    std::erase_if(this->peers, [now](auto const& one) {
        return now - one.second.last_seen > peer_timeout;
    });
}

std::vector<known_peer> peer_table::all() const
{
    std::vector<known_peer> list;
    list.reserve(this->peers.size());
    for (auto const& [exchange, peer] : this->peers)
        list.push_back(peer);
    return list;
}

std::size_t peer_table::size() const
{
    return this->peers.size();
}

std::size_t peer_table::compute_rank(process_id self, std::uint64_t seed) const
{
    std::uint64_t const own = hash_pair(self.value, seed);
    std::size_t rank = 0;
    for (auto const& [exchange, peer] : this->peers)
        if (peer.id != process_id{} && peer.id != self &&
            hash_pair(peer.id.value, seed) > own)
            ++rank;
    return rank;
}

}  // namespace lagoon
