#include "tracking/back_end_health.hpp"

#include <algorithm>

namespace lagoon {

bool back_end_health::record_result(request_result result, time_point now)
{
    this->results.push_back({now, result});
    while (this->results.size() > this->limits.window_size ||
           now - this->results.front().at > this->limits.result_lifetime)
        this->results.pop_front();
    bool const was_unhealthy = this->is_marked_unhealthy;
    this->is_marked_unhealthy =
        was_unhealthy ? !this->has_recovered() : this->reaches_failure_limits();
    if (this->is_marked_unhealthy && !was_unhealthy)
        this->last_trial_at = now;
    if (was_unhealthy && !this->is_marked_unhealthy)
        this->results.clear();
    return this->is_marked_unhealthy != was_unhealthy;
}

bool back_end_health::reaches_failure_limits() const
{
    auto const failed = static_cast<std::size_t>(
        std::count_if(this->results.begin(), this->results.end(),
                      [](recorded_result const& record) {
                          return record.result == request_result::failed;
                      }));
    double const share =
        static_cast<double>(failed) / static_cast<double>(this->results.size());
    return failed >= this->limits.min_failures &&
           share >= this->limits.min_failure_share;
}

bool back_end_health::has_recovered() const
{
    std::size_t answered = 0;
    for (auto result = this->results.rbegin();
         result != this->results.rend() &&
         result->result == request_result::answered;
         ++result)
        ++answered;
    return answered >= this->limits.recovery_answers;
}

bool back_end_health::is_unhealthy() const
{
    return this->is_marked_unhealthy;
}

bool back_end_health::may_send_trial(bool is_retryable, time_point now) const
{
    duration const interval = is_retryable
                                  ? this->limits.trial_interval
                                  : this->limits.non_retryable_trial_interval;
    return now - this->last_trial_at >= interval;
}

void back_end_health::record_trial(time_point now)
{
    this->last_trial_at = now;
}

}  // namespace lagoon
