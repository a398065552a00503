// Variants of objective_queue that share the slots between callers, and that
// bound how long a request waits behind others of a higher priority.
//
// Index
//   fair_objective_queue     the queue policy, with either rule or both
//   caller_share_queue       shares the slots between callers; in force
//   bounded_priority_queue   baseline: bounds the wait behind a higher priority
//   fair_share_queue         baseline: both
#pragma once

#include "admission/queues.hpp"

#include <set>

namespace lagoon {

// ---- fair_objective_queue -----------------------------------------------

// Load pattern: one caller opens hundreds of connections per second while
// others open few. In order of the latest starts alone, the others wait behind
// the backlog of the one.
//
// Like objective_queue, with two rules for requests that can meet their
// objective:
//
// SharesCallers: the k-th waiting request of a caller is ordered as if its
// latest start were later by k turns, a turn being one request of each caller
// that waits. Callers with a single request keep the order of objective_queue.
//
// BoundsPriority: a request that has waited for half of the time to its latest
// start counts as one of the highest priority.
template <bool SharesCallers, bool BoundsPriority> class fair_objective_queue
{
public:
    void push(waiting_request const& request)
    {
        this->waiting.push_back(this->make_entry(request));
    }

    std::optional<waiting_request> pop(slot_usage const&, time_point now)
    {
        auto const best = std::min_element(
            this->waiting.begin(), this->waiting.end(),
            [now](queued_request const& a, queued_request const& b) {
                return precedes(a, b, now);
            });
        if (best == this->waiting.end())
            return std::nullopt;
        waiting_request const selected = best->request;
        this->waiting.erase(best);
        return selected;
    }

    bool remove(request_key key)
    {
        return std::erase_if(this->waiting, [key](auto const& one) {
                   return one.request.key == key;
               }) > 0;
    }

    std::size_t size() const
    {
        return this->waiting.size();
    }

    duration predict_time_before(waiting_request const& request) const
    {
        queued_request const next = this->make_entry(request);
        duration sum{};
        for (queued_request const& one : this->waiting)
            if (precedes(one, next, request.arrived_at))
                sum += one.request.predicted_time;
        return sum;
    }

    std::size_t count_before(waiting_request const& request) const
    {
        queued_request const next = this->make_entry(request);
        return static_cast<std::size_t>(
            std::count_if(this->waiting.begin(), this->waiting.end(),
                          [&next, &request](queued_request const& one) {
                              return !precedes(next, one, request.arrived_at);
                          }));
    }

    std::vector<waiting_request> remove_expired(time_point now)
    {
        std::vector<waiting_request> expired;
        std::erase_if(this->waiting, [&expired, now](auto const& one) {
            bool const is_expired = now > one.request.latest_useful_start;
            if (is_expired)
                expired.push_back(one.request);
            return is_expired;
        });
        return expired;
    }

private:
    struct queued_request
    {
        waiting_request request = {};
        time_point ordered_start = {};  // the latest start plus its turns
        auto operator<=>(queued_request const&) const = default;
    };

    queued_request make_entry(waiting_request const& request) const
    {
        if (!SharesCallers || request.latest_timely_start == time_point::max())
            return {request, request.latest_timely_start};
        std::set<caller_id> callers{request.caller};
        std::int64_t own_count = 0;
        for (queued_request const& one : this->waiting) {
            callers.insert(one.request.caller);
            own_count += one.request.caller == request.caller ? 1 : 0;
        }
        duration const turn =
            request.predicted_time * static_cast<std::int64_t>(callers.size());
        return {request, request.latest_timely_start + turn * own_count};
    }

    static bool is_late(waiting_request const& request, time_point now)
    {
        return now > request.latest_timely_start;
    }

    static std::uint8_t find_priority(waiting_request const& request,
                                      time_point now)
    {
        bool const has_waited_long =
            BoundsPriority &&
            request.latest_timely_start != time_point::max() &&
            now - request.arrived_at > request.latest_timely_start - now;
        return has_waited_long ? std::uint8_t{0} : request.priority;
    }

    static bool precedes(queued_request const& a, queued_request const& b,
                         time_point now)
    {
        bool const is_a_late = is_late(a.request, now);
        bool const is_b_late = is_late(b.request, now);
        if (is_a_late != is_b_late)
            return is_b_late;
        if (is_a_late) {
            if (a.request.priority != b.request.priority)
                return a.request.priority < b.request.priority;
            return a.request.arrived_at > b.request.arrived_at;
        }
        std::uint8_t const a_priority = find_priority(a.request, now);
        std::uint8_t const b_priority = find_priority(b.request, now);
        if (a_priority != b_priority)
            return a_priority < b_priority;
        return a.ordered_start < b.ordered_start;
    }

    std::vector<queued_request> waiting = {};
};

using caller_share_queue = fair_objective_queue<true, false>;
using bounded_priority_queue = fair_objective_queue<false, true>;
using fair_share_queue = fair_objective_queue<true, true>;

static_assert(queue_policy<caller_share_queue>);
static_assert(queue_policy<bounded_priority_queue>);
static_assert(queue_policy<fair_share_queue>);

}  // namespace lagoon
