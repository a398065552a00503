#include "flow/ranking.hpp"

#include <algorithm>
#include <cmath>

namespace lagoon {

namespace {

double compute_weight(target_record const& target)
{
    double const factor =
        target.state == target_state::joining ? joining_weight_factor : 1.0;
    return factor * static_cast<double>(target.slots);
}

bool is_better(detail::scored_target const& a, detail::scored_target const& b)
{
    if (a.score != b.score)
        return a.score > b.score;
    return a.target->id < b.target->id;
}

constexpr auto any_target = [](target_record const&) {
    return true;
};

}  // namespace

namespace detail {

double compute_score(target_record const& target, flow_key flow)
{
    std::uint64_t const hash = hash_pair(flow.value, target.id.value);
    // 53 bits of the hash as a number in (0, 1); log() needs it to be non-zero.
    double const fraction =
        (static_cast<double>(hash >> 11U) + 0.5) / 9007199254740992.0;
    return -compute_weight(target) / std::log(fraction);
}

std::vector<target_record const*>
select_best(std::vector<scored_target>& candidates, std::size_t limit)
{
    std::size_t const count = std::min(limit, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), is_better);
    std::vector<target_record const*> ranked;
    ranked.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        ranked.push_back(candidates[i].target);
    return ranked;
}

}  // namespace detail

std::vector<target_record const*> rank_targets(service_part const& part,
                                               flow_key flow)
{
    return rank_targets_if(part, flow, part.targets.size(), any_target);
}

std::vector<target_record const*> rank_owners(service_part const& part,
                                              flow_key flow)
{
    return detail::rank_if(part, flow, part.targets.size(), any_target);
}

std::optional<target_record> select_target(service_part const& part,
                                           flow_key flow, std::size_t rank)
{
    std::vector<target_record const*> const candidates =
        rank_targets(part, flow);
    if (candidates.empty())
        return std::nullopt;
    return *candidates[rank % candidates.size()];
}

}  // namespace lagoon
