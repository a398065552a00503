#include "base/answer_time.hpp"

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

duration compute_wait(answer_time_estimate const& estimate,
                      answer_wait_limits const& limits)
{
    // Even answer times have no variation, but the next may still be later.
    duration const slack = std::max(4 * estimate.variation, estimate.mean / 2);
    return std::clamp(estimate.mean + slack, limits.min_wait, limits.max_wait);
}

}  // namespace lagoon
