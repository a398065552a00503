// Messages between callers, entries, targets and peers as typed values.
// wire/codec defines their encoding.
//
// Index
//   opening     assigns a flow to a target; no request runs yet
//   requests    submission, cancellation and status of a request
//   answers     transfer of answers, which callers fetch in ranges
//   exchange    configuration digests and updates between peers
//   envelopes   the addresses that an entry adds to route answers
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
constexpr std::size_t segment_size = 1200;       // bytes of answer per packet
constexpr std::size_t max_path_size = 200;       // bytes
constexpr std::size_t max_body_size = 900;       // bytes
constexpr std::size_t max_datagram_size = 1400;  // bytes

// Bytes of answer that a target sends unrequested after a submit, and at most
// after one pull.
constexpr std::uint32_t initial_window = 16 * segment_size;
constexpr std::uint32_t max_window = 128 * segment_size;

constexpr std::uint8_t max_hops = 3;  // targets that may forward one open

// ---- opening ------------------------------------------------------------

struct open_request
{
    service_id service = {};
    caller_id caller = {};
    flow_key flow = {};
    std::uint8_t attempt = 0;  // retransmissions by the caller
    std::uint8_t hops = 0;     // times that targets have forwarded it
    std::uint32_t load = 0;    // of the target that forwarded it
    std::optional<flow_token> previous = {};  // of a flow to continue
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
    duration retry_after = {};  // 0: a retry would be refused, too
    auto operator<=>(open_refusal const&) const = default;
};

// ---- requests -----------------------------------------------------------

struct submit_request
{
    flow_token token = {};
    request_number number = {};
    bool is_idempotent = false;
    duration deadline = {};       // from arrival; 0 means none
    duration declared_time = {};  // running time that the caller expects
    std::string path = {};        // of the request to the back end
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
    not_run,  // did not run and never will
    unknown   // may have run; will not run again
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

// Sent to peers periodically and after configuration changes. `platform_age`
// is the time since the latest contact with the platform, by the sender or by
// a process that it learnt this from. Each process adds the time since it
// received the value, so clocks of different machines are never compared.
struct peer_digest
{
    process_id sender = {};
    catalog_version version = {};
    duration platform_age = {};
    peer_address control_address = {};  // JSON-RPC server of the sender
    bool is_reply_requested = false;
    std::vector<peer_address> peers = {};  // a sample of its known peers
    auto operator<=>(peer_digest const&) const = default;
};

// Requests the changes after a generation; the peer replies with an update.
struct change_request
{
    generation since = {};  // 0 requests the complete configuration
    auto operator<=>(change_request const&) const = default;
};

// A digest with the changes themselves, which saves the peer a request.
// Changes that don't fit into a datagram are announced by a digest alone.
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

// From an entry to a target, or between targets when an open is forwarded.
struct inbound_packet
{
    peer_address caller = {};        // as seen by the entry
    peer_address entry = {};         // receives the replies; 0: the sender
    peer_address forwarded_by = {};  // target that forwarded the open
    caller_message message = {};
    bool operator==(inbound_packet const&) const = default;
};

// From a target to an entry, which forwards the message to the caller.
struct outbound_packet
{
    peer_address caller = {};
    peer_address forwarded_by = {};  // target that forwarded the open
    answer_message message = {};
    bool operator==(outbound_packet const&) const = default;
};

// Return the service and the flow of a message of any kind.
service_id get_service(caller_message const& message);
flow_key get_flow(caller_message const& message);

}  // namespace lagoon
