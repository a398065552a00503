// What entries and targets say to each other of connections without tokens.
//
// An entry offers a packet to a target. With a question number the target
// answers whether the connection is its own or may be; without one it says
// something only where it can't use the packet, which then comes back.
//
// Index
//   request_attributes   what a route owes its requests
//   packet_offer    from an entry to a target
//   offer_reply    from a target to an entry
#pragma once

#include "connection/packet.hpp"

#include <optional>
#include <string>

namespace lagoon {

// ---- request_attributes -------------------------------------------------

struct request_attributes
{
    peer_address route = {};    // its address, which names the kind of work
    duration objective = {};    // latency objective; 0: none
    duration deadline = {};     // a later answer is of no use; 0: none
    std::uint8_t priority = 0;  // 0 is the most urgent
    duration age = {};          // since the caller first asked, as far as known
    bool is_retryable = true;   // its callers repeat what has failed
    auto operator<=>(request_attributes const&) const = default;
};

// ---- packet_offer -------------------------------------------------------

struct query_id
{
    std::uint32_t value = 0;  // grows within one entry; 0 asks nothing
    auto operator<=>(query_id const&) const = default;
};

struct packet_offer
{
    query_id query = {};
    service_id service = {};
    std::uint32_t slots = 0;  // of the target, as published; 0: not told
    // The last resort: the target queues the packet, or tries it at its back
    // end, where it would rather not.
    bool is_last_resort = false;
    std::optional<request_attributes> attributes =
        {};                  // with an opening packet
    std::string bytes = {};  // the caller's packet
    auto operator<=>(packet_offer const&) const = default;
};

// ---- offer_reply --------------------------------------------------------

enum class offer_verdict : std::uint8_t
{
    taken,          // the connection is this target's
    waiting,        // it is, and waits for a slot
    busy,           // every slot is taken: another target may have one
    not_owner,      // the connection is another's
    unsure,         // not known here, but the back end may hold it
    wrong_service,  // this target serves another service
    leaving,        // it takes no new connections
    no_answer,      // its back end doesn't answer
    refused         // it can't be served in time here, and has not run
};

struct offer_reply
{
    query_id query = {};
    offer_verdict verdict = offer_verdict::taken;
    std::uint32_t load = 0;   // requests it holds
    std::uint32_t slots = 0;  // requests it can run at once
    std::string bytes = {};   // the packet, where it comes back
    auto operator<=>(offer_reply const&) const = default;
};

char const* to_text(offer_verdict value);

}  // namespace lagoon
