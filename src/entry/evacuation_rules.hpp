// Effect of evacuated data centres and leaving targets on the placement of
// opening packets.
//
// Index
//   is_unavailable    whether evacuations leave a service without a target
//   is_closed         whether a target gets no new connections
//   find_copy_owner   the target that has an earlier copy of the packet
//   put_first         makes a target the first candidate
#pragma once

#include "catalog/catalog.hpp"
#include "connection/packet.hpp"
#include "placement/owner_table.hpp"

#include <algorithm>
#include <vector>

namespace lagoon::detail {

// ---- is_unavailable -----------------------------------------------------

// Returns whether targets of the service accept connections, but all of them
// are in evacuated data centres.
inline bool is_unavailable(service_part const& part, catalog const& current)
{
    bool has_evacuated = false;
    for (target_record const& target : part.targets) {
        if (target.state == target_state::leaving)
            continue;
        if (!current.is_evacuated(target.data_centre))
            return false;
        has_evacuated = true;
    }
    return has_evacuated;
}

// ---- is_closed ----------------------------------------------------------

// Returns whether the target gets no new connections.
inline bool is_closed(target_record const& target, catalog const& current)
{
    return target.state == target_state::leaving ||
           current.is_evacuated(target.data_centre);
}

// ---- find_copy_owner ----------------------------------------------------

// Callers send the last copy of an opening packet 600 ms after the first one. A
// later one opens another connection from the same port.
constexpr duration max_copy_delay = std::chrono::milliseconds{1000};

// Returns the target that accepted the connection of an opening packet, if it
// may get this one too. A target that gets no new connections gets only copies
// of the packet that it accepted.
inline target_record const* find_copy_owner(service_part const& part,
                                            owner_record const& owner,
                                            connection_packet const& packet,
                                            catalog const& current,
                                            time_point now)
{
    auto const found = std::find_if(part.targets.begin(), part.targets.end(),
                                    [&owner](target_record const& target) {
                                        return target.address == owner.target;
                                    });
    if (found == part.targets.end())
        return nullptr;
    bool const is_open = !is_closed(*found, current);
    bool const is_copy = packet.retransmission_count > 0 &&
                         !owner.is_finished &&
                         now - owner.arrived_at <= max_copy_delay;
    return is_copy || (is_open && !owner.is_finished) ? &*found : nullptr;
}

// ---- put_first ----------------------------------------------------------

inline void put_first(std::vector<target_record const*>& candidates,
                      target_record const* first)
{
    std::erase(candidates, first);
    candidates.insert(candidates.begin(), first);
}

}  // namespace lagoon::detail
