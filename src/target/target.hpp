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
#include "admission/coming.hpp"
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
    epoch started = {};         // random at each start
    admission_limits admission = {};
    flow_limits flows = {};
    std::size_t answer_memory = 64U << 20U;  // bytes of answers held
    auto operator<=>(target_settings const&) const = default;
};

// An open flow may still submit for this long once its target leaves.
constexpr duration leave_grace = std::chrono::seconds{3};

// A settled request that nobody asks about is forgotten after this.
constexpr duration answer_lifetime = std::chrono::seconds{60};

// The same at a target that stops: callers repeat within half a second, so
// whoever is silent for this long is done or gone.
constexpr duration last_answer_lifetime = std::chrono::seconds{10};

// How far a flow's request numbers may run ahead of its oldest open one.
constexpr std::uint32_t requests_per_flow = 64;

// ---- events -------------------------------------------------------------

struct inward_arrived
{
    peer_address from = {};  // an entry, or a target that hands an open over
    inward_packet packet = {};
    bool operator==(inward_arrived const&) const = default;
};

struct run_bytes
{
    run_id run = {};
    std::string bytes = {};
    auto operator<=>(run_bytes const&) const = default;
};

enum class run_outcome : std::uint8_t
{
    completed,
    shed,         // the back end said that it did not start
    unreachable,  // the request never left this process
    lost          // it was sent and no whole answer came
};

struct run_ended
{
    run_id run = {};
    run_outcome outcome = run_outcome::completed;
    duration retry_after = {};
    auto operator<=>(run_ended const&) const = default;
};

using target_event =
    std::variant<inward_arrived, run_bytes, run_ended, digest_packet,
                 update_packet, change_received, change_unavailable, clock_tick,
                 stop_requested>;

// ---- effects ------------------------------------------------------------

struct send_outward
{
    peer_address to = {};  // the entry
    outward_packet packet = {};
    bool operator==(send_outward const&) const = default;
};

struct hand_over
{
    peer_address to = {};  // another target
    inward_packet packet = {};
    bool operator==(hand_over const&) const = default;
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
    reason why = reason::none;
    duration waited = {};
    duration total = {};
    auto operator<=>(request_settled const&) const = default;
};

using target_effect =
    std::variant<send_outward, hand_over, start_run, cancel_run,
                 request_settled, send_digest, send_update, fetch_from_peer,
                 read_platform, generation_adopted, report_failure>;
using target_effects = std::vector<target_effect>;

// ---- target -------------------------------------------------------------

// The behaviour that varies, as types.
template <class P>
concept target_policy =
    random_source<typename P::random> && queue_policy<typename P::queue> &&
    running_time_predictor<typename P::predictor> &&
    std::same_as<decltype(P::hands_over), bool const>;

// What the programs run; docs/POLICY.md gives the measurements.
struct standard_policy
{
    using random = seeded_random;
    using queue = short_first_queue;
    using predictor = usual_path_time;
    static constexpr bool hands_over = true;  // two choices on opening
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
    bool is_leaving() const;

    // Whether a stop would cut off nothing.
    bool is_idle() const;

    std::size_t open_flows() const;
    std::size_t held_requests() const;
    std::uint32_t load(time_point now);

private:
    void on_event(inward_arrived const& event, time_point now);
    void on_event(run_bytes const& event, time_point now);
    void on_event(run_ended const& event, time_point now);
    void on_event(digest_packet const& event, time_point now);
    void on_event(update_packet const& event, time_point now);
    void on_event(change_received const& event, time_point now);
    void on_event(change_unavailable const& event, time_point now);
    void on_event(clock_tick const& event, time_point now);
    void on_event(stop_requested const& event, time_point now);

    void on_message(return_path const& back, open_request const& open,
                    inward_arrived const& event, time_point now);
    void on_message(return_path const& back, submit_request const& submit,
                    inward_arrived const& event, time_point now);
    void on_message(return_path const& back, cancel_request const& cancel,
                    inward_arrived const& event, time_point now);
    void on_message(return_path const& back, pull_answer const& pull,
                    inward_arrived const& event, time_point now);
    void on_message(return_path const& back, acknowledge_answer const& done,
                    inward_arrived const& event, time_point now);
    void on_message(return_path const& back, close_flow const& close,
                    inward_arrived const& event, time_point now);

    std::optional<reason> refuses_open(open_request const& open,
                                       time_point now) const;
    bool hands_over(return_path const& back, inward_arrived const& event,
                    open_request const& open, time_point now);
    void admit_flow(return_path const& back, open_request const& open,
                    peer_address handed_by, time_point now);
    bool takes_new_work(service_id service, time_point now) const;

    // The flow that a token stands for. Errors: those of token_issuer::verify
    // and flow_table::use.
    std::optional<flow_record> verified_flow(flow_token const& token,
                                             time_point now, failure& last);

    // The same for one request; answers the caller where there is none.
    std::optional<flow_record> flow_for(return_path const& back,
                                        flow_token const& token,
                                        request_number number, time_point now);
    void admit_request(request_key key, flow_record const& flow,
                       submit_request const& submit, time_point now);
    void start_runs(time_point now);
    void begin_run(run_id run, request_key key, request_record const& record,
                   time_point now);
    void refuse_request(request_key key, refusal const& why, time_point now);
    void settle(request_key key, time_point now);
    bool is_settled_early(request_key key, flow_record const& flow) const;
    void release_settled(request_key key);
    void drop_settled(flow_key flow);

    void tell_status(request_key key);
    void tell(return_path const& back, answer_message const& message);
    void send_segments(request_key key, std::uint64_t begin, std::uint64_t end);
    void note(step at, reason why, peer_address peer, std::string detail);
    void watch_leaving(catalog_change const& change, time_point now);
    void refuse_overdue(time_point now);

    target_settings settings;
    token_issuer mint;
    flow_table flows;
    request_ledger ledger = {};
    answer_store answers;
    admission<typename P::queue, typename P::predictor> gate;
    catalog known = {};
    membership<typename P::random> member;
    std::map<run_id, request_key> runs = {};
    coming_requests coming = {};
    std::set<request_key> settled_early = {};
    std::uint64_t last_run = 0;
    bool stopping = false;
    std::set<service_id> own_services = {};  // that have named this target
    std::map<service_id, time_point> left_at = {};
    time_point last_expiry = {};
    target_effects effects = {};  // of the event in hand
};

}  // namespace lagoon

#include "target/target.ipp"
