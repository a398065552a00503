#include "tracking/connections.hpp"

#include "base/sweep.hpp"

#include <algorithm>

namespace lagoon {

namespace {

// Maximum distance between an acknowledgement and the back end's next sequence
// number: the platform treats numbers in this window as close.
constexpr std::uint32_t sequence_window = 76'800;  // bytes

bool is_finished(connection_record const& record)
{
    return record.is_caller_finished && record.is_target_finished;
}

bool is_open(connection_record const& record)
{
    bool const is_at_back_end = record.stage == connection_stage::opening ||
                                record.stage == connection_stage::open ||
                                record.stage == connection_stage::requested ||
                                record.stage == connection_stage::responding;
    return is_at_back_end && !record.is_caller_finished &&
           !record.is_target_finished;
}

}  // namespace

bool acknowledges_sent_data(connection_record const& record,
                            connection_packet const& packet)
{
    return packet.is_opening ||
           acknowledges_sent_data(record, packet.acknowledgement);
}

bool acknowledges_sent_data(connection_record const& record,
                            std::uint32_t acknowledgement)
{
    if (!record.has_sequence)
        return true;
    std::uint32_t const ahead = acknowledgement - record.target_sequence;
    std::uint32_t const behind = record.target_sequence - acknowledgement;
    return std::min(ahead, behind) <= sequence_window;
}

connection_table::connection_table(connection_limits limits) : limits(limits) {}

connection_record const*
connection_table::find(connection_endpoints const& endpoints) const
{
    auto const found = this->connections.find(endpoints);
    return found == this->connections.end() ? nullptr : &found->second;
}

bool connection_table::put(connection_endpoints const& endpoints,
                           connection_record const& record)
{
    auto const found = this->connections.find(endpoints);
    if (found != this->connections.end()) {
        this->unfinished_count -= is_open(found->second) ? 1U : 0U;
        this->unfinished_count += is_open(record) ? 1U : 0U;
        found->second = record;
        return true;
    }
    if (this->connections.size() >= this->limits.max_connections)
        return false;
    this->connections.emplace(endpoints, record);
    this->unfinished_count += is_open(record) ? 1U : 0U;
    return true;
}

void connection_table::erase(connection_endpoints const& endpoints)
{
    auto const found = this->connections.find(endpoints);
    if (found == this->connections.end())
        return;
    this->unfinished_count -= is_open(found->second) ? 1U : 0U;
    this->connections.erase(found);
}

bool connection_table::is_expired(connection_record const& record,
                                  time_point now) const
{
    duration lifetime = this->limits.idle_lifetime;
    if (is_finished(record))
        lifetime = this->limits.finished_lifetime;
    if (record.stage == connection_stage::not_owned)
        lifetime = this->limits.not_owned_lifetime;
    return now - record.last_used > lifetime;
}

void connection_table::sweep(time_point now)
{
    sweep_incrementally(this->connections, this->next_bucket,
                        [this, now](connection_endpoints const&,
                                    connection_record const& record) {
                            bool const expires = this->is_expired(record, now);
                            if (expires && is_open(record))
                                --this->unfinished_count;
                            return expires;
                        });
}

bool connection_table::has_connection_used_within(duration span,
                                                  time_point now) const
{
    return std::any_of(this->connections.begin(), this->connections.end(),
                       [span, now](auto const& connection) {
                           return !is_finished(connection.second) &&
                                  connection.second.stage !=
                                      connection_stage::not_owned &&
                                  now - connection.second.last_used < span;
                       });
}

std::size_t connection_table::size() const
{
    return this->connections.size();
}

std::size_t connection_table::open_count() const
{
    return this->unfinished_count;
}

}  // namespace lagoon
