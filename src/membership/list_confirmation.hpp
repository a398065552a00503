// Since when the list of targets in a catalog is known to be whole: a living
// target that is missing from it is gone. Keys can lapse while the platform is
// away although their targets are alive, and are back within two seconds of
// its return. A process that starts can't know whether that has just happened.
//
// Model: models/lost_connections.pml, guards `after_packet` and `settled`.
//
// Index
//   list_confirmation   the aggregate
#pragma once

#include "base/values.hpp"

#include <algorithm>
#include <optional>

namespace lagoon {

// ---- list_confirmation --------------------------------------------------

// From the first contact with the platform until every living target that is
// able to reach it is listed: two seconds and a margin.
constexpr duration list_settling_time = std::chrono::milliseconds{2500};

class list_confirmation
{
public:
    explicit list_confirmation(time_point started_at) : started_at(started_at)
    {
    }

    // Records that the platform held nothing newer than the catalog at a time
    // in the past.
    void record(time_point as_of)
    {
        if (as_of < this->started_at)
            return;
        if (!this->first)
            this->first = as_of;
        this->latest = std::max(this->latest, as_of);
    }

    // Starts over, because the platform has lost what it held.
    void reset(time_point now)
    {
        this->started_at = now;
        this->first.reset();
    }

    // Whether a read of the platform that starts now shows the list to be whole.
    bool can_confirm(time_point now) const
    {
        return this->first && now >= *this->first + list_settling_time;
    }

    // Returns the time as of which the list is whole.
    std::optional<time_point> whole_as_of() const
    {
        if (!this->first || this->latest < *this->first + list_settling_time)
            return std::nullopt;
        return this->latest;
    }

private:
    time_point started_at;
    std::optional<time_point> first = {};
    time_point latest = {};
};

}  // namespace lagoon
