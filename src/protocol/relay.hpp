// Messages between entries and targets about connections without flow tokens.
//
// An entry offers a caller's packet to a target. If the offer carries a query
// id, the target replies whether it owns, or may own, the connection. Without
// a query id it replies only if it can't use the packet; the reply then
// contains the packet.
//
// Index
//   request_attributes   latency objective, deadline and priority of a route
//   packet_offer         from an entry to a target
//   offer_reply          from a target to an entry
#pragma once

#include "connection/packet.hpp"

#include <optional>
#include <string>

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
    auto operator<=>(offer_reply const&) const = default;
};

char const* to_text(offer_verdict value);

}  // namespace lagoon
