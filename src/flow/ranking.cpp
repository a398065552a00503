#include "flow/ranking.hpp"

#include <algorithm>
#include <cmath>

namespace lagoon {

namespace {

double weight_of(target_record const& target)
{
    double const share =
        target.state == target_state::joining ? joining_share : 1.0;
    return share * static_cast<double>(target.slots);
}

bool better(detail::scored_target const& a, detail::scored_target const& b)
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

double score_of(target_record const& target, flow_key flow)
{
    std::uint64_t const mixed = hash_pair(flow.value, target.id.value);
    // A number in (0, 1): 53 bits, and never zero.
    double const unit =
        (static_cast<double>(mixed >> 11U) + 0.5) / 9007199254740992.0;
    return -weight_of(target) / std::log(unit);
}

std::vector<target_record const*> best_of(std::vector<scored_target>& all,
                                          std::size_t most)
{
    std::size_t const count = std::min(most, all.size());
    std::partial_sort(all.begin(),
                      all.begin() + static_cast<std::ptrdiff_t>(count),
                      all.end(), better);
    std::vector<target_record const*> ranked;
    ranked.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        ranked.push_back(all[i].target);
    return ranked;
}

}  // namespace detail

std::vector<target_record const*> rank_targets(service_part const& part,
                                               flow_key flow)
{
    return rank_some(part, flow, part.targets.size(), any_target);
}

std::vector<target_record const*> rank_owners(service_part const& part,
                                              flow_key flow)
{
    return detail::rank_where(part, flow, part.targets.size(), any_target);
}

std::optional<target_record> ranked_target(service_part const& part,
                                           flow_key flow, std::size_t place)
{
    std::vector<target_record const*> const all = rank_targets(part, flow);
    if (all.empty())
        return std::nullopt;
    return *all[place % all.size()];
}

}  // namespace lagoon
