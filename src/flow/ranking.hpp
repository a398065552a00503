// Weighted rendezvous hashing: every process that knows the same targets
// ranks them alike for a flow, and a change moves only the flows it must.
//
// Index
//   ranking   the order in which targets are offered a flow
#pragma once

#include "catalog/catalog.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace lagoon {

// ---- ranking ------------------------------------------------------------

constexpr double joining_share = 0.25;  // of the weight of a warm target

// Targets that take new flows, best first; leaving ones are left out. The
// pointers are into `part`.
std::vector<target_record const*> rank_targets(service_part const& part,
                                               flow_key flow);

// All of them, leaving ones included: where to look for the owner of a flow.
std::vector<target_record const*> rank_owners(service_part const& part,
                                              flow_key flow);

// The one at `place` among those that take new flows, wrapping round.
// Empty when the service has none.
std::optional<target_record> ranked_target(service_part const& part,
                                           flow_key flow, std::size_t place);

}  // namespace lagoon
