#include "flow/ranking.hpp"

#include <algorithm>
#include <cmath>

namespace lagoon {

namespace {

struct scored
{
    double score = 0;
    target_record const* target = nullptr;
};

double weight_of(target_record const& target)
{
    double const share =
        target.state == target_state::joining ? joining_share : 1.0;
    return share * static_cast<double>(target.slots);
}

double score_of(target_record const& target, flow_key flow)
{
    std::uint64_t const mixed = hash_pair(flow.value, target.id.value);
    // A number in (0, 1): 53 bits, and never zero.
    double const unit =
        (static_cast<double>(mixed >> 11U) + 0.5) / 9007199254740992.0;
    return -weight_of(target) / std::log(unit);
}

bool better(scored const& a, scored const& b)
{
    if (a.score != b.score)
        return a.score > b.score;
    return a.target->id < b.target->id;
}

std::vector<scored> score_all(service_part const& part, flow_key flow,
                              bool with_leaving)
{
    std::vector<scored> all;
    all.reserve(part.targets.size());
    for (target_record const& target : part.targets)
        if (with_leaving || target.state != target_state::leaving)
            all.push_back({score_of(target, flow), &target});
    std::sort(all.begin(), all.end(), better);
    return all;
}

std::vector<target_record const*> targets_of(std::vector<scored> const& all)
{
    std::vector<target_record const*> ranked;
    ranked.reserve(all.size());
    for (scored const& one : all)
        ranked.push_back(one.target);
    return ranked;
}

}  // namespace

std::vector<target_record const*> rank_targets(service_part const& part,
                                               flow_key flow)
{
    return targets_of(score_all(part, flow, false));
}

std::vector<target_record const*> rank_owners(service_part const& part,
                                              flow_key flow)
{
    return targets_of(score_all(part, flow, true));
}

std::optional<target_record> ranked_target(service_part const& part,
                                           flow_key flow, std::size_t place)
{
    std::vector<scored> const all = score_all(part, flow, false);
    if (all.empty())
        return std::nullopt;
    return *all[place % all.size()].target;
}

}  // namespace lagoon
