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

struct request_spec
{
    std::string path = {};
    std::string body = {};
    bool is_idempotent = false;
    duration deadline = {};  // until the outcome must be known
    duration expected_run_time =
        {};  // running time that the application expects
    auto operator<=>(request_spec const&) const = default;
};

// Pauses between copies of an unanswered packet grow from the first to the
// last of these.
constexpr duration initial_retransmit_delay = std::chrono::milliseconds{50};
constexpr duration max_retransmit_delay = std::chrono::milliseconds{400};

// After this long without any packet the local port is changed.
constexpr duration port_rebind_timeout = std::chrono::milliseconds{900};

// After this long without any packet an idempotent request is tried on a new
// flow. A non-idempotent one stays with its token until its deadline.
constexpr duration flow_response_timeout = std::chrono::milliseconds{1500};

// A flow that was is_silent for this long is opened again before a request is
// sent on it; an open runs nothing, so it may go to another target.
constexpr duration flow_idle_timeout = std::chrono::milliseconds{500};

constexpr std::uint32_t pull_window_size = 64 * segment_size;  // bytes
constexpr std::uint64_t prefetch_size =
    pull_window_size / 2;  // bytes, pulled ahead

// How long past its deadline a request that was sent may still be answered:
// the target refuses what it hasn't started, and that answer travels.
constexpr duration answer_grace_period = std::chrono::seconds{1};

constexpr std::uint8_t max_flows_per_request = 8;  // tries of one request
constexpr duration status_poll_interval = std::chrono::milliseconds{200};

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
    reason cause = reason::none;
    std::string answer = {};
    std::uint32_t flows_used = 0;  // tries, the first included
    target_id target = {};         // the last one that owned the request
    duration elapsed = {};
    auto operator<=>(request_outcome const&) const = default;
};

// ---- events -------------------------------------------------------------

struct begin_request
{
    request_spec spec = {};
    auto operator<=>(begin_request const&) const = default;
};

struct answer_received
{
    answer_message message = {};
    bool operator==(answer_received const&) const = default;
};

struct timer_expired
{
    auto operator<=>(timer_expired const&) const = default;
};

struct end_session
{
    auto operator<=>(end_session const&) const = default;
};

using session_event =
    std::variant<begin_request, answer_received, timer_expired, end_session>;

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
struct retry_budget_settings
{
    double deposit_per_request = 0.1;  // tries earned by each request
    double max_balance = 10.0;         // most tries saved up
    auto operator<=>(retry_budget_settings const&) const = default;
};

class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings);
    void deposit();
    bool try_withdraw();

private:
    retry_budget_settings settings;
    double balance;
};

template <random_source R> class session
{
public:
    session(session_settings settings, R random, retry_budget& budget);

    session_effects on(session_event const& event, time_point now);

    // Which answers are this session's, before they are handed to it.
    bool matches(answer_message const& message) const;
    flow_key flow() const;
    bool is_busy() const;

private:
    enum class phase : std::uint8_t
    {
        idle,
        opening,
        awaiting_answer,  // is_submitted, or pulling the answer
    };

    void on_event(begin_request const& event, time_point now);
    void on_event(answer_received const& event, time_point now);
    void on_event(timer_expired const& event, time_point now);
    void on_event(end_session const& event, time_point now);

    void on_message(open_reply const& reply, time_point now);
    void on_message(open_refusal const& refused, time_point now);
    void on_message(request_status const& status, time_point now);
    void on_message(answer_segment const& segment, time_point now);

    void start_flow(time_point now);
    void send_open(time_point now);
    void send_submit(time_point now);
    void send_pull(std::uint64_t begin, std::uint64_t end, time_point now);
    void pull_missing(time_point now);
    void retransmit(time_point now);
    void send(caller_message const& message, time_point now);
    void retry_on_new_flow(reason why, outcome_kind kind, duration delay,
                           time_point now);
    void store_segment(answer_segment const& segment);
    void finish_if_complete(time_point now);
    void finish(outcome_kind kind, reason why, time_point now);
    bool is_overdue(time_point now) const;

    session_settings settings;
    R random;
    retry_budget& budget;
    phase current_phase = phase::idle;
    std::optional<flow_token> token = {};
    flow_key key = {};
    request_number number = {};
    std::uint8_t open_attempt = 0;  // copies of the open in hand
    bool is_submitted = false;      // a packet that can start the run went out
    request_spec spec = {};
    time_point started_at = {};
    time_point last_received_at = {};
    time_point silence_started_at =
        {};  // when this try started_at, or was last heard
    time_point next_retransmit_at = {};
    time_point next_rebind_at = {};
    duration retransmit_delay =
        initial_retransmit_delay;  // until the next copy
    std::uint32_t flows_used = 0;
    std::optional<request_status> final_status = {};
    std::optional<answer_segment> early_last_segment =
        {};                   // came before its status
    std::string answer = {};  // bytes received so far, in place
    std::vector<bool> received_segments = {};  // by segment
    std::uint64_t received_bytes = 0;          // bytes
    std::uint64_t requested_end = 0;           // bytes asked for so far
    std::size_t first_missing_segment = 0;  // segments; all before it are here
    session_effects effects = {};
};

}  // namespace lagoon

#include "caller/session.ipp"
