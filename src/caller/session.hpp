// The caller's side of the request protocol: opens a flow to a target, submits
// a request, pulls the answer and reports the outcome. The state machine does
// no I/O; the program that owns it feeds events and carries out the effects.
//
// Index
//   requests       what an application submits, and the protocol's time limits
//   outcome        how a request ended
//   events         input of a session
//   effects        output of a session
//   retry_budget   limits retries over all sessions of a program
//   session        the state machine: `on(event, now)`
#pragma once

#include "base/random.hpp"
#include "protocol/messages.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoon {

// ---- requests -----------------------------------------------------------

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
    duration deadline = {};           // from submission to the outcome
    duration expected_run_time = {};  // 0 when the application gives none
    auto operator<=>(request_spec const&) const = default;
};

// The delay between retransmissions of an unanswered packet grows from the
// initial to the maximum delay.
constexpr duration initial_retransmit_delay = std::chrono::milliseconds{50};
constexpr duration max_retransmit_delay = std::chrono::milliseconds{400};

// The local port is changed after this long without a packet from the network.
constexpr duration port_rebind_timeout = std::chrono::milliseconds{900};

// An idempotent request is retried on a new flow after this long without a
// packet. A request that isn't idempotent is only retransmitted with its token,
// until its deadline, because a second target could run it again.
constexpr duration flow_response_timeout = std::chrono::milliseconds{1500};

// A flow without traffic for this long is opened again before the next request.
// An open runs nothing, so it may be sent to another target if the owner of the
// flow is gone.
constexpr duration flow_idle_timeout = std::chrono::milliseconds{500};

constexpr std::uint32_t pull_window_size = 64 * segment_size;  // bytes
constexpr std::uint64_t prefetch_size = pull_window_size / 2;  // bytes

// A submitted request is given up this long after its deadline. At the deadline
// the target refuses a request that it hasn't started, and this answer still
// has to reach the caller.
constexpr duration answer_grace_period = std::chrono::seconds{1};

constexpr std::uint8_t max_flows_per_request = 8;  // attempts
constexpr duration status_poll_interval = std::chrono::milliseconds{200};

// ---- outcome ------------------------------------------------------------

enum class outcome_kind : std::uint8_t
{
    complete,  // the whole answer was received and its digest matches
    not_run,   // the request didn't run and never will
    unknown    // the request may have run once
};

struct request_outcome
{
    outcome_kind kind = outcome_kind::unknown;
    reason cause = reason::none;
    std::string answer = {};
    std::uint32_t flows_used = 0;  // attempts, including the first
    target_id target = {};         // the last owner of the request
    duration elapsed = {};         // from submission to the outcome
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

// Use another local port: a device on the way may have lost its state for the
// old one.
struct rebind_port
{
    auto operator<=>(rebind_port const&) const = default;
};

struct report_progress
{
    std::uint64_t received = 0;  // bytes
    std::uint64_t total = 0;     // bytes; 0 until the length is known
    auto operator<=>(report_progress const&) const = default;
};

using session_effect =
    std::variant<send_packet, rebind_port, report_progress, request_outcome>;
using session_effects = std::vector<session_effect>;

// ---- retry_budget -------------------------------------------------------

struct retry_budget_settings
{
    double deposit_per_request = 0.1;  // retries added by each request
    double max_balance = 10.0;         // retries
    auto operator<=>(retry_budget_settings const&) const = default;
};

// Limits retries to a share of the requests, over all sessions of a program.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings);

    // Adds the share of one request.
    void deposit();

    // Withdraws one retry. Returns false when the budget doesn't cover it.
    bool try_withdraw();

private:
    retry_budget_settings settings;
    double balance;
};

// ---- session ------------------------------------------------------------

template <random_source R> class session
{
public:
    session(session_settings settings, R random, retry_budget& budget);

    session_effects on(session_event const& event, time_point now);

    // Returns whether a message belongs to the current flow of this session.
    bool matches(answer_message const& message) const;
    flow_key flow() const;
    bool is_busy() const;

private:
    enum class phase : std::uint8_t
    {
        idle,
        opening,
        awaiting_answer,  // after the submit, until the answer is complete
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
    void retry_on_new_flow(reason cause, outcome_kind kind, duration delay,
                           time_point now);
    void store_segment(answer_segment const& segment);
    void finish_if_complete(time_point now);
    void finish(outcome_kind kind, reason cause, time_point now);
    bool is_overdue(time_point now) const;

    session_settings settings;
    R random;
    retry_budget& budget;
    phase current_phase = phase::idle;
    std::optional<flow_token> token = {};
    flow_key key = {};
    request_number number = {};
    std::uint8_t open_attempt = 0;  // number of the current open
    bool is_submitted = false;      // a submit was sent; the request may run
    request_spec spec = {};
    time_point started_at = {};
    time_point last_received_at = {};
    time_point silence_started_at = {};  // start of the flow or last packet
    time_point next_retransmit_at = {};
    time_point next_rebind_at = {};
    duration retransmit_delay = initial_retransmit_delay;
    std::uint32_t flows_used = 0;
    std::optional<request_status> final_status = {};
    // A short segment that came before the status with the answer's length.
    std::optional<answer_segment> early_last_segment = {};
    std::string answer = {};                   // each segment at its offset
    std::vector<bool> received_segments = {};  // by index of the segment
    std::uint64_t received_bytes = 0;
    std::uint64_t requested_end = 0;        // offset in bytes
    std::size_t first_missing_segment = 0;  // index of the segment
    session_effects effects = {};
};

}  // namespace lagoon

#include "caller/session.ipp"
