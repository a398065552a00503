// Flows that a target owns. An idle flow costs one small record; its requests
// are kept in the request table.
//
// Index
//   flow_record   state of an open flow
//   flow_table    aggregate: opens, finds, touches and expires flows
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
    std::int64_t issued_at = 0;  // microseconds, same as in the token
    time_point last_used = {};
    request_number low_watermark = {};   // requests up to this are settled
    std::uint32_t pending_requests = 0;  // in the request table
    auto operator<=>(flow_record const&) const = default;
};

// ---- flow_table ---------------------------------------------------------

struct flow_limits
{
    std::size_t max_flows = 500'000;  // flows open at the same time
    duration idle_timeout = std::chrono::minutes{10};  // since the last packet
    duration unused_timeout = std::chrono::seconds{30};  // to first request
    auto operator<=>(flow_limits const&) const = default;
};

class flow_table
{
public:
    explicit flow_table(flow_limits limits);

    // Opens a flow. Returns the existing one for a duplicate of the open
    // packet. Errors: duplicate (the key belongs to another caller or
    // service), overloaded (the table is full).
    std::optional<flow_record> open(flow_key key, service_id service,
                                    caller_id caller, time_point now,
                                    failure& error);

    // Returns the flow of a verified token and updates its time of last use.
    // Errors: expired (the flow was closed, timed out, or was reopened with a
    // new token).
    std::optional<flow_record> touch(flow_token const& token, time_point now,
                                     failure& error);

    std::optional<flow_record> find(flow_key key) const;
    void replace(flow_key key, flow_record const& record);
    void close(flow_key key);

    // Removes expired flows from the next part of the table and returns their
    // keys. Called on every tick.
    std::vector<flow_key> sweep(time_point now);

    std::size_t size() const;

private:
    bool is_expired(flow_record const& record, time_point now) const;

    flow_limits limits;
    std::int64_t last_issued_at = 0;  // microseconds; increases with every flow
    std::size_t next_bucket = 0;      // where the next sweep resumes
    std::unordered_map<flow_key, flow_record, detail::identifier_hash> flows =
        {};
};

}  // namespace lagoon
