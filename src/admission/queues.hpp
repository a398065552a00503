// Queue policies: the order in which waiting requests get the slots of a
// target. docs/POLICY.md compares them.
//
// Index
//   waiting_request     a request as a policy sees it
//   queue_policy        the concept
//   fifo_queue          the baseline: order of arrival
//   short_first_queue   short requests first, round-robin over callers, with
//                       a limit on how long long requests wait
#pragma once

#include "request/request_table.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace lagoon {

// ---- waiting_request ----------------------------------------------------

struct waiting_request
{
    request_key key = {};
    caller_id caller = {};
    duration predicted_time = {};
    time_point arrived_at = {};

    // The latest starts that meet the latency objective and the deadline.
    time_point latest_timely_start = time_point::max();
    time_point latest_useful_start = time_point::max();

    std::uint8_t priority = 0;  // 0 is the most urgent
    auto operator<=>(waiting_request const&) const = default;
};

// A request predicted to run no longer than this is short.
constexpr duration max_short_running_time = std::chrono::milliseconds{100};

inline bool is_short(waiting_request const& request)
{
    return request.predicted_time <= max_short_running_time;
}

// Slots in use, for policies that reserve slots.
struct slot_usage
{
    std::uint32_t slots = 1;
    std::uint32_t running_short = 0;
    std::uint32_t running_long = 0;
    auto operator<=>(slot_usage const&) const = default;
};

// ---- queue_policy -------------------------------------------------------

template <class Q>
concept queue_policy = std::default_initializable<Q> &&
    requires(Q queue, Q const& view, waiting_request request, request_key key,
             slot_usage usage, time_point now)
{
    queue.push(request);
    {
        queue.pop(usage, now)
        } -> std::same_as<std::optional<waiting_request>>;
    {
        queue.remove(key)
        } -> std::same_as<bool>;
    {
        view.size()
        } -> std::same_as<std::size_t>;
    {
        view.predict_time_before(request)
        } -> std::same_as<duration>;
};

// ---- fifo_queue ---------------------------------------------------------

class fifo_queue
{
public:
    void push(waiting_request const& request)
    {
        this->waiting.push_back(request);
    }

    std::optional<waiting_request> pop(slot_usage const&, time_point)
    {
        if (this->waiting.empty())
            return std::nullopt;
        waiting_request const first = this->waiting.front();
        this->waiting.pop_front();
        return first;
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

    // Returns the predicted running time queued ahead of a new request.
    duration predict_time_before(waiting_request const&) const
    {
        duration sum{};
        for (waiting_request const& one : this->waiting)
            sum += one.predicted_time;
        return sum;
    }

private:
    std::deque<waiting_request> waiting = {};
};

// ---- short_first_queue --------------------------------------------------

namespace detail {

// Serves callers in turn, each in order of arrival, so that a caller with
// many requests delays only itself.
class round_robin_queue
{
public:
    void push(waiting_request const& request)
    {
        for (caller_queue& queue : this->callers)
            if (queue.caller == request.caller) {
                queue.waiting.push_back(request);
                return;
            }
        this->callers.push_back({request.caller, {request}});
    }

    std::optional<waiting_request> pop()
    {
        if (this->callers.empty())
            return std::nullopt;
        caller_queue current_queue = this->callers.front();
        this->callers.pop_front();
        waiting_request const first = current_queue.waiting.front();
        current_queue.waiting.pop_front();
        if (!current_queue.waiting.empty())
            this->callers.push_back(current_queue);
        return first;
    }

    bool remove(request_key key)
    {
        for (caller_queue& queue : this->callers) {
            auto const removed =
                std::erase_if(queue.waiting, [key](auto const& one) {
                    return one.key == key;
                });
            if (removed == 0)
                continue;
            std::erase_if(this->callers, [](auto const& one) {
                return one.waiting.empty();
            });
            return true;
        }
        return false;
    }

    std::size_t size() const
    {
        std::size_t sum = 0;
        for (caller_queue const& queue : this->callers)
            sum += queue.waiting.size();
        return sum;
    }

    std::optional<time_point> find_oldest_arrival() const
    {
        std::optional<time_point> first;
        for (caller_queue const& queue : this->callers) {
            time_point const arrived_at = queue.waiting.front().arrived_at;
            first = std::min(first.value_or(arrived_at), arrived_at);
        }
        return first;
    }

    duration sum_predicted_times() const
    {
        duration sum{};
        for (caller_queue const& queue : this->callers)
            for (waiting_request const& one : queue.waiting)
                sum += one.predicted_time;
        return sum;
    }

private:
    struct caller_queue
    {
        caller_id caller = {};
        std::deque<waiting_request> waiting = {};
        bool operator==(caller_queue const&) const = default;
    };

    std::deque<caller_queue> callers = {};
};

}  // namespace detail

// A long request that has waited for longer than this precedes short ones.
constexpr duration max_long_request_wait = std::chrono::seconds{2};

class short_first_queue
{
public:
    void push(waiting_request const& request)
    {
        (is_short(request) ? this->short_requests : this->long_requests)
            .push(request);
    }

    std::optional<waiting_request> pop(slot_usage const& usage, time_point now)
    {
        bool const is_long_request_due = this->is_long_request_due(now);
        bool const can_run_long_request = this->can_run_long_request(usage);
        if (is_long_request_due && can_run_long_request)
            return this->long_requests.pop();
        if (this->short_requests.size() > 0)
            return this->short_requests.pop();
        if (can_run_long_request)
            return this->long_requests.pop();
        return std::nullopt;
    }

    bool remove(request_key key)
    {
        return this->short_requests.remove(key) ||
               this->long_requests.remove(key);
    }

    std::size_t size() const
    {
        return this->short_requests.size() + this->long_requests.size();
    }

    duration predict_time_before(waiting_request const& request) const
    {
        duration const short_time = this->short_requests.sum_predicted_times();
        return is_short(request)
                   ? short_time
                   : short_time + this->long_requests.sum_predicted_times();
    }

private:
    bool is_long_request_due(time_point now) const
    {
        std::optional<time_point> const oldest_arrival =
            this->long_requests.find_oldest_arrival();
        return oldest_arrival && now - *oldest_arrival > max_long_request_wait;
    }

    // The last slot is reserved for short requests, unless it is the only one.
    bool can_run_long_request(slot_usage const& usage) const
    {
        return usage.slots <= 1 || usage.running_long + 1 < usage.slots;
    }

    detail::round_robin_queue short_requests = {};
    detail::round_robin_queue long_requests = {};
};

static_assert(queue_policy<fifo_queue>);
static_assert(queue_policy<short_first_queue>);

}  // namespace lagoon
