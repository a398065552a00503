// Whether a back end that accepts connections does the work, too: seen from
// its answers that say that they failed, connections that it breaks off in the
// midst of a request, and requests that it never answers.
//
// Load pattern: one back end of many fails fast what it is given, so it always
// seems free, and draws work from those that do it. What it is given is then
// thinned out. Nobody is shut out for good: a back end that is unwell counts as
// so much fuller, so that where all are unwell none is worse off.
//
// Index
//   request_result        how a request ended
//   back_end_health_limits     what counts as unwell
//   back_end_health   the aggregate
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace lagoon {

// ---- request_result --------------------------------------------------------

enum class request_result : std::uint8_t
{
    answered,
    failed
};

// ---- back_end_health_limits -----------------------------------------------------

struct back_end_health_limits
{
    // Of the latest requests: two failures in a row could be one caller's own
    // doing, and one request in twenty fails with many a healthy service.
    std::size_t window_size = 8;
    std::size_t min_failures = 2;
    double min_failure_share = 0.3;

    // Older outcomes say nothing: a back end that was restarted is another.
    duration result_lifetime = std::chrono::seconds{2};

    // While unwell it is given a request this often, so that it can show that
    // it is well. Callers repeat what may be repeated; another one is tried
    // only where there is nothing else to try.
    duration trial_interval = std::chrono::milliseconds{250};
    duration non_repeatable_trial_interval = std::chrono::seconds{2};
    std::size_t recovery_answers = 3;

    auto operator<=>(back_end_health_limits const&) const = default;
};

// ---- back_end_health ---------------------------------------------------

class back_end_health
{
public:
    explicit back_end_health(back_end_health_limits limits = {})
        : limits(limits)
    {
    }

    // A request ended. Says whether that changed how it is.
    bool record_result(request_result result, time_point now);

    bool is_unhealthy() const;

    // Whether an unwell back end may be given a request.
    bool may_send_trial(bool may_repeat, time_point now) const;
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
