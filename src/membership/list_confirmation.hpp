// Since when the list of targets in a catalog is known to be whole: a living
// target that is missing from it is gone. Keys can lapse while the platform is
// away although their targets are alive, and are back within two seconds of
// its return. A process that starts, or had no contact for a while, can't know
// whether that has just happened.
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

// From the start of an uninterrupted contact with the platform until every
// living target that is able to reach it is listed: two seconds and a margin.
constexpr duration list_settling_time = std::chrono::milliseconds{2500};

// A longer gap between two contacts may have been an outage, in which keys
// lapsed.
constexpr duration max_contact_gap = list_settling_time;

// Without a recent contact, a read keeps the contact uninterrupted.
constexpr duration max_unread_time = std::chrono::seconds{1};

class list_confirmation
{
public:
    explicit list_confirmation(time_point started_at) : started_at(started_at)
    {
    }

    // Records that some process reached the platform.
    void record_contact(time_point at)
    {
        if (at < this->started_at)
            return;
        if (!this->first || at - this->latest > max_contact_gap)
            this->first = at;
        this->latest = std::max(this->latest, at);
    }

    // Records that the catalog holds what the platform held when an own read
    // started, or more recent contents. Its answer is a contact of its own.
    void record_read(time_point started)
    {
        if (started >= this->started_at)
            this->read_at = std::max(this->read_at, started);
    }

    // Starts over, because the platform has lost what it held, or because the
    // process did not run for a while.
    void reset(time_point now)
    {
        *this = list_confirmation{now};
    }

    // Whether a read of the platform that starts now is needed to show that the
    // list is whole.
    bool needs_read(time_point now) const
    {
        return !this->first || now - this->latest > max_unread_time ||
               now >= *this->first + list_settling_time;
    }

    // Returns the time as of which the list is whole.
    std::optional<time_point> whole_as_of() const
    {
        if (!this->first || this->read_at < *this->first + list_settling_time)
            return std::nullopt;
        return this->read_at;
    }

private:
    time_point started_at;
    std::optional<time_point> first = {};  // of an uninterrupted contact
    time_point latest = {};
    time_point read_at = {};
};

}  // namespace lagoon
