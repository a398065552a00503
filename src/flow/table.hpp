// The flows that a target owns. A flow is small while it is idle; what it
// runs lives in the ledger of requests.
//
// Index
//   flow_record   one open flow
//   flow_table    the aggregate: opens, finds, touches and expires flows
#pragma once

#include "base/failure.hpp"
#include "flow/token.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoon {

// ---- flow_record --------------------------------------------------------

struct flow_record
{
    service_id service = {};
    caller_id caller = {};
    std::int64_t issued_at = 0;  // microseconds, as in the token
    time_point last_used = {};
    request_number low_watermark = {};   // this number and below are settled
    std::uint32_t pending_requests = 0;  // requests the ledger still holds
    auto operator<=>(flow_record const&) const = default;
};

// ---- flow_table ---------------------------------------------------------

struct flow_limits
{
    std::size_t max_flows = 500'000;                     // open flows
    duration idle_timeout = std::chrono::minutes{10};    // since last packet
    duration unused_timeout = std::chrono::seconds{30};  // before a request
    auto operator<=>(flow_limits const&) const = default;
};

class flow_table
{
public:
    explicit flow_table(flow_limits limits);

    // Opens a flow, or finds the one that a copy of the packet opened.
    // Errors: duplicate (another caller or service uses the key),
    // overloaded (the table is full).
    std::optional<flow_record> open(flow_key key, service_id service,
                                    caller_id caller, time_point now,
                                    failure& error);

    // The record that a verified token stands for, marked as used now.
    // Errors: expired (closed, idle for too long, or opened anew since).
    std::optional<flow_record> touch(flow_token const& token, time_point now,
                                     failure& error);

    std::optional<flow_record> find(flow_key key) const;
    void replace(flow_key key, flow_record const& record);
    void close(flow_key key);

    // Drops expired flows from a part of the table and says which; call it on
    // every tick.
    std::vector<flow_key> sweep(time_point now);

    std::size_t size() const;

private:
    bool is_expired(flow_record const& record, time_point now) const;

    flow_limits limits;
    std::int64_t last_issued_at = 0;  // microseconds; grows with every flow
    std::size_t next_bucket = 0;      // where the next sweep goes on
    std::unordered_map<flow_key, flow_record, detail::identifier_hash> flows =
        {};
};

}  // namespace lagoon
