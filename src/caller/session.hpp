// The caller's side of the protocol: opens a flow, submits a request, pulls
// its answer, and says truthfully how it ended.
//
// Index
//   wishes    what an application asks for, and the bounds
//   outcome   how a request ended
//   events    what reaches a session
//   effects   what the surroundings must do
//   session   the aggregate: `on(event, now)`
#pragma once

#include "base/random.hpp"
#include "protocol/messages.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoon {

// ---- wishes -------------------------------------------------------------

struct session_settings
{
    service_id service = {};
    caller_id caller = {};
    auto operator<=>(session_settings const&) const = default;
};

struct request_wish
{
    std::string path = {};
    std::string body = {};
    bool idempotent = false;
    duration deadline = {};  // until the outcome must be known
    duration declared = {};  // running time that the application expects
    auto operator<=>(request_wish const&) const = default;
};

// Pauses between copies of an unanswered packet grow from the first to the
// last of these.
constexpr duration first_repeat = std::chrono::milliseconds{50};
constexpr duration last_repeat = std::chrono::milliseconds{400};

// After this long without any packet the local port is changed.
constexpr duration rebind_after = std::chrono::milliseconds{900};

// After this long without any packet an idempotent request is tried on a new
// flow. A non-idempotent one stays with its token until its deadline.
constexpr duration give_up_flow = std::chrono::milliseconds{1500};

// A flow that was silent for this long is opened again before a request is
// sent on it; an open runs nothing, so it may go to another target.
constexpr duration open_again_after = std::chrono::milliseconds{500};

constexpr std::uint32_t pull_window = 64 * segment_size;  // bytes
constexpr std::uint64_t next_window = pull_window / 2;    // bytes, pulled ahead

// How long past its deadline a request that was sent may still be answered:
// the target refuses what it hasn't started, and that answer travels.
constexpr duration answer_grace = std::chrono::seconds{1};

constexpr std::uint8_t most_flows_per_request = 8;  // tries of one request
constexpr duration poll_interval = std::chrono::milliseconds{200};

// ---- outcome ------------------------------------------------------------

enum class outcome_kind : std::uint8_t
{
    complete,  // the whole answer is here and its digest matches
    not_run,   // it did not run and never will
    unknown    // it may have run once
};

struct request_outcome
{
    outcome_kind kind = outcome_kind::unknown;
    reason why = reason::none;
    std::string answer = {};
    std::uint32_t flows_used = 0;  // tries, the first included
    target_id target = {};         // the last one that owned the request
    duration took = {};
    auto operator<=>(request_outcome const&) const = default;
};

// ---- events -------------------------------------------------------------

struct begin_request
{
    request_wish wish = {};
    auto operator<=>(begin_request const&) const = default;
};

struct answer_arrived
{
    answer_message message = {};
    bool operator==(answer_arrived const&) const = default;
};

struct time_passed
{
    auto operator<=>(time_passed const&) const = default;
};

struct end_session
{
    auto operator<=>(end_session const&) const = default;
};

using session_event =
    std::variant<begin_request, answer_arrived, time_passed, end_session>;

// ---- effects ------------------------------------------------------------

struct send_packet
{
    caller_message message = {};
    bool operator==(send_packet const&) const = default;
};

// Change the local port: something may have lost track of the old one.
struct rebind_port
{
    auto operator<=>(rebind_port const&) const = default;
};

struct report_progress
{
    std::uint64_t received = 0;  // bytes
    std::uint64_t total = 0;     // bytes; 0 while it isn't known
    auto operator<=>(report_progress const&) const = default;
};

using session_effect =
    std::variant<send_packet, rebind_port, report_progress, request_outcome>;
using session_effects = std::vector<session_effect>;

// ---- session ------------------------------------------------------------

// How often a failed try may be repeated, over all sessions of a program.
struct retry_allowance
{
    double share = 0.1;   // tries earned by each request
    double burst = 10.0;  // most tries saved up
    auto operator<=>(retry_allowance const&) const = default;
};

class retry_budget
{
public:
    explicit retry_budget(retry_allowance allowance);
    void earn();
    bool spend();

private:
    retry_allowance allowance;
    double saved;
};

template <random_source R> class session
{
public:
    session(session_settings settings, R random, retry_budget& budget);

    session_effects on(session_event const& event, time_point now);

    // Which answers are this session's, before they are handed to it.
    bool owns(answer_message const& message) const;
    flow_key flow() const;
    bool is_busy() const;

private:
    enum class phase : std::uint8_t
    {
        idle,
        opening,
        asking,  // submitted, or pulling the answer
    };

    void on_event(begin_request const& event, time_point now);
    void on_event(answer_arrived const& event, time_point now);
    void on_event(time_passed const& event, time_point now);
    void on_event(end_session const& event, time_point now);

    void on_message(open_reply const& reply, time_point now);
    void on_message(open_refusal const& refused, time_point now);
    void on_message(request_status const& status, time_point now);
    void on_message(answer_segment const& segment, time_point now);

    void new_flow(time_point now);
    void send_open(time_point now);
    void send_submit(time_point now);
    void send_pull(std::uint64_t begin, std::uint64_t end, time_point now);
    void pull_gap(time_point now);
    void repeat(time_point now);
    void send(caller_message const& message, time_point now);
    void try_elsewhere(reason why, outcome_kind kind, duration pause,
                       time_point now);
    void take_bytes(answer_segment const& segment);
    void finish_if_whole(time_point now);
    void end(outcome_kind kind, reason why, time_point now);
    bool is_overdue(time_point now) const;

    session_settings settings;
    R random;
    retry_budget& budget;
    phase now_in = phase::idle;
    std::optional<flow_token> token = {};
    flow_key key = {};
    request_number number = {};
    std::uint8_t attempt = 0;  // copies of the open in hand
    bool submitted = false;    // a packet that can start the run went out
    request_wish wish = {};
    time_point began = {};
    time_point last_heard = {};
    time_point silent_from = {};  // when this try began, or was last heard
    time_point next_repeat = {};
    time_point next_rebind = {};
    duration pause = first_repeat;  // until the next copy
    std::uint32_t flows_used = 0;
    std::optional<request_status> finished = {};
    std::optional<answer_segment> early_tail = {};  // came before its status
    std::string answer = {};      // bytes received so far, in place
    std::vector<bool> have = {};  // by segment
    std::uint64_t received = 0;   // bytes
    std::uint64_t asked_to = 0;   // bytes asked for so far
    std::size_t first_gap = 0;    // segments; all before it are here
    session_effects effects = {};
};

}  // namespace lagoon

#include "caller/session.ipp"
