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

constexpr double joining_weight_factor =
    0.25;  // of the weight of a warm target

namespace detail {

struct scored_target
{
    double score = 0;
    target_record const* target = nullptr;
};

double compute_score(target_record const& target, flow_key flow);

// Sorts no more than it returns.
std::vector<target_record const*>
select_best(std::vector<scored_target>& candidates, std::size_t limit);

template <class Predicate>
std::vector<target_record const*> rank_if(service_part const& part,
                                          flow_key flow, std::size_t limit,
                                          Predicate is_usable)
{
    std::vector<scored_target> candidates;
    candidates.reserve(part.targets.size());
    for (target_record const& target : part.targets)
        if (is_usable(target))
            candidates.push_back({compute_score(target, flow), &target});
    return select_best(candidates, limit);
}

}  // namespace detail

// Targets that take new flows, best first; leaving ones are left out. The
// pointers are into `part`.
std::vector<target_record const*> rank_targets(service_part const& part,
                                               flow_key flow);

// Just the first `most` of those that `may_use` admits, best first.
template <class Predicate>
std::vector<target_record const*>
rank_targets_if(service_part const& part, flow_key flow, std::size_t limit,
                Predicate is_usable)
{
    return detail::rank_if(
        part, flow, limit, [&is_usable](target_record const& target) {
            return target.state != target_state::leaving && is_usable(target);
        });
}

// All of them, leaving ones included: where to look for the owner of a flow.
std::vector<target_record const*> rank_owners(service_part const& part,
                                              flow_key flow);

// The one at `place` among those that take new flows, wrapping round.
// Empty when the service has none.
std::optional<target_record> select_target(service_part const& part,
                                           flow_key flow, std::size_t rank);

}  // namespace lagoon
