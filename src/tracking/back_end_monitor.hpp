// Whether the back end beside a target answers, seen from the opening packets
// that it was given. A back end on the same machine accepts within a
// millisecond; one that is down accepts never.
//
// Index
//   unanswered_open    an opening packet without an answer yet
//   back_end_monitor   the aggregate
#pragma once

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
    std::string bytes = {};  // the packet, to place it elsewhere
    auto operator<=>(unanswered_open const&) const = default;
};

// An opening packet without an answer for this long is placed elsewhere:
// dozens of times what a live back end takes, a tenth of what the caller
// waits before it repeats itself.
constexpr duration accept_timeout = std::chrono::milliseconds{20};

// How often a silent back end is given an opening packet all the same.
constexpr duration trial_interval = std::chrono::milliseconds{50};

constexpr std::size_t max_unanswered = 1024;  // packets kept

// ---- back_end_monitor ---------------------------------------------------

class back_end_monitor
{
public:
    // The back end is given an opening packet.
    void record_open(connection_endpoints const& endpoints,
                     std::string const& bytes, time_point now);

    // It sent something: it lives.
    void record_packet(connection_endpoints const& endpoints, time_point now);

    // It returned an opening packet: it takes none for now.
    void record_refusal(connection_endpoints const& endpoints, time_point now);

    // The opening packets that it left unanswered, each once.
    std::vector<unanswered_open> take_overdue(time_point now);

    // Whether it may be given another one.
    bool may_send_open(time_point now) const;

    std::optional<time_point> next_due() const;

private:
    std::deque<unanswered_open> pending = {};
    bool is_silent = false;
    time_point last_open_at = {};
};

}  // namespace lagoon
