#include "request/ledger.hpp"

namespace lagoon {

namespace {

request_record with_state(request_record const& from, request_state state,
                          reason why, duration retry_after)
{
    request_record to = from;
    to.state = state;
    to.why = why;
    to.retry_after = retry_after;
    return to;
}

request_record with_run(request_record const& from, run_id run, time_point now)
{
    request_record to =
        with_state(from, request_state::running, reason::none, {});
    to.run = run;
    to.started = now;
    return to;
}

request_record with_question(request_record const& from,
                             return_path const& back, std::uint64_t wanted_end,
                             time_point now)
{
    request_record to = from;
    to.back = back;
    to.wanted_end = wanted_end;
    to.last_asked = now;
    return to;
}

bool is_settled(request_state state)
{
    return state != request_state::queued && state != request_state::running;
}

}  // namespace

request_record const& request_ledger::accept(request_key key,
                                             request_record const& fresh)
{
    return this->records.try_emplace(key, fresh).first->second;
}

std::optional<request_record> request_ledger::move(request_key key,
                                                   request_state from,
                                                   request_record const& to)
{
    auto const found = this->records.find(key);
    if (found == this->records.end() || found->second.state != from)
        return std::nullopt;
    found->second = to;
    return to;
}

std::optional<request_record> request_ledger::start(request_key key, run_id run,
                                                    time_point now)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->move(key, request_state::queued, with_run(*record, run, now));
}

std::optional<request_record>
request_ledger::refuse(request_key key, reason why, duration retry_after)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->move(
        key, request_state::queued,
        with_state(*record, request_state::not_run, why, retry_after));
}

std::optional<request_record>
request_ledger::undo_start(request_key key, reason why, duration retry_after)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->move(
        key, request_state::running,
        with_state(*record, request_state::not_run, why, retry_after));
}

std::optional<request_record> request_ledger::finish(request_key key)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->move(
        key, request_state::running,
        with_state(*record, request_state::finished, reason::none, {}));
}

std::optional<request_record> request_ledger::lose(request_key key, reason why)
{
    request_record const* record = this->find(key);
    if (record == nullptr)
        return std::nullopt;
    return this->move(key, request_state::running,
                      with_state(*record, request_state::unknown, why, {}));
}

void request_ledger::ask(request_key key, return_path const& back,
                         std::uint64_t wanted_end, time_point now)
{
    auto const found = this->records.find(key);
    if (found != this->records.end())
        found->second = with_question(found->second, back, wanted_end, now);
}

request_record const* request_ledger::find(request_key key) const
{
    auto const found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

void request_ledger::forget(request_key key)
{
    this->records.erase(key);
}

std::vector<request_key> request_ledger::overdue(time_point now) const
{
    std::vector<request_key> keys;
    for (auto const& [key, record] : this->records)
        if (record.state == request_state::queued && record.deadline &&
            *record.deadline < now)
            keys.push_back(key);
    return keys;
}

std::vector<request_key> request_ledger::abandoned(time_point now,
                                                   duration lifetime) const
{
    std::vector<request_key> keys;
    for (auto const& [key, record] : this->records)
        if (is_settled(record.state) && now - record.last_asked > lifetime)
            keys.push_back(key);
    return keys;
}

std::size_t request_ledger::size() const
{
    return this->records.size();
}

}  // namespace lagoon
