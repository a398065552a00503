// Decisions of an entry about connections without flow tokens: to which target
// each packet is sent. The addresses to which callers connect and the targets
// behind them come from the catalog. Owners of connections are learnt from the
// targets' answers and cached; without the cache they are searched for again.
//
// Index
//   events             inputs of the entry
//   effects            actions for the program to carry out
//   connection_entry   the aggregate: `on(event, now)` returns effects
#pragma once

#include "entry/evacuation_rules.hpp"
#include "entry/home_preference.hpp"
#include "entry/owner_candidates.hpp"
#include "flow/ranking.hpp"
#include "membership/adoption.hpp"
#include "membership/evacuation_notifier.hpp"
#include "placement/connection_locator.hpp"
#include "placement/owner_table.hpp"
#include "placement/placer.hpp"
#include "placement/refusal_history.hpp"
#include "placement/search_table.hpp"
#include "placement/search_yield.hpp"
#include "placement/target_directory.hpp"
#include "placement/warm_up_rate.hpp"

#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace lagoon {

// ---- events -------------------------------------------------------------

struct packet_from_caller
{
    connection_packet packet = {};
    auto operator<=>(packet_from_caller const&) const = default;
};

struct answer_from_target
{
    peer_address from = {};
    offer_reply answer = {};
    std::optional<connection_packet> returned = {};  // by the target
    auto operator<=>(answer_from_target const&) const = default;
};

struct locate_answer
{
    peer_address from = {};
    locate_reply reply = {};
    auto operator<=>(locate_answer const&) const = default;
};

// The seed peers in the settings have changed.
struct seeds_changed
{
    std::vector<peer_address> seeds = {};
    auto operator<=>(seeds_changed const&) const = default;
};

using connection_entry_event =
    std::variant<packet_from_caller, answer_from_target, locate_answer,
                 digest_packet, update_packet, change_request_packet,
                 change_received, change_unavailable, clock_tick,
                 stop_requested, seeds_changed>;

// ---- effects ------------------------------------------------------------

struct send_offer
{
    peer_address to = {};
    packet_offer offer = {};
    auto operator<=>(send_offer const&) const = default;
};

// Notifies a target of the evacuation of its data centre.
struct send_evacuation_notice
{
    peer_address to = {};
    evacuation_notice notice = {};
    auto operator<=>(send_evacuation_notice const&) const = default;
};

// Resets a connection that could not be opened or no longer exists.
struct reset_caller
{
    connection_packet packet = {};  // the packet to reply to
    auto operator<=>(reset_caller const&) const = default;
};

enum class placement_result : std::uint8_t
{
    placed,    // a target accepted the connection
    refused,   // reset: a target can't serve it in time; it has not run
    no_route,  // reset: the configuration has no route with this address
    held,      // not ready, or no target is known or answers; retried shortly
    outdated,  // dropped: it waited while this process was paused
    dropped,   // held too long, or too many are; the caller retransmits it
    owner_found,  // a search found the owner of an open connection
    owner_lost,   // dropped: no target was found to own the connection
    lost,         // reset: no living back end holds the connection
    returned      // a target returned the packet: it cannot use it
};

// Logs a decision about one connection.
struct placement_note
{
    placement_result result = placement_result::placed;
    connection_endpoints endpoints = {};
    peer_address target = {};
    std::uint32_t load = 0;           // reported by the target
    std::uint32_t query_count = 0;    // queries sent
    std::uint32_t timeout_count = 0;  // of these
    // Since the packet was received; if the request was refused, since the
    // caller first sent it.
    duration took = {};
    generation config_generation = {};  // configuration used
    duration platform_age = {};
    placement_site site = placement_site::not_chosen;  // of a placed connection
    auto operator<=>(placement_note const&) const = default;
};

enum class status_change : std::uint8_t
{
    platform_lost,
    platform_regained,
    paused,            // the process did not run for a while
    target_lapsed,     // removed: its key expired without an announcement
    table_full,        // no room to cache further owners
    evacuation_begun,  // of a data centre: it gets no new connections
    evacuation_ended,
    home_has_room,  // new connections of a service stay in the data centre
    home_full,      // a share of them leaves it
    home_empty      // all leave: it has no usable target of the service
};

// Logs a change in the state of the entry or of its view of the fleet.
struct status_change_note
{
    status_change change = status_change::platform_lost;
    std::string subject = {};  // the target, data centre or service, if any
    duration platform_age = {};
    auto operator<=>(status_change_note const&) const = default;
};

using connection_entry_effect =
    std::variant<send_offer, send_locate_query, reset_caller, send_digest,
                 send_update, fetch_from_peer, read_platform,
                 generation_adopted, report_failure, placement_note,
                 status_change_note, send_evacuation_notice>;
using connection_entry_effects = std::vector<connection_entry_effect>;

// ---- connection_entry ---------------------------------------------------

struct connection_entry_settings
{
    membership_settings membership = {};
    placer_limits placement = {};
    owner_limits owners = {};

    // An opening packet for which no target answers is retried at this interval
    // and dropped shortly before the caller retransmits it, after 200 ms.
    duration retry_interval = std::chrono::milliseconds{30};
    duration max_hold_time = std::chrono::milliseconds{190};
    std::size_t max_held_packets = 4096;

    // Places new connections in the entry's data centre while it has room.
    bool prefer_home_data_centre = false;
    departure_limits departure = {};

    // Upper bound on the age of a connection.
    duration max_connection_age = std::chrono::seconds{60};

    // Whether connections that no living back end holds are reset.
    bool reset_lost_connections = false;
    locator_limits locator = {};

    auto operator<=>(connection_entry_settings const&) const = default;
};

template <random_source R, placement_policy P = free_first>
class connection_entry
{
public:
    connection_entry(connection_entry_settings settings, R random,
                     time_point now);

    connection_entry_effects on(connection_entry_event const& event,
                                time_point now);

    // Returns whether this entry should receive packets.
    bool is_ready(time_point now) const;

    // Returns when the next tick is due. Earlier ticks are harmless.
    std::optional<time_point> next_due() const;

    catalog const& configuration() const;
    duration platform_age(time_point now) const;
    std::size_t connection_count() const;

    // The share of new connections that leave the data centre, by service.
    std::vector<service_departure> departures() const;

private:
    // When an opening packet was received, and when the caller first sent the
    // request.
    struct open_times
    {
        time_point arrived_at = {};
        time_point requested_at = {};
        auto operator<=>(open_times const&) const = default;
    };

    struct held_packet
    {
        connection_packet packet = {};
        open_times times = {};
        time_point due = {};
        auto operator<=>(held_packet const&) const = default;
    };

    using effects_type = connection_entry_effects;

    void on_event(effects_type& effects, packet_from_caller const& event,
                  time_point now);
    void on_event(effects_type& effects, answer_from_target const& event,
                  time_point now);
    void on_event(effects_type& effects, locate_answer const& event,
                  time_point now);
    void on_event(effects_type& effects, digest_packet const& event,
                  time_point now);
    void on_event(effects_type& effects, update_packet const& event,
                  time_point now);
    void on_event(effects_type& effects, change_request_packet const& event,
                  time_point now);
    void on_event(effects_type& effects, change_received const& event,
                  time_point now);
    void on_event(effects_type& effects, change_unavailable const& event,
                  time_point now);
    void on_event(effects_type& effects, clock_tick const& event,
                  time_point now);
    void on_event(effects_type& effects, stop_requested const& event,
                  time_point now);
    void on_event(effects_type& effects, seeds_changed const& event,
                  time_point now);

    open_times find_open_times(connection_packet const& packet, time_point now);
    void place(effects_type& effects, connection_packet const& packet,
               open_times times, std::optional<peer_address> returned_by,
               time_point now);
    std::vector<target_record const*>
    select_candidates(service_part const& part, route_record const& route,
                      connection_endpoints const& endpoints,
                      std::optional<peer_address> returned_by,
                      time_point now) const;
    void update_preference(effects_type& effects, time_point now);
    placement_site find_site(owner_found const& found) const;
    void search(effects_type& effects, connection_packet const& packet,
                std::optional<peer_address> preferred,
                std::optional<peer_address> returned_by, time_point now);
    void resume_search(effects_type& effects, connection_packet const& packet,
                       peer_address returned_by, time_point now);
    void search_candidates(effects_type& effects,
                           connection_packet const& packet,
                           search_record const& search, time_point now);
    void record_lost_owner(effects_type& effects,
                           search_progress const& progress,
                           placement_note const& note, time_point now);
    void suspend_search(effects_type& effects, placement_failed const& failed,
                        placement_note const& note, time_point now);
    bool may_locate() const;
    bool may_skip_search(time_point now);
    void locate(effects_type& effects, connection_packet const& packet,
                search_progress const& progress, time_point now);
    located_targets list_located_targets() const;
    void advance_locator(effects_type& effects, time_point now);
    void handle_outcome(effects_type& effects, send_locate_query const& query,
                        time_point now);
    void handle_outcome(effects_type& effects, connection_held const& held,
                        time_point now);
    void handle_outcome(effects_type& effects, try_at_target const& trial,
                        time_point now);
    void handle_outcome(effects_type& effects, connection_lost const& lost,
                        time_point now);
    void start_placement(effects_type& effects,
                         placement_request const& request, time_point now);
    void hold(effects_type& effects, connection_packet const& packet,
              open_times times, time_point now);
    void refuse_unknown_route(effects_type& effects,
                              connection_packet const& packet, open_times times,
                              time_point now);
    void refuse(effects_type& effects, connection_packet const& packet,
                time_point requested_at, time_point now);
    void handle_returned(effects_type& effects, connection_packet const& packet,
                         answer_from_target const& event, time_point now);
    void handle_outcome(effects_type& effects,
                        placement_outcomes const& outcomes, time_point now);
    void handle_outcome(effects_type& effects, query_target const& query,
                        time_point now);
    void handle_outcome(effects_type& effects, owner_found const& found,
                        time_point now);
    void handle_outcome(effects_type& effects, placement_failed const& failed,
                        time_point now);
    void handle_config_change(effects_type& effects,
                              catalog_version const& before, time_point now);
    void report_evacuations(effects_type& effects, time_point now);
    void notify_evacuated_targets(effects_type& effects, time_point now);
    void retry_held_now(time_point now);
    bool was_paused(time_point now) const;
    void retry_held(effects_type& effects, time_point now);
    void report_platform_change(effects_type& effects, time_point now);
    void forward(effects_type& effects, owner_record const& owner,
                 connection_packet const& packet, time_point now);
    placement_note make_note(placement_result result,
                             connection_endpoints const& endpoints,
                             time_point arrived_at, time_point now) const;

    connection_entry_settings settings;
    catalog config = {};
    membership<R> member;
    target_directory directory;
    target_hints hints = {};
    owner_table owners;
    placer<P> connection_placer;
    home_preference preference;
    std::deque<held_packet> held = {};
    refusal_history refusals = {};
    search_table searches = {};
    search_yield yield = {};
    evacuation_notifier evacuations;
    connection_locator locator;
    bool was_platform_reachable = false;
    bool is_resuming = false;  // after a pause, until the catalog is confirmed
    bool is_owner_table_full = false;
    bool is_stopping = false;
    time_point last_tick;
};

}  // namespace lagoon

#include "entry/configuration_events.ipp"
#include "entry/connection_entry.ipp"
#include "entry/lost_connections.ipp"
#include "entry/owner_search.ipp"
