// What a target decides: which flows it owns, which requests it takes in,
// when each runs at its back end, and what the caller is told.
//
// Index
//   settings   who this target is and its bounds
//   events     what reaches a target
//   effects    what the surroundings must do
//   target     the role: `on(event, now)`
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
    peer_address address = {};  // this target's own
    token_key key = {};         // random at each start
    epoch own_epoch = {};       // random at each start
    admission_limits admission = {};
    flow_limits flows = {};
    std::size_t answer_memory = 64U << 20U;  // bytes of answers held
    auto operator<=>(target_settings const&) const = default;
};

// An open flow may still submit for this long once its target leaves.
constexpr duration leave_grace_period = std::chrono::seconds{3};

// A settled request that nobody asks about is forgotten after this.
constexpr duration settled_request_lifetime = std::chrono::seconds{60};

// The same at a target that stops: callers repeat within half a second, so
// whoever is silent for this long is done or gone.
constexpr duration stopping_request_lifetime = std::chrono::seconds{10};

// How far a flow's request numbers may run ahead of its oldest open one.
constexpr std::uint32_t max_requests_per_flow = 64;

// ---- events -------------------------------------------------------------

struct inbound_received
{
    peer_address from = {};  // an entry, or a target that hands an open over
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
    shed,         // the back end said that it did not start
    unreachable,  // the request never left this process
    lost          // it was sent and no whole answer came
};

struct run_ended
{
    run_id run = {};
    back_end_outcome outcome = back_end_outcome::completed;
    duration retry_after = {};
    auto operator<=>(run_ended const&) const = default;
};

using target_event = std::variant<inbound_received, run_output, run_ended,
                                  digest_packet, news_packet, change_arrived,
                                  change_missed, clock_tick, stop_asked>;

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

// One request came to its end at this target; telemetry counts it.
struct request_settled
{
    service_id service = {};
    request_state state = request_state::finished;
    reason cause = reason::none;
    duration waited = {};
    duration total = {};
    auto operator<=>(request_settled const&) const = default;
};

using target_effect =
    std::variant<send_outbound, forward_open, start_run, cancel_run,
                 request_settled, send_digest, send_news, fetch_from_peer,
                 read_platform, generation_adopted, note_failure>;
using target_effects = std::vector<target_effect>;

// ---- target -------------------------------------------------------------

// The behaviour that varies, as types.
template <class P>
concept target_policy =
    random_source<typename P::random> && queue_policy<typename P::queue> &&
    running_time_predictor<typename P::predictor> &&
    std::same_as<decltype(P::forwards_opens), bool const>;

// What the programs run; docs/POLICY.md gives the measurements.
struct standard_policy
{
    using random = seeded_random;
    using queue = short_first_queue;
    using predictor = median_path_time_predictor;
    static constexpr bool forwards_opens = true;  // two choices on opening
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

    // Whether a stop would cut off nothing.
    bool is_idle() const;

    std::size_t open_flow_count() const;
    std::size_t request_count() const;
    std::uint32_t load(time_point now);

private:
    void on_event(inbound_received const& event, time_point now);
    void on_event(run_output const& event, time_point now);
    void on_event(run_ended const& event, time_point now);
    void on_event(digest_packet const& event, time_point now);
    void on_event(news_packet const& event, time_point now);
    void on_event(change_arrived const& event, time_point now);
    void on_event(change_missed const& event, time_point now);
    void on_event(clock_tick const& event, time_point now);
    void on_event(stop_asked const& event, time_point now);

    void on_message(reply_path const& reply_to, open_request const& open,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, submit_request const& submit,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, cancel_request const& cancel,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, pull_answer const& pull,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, acknowledge_answer const& done,
                    inbound_received const& event, time_point now);
    void on_message(reply_path const& reply_to, close_flow const& close,
                    inbound_received const& event, time_point now);

    std::optional<reason> open_refusal_cause(open_request const& open,
                                             time_point now) const;
    bool try_forward_open(reply_path const& reply_to,
                          inbound_received const& event,
                          open_request const& open, time_point now);
    void admit_flow(reply_path const& reply_to, open_request const& open,
                    peer_address forwarded_by, time_point now);
    bool accepts_new_requests(service_id service, time_point now) const;

    // The flow that a token stands for. Errors: those of token_mint::verify
    // and flow_table::use.
    std::optional<flow_record> verify_flow(flow_token const& token,
                                           time_point now, failure& last);

    // The same for one request; answers the caller where there is none.
    std::optional<flow_record> find_flow_of_request(reply_path const& reply_to,
                                                    flow_token const& token,
                                                    request_number number,
                                                    time_point now);
    void admit_request(request_key key, flow_record const& flow,
                       submit_request const& submit, time_point now);
    void start_runs(time_point now);
    void begin_run(run_id run, request_key key, request_record const& record,
                   time_point now);
    void refuse_request(request_key key, refusal const& why, time_point now);
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
    token_mint mint;
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
    std::set<service_id> own_services = {};  // that have named this target
    std::map<service_id, time_point> leaving_since = {};
    time_point last_expiry = {};
    target_effects effects = {};  // of the event in hand
};

}  // namespace lagoon

#include "target/target.ipp"
