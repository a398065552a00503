// lagoon-call: the caller's side as a program, over the session aggregate.
//
// Index
//   call_options      what the command line asks for
//   call_result    what came of it
//   call_program   the adapter
#pragma once

#include "caller/session.hpp"
#include "loop/event_loop.hpp"
#include "wire/codec.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- call_options ----------------------------------------------------------

// One kind of request in a load, with its share of all requests.
struct weighted_request
{
    request_wish wish = {};
    std::uint32_t share = 1;
    auto operator<=>(weighted_request const&) const = default;
};

struct call_options
{
    peer_address to = {};     // the fabric's address
    peer_address local = {};  // the IP to send from
    service_id service = {};
    caller_id caller = {};
    std::vector<weighted_request> mix = {};
    std::uint32_t sessions = 1;
    std::uint32_t requests = 1;  // in all
    duration pause = {};         // of a session, between two requests
    std::uint64_t seed = 0;      // 0 takes the system's entropy
    bool shows_progress = false;
    auto operator<=>(call_options const&) const = default;
};

constexpr std::uint32_t max_sessions = 200;

// ---- call_result --------------------------------------------------------

struct call_result
{
    std::string path = {};
    request_outcome outcome = {};  // with the answer only of a single call
    std::uint64_t bytes = 0;
    auto operator<=>(call_result const&) const = default;
};

// ---- call_program -------------------------------------------------------

class call_program : public quiet_program
{
public:
    explicit call_program(call_options plan);

    bool open(failure& last);
    void run();
    std::vector<call_result> const& records() const;

    void on_datagram(lane by, peer_address from, std::string_view bytes);
    void on_tick();
    bool wants_to_stop() const;

private:
    struct line
    {
        session<seeded_random> talk;
        time_point next_begin = {};
        std::string path = {};
    };

    bool rebind(lane which, failure& last);
    void begin_if_due(lane which, line& one, time_point now);
    void feed(lane which, session_event const& event);
    void perform(lane which, send_packet const& effect);
    void perform(lane which, rebind_port const& effect);
    void perform(lane which, report_progress const& effect);
    void perform(lane which, request_outcome const& effect);
    request_wish const& pick_wish();

    call_options plan;
    seeded_random random;
    retry_budget budget;
    event_loop<call_program> loop;
    std::map<lane, line> lines = {};
    std::vector<call_result> done = {};
    std::uint32_t begun = 0;
    time_point next_progress = {};
};

}  // namespace lagoon
