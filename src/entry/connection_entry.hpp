// What an entry decides about connections without tokens: which target a
// packet goes to. The addresses that callers connect to, and the targets
// behind them, come from the catalog; who owns a connection is learnt from
// the targets' answers and may be forgotten at any time.
//
// Index
//   events             what reaches the role
//   effects            what the surroundings must do
//   connection_entry   the role: `on(event, now)`
#pragma once

#include "flow/ranking.hpp"
#include "membership/adoption.hpp"
#include "placement/owner_table.hpp"
#include "placement/placer.hpp"
#include "placement/refusal_history.hpp"
#include "placement/search_table.hpp"
#include "placement/target_directory.hpp"

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
    offer_answer answer = {};
    std::optional<connection_packet> returned = {};  // what came back with it
    auto operator<=>(answer_from_target const&) const = default;
};

// The settings name other peers to ask first.
struct seeds_changed
{
    std::vector<peer_address> seeds = {};
    auto operator<=>(seeds_changed const&) const = default;
};

using connection_entry_event =
    std::variant<packet_from_caller, answer_from_target, digest_packet,
                 news_packet, change_request_packet, change_arrived,
                 change_missed, clock_tick, stop_asked, seeds_changed>;

// ---- effects ------------------------------------------------------------

struct send_offer
{
    peer_address to = {};
    packet_offer offer = {};
    auto operator<=>(send_offer const&) const = default;
};

// Tells the caller that the connection never opened, or is gone.
struct reset_caller
{
    connection_packet packet = {};  // the packet that it answers
    auto operator<=>(reset_caller const&) const = default;
};

enum class placement_result : std::uint8_t
{
    placed,       // a target took the connection
    refused,      // reset: no target can serve it in time, and it has not run
    no_route,     // reset: the configuration has no such address
    held,         // no target is known or answers: tried again shortly
    outdated,     // dropped: it waited while this process stood still
    dropped,      // held as long as makes sense; the caller repeats itself
    owner_found,  // a packet of an open connection, after a search
    owner_lost,   // dropped: no target knows the connection
    returned      // the target believed to own it does not
};

// A decision about one connection, for the log.
struct placement_note
{
    placement_result result = placement_result::placed;
    connection_endpoints endpoints = {};
    peer_address target = {};
    std::uint32_t load = 0;             // as the target told
    std::uint32_t query_count = 0;      // targets
    std::uint32_t timeout_count = 0;    // of those
    duration took = {};                 // since the packet came in
    generation config_generation = {};  // configuration that decided
    duration platform_age = {};
    auto operator<=>(placement_note const&) const = default;
};

enum class status_change : std::uint8_t
{
    platform_lost,
    platform_regained,
    paused,         // the process stood still
    target_lapsed,  // let go: its key is gone, and it didn't say it leaves
    table_full      // owners are no longer remembered
};

// The process believes something else than before, for the log.
struct status_change_note
{
    status_change what = status_change::platform_lost;
    std::string subject = {};  // a name, where there is one
    duration platform_age = {};
    auto operator<=>(status_change_note const&) const = default;
};

using connection_entry_effect =
    std::variant<send_offer, reset_caller, send_digest, send_news,
                 fetch_from_peer, read_platform, generation_adopted,
                 note_failure, placement_note, status_change_note>;
using connection_entry_effects = std::vector<connection_entry_effect>;

// ---- connection_entry ---------------------------------------------------

struct connection_entry_settings
{
    membership_settings member = {};
    placer_limits placement = {};
    owner_limits owners = {};

    // An opening packet for which no target answers is tried again at this
    // interval, and dropped once the caller is about to repeat it.
    duration retry_interval = std::chrono::milliseconds{30};
    duration max_hold_time = std::chrono::milliseconds{190};
    std::size_t max_held_packets = 4096;  // packets

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

    // Whether packets should be sent here at all.
    bool is_ready(time_point now) const;

    // When a tick is due; earlier ones do no harm.
    std::optional<time_point> next_due() const;

    catalog const& configuration() const;
    duration platform_age(time_point now) const;
    std::size_t connection_count() const;

private:
    // When an opening packet came in, and when its caller first asked.
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
    void on_event(effects_type& effects, digest_packet const& event,
                  time_point now);
    void on_event(effects_type& effects, news_packet const& event,
                  time_point now);
    void on_event(effects_type& effects, change_request_packet const& event,
                  time_point now);
    void on_event(effects_type& effects, change_arrived const& event,
                  time_point now);
    void on_event(effects_type& effects, change_missed const& event,
                  time_point now);
    void on_event(effects_type& effects, clock_tick const& event,
                  time_point now);
    void on_event(effects_type& effects, stop_asked const& event,
                  time_point now);
    void on_event(effects_type& effects, seeds_changed const& event,
                  time_point now);

    open_times open_times_of(connection_packet const& packet, time_point now);
    void place(effects_type& effects, connection_packet const& packet,
               open_times times, std::optional<peer_address> last,
               time_point now);
    std::vector<target_record const*>
    candidates(service_part const& part, connection_endpoints const& endpoints,
               std::optional<peer_address> last, time_point now) const;
    void search(effects_type& effects, connection_packet const& packet,
                std::optional<peer_address> first,
                std::optional<peer_address> last, time_point now);
    bool search_services(effects_type& effects, connection_packet const& packet,
                         std::vector<service_id> const& services,
                         std::optional<peer_address> first,
                         std::optional<peer_address> last, time_point now);
    void search_next_service(effects_type& effects,
                             connection_packet const& packet,
                             service_id searched, placement_note const& note,
                             time_point now);
    void resume_search(effects_type& effects, connection_packet const& packet,
                       peer_address returned_by, time_point now);
    void search_candidates(effects_type& effects,
                           connection_packet const& packet,
                           search_record const& search, time_point now);
    void record_lost_owner(effects_type& effects, placement_note const& note,
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
    void handle_outcome(effects_type& effects, query_target const& what,
                        time_point now);
    void handle_outcome(effects_type& effects, owner_found const& what,
                        time_point now);
    void handle_outcome(effects_type& effects, placement_failed const& what,
                        time_point now);
    void handle_config_change(effects_type& effects,
                              catalog_version const& before, time_point now);
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
    target_directory directory = {};
    target_hints hints = {};
    owner_table owners;
    placer<P> connection_placer;
    std::deque<held_packet> held = {};
    refusal_history refusals = {};
    search_table searches = {};
    bool was_platform_reachable = false;
    bool is_resuming = false;  // paused a moment ago, nothing compared since
    bool is_owner_table_full = false;
    bool is_stopping = false;
    time_point last_tick;
};

}  // namespace lagoon

#include "entry/connection_entry.ipp"
