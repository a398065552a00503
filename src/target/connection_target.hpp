// Decision logic of a target for connections without flow tokens. It runs
// beside one back end of one service and decides which opening packets the
// back end gets and when, which connections the target owns, and what it
// replies to the entries. It performs no I/O.
//
// Index
//   events              inputs
//   effects             actions for the surrounding program to perform
//   connection_target   the decision logic: `on(event, now)`
#pragma once

#include "admission/admission.hpp"
#include "admission/expected_load.hpp"
#include "admission/fair_objective_queue.hpp"
#include "admission/open_rate_limit.hpp"
#include "membership/adoption.hpp"
#include "tracking/back_end_health.hpp"
#include "tracking/back_end_monitor.hpp"
#include "tracking/connections.hpp"
#include "tracking/table_completeness.hpp"
#include "tracking/waiting_opens.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace lagoon {

// ---- events -------------------------------------------------------------

struct entry_offer
{
    peer_address from = {};
    packet_offer offer = {};
    connection_packet packet = {};  // parsed from offer.bytes
    auto operator<=>(entry_offer const&) const = default;
};

struct notice_from_entry
{
    evacuation_notice notice = {};
    auto operator<=>(notice_from_entry const&) const = default;
};

struct packet_from_back_end
{
    connection_packet packet = {};
    answer_report report = answer_report::none;
    auto operator<=>(packet_from_back_end const&) const = default;
};

// The back end rejected a packet: it has no such connection, or is full.
struct packet_returned
{
    connection_packet packet = {};
    auto operator<=>(packet_returned const&) const = default;
};

struct locate_request
{
    peer_address from = {};
    locate_query query = {};
    std::uint64_t received_at_ms = 0;  // time of day, Unix milliseconds
    auto operator<=>(locate_request const&) const = default;
};

using connection_target_event =
    std::variant<entry_offer, packet_from_back_end, packet_returned,
                 locate_request, clock_tick, stop_requested, notice_from_entry>;

// ---- effects ------------------------------------------------------------

struct send_to_back_end
{
    std::string bytes = {};
    auto operator<=>(send_to_back_end const&) const = default;
};

struct forward_to_caller
{
    peer_address caller = {};
    std::string bytes = {};
    auto operator<=>(forward_to_caller const&) const = default;
};

struct reply_to_entry
{
    peer_address to = {};
    offer_reply answer = {};
    auto operator<=>(reply_to_entry const&) const = default;
};

struct answer_locate_query
{
    peer_address to = {};
    locate_reply reply = {};
    auto operator<=>(answer_locate_query const&) const = default;
};

// Resets the connection of the caller that sent `packet`.
struct reset_connection
{
    connection_packet packet = {};
    auto operator<=>(reset_connection const&) const = default;
};

enum class tracking_result : std::uint8_t
{
    admitted,    // the opening packet was sent to the back end at once
    queued,      // the opening packet waits for a slot
    dequeued,    // the opening packet was sent after waiting
    refused,     // can't be served in time; has not run
    request,     // the first data of a request was sent to the back end
    answered,    // the first data of the answer arrived
    unanswered,  // the back end did not reply to the opening packet
    returned,    // the back end returned a packet
    gone,        // reset: the back end no longer holds the connection
    adopted,     // opened before this process started
    unwell,      // the back end fails requests; entries avoid it
    well,        // the back end serves requests again
    evacuated,   // refused: the entry doesn't know of the evacuation
    table_full
};

// A decision about one connection, for the log. `elapsed` is the time in the
// previous stage, or the predicted wait of a request refused on arrival.
struct tracking_note
{
    tracking_result result = tracking_result::admitted;
    connection_endpoints endpoints = {};
    peer_address entry = {};
    std::uint32_t load = 0;                 // requests running or queued
    std::uint32_t slots = 0;                // of the back end
    std::uint8_t retransmission_count = 0;  // of the opening packet
    duration elapsed = {};                  // see above
    std::string bytes = {};                 // of a request's first packet
    auto operator<=>(tracking_note const&) const = default;
};

using connection_target_effect =
    std::variant<send_to_back_end, forward_to_caller, reply_to_entry,
                 answer_locate_query, reset_connection, tracking_note>;
using connection_target_effects = std::vector<connection_target_effect>;

// ---- connection_target --------------------------------------------------

struct connection_target_settings
{
    service_id service = {};
    admission_limits admission = {};
    connection_limits connections = {};

    // The back end holds no connections from before this process, because the
    // whole system starts for the first time. Packets of connections that are
    // not in the table are then known to belong elsewhere.
    bool is_table_complete = false;

    // Time that a slot is held for a caller that has not sent its request yet:
    // several round trips to callers.
    duration max_handshake_time = std::chrono::milliseconds{80};

    // A request that holds its slot for longer is assumed to have ended
    // without notice, because its caller is gone.
    duration max_run_time = std::chrono::seconds{1};

    // A request is stuck if it has run for stuck_factor times the usual time
    // of its kind and for at least min_stuck_time. With running times whose
    // tail is seven times the mean, one healthy request in a thousand takes
    // that long.
    double stuck_factor = 12;
    duration min_stuck_time = std::chrono::milliseconds{300};

    back_end_health_limits health = {};

    // Requests per slot that are added to the reported load of an unhealthy
    // back end. Entries prefer another back end whose queue is up to this
    // long.
    std::uint32_t unhealthy_load_per_slot = 4;

    // A stopping target exits once its queue is empty and no connection has
    // been used for min_idle_before_stop, and after max_stop_time at the latest.
    duration min_idle_before_stop = std::chrono::milliseconds{600};
    duration max_stop_time = std::chrono::seconds{5};

    // Upper bound on the age of a connection. After this time the table holds
    // every connection of the back end.
    duration max_connection_age = std::chrono::seconds{60};

    // Start of this process, in Unix milliseconds; 0: unknown.
    std::uint64_t process_started_at_ms = 0;

    auto operator<=>(connection_target_settings const&) const = default;
};

template <queue_policy Q = caller_share_queue,
          running_time_predictor T = median_path_time_predictor>
class connection_target
{
public:
    connection_target(connection_target_settings settings, time_point now);

    connection_target_effects on(connection_target_event const& event,
                                 time_point now);

    std::optional<time_point> next_due(time_point now) const;

    // Returns whether a stopping target may exit.
    bool can_stop(time_point now) const;

    std::size_t connection_count() const;
    std::uint32_t load() const;

private:
    using effects_type = connection_target_effects;

    void on_event(effects_type& effects, entry_offer const& event,
                  time_point now);
    void on_event(effects_type& effects, packet_from_back_end const& event,
                  time_point now);
    void on_event(effects_type& effects, packet_returned const& event,
                  time_point now);
    void on_event(effects_type& effects, locate_request const& event,
                  time_point now);
    void on_event(effects_type& effects, clock_tick const& event,
                  time_point now);
    void on_event(effects_type& effects, stop_requested const& event,
                  time_point now);
    void on_event(effects_type& effects, notice_from_entry const& event,
                  time_point now);

    bool is_outdated(packet_offer const& offer) const;
    void handle_open(effects_type& effects, entry_offer const& event,
                     time_point now);
    void handle_open_copy(effects_type& effects, entry_offer const& event,
                          connection_record const& record, time_point now);
    void admit(effects_type& effects, entry_offer const& event, time_point now);
    void enqueue_open(effects_type& effects, entry_offer const& event,
                      time_point now);
    void send_open_to_back_end(effects_type& effects,
                               connection_packet const& packet,
                               peer_address entry, time_point now);
    void start_queued(effects_type& effects, time_point now);
    void return_queued(effects_type& effects, waiting_open const& open,
                       time_point now);
    void release_stale_slots(effects_type& effects, time_point now);
    void handle_other_packet(effects_type& effects, entry_offer const& event,
                             time_point now);
    void deliver_to_back_end(effects_type& effects, entry_offer const& event,
                             connection_record record, time_point now);

    // Replies to an offer with a query id. Without one, returns the packet if
    // `is_packet_returned` is set and sends nothing otherwise.
    void reply(effects_type& effects, entry_offer const& event,
               offer_verdict verdict, bool is_packet_returned, time_point now);
    locate_verdict locate(located_connection const& connection,
                          time_point now) const;
    bool is_owned_elsewhere(connection_record const& record,
                            std::uint32_t acknowledgement,
                            time_point now) const;

    // Returns whether the back end may get a request now. If the back end is
    // unhealthy, the request is a trial, which this function records.
    bool try_start(entry_offer const& event, time_point now);
    bool is_unhealthy(time_point now) const;
    std::uint32_t reported_load(time_point now) const;
    offer_reply make_reply(query_id query, offer_verdict verdict,
                           std::string const& bytes, time_point now) const;
    void record_outcome(effects_type& effects,
                        connection_endpoints const& endpoints,
                        request_result result, time_point now);
    request_class make_request_class(connection_endpoints const& endpoints,
                                     peer_address route) const;
    tracking_note make_note(tracking_result result,
                            connection_endpoints const& endpoints,
                            duration elapsed) const;

    connection_target_settings settings;
    admission_controller<Q, T> admission_control;
    connection_table connections;
    table_completeness completeness;
    back_end_monitor monitor = {};
    back_end_health health;
    open_rate_limit open_limit;
    expected_load usual_load;
    waiting_opens queued_opens = {};
    generation newest_notice = {};  // of an evacuation; 0: none
    std::optional<time_point> stopping_since = {};
};

}  // namespace lagoon

#include "target/connection_target.ipp"
#include "target/open_connections.ipp"
#include "target/opening_packets.ipp"
