// Decision logic of a target for flows with tokens. It decides which flows it
// owns, which requests it accepts, when each runs at the back end, and what it
// replies to callers. It performs no I/O.
//
// Index
//   settings   identity and limits of the target
//   events     inputs
//   effects    actions for the surrounding program to perform
//   target     the decision logic: `on(event, now)`
#pragma once

#include "admission/admission.hpp"
#include "admission/expected_requests.hpp"
#include "flow/ranking.hpp"
#include "flow/table.hpp"
#include "membership/adoption.hpp"
#include "request/answers.hpp"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace lagoon {

// ---- settings -----------------------------------------------------------

struct target_settings
{
    target_id self = {};
    peer_address address = {};  // of this target
    token_key key = {};         // random at each start
    epoch own_epoch = {};       // random at each start
    admission_limits admission = {};
    flow_limits flows = {};
    std::size_t max_answer_bytes = 64U << 20U;  // bytes of buffered answers
    auto operator<=>(target_settings const&) const = default;
};

// Open flows may submit requests for this long after their target has begun to
// leave.
constexpr duration leave_grace_period = std::chrono::seconds{3};

// A settled request is erased when no caller has queried it for this long.
constexpr duration settled_request_lifetime = std::chrono::seconds{60};

// The same while the target stops. Callers retry within half a second, so one
// that is silent for this long has finished or is gone.
constexpr duration stopping_request_lifetime = std::chrono::seconds{10};

// Largest distance of a request number above the low watermark of its flow.
constexpr std::uint32_t max_requests_per_flow = 64;

// ---- events -------------------------------------------------------------

struct inbound_received
{
    peer_address from = {};  // an entry, or a target that forwards an open
    inbound_packet packet = {};
    bool operator==(inbound_received const&) const = default;
};

struct run_output
{
    run_id run = {};
    std::string bytes = {};
    auto operator<=>(run_output const&) const = default;
};

enum class back_end_outcome : std::uint8_t
{
    completed,
    shed,         // the back end replied that it did not start the request
    unreachable,  // the request was not sent
    lost          // the request was sent and no complete answer arrived
};

struct run_ended
{
    run_id run = {};
    back_end_outcome outcome = back_end_outcome::completed;
    duration retry_after = {};
    auto operator<=>(run_ended const&) const = default;
};

using target_event =
    std::variant<inbound_received, run_output, run_ended, digest_packet,
                 update_packet, change_received, change_unavailable, clock_tick,
                 stop_requested>;

// ---- effects ------------------------------------------------------------

struct send_outbound
{
    peer_address to = {};  // the entry
    outbound_packet packet = {};
    bool operator==(send_outbound const&) const = default;
};

struct forward_open
{
    peer_address to = {};  // another target
    inbound_packet packet = {};
    bool operator==(forward_open const&) const = default;
};

struct start_run
{
    run_id run = {};
    service_id service = {};
    request_key request = {};
    std::string path = {};
    std::string body = {};
    duration time_left = {};  // until the deadline; 0 means none
    auto operator<=>(start_run const&) const = default;
};

struct cancel_run
{
    run_id run = {};
    auto operator<=>(cancel_run const&) const = default;
};

// The final state of a request, for metrics.
struct request_settled
{
    service_id service = {};
    request_state state = request_state::finished;
    reason cause = reason::none;
    duration wait_time = {};   // arrival to start, or to the refusal
    duration total_time = {};  // arrival to the final state
    auto operator<=>(request_settled const&) const = default;
};

using target_effect =
    std::variant<send_outbound, forward_open, start_run, cancel_run,
                 request_settled, send_digest, send_update, fetch_from_peer,
                 read_platform, generation_adopted, report_failure>;
using target_effects = std::vector<target_effect>;

// ---- target -------------------------------------------------------------

// Selects the random source, queue policy, predictor and forwarding of opens.
template <class P>
concept target_policy =
    random_source<typename P::random> && queue_policy<typename P::queue> &&
    running_time_predictor<typename P::predictor> &&
    std::same_as<decltype(P::forwards_opens), bool const>;

// The policy of the programs; docs/POLICY.md gives the measurements.
struct standard_policy
{
    using random = seeded_random;
    using queue = short_first_queue;
    using predictor = median_path_time_predictor;
    static constexpr bool forwards_opens = true;  // power of two choices
};

static_assert(target_policy<standard_policy>);

template <target_policy P> class target
{
public:
    target(target_settings settings, membership_settings peers,
           typename P::random random, time_point now);

    target_effects on(target_event const& event, time_point now);

    catalog const& configuration() const;
    bool is_ready(time_point now) const;
    duration platform_age(time_point now) const;
    bool is_stopping() const;

    // Returns whether the target holds no requests, so that a stop loses none.
    bool is_idle() const;

    std::size_t open_flow_count() const;
    std::size_t request_count() const;
    std::uint32_t load(time_point now);

private:
    void on_event(inbound_received const& event, time_point now);
    void on_event(run_output const& event, time_point now);
    void on_event(run_ended const& event, time_point now);
    void on_event(digest_packet const& event, time_point now);
    void on_event(update_packet const& event, time_point now);
    void on_event(change_received const& event, time_point now);
    void on_event(change_unavailable const& event, time_point now);
    void on_event(clock_tick const& event, time_point now);
    void on_event(stop_requested const& event, time_point now);

    void on_message(reply_path const& reply_to, open_request const& open,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, submit_request const& submit,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, cancel_request const& cancel,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, pull_answer const& pull,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to,
                    acknowledge_answer const& acknowledgement,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, close_flow const& close,
                    inbound_received const& event, time_point now);

    std::optional<reason> find_open_refusal_cause(open_request const& open,
                                                  time_point now) const;
    bool try_forward_open(reply_path const& reply_to,
                          inbound_received const& event,
                          open_request const& open, time_point now);
    void admit_flow(reply_path const& reply_to, open_request const& open,
                    peer_address forwarded_by, time_point now);
    bool accepts_new_requests(service_id service, time_point now) const;

    // Returns the flow of a token. Errors: those of token_issuer::verify and
    // flow_table::touch.
    std::optional<flow_record> verify_flow(flow_token const& token,
                                           time_point now, failure& error);

    // Returns the flow of an unsettled request. If there is none, sends the
    // caller a status and returns nullopt.
    std::optional<flow_record> find_flow_of_request(reply_path const& reply_to,
                                                    flow_token const& token,
                                                    request_number number,
                                                    time_point now);
    void admit_request(request_key key, flow_record const& flow,
                       submit_request const& submit, time_point now);
    void start_runs(time_point now);
    void begin_run(run_id run, request_key key, request_record const& record,
                   time_point now);
    void refuse_request(request_key key, refusal const& refused,
                        time_point now);
    void report_settled(request_key key, time_point now);
    bool is_settled(request_key key, flow_record const& flow) const;
    void erase_settled(request_key key);
    void erase_settled_of(flow_key flow);

    void send_status(request_key key);
    void send_message(reply_path const& reply_to,
                      answer_message const& message);
    void send_segments(request_key key, std::uint64_t begin, std::uint64_t end);
    void add_failure(step at, reason cause, peer_address peer,
                     std::string detail);
    void update_leaving_services(catalog_change const& change, time_point now);
    void refuse_overdue(time_point now);

    target_settings settings;
    token_issuer issuer;
    flow_table flows;
    request_table requests = {};
    answer_store answers;
    admission_controller<typename P::queue, typename P::predictor>
        admission_control;
    catalog current_catalog = {};
    membership<typename P::random> member;
    std::map<run_id, request_key> runs = {};
    expected_requests expected = {};
    std::set<request_key> settled_out_of_order = {};
    std::uint64_t last_run_id = 0;
    bool is_stop_requested = false;
    std::set<service_id> own_services = {};  // that list this target
    std::map<service_id, time_point> leaving_since = {};
    time_point last_expiry = {};
    target_effects effects = {};  // of the current event
};

}  // namespace lagoon

#include "target/target.ipp"
