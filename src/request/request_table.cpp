#include "request/request_table.hpp"

namespace lagoon {

namespace {

request_record with_state(request_record const& from, request_state state,
                          reason cause, duration retry_after)
{
    request_record to = from;
    to.state = state;
    to.cause = cause;
    to.retry_after = retry_after;
    return to;
}

request_record with_run(request_record const& from, run_id run, time_point now)
{
    request_record to =
        with_state(from, request_state::running, reason::none, {});
    to.run = run;
    to.started_at = now;
    return to;
}

request_record with_query(request_record const& from,
                          reply_path const& reply_to,
                          std::uint64_t requested_end, time_point now)
{
    request_record to = from;
    to.reply_to = reply_to;
    to.requested_end = requested_end;
    to.last_queried = now;
    return to;
}

bool is_settled(request_state state)
{
    return state != request_state::queued && state != request_state::running;
}

}  // namespace

request_record const& request_table::accept(request_key key,
                                            request_record const& new_record)
{
    return this->records.try_emplace(key, new_record).first->second;
}

std::optional<request_record>
request_table::transition(request_key key, request_state from,
                          request_record const& to)
{
    auto const found = this->records.find(key);
    if (found == this->records.end() || found->second.state != from)
        return std::nullopt;
    found->second = to;
    return to;
}

std::optional<request_record> request_table::start(request_key key, run_id run,
                                                   time_point now)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->transition(key, request_state::queued,
                            with_run(*record, run, now));
}

std::optional<request_record>
request_table::refuse(request_key key, reason cause, duration retry_after)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->transition(
        key, request_state::queued,
        with_state(*record, request_state::not_run, cause, retry_after));
}

std::optional<request_record>
request_table::undo_start(request_key key, reason cause, duration retry_after)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->transition(
        key, request_state::running,
        with_state(*record, request_state::not_run, cause, retry_after));
}

std::optional<request_record> request_table::finish(request_key key)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->transition(
        key, request_state::running,
        with_state(*record, request_state::finished, reason::none, {}));
}

std::optional<request_record> request_table::mark_unknown(request_key key,
                                                          reason cause)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->transition(
        key, request_state::running,
        with_state(*record, request_state::unknown, cause, {}));
}

void request_table::record_query(request_key key, reply_path const& reply_to,
                                 std::uint64_t requested_end, time_point now)
{
    auto const found = this->records.find(key);
    if (found != this->records.end())
        found->second = with_query(found->second, reply_to, requested_end, now);
}

request_record const* request_table::find(request_key key) const
{
    auto const found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

void request_table::erase(request_key key)
{
    this->records.erase(key);
}

std::vector<request_key> request_table::find_overdue(time_point now) const
{
    std::vector<request_key> keys;
    for (auto const& [key, record] : this->records)
        if (record.state == request_state::queued && record.deadline &&
            *record.deadline < now)
            keys.push_back(key);
    return keys;
}

std::vector<request_key> request_table::find_abandoned(time_point now,
                                                       duration lifetime) const
{
    std::vector<request_key> keys;
    for (auto const& [key, record] : this->records)
        if (is_settled(record.state) && now - record.last_queried > lifetime)
            keys.push_back(key);
    return keys;
}

std::size_t request_table::size() const
{
    return this->records.size();
}

}  // namespace lagoon
