#include "tracking/back_end_monitor.hpp"

namespace lagoon {

void back_end_monitor::record_open(connection_endpoints const& endpoints,
                                   std::string const& bytes, time_point now)
{
    this->last_open_at = now;
    if (this->pending.size() < max_unanswered)
        this->pending.push_back({endpoints, now, bytes});
}

void back_end_monitor::record_packet(connection_endpoints const& endpoints,
                                     time_point)
{
    this->is_unresponsive = false;
    std::erase_if(this->pending, [&endpoints](unanswered_open const& open) {
        return open.endpoints == endpoints;
    });
}

void back_end_monitor::record_refusal(connection_endpoints const& endpoints,
                                      time_point now)
{
    this->record_packet(endpoints, now);
    this->is_unresponsive = true;
}

std::vector<unanswered_open> back_end_monitor::take_overdue(time_point now)
{
    std::vector<unanswered_open> overdue;
    while (!this->pending.empty() &&
           now - this->pending.front().sent_at >= accept_timeout) {
        overdue.push_back(this->pending.front());
        this->pending.pop_front();
        this->is_unresponsive = true;
    }
    return overdue;
}

bool back_end_monitor::may_send_open(time_point now) const
{
    return !this->is_unresponsive || now - this->last_open_at >= trial_interval;
}

std::optional<time_point> back_end_monitor::next_due() const
{
    if (this->pending.empty())
        return std::nullopt;
    return this->pending.front().sent_at + accept_timeout;
}

}  // namespace lagoon
