// Effect of evacuated data centres on the placement of opening packets.
//
// Index
//   is_unavailable      whether evacuations leave a service without a target
//   accepts_copy        whether an owner may get another opening packet
//   exclude_evacuated   removes the targets that must not get an opening packet
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

// ---- accepts_copy -------------------------------------------------------

// Callers send the last copy of an opening packet 600 ms after the first one. A
// later one opens another connection from the same port.
constexpr duration max_copy_delay = std::chrono::milliseconds{1000};

// Returns whether an opening packet of a connection with this owner may go to
// the owner. In an evacuated data centre the owner gets only copies of the
// packet that it accepted.
inline bool accepts_copy(owner_record const& owner,
                         connection_packet const& packet,
                         service_part const& part, catalog const& current,
                         time_point now)
{
    bool const is_evacuated =
        std::any_of(part.targets.begin(), part.targets.end(),
                    [&](target_record const& target) {
                        return target.address == owner.target &&
                               current.is_evacuated(target.data_centre);
                    });
    bool const is_copy = packet.retransmission_count > 0 &&
                         !owner.is_finished &&
                         now - owner.arrived_at <= max_copy_delay;
    return !is_evacuated || is_copy;
}

// ---- exclude_evacuated --------------------------------------------------

// Removes the targets in evacuated data centres, except the owner of the
// connection.
inline void exclude_evacuated(std::vector<target_record const*>& targets,
                              catalog const& current, peer_address owner)
{
    std::erase_if(targets, [&](target_record const* target) {
        return target->address != owner &&
               current.is_evacuated(target->data_centre);
    });
}

}  // namespace lagoon::detail
