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

namespace detail {

struct scored_target
{
    double score = 0;
    target_record const* target = nullptr;
};

double score_of(target_record const& target, flow_key flow);

// Sorts no more than it returns.
std::vector<target_record const*> best_of(std::vector<scored_target>& all,
                                          std::size_t most);

template <class MayUse>
std::vector<target_record const*> rank_where(service_part const& part,
                                             flow_key flow, std::size_t most,
                                             MayUse may_use)
{
    std::vector<scored_target> all;
    all.reserve(part.targets.size());
    for (target_record const& target : part.targets)
        if (may_use(target))
            all.push_back({score_of(target, flow), &target});
    return best_of(all, most);
}

}  // namespace detail

// Targets that take new flows, best first; leaving ones are left out. The
// pointers are into `part`.
std::vector<target_record const*> rank_targets(service_part const& part,
                                               flow_key flow);

// Just the first `most` of those that `may_use` admits, best first.
template <class MayUse>
std::vector<target_record const*> rank_some(service_part const& part,
                                            flow_key flow, std::size_t most,
                                            MayUse may_use)
{
    return detail::rank_where(
        part, flow, most, [&may_use](target_record const& one) {
            return one.state != target_state::leaving && may_use(one);
        });
}

// All of them, leaving ones included: where to look for the owner of a flow.
std::vector<target_record const*> rank_owners(service_part const& part,
                                              flow_key flow);

// The one at `place` among those that take new flows, wrapping round.
// Empty when the service has none.
std::optional<target_record> ranked_target(service_part const& part,
                                           flow_key flow, std::size_t place);

}  // namespace lagoon
