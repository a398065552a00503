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
                                     time_point now)
{
    this->is_unresponsive = false;
    for (std::deque<unanswered_open>* opens : {&this->pending, &this->overdue})
        std::erase_if(*opens, [&](unanswered_open const& open) {
            bool const is_answered = open.endpoints == endpoints;
            if (is_answered)
                this->accept_time =
                    update_estimate(this->accept_time, now - open.sent_at, now);
            return is_answered;
        });
}

void back_end_monitor::record_refusal(connection_endpoints const& endpoints,
                                      time_point now)
{
    this->record_packet(endpoints, now);
    this->is_unresponsive = true;
}

duration back_end_monitor::accept_wait() const
{
    return compute_wait(this->accept_time, {});
}

std::vector<unanswered_open> back_end_monitor::take_overdue(time_point now)
{
    std::vector<unanswered_open> taken;
    while (!this->pending.empty() &&
           now - this->pending.front().sent_at >= this->accept_wait()) {
        unanswered_open const open = this->pending.front();
        this->pending.pop_front();
        this->is_unresponsive = true;
        this->overdue.push_back({open.endpoints, open.sent_at, {}});
        taken.push_back(open);
    }
    while (!this->overdue.empty() &&
           now - this->overdue.front().sent_at > late_accept_lifetime)
        this->overdue.pop_front();
    return taken;
}

bool back_end_monitor::may_send_open(time_point now) const
{
    return !this->is_unresponsive || now - this->last_open_at >= trial_interval;
}

std::optional<time_point> back_end_monitor::next_due() const
{
    if (this->pending.empty())
        return std::nullopt;
    return this->pending.front().sent_at + this->accept_wait();
}

}  // namespace lagoon
