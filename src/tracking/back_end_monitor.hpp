// Detects whether the back end of a target answers opening packets. A back end
// on the same machine accepts within a millisecond, or later if the machine is
// saturated; one that is down does not answer.
//
// Index
//   unanswered_open    an opening packet not answered yet
//   back_end_monitor   the aggregate
#pragma once

#include "base/answer_time.hpp"
#include "connection/packet.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace lagoon {

// ---- unanswered_open ----------------------------------------------------

struct unanswered_open
{
    connection_endpoints endpoints = {};
    time_point sent_at = {};
    std::string bytes = {};  // the packet, to place it on another target
    auto operator<=>(unanswered_open const&) const = default;
};

// Interval at which an unresponsive back end is sent another opening packet.
constexpr duration trial_interval = std::chrono::milliseconds{50};

// How long an overdue opening packet is remembered. Its answer still tells how
// long the back end takes.
constexpr duration late_accept_lifetime = std::chrono::seconds{1};

constexpr std::size_t max_unanswered = 1024;  // opening packets kept

// ---- back_end_monitor ---------------------------------------------------

class back_end_monitor
{
public:
    // Records an opening packet sent to the back end.
    void record_open(connection_endpoints const& endpoints,
                     std::string const& bytes, time_point now);

    // Records a packet from the back end, which shows that it is running.
    void record_packet(connection_endpoints const& endpoints, time_point now);

    // Records an opening packet that the back end returned: it accepts none for
    // now.
    void record_refusal(connection_endpoints const& endpoints, time_point now);

    // Removes and returns the opening packets that were not answered in time;
    // each is then placed on another target.
    std::vector<unanswered_open> take_overdue(time_point now);

    // Returns whether the back end may be sent another opening packet.
    bool may_send_open(time_point now) const;

    // Returns when the next opening packet becomes overdue.
    std::optional<time_point> next_due() const;

private:
    duration accept_wait() const;

    answer_time_estimate accept_time = {};
    std::deque<unanswered_open> pending = {};
    std::deque<unanswered_open> overdue = {};  // without their bytes
    bool is_unresponsive = false;
    time_point last_open_at = {};
};

}  // namespace lagoon
