#include "placement/answer_times.hpp"

#include "base/sweep.hpp"

#include <algorithm>

namespace lagoon {

answer_time_estimate update_estimate(answer_time_estimate const& estimate,
                                     duration took, time_point now)
{
    if (!estimate.is_known)
        return {took, took / 2, true, now};
    duration const deviation =
        took > estimate.mean ? took - estimate.mean : estimate.mean - took;
    return {(7 * estimate.mean + took) / 8,
            (3 * estimate.variation + deviation) / 4, true, now};
}

answer_times::answer_times(answer_wait_limits limits) : limits(limits) {}

void answer_times::record(peer_address target, duration took, time_point now)
{
    this->overall = update_estimate(this->overall, took, now);
    answer_time_estimate& estimate = this->estimates[target];
    estimate = update_estimate(estimate, took, now);
}

duration answer_times::wait_for(peer_address target) const
{
    auto const found = this->estimates.find(target);
    answer_time_estimate const& estimate =
        found == this->estimates.end() ? this->overall : found->second;
    // Even answer times have no variation, but the next may still be later.
    duration const slack = std::max(4 * estimate.variation, estimate.mean / 2);
    return std::clamp(estimate.mean + slack, this->limits.min_wait,
                      this->limits.max_wait);
}

void answer_times::sweep(time_point now)
{
    sweep_incrementally(
        this->estimates, this->next_bucket,
        [this, now](peer_address const&, answer_time_estimate const& estimate) {
            return now - estimate.updated_at > this->limits.lifetime;
        });
}

}  // namespace lagoon
