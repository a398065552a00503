#include "tracking/conduct.hpp"

#include <algorithm>

namespace lagoon {

bool back_end_conduct::ended(run_outcome how, time_point now)
{
    this->latest.push_back({now, how});
    while (this->latest.size() > this->limits.considered ||
           now - this->latest.front().at > this->limits.memory)
        this->latest.pop_front();
    bool const was_unwell = this->unwell;
    this->unwell = was_unwell ? !this->seems_well() : this->seems_unwell();
    if (this->unwell && !was_unwell)
        this->last_tried = now;
    if (was_unwell && !this->unwell)
        this->latest.clear();
    return this->unwell != was_unwell;
}

bool back_end_conduct::seems_unwell() const
{
    auto const failed = static_cast<std::size_t>(std::count_if(
        this->latest.begin(), this->latest.end(), [](ended_run const& one) {
            return one.how == run_outcome::failed;
        }));
    double const share =
        static_cast<double>(failed) / static_cast<double>(this->latest.size());
    return failed >= this->limits.least_failed &&
           share >= this->limits.failed_share;
}

bool back_end_conduct::seems_well() const
{
    std::size_t answered = 0;
    for (auto one = this->latest.rbegin();
         one != this->latest.rend() && one->how == run_outcome::answered; ++one)
        ++answered;
    return answered >= this->limits.answered_in_a_row;
}

bool back_end_conduct::is_unwell() const
{
    return this->unwell;
}

bool back_end_conduct::may_try(bool may_repeat, time_point now) const
{
    duration const interval = may_repeat ? this->limits.trial_interval
                                         : this->limits.other_trial_interval;
    return now - this->last_tried >= interval;
}

void back_end_conduct::tried(time_point now)
{
    this->last_tried = now;
}

}  // namespace lagoon
