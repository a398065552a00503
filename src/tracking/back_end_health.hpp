// Health of a back end that accepts connections, derived from answers that
// report a failure, connections closed during a request, and requests that are
// never answered.
//
// Load pattern: one of many back ends fails its requests quickly, so it always
// seems free and attracts requests from healthy ones. An unhealthy back end
// therefore gets only occasional trial requests. It is never excluded: its
// target reports a higher load, which has no effect when all are unhealthy.
//
// Index
//   request_result           how a request ended
//   back_end_health_limits   what counts as unhealthy
//   back_end_health          the aggregate
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace lagoon {

// ---- request_result -----------------------------------------------------

enum class request_result : std::uint8_t
{
    answered,
    failed
};

// ---- back_end_health_limits ---------------------------------------------

struct back_end_health_limits
{
    // Failures among the latest requests. Two in a row may be caused by a
    // single caller, and some healthy services fail one request in twenty.
    std::size_t window_size = 8;
    std::size_t min_failures = 2;
    double min_failure_share = 0.3;

    // Older results are ignored, since the back end may have been restarted.
    duration result_lifetime = std::chrono::seconds{2};

    // Intervals of trial requests to an unhealthy back end, which let it
    // recover. Callers retry a failed request if its route is retryable. Other
    // requests are used as trials less often, in case no route is retryable.
    duration trial_interval = std::chrono::milliseconds{250};
    duration non_retryable_trial_interval = std::chrono::seconds{2};
    std::size_t recovery_answers = 3;

    auto operator<=>(back_end_health_limits const&) const = default;
};

// ---- back_end_health ----------------------------------------------------

class back_end_health
{
public:
    explicit back_end_health(back_end_health_limits limits = {})
        : limits(limits)
    {
    }

    // Records the result of a request. Returns whether the health changed.
    bool record_result(request_result result, time_point now);

    bool is_unhealthy() const;

    // Returns whether an unhealthy back end may get this request as a trial.
    bool may_send_trial(bool is_retryable, time_point now) const;
    void record_trial(time_point now);

private:
    struct recorded_result
    {
        time_point at = {};
        request_result result = request_result::answered;
        auto operator<=>(recorded_result const&) const = default;
    };

    bool reaches_failure_limits() const;
    bool has_recovered() const;

    back_end_health_limits limits;
    std::deque<recorded_result> results = {};
    bool is_marked_unhealthy = false;
    time_point last_trial_at = {};
};

}  // namespace lagoon
