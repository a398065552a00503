// Decides which requests a target accepts and when each gets a slot.
//
// Index
//   refusal                why a request was refused, and when to retry
//   admission_limits       slots, queue length and waiting times
//   request_urgency        deadline, latency objective and priority
//   stale_slot             a slot whose request no longer needs it
//   admission_controller   the aggregate, over a queue policy and a predictor
#pragma once

#include "admission/open_rate_limit.hpp"
#include "admission/prediction.hpp"
#include "admission/queues.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- refusal ------------------------------------------------------------

struct refusal
{
    reason cause = reason::none;
    duration retry_after = {};
    auto operator<=>(refusal const&) const = default;
};

// ---- admission_limits ---------------------------------------------------

struct admission_limits
{
    std::uint32_t slots = 1;             // requests that run concurrently
    std::uint32_t extra_starts = 0;      // started in excess of the slots
    std::size_t max_queue_length = 256;  // requests
    duration ramp_up_time = {};          // slots open gradually after a start

    // Network time from the grant of a slot until the answer has reached the
    // caller, in addition to the running time.
    duration transit_time = {};

    // Share of the time to its deadline that a request may wait. Below 1
    // because predictions are too short while an unusually long request runs.
    double max_wait_share = 0.25;

    auto operator<=>(admission_limits const&) const = default;
};

// ---- request_urgency ----------------------------------------------------

// Orders requests and limits how long they may wait.
struct request_urgency
{
    std::optional<time_point> deadline = {};   // an answer after it is useless
    time_point objective = time_point::max();  // latency objective
    std::uint8_t priority = 0;                 // 0 is the most urgent
    auto operator<=>(request_urgency const&) const = default;
};

// ---- stale_slot ---------------------------------------------------------

// A slot that is still held although its caller gave up or the end of its
// request was not noticed.
struct stale_slot
{
    request_key key = {};
    bool has_started = false;  // the request reached the back end
    auto operator<=>(stale_slot const&) const = default;
};

// ---- admission_controller -----------------------------------------------

template <queue_policy Queue, running_time_predictor Predictor>
class admission_controller
{
public:
    admission_controller(admission_limits limits, time_point now)
        : limits(limits), started_at(now)
    {
    }

    // Queues a request, or returns why it is refused. A request is refused on
    // arrival if its predicted wait exceeds max_wait_share of the time to its
    // deadline, so that there is time left to try another target. `pace` is set
    // if the back end limits how fast requests start.
    std::optional<refusal> enqueue(request_key key, request_class const& kind,
                                   request_urgency const& urgency,
                                   time_point now,
                                   std::optional<start_pace> pace = {})
    {
        duration const predicted_time = this->predictor.predict(kind);
        duration const needed_time =
            this->predict_time_until_answer(predicted_time);
        time_point const deadline =
            urgency.deadline.value_or(time_point::max());
        waiting_request const request{
            key,
            kind.caller,
            predicted_time,
            now,
            compute_latest_start(urgency.objective, needed_time),
            compute_latest_start(deadline, needed_time),
            urgency.priority};
        duration const wait = std::max(this->predict_wait(request, now),
                                       this->predict_paced_wait(request, pace));
        if (this->queue.size() >= this->limits.max_queue_length)
            return refusal{reason::overloaded, wait};
        bool const is_wait_too_long =
            urgency.deadline &&
            wait > this->compute_max_wait(*urgency.deadline, now);
        if (is_wait_too_long)
            return refusal{reason::overloaded, wait};
        this->queue.push(request);
        this->kinds.insert_or_assign(key, kind);
        return std::nullopt;
    }

    // Removes the next request from the queue and gives it a slot. Returns
    // nullopt if no slot is free or the policy selects no request.
    std::optional<waiting_request> start_next(time_point now)
    {
        if (this->running.size() >=
            this->count_open_slots(now) + this->limits.extra_starts)
            return std::nullopt;
        std::optional<waiting_request> const selected =
            this->queue.pop(this->count_usage(), now);
        if (selected)
            this->running.insert_or_assign(selected->key,
                                           running_request{*selected, now});
        return selected;
    }

    // Gives a slot to a request that runs without having been queued.
    void start_unqueued(request_key key, request_class const& kind,
                        time_point now)
    {
        waiting_request const request{key, kind.caller,
                                      this->predictor.predict(kind), now};
        this->kinds.insert_or_assign(key, kind);
        this->running.insert_or_assign(key,
                                       running_request{request, now, true});
    }

    // Returns whether a request that arrived now would start at once.
    bool has_free_slot(time_point now) const
    {
        return this->queue.size() == 0 &&
               this->running.size() < this->count_open_slots(now);
    }

    bool is_running(request_key key) const
    {
        return this->running.contains(key);
    }

    // Removes and returns queued requests that can no longer meet their
    // deadline. Empty for queue policies that don't track deadlines.
    std::vector<waiting_request> remove_expired(time_point now)
    {
        std::vector<waiting_request> expired;
        if constexpr (requires { this->queue.remove_expired(now); })
            expired = this->queue.remove_expired(now);
        for (waiting_request const& one : expired)
            this->kinds.erase(one.key);
        return expired;
    }

    // Starts the running time of a request that got its slot before its data
    // arrived.
    void mark_started(request_key key, time_point now)
    {
        auto const run = this->running.find(key);
        if (run != this->running.end())
            run->second = {run->second.request, now, true};
    }

    // Returns slots whose request did not arrive within `max_start_delay`, or
    // has run for longer than `max_run_time`, which means that its end was
    // lost.
    std::vector<stale_slot> find_stale_slots(duration max_start_delay,
                                             duration max_run_time,
                                             time_point now) const
    {
        std::vector<stale_slot> slots;
        for (auto const& [key, run] : this->running)
            if (now - run.since >
                (run.has_started ? max_run_time : max_start_delay))
                slots.push_back({key, run.has_started});
        return slots;
    }

    // Returns whether a request has run longer than `min_time` and longer
    // than `factor` times the predicted time of its kind.
    bool has_stuck_request(double factor, duration min_time,
                           time_point now) const
    {
        return std::any_of(
            this->running.begin(), this->running.end(), [&](auto const& one) {
                running_request const& run = one.second;
                duration const limit{static_cast<std::int64_t>(
                    static_cast<double>(run.request.predicted_time.count()) *
                    factor)};
                return run.has_started &&
                       now - run.since > std::max(limit, min_time);
            });
    }

    // Applies the number of slots in the published configuration.
    void set_slots(std::uint32_t slots)
    {
        this->limits.slots = slots;
    }

    // Frees the slot of a finished request and passes its running time to the
    // predictor.
    void finish(request_key key, time_point now)
    {
        auto const kind = this->kinds.find(key);
        auto const run = this->running.find(key);
        if (kind != this->kinds.end() && run != this->running.end())
            this->predictor.observe(kind->second, now - run->second.since);
        this->release(key);
    }

    // Frees the slot or queue place of a request; the predictor is unchanged.
    void release(request_key key)
    {
        this->running.erase(key);
        this->queue.remove(key);
        this->kinds.erase(key);
    }

    // Returns the number of running and queued requests.
    std::uint32_t load() const
    {
        return static_cast<std::uint32_t>(this->running.size() +
                                          this->queue.size());
    }

    std::uint32_t slots() const
    {
        return this->limits.slots;
    }

    std::size_t queue_length() const
    {
        return this->queue.size();
    }

    // Returns the time that `request` would wait if it were queued now.
    duration predict_wait(waiting_request const& request, time_point now) const
    {
        std::uint32_t const open = this->count_open_slots(now);
        if (this->running.size() < open && this->queue.size() == 0)
            return duration{};
        return this->queue.predict_time_before(request) / open;
    }

    std::size_t running_count() const
    {
        return this->running.size();
    }

private:
    // Returns the time until `request` can start if it were queued now and
    // slots were free.
    duration predict_paced_wait(waiting_request const& request,
                                std::optional<start_pace> const& pace) const
    {
        if (!pace)
            return {};
        auto count = static_cast<std::int64_t>(this->queue.size());
        if constexpr (requires { this->queue.count_before(request); })
            count =
                static_cast<std::int64_t>(this->queue.count_before(request));
        return pace->until_first + pace->interval * count;
    }

    struct running_request
    {
        waiting_request request = {};
        time_point since = {};
        bool has_started = false;  // the data reached the back end
        auto operator<=>(running_request const&) const = default;
    };

    // The predicted running time includes queueing inside the back end.
    duration predict_time_until_answer(duration predicted_time) const
    {
        return this->limits.transit_time + predicted_time;
    }

    static time_point compute_latest_start(time_point end, duration needed_time)
    {
        return end == time_point::max() ? end : end - needed_time;
    }

    duration compute_max_wait(time_point deadline, time_point now) const
    {
        auto const left = static_cast<double>((deadline - now).count());
        return duration{
            static_cast<std::int64_t>(left * this->limits.max_wait_share)};
    }

    // After a start, slots open one by one over ramp_up_time.
    std::uint32_t count_open_slots(time_point now) const
    {
        duration const age = now - this->started_at;
        if (age >= this->limits.ramp_up_time)
            return this->limits.slots;
        auto const share = this->limits.slots * age.count() /
                           this->limits.ramp_up_time.count();
        return static_cast<std::uint32_t>(std::max<std::int64_t>(share, 1));
    }

    slot_usage count_usage() const
    {
        std::uint32_t short_count = 0;
        for (auto const& [key, run] : this->running)
            short_count += is_short(run.request) ? 1U : 0U;
        auto const all = static_cast<std::uint32_t>(this->running.size());
        return {this->limits.slots, short_count, all - short_count};
    }

    admission_limits limits;
    time_point started_at;
    Queue queue = {};
    Predictor predictor = {};
    std::map<request_key, running_request> running = {};
    std::map<request_key, request_class> kinds = {};
};

}  // namespace lagoon
