#include "flow/table.hpp"

#include "base/sweep.hpp"

#include <algorithm>

namespace lagoon {

flow_table::flow_table(flow_limits limits) : limits(limits) {}

std::optional<flow_record> flow_table::open(flow_key key, service_id service,
                                            caller_id caller, time_point now,
                                            failure& error)
{
    auto const found = this->flows.find(key);
    if (found != this->flows.end()) {
        flow_record const& record = found->second;
        if (record.service == service && record.caller == caller)
            return record;
        return fail(error, {step::open_flow,
                            reason::duplicate,
                            {},
                            "flow key is in use by another caller or service"});
    }
    if (this->flows.size() >= this->limits.max_flows)
        return fail(
            error,
            {step::open_flow, reason::overloaded, {}, "flow table is full"});
    // Issue times are unique: after a flow was closed, a delayed duplicate of
    // its open packet creates a new flow, and tokens of the old one must not
    // match it.
    this->last_issued_at =
        std::max(this->last_issued_at + 1, now.time_since_epoch().count());
    flow_record const opened{service, caller, this->last_issued_at, now, {}, 0};
    this->flows.emplace(key, opened);
    return opened;
}

std::optional<flow_record> flow_table::touch(flow_token const& token,
                                             time_point now, failure& error)
{
    auto const found = this->flows.find(token.flow);
    if (found == this->flows.end() ||
        found->second.issued_at != token.issued_at ||
        found->second.service != token.service)
        return fail(
            error, {step::verify_token, reason::expired, {}, "flow is closed"});
    found->second.last_used = now;
    return found->second;
}

std::optional<flow_record> flow_table::find(flow_key key) const
{
    auto const found = this->flows.find(key);
    if (found == this->flows.end())
        return std::nullopt;
    return found->second;
}

void flow_table::replace(flow_key key, flow_record const& record)
{
    auto const found = this->flows.find(key);
    if (found != this->flows.end())
        found->second = record;
}

void flow_table::close(flow_key key)
{
    this->flows.erase(key);
}

bool flow_table::is_expired(flow_record const& record, time_point now) const
{
    if (record.pending_requests > 0)
        return false;
    bool const is_unused = record.low_watermark == request_number{};
    duration const timeout =
        is_unused ? this->limits.unused_timeout : this->limits.idle_timeout;
    return now - record.last_used > timeout;
}

std::vector<flow_key> flow_table::sweep(time_point now)
{
    return sweep_incrementally(
        this->flows, this->next_bucket,
        [this, now](flow_key, flow_record const& record) {
            return this->is_expired(record, now);
        });
}

std::size_t flow_table::size() const
{
    return this->flows.size();
}

}  // namespace lagoon
