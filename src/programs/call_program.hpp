// lagoon-call as an event handler: sends requests through sessions, one UDP
// socket per session.
//
// Index
//   call_options   parsed command line
//   call_result    outcome of one request
//   call_program   connects sockets and sessions
#pragma once

#include "caller/session.hpp"
#include "loop/event_loop.hpp"
#include "wire/codec.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- call_options -------------------------------------------------------

// A kind of request in a load. `weight` is its share relative to the sum of
// all weights.
struct weighted_request
{
    request_spec spec = {};
    std::uint32_t weight = 1;
    auto operator<=>(weighted_request const&) const = default;
};

struct call_options
{
    peer_address entry_address = {};  // shared address of the entries
    peer_address local_address = {};  // source IP; the port is not used
    service_id service = {};
    caller_id caller = {};
    std::vector<weighted_request> request_mix = {};
    std::uint32_t session_count = 1;
    std::uint32_t request_count = 1;  // total
    duration session_pause = {};      // between two requests of a session
    std::uint64_t seed = 0;           // 0: seed from system entropy
    bool shows_progress = false;
    auto operator<=>(call_options const&) const = default;
};

constexpr std::uint32_t max_sessions = 200;

// ---- call_result --------------------------------------------------------

struct call_result
{
    std::string path = {};
    request_outcome outcome = {};  // of several requests: without the answers
    std::uint64_t answer_size = 0;
    auto operator<=>(call_result const&) const = default;
};

// ---- call_program -------------------------------------------------------

class call_program : public default_event_handler
{
public:
    explicit call_program(call_options options);

    // Binds the sockets. Returns false and sets `error` on failure.
    bool open(failure& error);
    void run();
    std::vector<call_result> const& results() const;

    void on_datagram(socket_index socket, peer_address from,
                     std::string_view bytes);
    void on_tick();
    bool should_stop() const;

private:
    struct call_session
    {
        session<seeded_random> caller_session;
        time_point next_start = {};
        std::string path = {};
    };

    bool rebind(socket_index socket, failure& error);
    void start_request_if_due(socket_index socket, call_session& session,
                              time_point now);
    void handle(socket_index socket, session_event const& event);
    void perform(socket_index socket, send_packet const& effect);
    void perform(socket_index socket, rebind_port const& effect);
    void perform(socket_index socket, report_progress const& effect);
    void perform(socket_index socket, request_outcome const& effect);
    request_spec const& pick_request_spec();

    call_options options;
    seeded_random random;
    retry_budget budget;
    event_loop<call_program> loop;
    std::map<socket_index, call_session> sessions = {};
    std::vector<call_result> finished = {};
    std::uint32_t started_count = 0;
    time_point next_progress = {};
};

}  // namespace lagoon
