// Counts recently opened flows whose first request has not arrived yet. The
// target has accepted this load, but it is neither running nor queued.
//
// Index
//   expected_requests   the aggregate
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <deque>
#include <unordered_set>

namespace lagoon {

// ---- expected_requests --------------------------------------------------

// A flow without a request counts as load for this long after its opening.
constexpr duration max_request_delay = std::chrono::milliseconds{200};

class expected_requests
{
public:
    void add(flow_key flow, time_point now)
    {
        this->prune(now);
        this->order.push_back({now, flow});
        this->waiting.insert(flow);
    }

    void remove(flow_key flow)
    {
        this->waiting.erase(flow);
    }

    std::size_t count(time_point now)
    {
        this->prune(now);
        return this->waiting.size();
    }

private:
    struct opened_flow
    {
        time_point opened_at = {};
        flow_key flow = {};
        auto operator<=>(opened_flow const&) const = default;
    };

    void prune(time_point now)
    {
        while (!this->order.empty() &&
               now - this->order.front().opened_at >= max_request_delay) {
            this->waiting.erase(this->order.front().flow);
            this->order.pop_front();
        }
    }

    std::deque<opened_flow> order = {};
    std::unordered_set<flow_key, detail::identifier_hash> waiting = {};
};

}  // namespace lagoon
