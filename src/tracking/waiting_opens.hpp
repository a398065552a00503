// The opening packets that wait at a target for a slot, by their admission key.
//
// Index
//   waiting_open    an opening packet and the entry that sent it
//   waiting_opens   the aggregate
#pragma once

#include "protocol/relay.hpp"

#include <optional>
#include <unordered_map>

namespace lagoon {

// ---- waiting_open -------------------------------------------------------

struct waiting_open
{
    connection_packet packet = {};
    peer_address entry = {};
    generation config_generation = {};  // of the entry when it offered this
    auto operator<=>(waiting_open const&) const = default;
};

// ---- waiting_opens ------------------------------------------------------

class waiting_opens
{
public:
    void put(waiting_open const& open)
    {
        this->waiting.insert_or_assign(make_flow_key(open.packet.endpoints),
                                       open);
    }

    // Removes and returns a packet, if present.
    std::optional<waiting_open> take(flow_key key)
    {
        auto const found = this->waiting.find(key);
        if (found == this->waiting.end())
            return std::nullopt;
        waiting_open const open = found->second;
        this->waiting.erase(found);
        return open;
    }

private:
    std::unordered_map<flow_key, waiting_open, detail::identifier_hash>
        waiting = {};
};

}  // namespace lagoon
