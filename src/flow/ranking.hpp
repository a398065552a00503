// Weighted rendezvous hashing. All processes with the same list of targets
// compute the same ranking for a flow, and a change of the list moves only the
// flows of the targets that changed.
//
// Index
//   ranking   order in which a flow is offered to the targets
#pragma once

#include "catalog/catalog.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace lagoon {

// ---- ranking ------------------------------------------------------------

constexpr double joining_weight_factor = 0.25;  // relative to a serving target

namespace detail {

struct scored_target
{
    double score = 0;
    target_record const* target = nullptr;
};

double compute_score(target_record const& target, flow_key flow);

// Returns the `limit` best targets; sorts only those, and reorders
// `candidates`.
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

// Returns the targets that accept new flows, best first; leaving targets are
// excluded. The pointers refer to elements of `part`.
std::vector<target_record const*> rank_targets(service_part const& part,
                                               flow_key flow);

// Returns the `limit` best of the targets that accept new flows and satisfy
// `is_usable`, best first.
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

// Returns all targets, best first, leaving ones included: the order in which
// to search for the owner of a flow.
std::vector<target_record const*> rank_owners(service_part const& part,
                                              flow_key flow);

// Returns the target at position `rank` modulo the number of targets that
// accept new flows; empty when no target does.
std::optional<target_record> select_target(service_part const& part,
                                           flow_key flow, std::size_t rank);

}  // namespace lagoon
