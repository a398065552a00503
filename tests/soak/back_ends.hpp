// A back end of the soak: takes connections, runs requests in a few slots,
// repeats what is lost, and notes what it has seen.
//
// Index
//   back_end_settings   how much it can do
//   soak_back_end       the aggregate
#pragma once

#include "base/random.hpp"
#include "packet.hpp"
#include "promises.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace lagoon::soak {

// ---- back_end_settings --------------------------------------------------

struct back_end_settings
{
    std::uint32_t slots = 2;
    std::uint32_t queue = 8;  // beyond the slots; more is shed
    duration work = 12ms;     // mean running time
    duration cold = 2s;       // slower for this long after its start
    double cold_factor = 1.6;
    // Wrong on purpose, to show that it is noticed.
    std::uint32_t runs_each = 1;
    bool refuses_what_ran = false;
    auto operator<=>(back_end_settings const&) const = default;
};

// ---- soak_back_end ------------------------------------------------------

class soak_back_end
{
public:
    soak_back_end(back_end_life life, std::uint64_t seed,
                  back_end_settings settings, promise_book& book,
                  time_point now);

    // A packet from the process beside it.
    soak_packets take(soak_packet const& packet, time_point now);
    // What is due: ends of runs, repeats.
    soak_packets tick(time_point now);
    // From now on each connection ends with its next answer.
    void leave();

    back_end_life const life;

private:
    struct connection
    {
        connection_ends ends = {};
        bool is_open = false;
        std::uint32_t expected = 0;  // the next sequence number of the caller
        std::uint32_t base = 0;      // of the first byte of `out`
        std::string in = {};         // of a request, so far
        std::string out = {};        // not acknowledged yet
        bool ends_after = false;     // with what `out` holds
        time_point repeat_at = {};
        duration interval = {};
        std::uint32_t repeats = 0;
        auto operator<=>(connection const&) const = default;
    };

    struct request
    {
        connection_ends of = {};
        request_key key = {};
        bool may_repeat = true;
        std::size_t answer_size = 0;
        auto operator<=>(request const&) const = default;
    };

    struct run
    {
        time_point ends = {};
        request what = {};
        auto operator<=>(run const&) const = default;
    };

    static constexpr std::size_t packet_data = 1200;  // bytes
    static constexpr std::size_t window = 16;         // packets
    static constexpr duration first_repeat = 200ms;
    static constexpr duration longest_repeat = 1600ms;
    static constexpr std::uint32_t most_repeats = 8;

    soak_packet packet_of(connection const& from) const;
    soak_packets open(soak_packet const& packet, time_point now);
    soak_packets refuse(soak_packet const& packet, time_point now);
    soak_packets take_in(connection& on, soak_packet const& packet,
                         time_point now);
    void take_acknowledged(connection& on, std::uint32_t upto, time_point now);
    void take_request(connection& on, time_point now, soak_packets& out);
    void begin(request const& what, time_point now);
    void answer(connection& on, std::string const& text, time_point now,
                soak_packets& out);
    // As much of what isn't acknowledged as the window holds, from an offset.
    void transmit(connection const& on, std::size_t from, soak_packets& out);
    void end(connection_ends ends);

    seeded_random random;
    back_end_settings settings;
    promise_book& book;
    time_point cold_until;
    bool leaves = false;
    std::map<connection_ends, connection> connections = {};
    std::set<connection_ends> ended = {};
    std::vector<run> running = {};
    std::deque<request> waiting = {};
};

}  // namespace lagoon::soak
