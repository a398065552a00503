// Messages between entries and targets about connections without flow tokens.
//
// An entry offers a caller's packet to a target. If the offer carries a query
// id, the target replies whether it owns, or may own, the connection. Without
// a query id it replies only if it can't use the packet; the reply then
// contains the packet.
//
// Entries also tell targets of evacuations, and ask them about many open
// connections at once.
//
// Index
//   request_attributes   latency objective, deadline and priority of a route
//   packet_offer         from an entry to a target
//   offer_reply          from a target to an entry
//   evacuation_notice    from an entry to a target
//   locate_query         from an entry to a target: which connections it owns
//   locate_reply         from a target to an entry
#pragma once

#include "connection/packet.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- request_attributes -------------------------------------------------

struct request_attributes
{
    peer_address route = {};    // its address; identifies the kind of request
    duration objective = {};    // latency objective; 0: none
    duration deadline = {};     // a later answer is useless; 0: none
    std::uint8_t priority = 0;  // 0 is the most urgent
    duration age = {};          // since the caller's first known attempt
    bool is_retryable = true;   // callers retry failed requests of the route

    // Limit on opening packets to a back end that is still cold; 0: none.
    std::uint32_t opens_per_second = 0;

    generation config_generation = {};  // of the entry's catalog
    auto operator<=>(request_attributes const&) const = default;
};

// ---- packet_offer -------------------------------------------------------

struct query_id
{
    std::uint32_t value = 0;  // increases within one entry; 0: no query
    auto operator<=>(query_id const&) const = default;
};

struct packet_offer
{
    query_id query = {};
    service_id service = {};
    std::uint32_t slots = 0;  // of the target, as published; 0: unknown

    // No better target is left. The target queues the packet instead of
    // replying `busy`, and sends it to its back end instead of replying
    // `unsure`.
    bool is_last_resort = false;

    // Only with an opening packet.
    std::optional<request_attributes> attributes = {};

    std::string bytes = {};  // the caller's packet
    auto operator<=>(packet_offer const&) const = default;
};

// ---- offer_reply --------------------------------------------------------

enum class offer_verdict : std::uint8_t
{
    taken,          // the target owns the connection
    waiting,        // the target owns it and has queued it for a slot
    busy,           // no free slot; another target may have one
    not_owner,      // the connection belongs to another target
    unsure,         // not in the table, but the back end may hold it
    wrong_service,  // the target serves another service
    leaving,        // the target accepts no new connections
    no_answer,      // the back end does not answer
    refused         // can't be served in time here; has not run
};

struct offer_reply
{
    query_id query = {};
    offer_verdict verdict = offer_verdict::taken;
    std::uint32_t load = 0;   // requests running or queued
    std::uint32_t slots = 0;  // requests that can run concurrently
    std::string bytes = {};   // the packet, if it is returned

    // Requests that the open connections run at once on average.
    std::uint32_t expected_load = 0;
    auto operator<=>(offer_reply const&) const = default;
};

// ---- evacuation_notice --------------------------------------------------

// The data centre of the target is to get no new connections, according to the
// entry's catalog.
struct evacuation_notice
{
    service_id service = {};  // of the target
    generation config_generation = {};
    auto operator<=>(evacuation_notice const&) const = default;
};

// ---- locate_query -------------------------------------------------------

struct located_connection
{
    connection_endpoints endpoints = {};
    std::uint32_t acknowledgement = 0;  // in the caller's latest packet
    auto operator<=>(located_connection const&) const = default;
};

// In one query, which then fits into a datagram.
constexpr std::size_t max_located_connections = 48;

struct locate_query
{
    query_id query = {};
    service_id service = {};  // of the target

    // Start of the target's back end as published, and the entry's time of
    // day, in Unix milliseconds; 0: unknown.
    std::uint64_t back_end_started_at_ms = 0;
    std::uint64_t sent_at_ms = 0;

    std::vector<located_connection> connections = {};
    auto operator<=>(locate_query const&) const = default;
};

enum class locate_verdict : std::uint8_t
{
    denied,  // the back end doesn't hold the connection
    held,    // the target owns the connection
    unsure   // not in the table, but the back end may hold it
};

struct locate_reply
{
    query_id query = {};
    std::vector<locate_verdict> verdicts = {};  // in the order of the query
    auto operator<=>(locate_reply const&) const = default;
};

char const* to_text(offer_verdict value);

}  // namespace lagoon
