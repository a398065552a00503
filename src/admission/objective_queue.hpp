// Queue for requests with a latency objective: requests that can still meet
// their objective run first, late ones only when no others wait. Baseline of
// fair_objective_queue.
//
// Index
//   objective_queue   the queue policy
#pragma once

#include "admission/queues.hpp"

namespace lagoon {

// ---- objective_queue ----------------------------------------------------

// Designed for the retry surge after an outage: every caller retries within
// half a second, and more work arrives than the slots can serve. In order of
// arrival all of it would be late, including new requests. This policy serves
// new requests within their objective and gives the remaining slots to the
// backlog, which is late already.
//
// Requests that can meet their objective are ordered by priority, then by
// their latest start. Late requests are ordered by priority, then by the most
// recent arrival, whose caller will go on waiting longest.
class objective_queue
{
public:
    void push(waiting_request const& request)
    {
        this->waiting.push_back(request);
    }

    std::optional<waiting_request> pop(slot_usage const&, time_point now)
    {
        auto const best = std::min_element(
            this->waiting.begin(), this->waiting.end(),
            [now](waiting_request const& a, waiting_request const& b) {
                return precedes(a, b, now);
            });
        if (best == this->waiting.end())
            return std::nullopt;
        waiting_request const selected = *best;
        this->waiting.erase(best);
        return selected;
    }

    bool remove(request_key key)
    {
        return std::erase_if(this->waiting, [key](auto const& one) {
                   return one.key == key;
               }) > 0;
    }

    std::size_t size() const
    {
        return this->waiting.size();
    }

    // Returns the predicted running time queued ahead of `request`.
    duration predict_time_before(waiting_request const& request) const
    {
        duration sum{};
        for (waiting_request const& one : this->waiting)
            if (precedes(one, request, request.arrived_at))
                sum += one.predicted_time;
        return sum;
    }

    // Returns the number of requests that start before `request` if it is queued
    // now.
    std::size_t count_before(waiting_request const& request) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->waiting.begin(), this->waiting.end(),
            [&request](waiting_request const& one) {
                return !precedes(request, one, request.arrived_at);
            }));
    }

    // Removes and returns requests that would miss their deadline if they
    // started now.
    std::vector<waiting_request> remove_expired(time_point now)
    {
        std::vector<waiting_request> expired;
        std::erase_if(this->waiting, [&expired, now](auto const& one) {
            bool const is_expired = now > one.latest_useful_start;
            if (is_expired)
                expired.push_back(one);
            return is_expired;
        });
        return expired;
    }

private:
    static bool is_late(waiting_request const& request, time_point now)
    {
        return now > request.latest_timely_start;
    }

    static bool precedes(waiting_request const& a, waiting_request const& b,
                         time_point now)
    {
        bool const is_a_late = is_late(a, now);
        bool const is_b_late = is_late(b, now);
        if (is_a_late != is_b_late)
            return is_b_late;
        if (a.priority != b.priority)
            return a.priority < b.priority;
        if (is_a_late)
            return a.arrived_at > b.arrived_at;
        return a.latest_timely_start < b.latest_timely_start;
    }

    std::vector<waiting_request> waiting = {};
};

static_assert(queue_policy<objective_queue>);

}  // namespace lagoon
