// What a target decides about connections without tokens: which opening
// packets its back end is given, and when; which packets are its own; what
// comes back to the entries. Beside one back end, of one service.
//
// Index
//   events              what reaches the role
//   effects             what the surroundings must do
//   connection_target   the role: `on(event, now)`
#pragma once

#include "admission/admission.hpp"
#include "admission/objective_queue.hpp"
#include "membership/adoption.hpp"
#include "tracking/back_end_health.hpp"
#include "tracking/back_end_monitor.hpp"
#include "tracking/connections.hpp"
#include "tracking/waiting_opens.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace lagoon {

// ---- events -------------------------------------------------------------

struct offer_from_entry
{
    peer_address from = {};
    packet_offer offer = {};
    connection_packet packet = {};  // that the offer holds
    auto operator<=>(offer_from_entry const&) const = default;
};

struct packet_from_back_end
{
    connection_packet packet = {};
    answer_report report = answer_report::none;
    auto operator<=>(packet_from_back_end const&) const = default;
};

// A packet that the back end doesn't take: no such connection, or no room.
struct packet_returned
{
    connection_packet packet = {};
    auto operator<=>(packet_returned const&) const = default;
};

using connection_target_event =
    std::variant<offer_from_entry, packet_from_back_end, packet_returned,
                 clock_tick, stop_asked>;

// ---- effects ------------------------------------------------------------

struct send_to_back_end
{
    std::string bytes = {};
    auto operator<=>(send_to_back_end const&) const = default;
};

struct pass_to_caller
{
    peer_address caller = {};
    std::string bytes = {};
    auto operator<=>(pass_to_caller const&) const = default;
};

struct answer_entry
{
    peer_address to = {};
    offer_answer answer = {};
    auto operator<=>(answer_entry const&) const = default;
};

// Tells a caller that its connection is gone; the packet is the caller's.
struct reset_connection
{
    connection_packet packet = {};
    auto operator<=>(reset_connection const&) const = default;
};

enum class tracking_result : std::uint8_t
{
    admitted,    // the back end is given the opening packet
    queued,      // it waits for a slot
    dequeued,    // the same, after waiting
    refused,     // it can't be served in time, and has not run
    request,     // a request's first data went to the back end
    answered,    // the answer to it begins
    unanswered,  // the back end left the opening packet unanswered
    returned,    // the back end returned a packet
    gone,        // reset: the back end no longer holds the connection
    adopted,     // a connection from before this process started
    unwell,      // the back end fails what it is given; work goes round it
    well,        // it does its work again
    table_full
};

// A decision about one connection, for the log.
struct tracking_note
{
    tracking_result result = tracking_result::admitted;
    connection_endpoints endpoints = {};
    peer_address entry = {};
    std::uint32_t load = 0;   // requests held, this one included
    std::uint32_t slots = 0;  // of the back end
    std::uint8_t copy = 0;    // of the opening packet
    duration took = {};       // in the stage before
    std::string bytes = {};   // of a request's first packet
    auto operator<=>(tracking_note const&) const = default;
};

using connection_target_effect =
    std::variant<send_to_back_end, pass_to_caller, answer_entry,
                 reset_connection, tracking_note>;
using connection_target_effects = std::vector<connection_target_effect>;

// ---- connection_target --------------------------------------------------

struct connection_target_settings
{
    service_id service = {};
    admission_limits admission = {};
    connection_limits connections = {};

    // Whether the back end can't hold connections from before this process:
    // the whole system starts for the first time.
    bool knows_all = false;

    // A slot is kept this long for a caller that was accepted and sends no
    // request: several round trips to callers.
    duration handshake_limit = std::chrono::milliseconds{80};

    // No request runs longer: its end was lost with the caller.
    duration longest_run = std::chrono::seconds{1};

    // A request that has run so many times as long as usual for its kind, and
    // at least the second, is stuck: one in a thousand gets there unhurt, at a
    // running time whose tail is seven times the mean.
    double stuck_times_usual = 12;
    duration stuck_at_least = std::chrono::milliseconds{300};

    back_end_health_limits conduct = {};

    // How many requests for each slot an unwell back end counts as holding
    // beyond its own: a queue at another one of up to this length is better.
    std::uint32_t unwell_counts_as = 4;

    // A stopping target stays while connections were in use this recently,
    // and no longer than the second.
    duration idle_before_stop = std::chrono::milliseconds{600};
    duration longest_stop = std::chrono::seconds{5};

    // No connection is older, so that after this long the table knows all.
    duration longest_connection = std::chrono::seconds{60};

    auto operator<=>(connection_target_settings const&) const = default;
};

template <queue_policy Q = objective_queue,
          running_time_predictor T = usual_path_time>
class connection_target
{
public:
    connection_target(connection_target_settings settings, time_point now);

    connection_target_effects on(connection_target_event const& event,
                                 time_point now);

    std::optional<time_point> next_due(time_point now) const;

    // Whether a target that was asked to stop may go.
    bool may_stop(time_point now) const;

    std::size_t connections() const;
    std::uint32_t load() const;

private:
    using effects_type = connection_target_effects;

    void on_event(effects_type& effects, offer_from_entry const& event,
                  time_point now);
    void on_event(effects_type& effects, packet_from_back_end const& event,
                  time_point now);
    void on_event(effects_type& effects, packet_returned const& event,
                  time_point now);
    void on_event(effects_type& effects, clock_tick const& event,
                  time_point now);
    void on_event(effects_type& effects, stop_asked const& event,
                  time_point now);

    void take_open(effects_type& effects, offer_from_entry const& event,
                   time_point now);
    void take_copy(effects_type& effects, offer_from_entry const& event,
                   connection_record const& record, time_point now);
    void admit(effects_type& effects, offer_from_entry const& event,
               time_point now);
    void let_wait(effects_type& effects, offer_from_entry const& event,
                  time_point now);
    void give_open(effects_type& effects, connection_packet const& packet,
                   peer_address entry, time_point now);
    void start_waiting(effects_type& effects, time_point now);
    void expire_running(effects_type& effects, time_point now);
    void take_other(effects_type& effects, offer_from_entry const& event,
                    time_point now);
    void deliver(effects_type& effects, offer_from_entry const& event,
                 connection_record record, time_point now);
    void answer(effects_type& effects, offer_from_entry const& event,
                offer_verdict verdict, bool with_packet, time_point now);
    bool knows_all(time_point now) const;
    // Whether a request may be given to the back end at once.
    bool is_free_for(offer_from_entry const& event, time_point now);
    bool is_unwell(time_point now) const;
    std::uint32_t told_load(time_point now) const;
    void note_outcome(effects_type& effects,
                      connection_endpoints const& endpoints, request_result how,
                      time_point now);
    work_kind kind_of(peer_address route) const;
    tracking_note note(tracking_result result,
                       connection_endpoints const& endpoints,
                       duration took) const;

    connection_target_settings settings;
    admission<Q, T> gate;
    connection_table table;
    back_end_monitor monitor = {};
    back_end_health conduct;
    waiting_opens waiting = {};
    time_point started;
    std::optional<time_point> stopping_since = {};
};

}  // namespace lagoon

#include "target/connection_target.ipp"
