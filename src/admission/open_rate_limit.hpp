// Limits the opening packets per second that a cold back end receives. The
// entries' offers carry the limit; the target enforces it, because all opening
// packets for its back end pass through it.
//
// Index
//   open_rate         the limit in an offer
//   start_pace        how fast queued requests can start
//   open_rate_limit   the aggregate
#pragma once

#include "base/values.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

namespace lagoon {

// ---- open_rate ----------------------------------------------------------

struct open_rate
{
    std::uint32_t per_second = 0;  // 0: unlimited
    generation version = {};       // of the catalog of the entry
    auto operator<=>(open_rate const&) const = default;
};

// ---- start_pace ---------------------------------------------------------

struct start_pace
{
    duration until_first = {};  // until the first queued request can start
    duration interval = {};     // between the following ones
    auto operator<=>(start_pace const&) const = default;
};

// ---- open_rate_limit ----------------------------------------------------

// The limit holds for every span of this length.
constexpr duration open_window = std::chrono::seconds{1};

// A limit that the offers don't end is dropped after this time. It is several
// times the warm-up time of any known back end, so the limit does not end
// before the back end is warm.
constexpr duration max_warm_up_time = std::chrono::seconds{60};

// Load pattern: after a power loss, callers reconnect within half a second to
// back ends that have just started.
//
// Packets are recorded without a limit, too, so that a limit that arrives
// later covers the second before it.
class open_rate_limit
{
public:
    explicit open_rate_limit(time_point started_at) : started_at(started_at) {}

    // Applies the rate of the latest offer. An offer of an entry whose catalog
    // is older than that of an earlier offer is ignored: the entry may still
    // have the state of the back end before its restart.
    void set_rate(open_rate const& next, time_point now)
    {
        if (next.version < this->rate.version)
            return;
        bool const begins = this->rate.per_second == 0 && next.per_second > 0;
        if (begins)
            this->limited_since = now;
        this->rate = next;
    }

    bool is_limited(time_point now) const
    {
        return this->rate.per_second > 0 &&
               now - this->limited_since < max_warm_up_time;
    }

    // Returns when the back end may get the next opening packet: `now` or
    // later. In its first second a process does not know what its predecessor
    // sent and treats the window as full.
    time_point next_allowed(time_point now) const
    {
        if (!this->is_limited(now))
            return now;
        time_point next = std::max(now, this->started_at + open_window);
        std::size_t const rate = this->rate.per_second;
        if (this->sent_at.size() >= rate)
            next = std::max(next, this->sent_at[this->sent_at.size() - rate] +
                                      open_window);
        return next;
    }

    bool may_send(time_point now) const
    {
        return this->next_allowed(now) <= now;
    }

    void record_sent(time_point now)
    {
        while (!this->sent_at.empty() &&
               now - this->sent_at.front() >= open_window)
            this->sent_at.pop_front();
        this->sent_at.push_back(now);
    }

    // Returns nullopt if starts are not limited.
    std::optional<start_pace> pace(time_point now) const
    {
        if (!this->is_limited(now))
            return std::nullopt;
        return start_pace{this->next_allowed(now) - now,
                          open_window / this->rate.per_second};
    }

private:
    time_point started_at;
    open_rate rate = {};
    time_point limited_since = {};
    std::deque<time_point> sent_at = {};  // within the last window
};

}  // namespace lagoon
