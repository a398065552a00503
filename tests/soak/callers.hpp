// The requesters of the soak: they open connections, send requests, repeat
// what is lost, try again where that is allowed, and note what becomes of it.
//
// Index
//   soak_route     what is asked for, and what it is owed
//   answer_text    what a back end answers; callers know it in advance
//   caller_crowd   the aggregate
#pragma once

#include "base/random.hpp"
#include "packet.hpp"
#include "promises.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::soak {

// ---- soak_route ---------------------------------------------------------

struct soak_route
{
    peer_address address = {};
    duration deadline = {};
    bool may_repeat = true;
    std::size_t answer_size = 0;  // bytes
    std::uint32_t in_a_row = 1;   // requests on one connection
    double share = 1;             // of the load
    auto operator<=>(soak_route const&) const = default;
};

// ---- answer_text --------------------------------------------------------

// Names its request and its size, so that a part of it, or another's, shows.
std::string answer_text(request_key const& key, std::size_t size);
std::string refusal_text(request_key const& key);
std::string request_text(request_key const& key, std::size_t answer_size,
                         bool may_repeat);

// ---- caller_crowd -------------------------------------------------------

class caller_crowd
{
public:
    caller_crowd(std::uint64_t seed, std::vector<peer_address> addresses,
                 std::vector<soak_route> routes, promise_book& book);

    // A new request, with the packets that it begins with.
    soak_packets begin(time_point now);
    // A packet for a requester; `by` is the machine that it came from.
    soak_packets take(soak_packet const& packet, std::size_t by,
                      time_point now);
    // What is due: copies, repeats, requests after a pause, ends.
    soak_packets tick(time_point now);

    std::size_t open() const;

private:
    enum class stage : std::uint8_t
    {
        opening,
        asking,   // a request is under way
        pausing,  // open, between two requests
        closing   // its end is sent
    };

    struct wish
    {
        std::uint64_t number = 0;
        std::size_t route = 0;
        time_point begun = {};
        std::uint32_t attempts = 0;
        auto operator<=>(wish const&) const = default;
    };

    struct connection
    {
        connection_ends ends = {};
        stage at = stage::opening;
        wish asked = {};
        time_point begun = {};
        time_point due = {};  // of the next repeat, request or end
        duration interval = {};
        std::uint32_t copies = 0;
        std::uint32_t left = 0;       // requests after this one
        std::uint32_t sent = 0;       // the next sequence number of ours
        std::uint32_t expected = 0;   // and of the other end's
        std::string unanswered = {};  // the request under way
        std::string got = {};         // of its answer
        auto operator<=>(connection const&) const = default;
    };

    static constexpr duration first_copy = 200ms;
    static constexpr duration second_copy = 600ms;
    static constexpr duration opening_limit = 1400ms;
    static constexpr duration longest_interval = 1600ms;
    static constexpr duration closing_limit = 1s;
    static constexpr duration longest_pause = 600ms;
    static constexpr std::uint32_t most_attempts = 3;
    static constexpr std::uint16_t first_port = 1024;

    request_key key_of(wish const& asked) const;
    soak_packet packet_of(connection const& from) const;
    soak_packet opening_packet(connection const& from) const;
    soak_packets begin_attempt(wish const& asked, time_point now);
    void ask(connection& on, time_point now, soak_packets& out);
    soak_packets accept(connection& on, soak_packet const& packet,
                        time_point now);
    soak_packets take_data(connection& on, soak_packet const& packet,
                           time_point now);
    void take_answer(connection& on, time_point now, soak_packets& out);
    void close(connection& on, time_point now, soak_packets& out);
    // The attempt has failed; it is made again where that is allowed.
    soak_packets fail(connection_ends ends, bool has_not_run, time_point now);
    void repeat(connection& on, time_point now, soak_packets& out);
    bool is_over(connection const& one, time_point now) const;

    seeded_random random;
    std::vector<peer_address> addresses;
    std::vector<soak_route> routes;
    promise_book& book;
    std::uint64_t last_wish = 0;
    std::uint64_t last_port = 0;
    std::map<connection_ends, connection> connections = {};
};

}  // namespace lagoon::soak
