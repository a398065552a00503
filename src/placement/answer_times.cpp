#include "placement/answer_times.hpp"

#include "base/sweep.hpp"

namespace lagoon {

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
    return compute_wait(estimate, this->limits);
}

std::optional<duration> answer_times::find_mean(peer_address target) const
{
    auto const found = this->estimates.find(target);
    return found == this->estimates.end() ? std::nullopt
                                          : std::optional{found->second.mean};
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
