#include "membership/peers.hpp"

namespace lagoon {

void peer_table::heard(peer_address exchange, process_id id, time_point now)
{
    if (this->peers.size() >= most_peers && !this->peers.contains(exchange))
        return;
    this->peers.insert_or_assign(exchange, known_peer{exchange, id, now});
}

void peer_table::named(peer_address exchange, time_point now)
{
    if (this->peers.size() >= most_peers)
        return;
    this->peers.emplace(exchange, known_peer{exchange, {}, now});
}

void peer_table::sweep(time_point now)
{
    std::erase_if(this->peers, [now](auto const& one) {
        return now - one.second.last_heard > peer_lifetime;
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

std::size_t peer_table::rank_of(process_id self, std::uint64_t seed) const
{
    std::uint64_t const own = hash_pair(self.value, seed);
    std::size_t before = 0;
    for (auto const& [exchange, peer] : this->peers)
        if (peer.id != process_id{} && peer.id != self &&
            hash_pair(peer.id.value, seed) > own)
            ++before;
    return before;
}

}  // namespace lagoon
