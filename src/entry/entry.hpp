// Decisions of an entry about flows: to which target and through which of its
// sockets a packet is sent, and which packets are refused. An entry keeps no
// state per flow, so that its restart does not affect flows.
//
// Index
//   events    inputs of the entry
//   effects   actions for the program to carry out
//   entry     the aggregate: `on(event, now)` returns effects
#pragma once

#include "channel/channels.hpp"
#include "flow/ranking.hpp"
#include "membership/adoption.hpp"
#include "protocol/messages.hpp"

#include <variant>
#include <vector>

namespace lagoon {

// ---- events -------------------------------------------------------------

struct caller_packet
{
    peer_address from = {};
    caller_message message = {};
    bool operator==(caller_packet const&) const = default;
};

struct target_packet
{
    peer_address from = {};
    outbound_packet packet = {};
    bool operator==(target_packet const&) const = default;
};

using entry_event =
    std::variant<caller_packet, target_packet, digest_packet, update_packet,
                 change_received, change_unavailable, clock_tick,
                 stop_requested>;

// ---- effects ------------------------------------------------------------

struct send_inbound
{
    socket_index via = {};
    peer_address to = {};
    inbound_packet packet = {};
    bool operator==(send_inbound const&) const = default;
};

struct send_to_caller
{
    peer_address to = {};
    answer_message message = {};
    bool operator==(send_to_caller const&) const = default;
};

using entry_effect = std::variant<send_inbound, send_to_caller, send_digest,
                                  send_update, fetch_from_peer, read_platform,
                                  generation_adopted, report_failure>;
using entry_effects = std::vector<entry_effect>;

// ---- entry --------------------------------------------------------------

template <random_source R> class entry
{
public:
    entry(membership_settings settings, R random, time_point now);

    entry_effects on(entry_event const& event, time_point now);

    catalog const& configuration() const;
    bool is_ready(time_point now) const;
    duration platform_age(time_point now) const;

private:
    entry_effects on_event(caller_packet const& event, time_point now);
    entry_effects on_event(target_packet const& event, time_point now);
    entry_effects on_event(digest_packet const& event, time_point now);
    entry_effects on_event(update_packet const& event, time_point now);
    entry_effects on_event(change_received const& event, time_point now);
    entry_effects on_event(change_unavailable const& event, time_point now);
    entry_effects on_event(clock_tick const& event, time_point now);
    entry_effects on_event(stop_requested const& event, time_point now);

    entry_effects route_open(peer_address from, open_request const& open,
                             time_point now);
    entry_effects route_by_token(peer_address from, flow_token const& token,
                                 caller_message const& message, time_point now);
    target_record const* select_target(service_part const& part,
                                       open_request const& open,
                                       time_point now) const;
    bool may_route_open(open_request const& open, time_point now,
                        failure& error) const;

    catalog config = {};
    channel_table channels = {};
    membership<R> member;
    bool is_stopping = false;
};

}  // namespace lagoon

#include "entry/entry.ipp"
