// Every message between callers, entries, targets and peers, as typed values.
// How they look on the wire is the business of wire/codec alone.
//
// Index
//   opening     a flow gets an owner; nothing runs yet
//   requests    one request within a flow
//   answers     pulled by the caller in ranges
//   exchange    digests between peers
//   envelopes   what an entry adds so that answers find the caller
#pragma once

#include "base/values.hpp"
#include "catalog/catalog.hpp"
#include "flow/token.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoon {

constexpr std::uint32_t wire_version = 1;        // of every datagram
constexpr std::size_t segment_size = 1200;       // bytes of answer a packet
constexpr std::size_t max_path_size = 200;       // bytes
constexpr std::size_t max_body_size = 900;       // bytes
constexpr std::size_t max_datagram_size = 1400;  // bytes
constexpr std::uint32_t initial_window =
    16 * segment_size;                                    // bytes, with submit
constexpr std::uint32_t max_window = 128 * segment_size;  // bytes, one pull
constexpr std::uint8_t max_hops = 3;  // times an open may be passed on

// ---- opening ------------------------------------------------------------

struct open_request
{
    service_id service = {};
    caller_id caller = {};
    flow_key flow = {};
    std::uint8_t attempt = 0;  // how often the caller has repeated it
    std::uint8_t hops = 0;     // how often targets have passed it on
    std::uint32_t load = 0;    // of the target that passed it on
    std::optional<flow_token> previous = {};  // of a flow to go on with
    auto operator<=>(open_request const&) const = default;
};

struct open_reply
{
    flow_token token = {};
    auto operator<=>(open_reply const&) const = default;
};

struct open_refusal
{
    service_id service = {};
    flow_key flow = {};
    reason cause = reason::none;
    duration retry_after = {};  // 0: not worth repeating
    auto operator<=>(open_refusal const&) const = default;
};

// ---- requests -----------------------------------------------------------

struct submit_request
{
    flow_token token = {};
    request_number number = {};
    bool idempotent = false;
    duration deadline = {};  // from arrival; 0 means none
    duration declared = {};  // running time the caller expects
    std::string path = {};   // what to run at the back end
    std::string body = {};
    auto operator<=>(submit_request const&) const = default;
};

struct cancel_request
{
    flow_token token = {};
    request_number number = {};
    auto operator<=>(cancel_request const&) const = default;
};

enum class request_state : std::uint8_t
{
    queued,
    running,
    finished,
    not_run,  // it did not run and never will
    unknown   // it may have run; it will not run again
};

struct request_status
{
    service_id service = {};
    flow_key flow = {};
    request_number number = {};
    request_state state = request_state::queued;
    reason cause = reason::none;
    std::uint64_t length = 0;   // bytes, of a finished answer
    digest content = {};        // of a finished answer
    duration retry_after = {};  // with not_run
    auto operator<=>(request_status const&) const = default;
};

// ---- answers ------------------------------------------------------------

struct pull_answer
{
    flow_token token = {};
    request_number number = {};
    std::uint64_t offset = 0;  // bytes
    std::uint32_t length = 0;  // bytes, at most max_window
    auto operator<=>(pull_answer const&) const = default;
};

struct answer_segment
{
    service_id service = {};
    flow_key flow = {};
    request_number number = {};
    std::uint64_t offset = 0;  // bytes
    std::string bytes = {};
    auto operator<=>(answer_segment const&) const = default;
};

struct acknowledge_answer
{
    flow_token token = {};
    request_number number = {};
    auto operator<=>(acknowledge_answer const&) const = default;
};

struct close_flow
{
    flow_token token = {};
    auto operator<=>(close_flow const&) const = default;
};

// ---- exchange -----------------------------------------------------------

// Sent to a peer now and then, and on news. `platform_age` says how old the
// sender's freshest contact with the platform is, its own or heard of; ages
// add up along the way, so no clocks are compared.
struct peer_digest
{
    process_id sender = {};
    catalog_version version = {};
    duration platform_age = {};
    peer_address control_address = {};  // where the sender answers JSON-RPC
    bool is_reply_requested = false;
    std::vector<peer_address> peers = {};  // some that it has heard of
    auto operator<=>(peer_digest const&) const = default;
};

// Asks a peer for what changed after a generation; it answers with news.
struct change_request
{
    generation since = {};  // 0 asks for the whole
    auto operator<=>(change_request const&) const = default;
};

// News that come with what changed, so that the peer needs no question. Those
// that don't fit a datagram go as a digest alone.
struct peer_update
{
    peer_digest digest = {};
    catalog_change change = {};
    bool operator==(peer_update const&) const = default;
};

// ---- envelopes ----------------------------------------------------------

using caller_message =
    std::variant<open_request, submit_request, cancel_request, pull_answer,
                 acknowledge_answer, close_flow>;

using answer_message =
    std::variant<open_reply, open_refusal, request_status, answer_segment>;

// From an entry to a target, and from target to target on hand-over.
struct inbound_packet
{
    peer_address caller = {};        // as the entry saw it
    peer_address entry = {};         // where the answer goes; empty: the sender
    peer_address forwarded_by = {};  // the target that passed the open on
    caller_message message = {};
    bool operator==(inbound_packet const&) const = default;
};

// From a target to an entry, which sends the message on to the caller.
struct outbound_packet
{
    peer_address caller = {};
    peer_address forwarded_by = {};  // the target that passed the open on
    answer_message message = {};
    bool operator==(outbound_packet const&) const = default;
};

// The service that a message names, whichever kind it is.
service_id service_of(caller_message const& message);
flow_key flow_of(caller_message const& message);

}  // namespace lagoon
