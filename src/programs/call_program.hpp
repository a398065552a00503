// lagoon-call: the caller's side as a program, over the session aggregate.
//
// Index
//   call_plan      what the command line asks for
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

// ---- call_plan ----------------------------------------------------------

// One kind of request in a load, with its share of all requests.
struct planned_request
{
    request_spec wish = {};
    std::uint32_t share = 1;
    auto operator<=>(planned_request const&) const = default;
};

struct call_plan
{
    peer_address to = {};     // the fabric's address
    peer_address local = {};  // the IP to send from
    service_id service = {};
    caller_id caller = {};
    std::vector<planned_request> mix = {};
    std::uint32_t sessions = 1;
    std::uint32_t requests = 1;  // in all
    duration pause = {};         // of a session, between two requests
    std::uint64_t seed = 0;      // 0 takes the system's entropy
    bool shows_progress = false;
    auto operator<=>(call_plan const&) const = default;
};

constexpr std::uint32_t most_sessions = 200;

// ---- call_result --------------------------------------------------------

struct call_record
{
    std::string path = {};
    request_outcome outcome = {};  // with the answer only of a single call
    std::uint64_t bytes = 0;
    auto operator<=>(call_record const&) const = default;
};

// ---- call_program -------------------------------------------------------

class call_program : public default_event_handler
{
public:
    explicit call_program(call_plan plan);

    bool open(failure& last);
    void run();
    std::vector<call_record> const& records() const;

    void on_datagram(socket_index by, peer_address from,
                     std::string_view bytes);
    void on_tick();
    bool should_stop() const;

private:
    struct line
    {
        session<seeded_random> talk;
        time_point next_begin = {};
        std::string path = {};
    };

    bool rebind(socket_index which, failure& last);
    void begin_if_due(socket_index which, line& one, time_point now);
    void feed(socket_index which, session_event const& event);
    void perform(socket_index which, send_packet const& effect);
    void perform(socket_index which, rebind_port const& effect);
    void perform(socket_index which, report_progress const& effect);
    void perform(socket_index which, request_outcome const& effect);
    request_spec const& pick_wish();

    call_plan plan;
    seeded_random random;
    retry_budget budget;
    event_loop<call_program> loop;
    std::map<socket_index, line> lines = {};
    std::vector<call_record> done = {};
    std::uint32_t begun = 0;
    time_point next_progress = {};
};

}  // namespace lagoon
