// Bodies of the templates that session.hpp declares.
#pragma once

namespace lagoon {

template <random_source R>
session<R>::session(session_settings settings, R random, retry_budget& budget)
    : settings(settings), random(std::move(random)), budget(budget)
{
}

template <random_source R>
session_effects session<R>::on(session_event const& event, time_point now)
{
    this->effects.clear();
    std::visit(
        [this, now](auto const& one) {
            this->on_event(one, now);
        },
        event);
    return std::move(this->effects);
}

template <random_source R>
bool session<R>::owns(answer_message const& message) const
{
    flow_key const named = std::visit(
        [](auto const& one) {
            if constexpr (requires { one.token; })
                return one.token.flow;
            else
                return one.flow;
        },
        message);
    return named == this->key;
}

template <random_source R> flow_key session<R>::flow() const
{
    return this->key;
}

template <random_source R> bool session<R>::is_busy() const
{
    return this->now_in != phase::idle;
}

// ---- sending ------------------------------------------------------------

template <random_source R>
void session<R>::send(caller_message const& message, time_point now)
{
    this->effects.push_back(send_packet{message});
    this->next_repeat = now + this->pause;
}

template <random_source R> void session<R>::send_open(time_point now)
{
    this->now_in = phase::opening;
    this->send(open_request{this->settings.service, this->settings.caller,
                            this->key, this->attempt, 0, 0, this->token},
               now);
}

template <random_source R> void session<R>::send_submit(time_point now)
{
    this->now_in = phase::asking;
    this->submitted = true;
    duration const left = this->began + this->wish.deadline - now;
    this->asked_to = initial_window;
    this->send(submit_request{*this->token, this->number, this->wish.idempotent,
                              left, this->wish.declared, this->wish.path,
                              this->wish.body},
               now);
}

template <random_source R>
void session<R>::send_pull(std::uint64_t begin, std::uint64_t end,
                           time_point now)
{
    this->asked_to = std::max(this->asked_to, end);
    this->send(pull_answer{*this->token, this->number, begin,
                           static_cast<std::uint32_t>(end - begin)},
               now);
}

// Asks again for everything from the first missing segment on.
template <random_source R> void session<R>::pull_gap(time_point now)
{
    std::uint64_t const begin = this->first_gap * segment_size;
    std::uint64_t const end = std::max(begin + next_window, this->asked_to);
    this->send_pull(begin, std::min<std::uint64_t>(end, begin + max_window),
                    now);
}

template <random_source R> void session<R>::new_flow(time_point now)
{
    this->key = flow_key{this->random()};
    this->token.reset();
    this->number = request_number{1};
    this->attempt = 0;
    this->submitted = false;
    this->finished.reset();
    this->early_tail.reset();
    this->answer.clear();
    this->have.clear();
    this->received = 0;
    this->first_gap = 0;
    this->pause = first_repeat;
    this->silent_from = now;
    this->next_rebind = now + rebind_after;
    ++this->flows_used;
}

// ---- application --------------------------------------------------------

template <random_source R>
void session<R>::on_event(begin_request const& event, time_point now)
{
    this->wish = event.wish;
    this->began = now;
    this->flows_used = 0;
    this->budget.earn();
    bool const fresh = this->token && now - this->last_heard < open_again_after;
    if (!this->token) {
        this->new_flow(now);
        this->send_open(now);
        return;
    }
    flow_key const kept = this->key;
    std::optional<flow_token> const kept_token = this->token;
    request_number const next{this->number.value + 1};
    this->new_flow(now);
    this->key = kept;
    this->token = kept_token;
    this->number = next;
    if (fresh)
        this->send_submit(now);
    else
        this->send_open(now);
}

template <random_source R>
void session<R>::on_event(end_session const&, time_point now)
{
    if (this->token)
        this->send(close_flow{*this->token}, now);
    this->token.reset();
    this->now_in = phase::idle;
}

template <random_source R> bool session<R>::is_overdue(time_point now) const
{
    duration const grace = this->submitted ? answer_grace : duration{};
    return now - this->began > this->wish.deadline + grace;
}

template <random_source R>
void session<R>::end(outcome_kind kind, reason why, time_point now)
{
    if (this->submitted && kind != outcome_kind::unknown)
        this->effects.push_back(
            send_packet{acknowledge_answer{*this->token, this->number}});
    // Nobody waits for an idempotent answer that is late; its slot is freed.
    if (this->submitted && kind == outcome_kind::unknown &&
        this->wish.idempotent)
        this->effects.push_back(
            send_packet{cancel_request{*this->token, this->number}});
    this->effects.push_back(request_outcome{
        kind, why, std::move(this->answer), this->flows_used,
        this->token ? this->token->target : target_id{}, now - this->began});
    this->answer = {};
    this->now_in = phase::idle;
    // A flow that failed is not used again.
    if (kind != outcome_kind::complete)
        this->token.reset();
}

// ---- time ---------------------------------------------------------------

template <random_source R>
void session<R>::on_event(time_passed const&, time_point now)
{
    if (this->now_in == phase::idle || now < this->next_repeat)
        return;
    if (this->is_overdue(now)) {
        // A request that no packet carried out can't have run; an idempotent
        // one that timed out is of no further interest either way.
        this->end(this->submitted ? outcome_kind::unknown
                                  : outcome_kind::not_run,
                  reason::timed_out, now);
        return;
    }
    bool const given_up = now - this->silent_from > give_up_flow;
    bool const may_move = this->wish.idempotent || !this->submitted;
    if (given_up && may_move && this->now_in == phase::asking) {
        this->try_elsewhere(reason::unreachable, outcome_kind::unknown,
                            duration{}, now);
        return;
    }
    bool const silent = now - this->silent_from > rebind_after;
    if (silent && now >= this->next_rebind) {
        this->effects.push_back(rebind_port{});
        this->next_rebind = now + rebind_after;
    }
    this->repeat(now);
}

// Sends the packet in hand again, each time after a longer pause.
template <random_source R> void session<R>::repeat(time_point now)
{
    this->pause = std::min(this->pause * 3 / 2, last_repeat);
    if (this->now_in == phase::opening) {
        if (this->attempt < UINT8_MAX)
            ++this->attempt;
        this->send_open(now);
    } else if (this->last_heard < this->silent_from || this->received == 0) {
        // Nothing heard of this request yet: the submit itself may be lost.
        this->send_submit(now);
    } else {
        this->pull_gap(now);
    }
}

// ---- packets ------------------------------------------------------------

template <random_source R>
void session<R>::on_event(answer_arrived const& event, time_point now)
{
    if (this->now_in == phase::idle || !this->owns(event.message))
        return;
    std::visit(
        [this, now](auto const& one) {
            this->on_message(one, now);
        },
        event.message);
}

template <random_source R>
void session<R>::on_message(open_reply const& reply, time_point now)
{
    if (this->now_in != phase::opening ||
        reply.token.service != this->settings.service)
        return;
    // A flow key names one owner only: numbers start afresh with another, and
    // a late answer of the first owner must not pass for one of the second.
    if (this->token && *this->token != reply.token) {
        this->new_flow(now);
        this->send_open(now);
        return;
    }
    this->token = reply.token;
    this->last_heard = now;
    this->silent_from = now;
    this->pause = first_repeat;
    this->send_submit(now);
}

template <random_source R>
void session<R>::on_message(open_refusal const& refused, time_point now)
{
    if (this->now_in != phase::opening)
        return;
    bool const may_pass = refused.retry_after > duration{};
    if (!may_pass) {
        this->end(outcome_kind::not_run, refused.cause, now);
        return;
    }
    // Another target may take it: go on to the next in the ranking.
    this->attempt = static_cast<std::uint8_t>(this->attempt | 1U);
    this->next_repeat = now + std::min(refused.retry_after, first_repeat);
}

template <random_source R>
void session<R>::on_message(request_status const& status, time_point now)
{
    if (this->now_in != phase::asking || status.number != this->number ||
        status.service != this->settings.service)
        return;
    this->last_heard = now;
    this->silent_from = now;
    switch (status.state) {
    case request_state::queued:
    case request_state::running:
        this->pause = std::max(this->pause, poll_interval);
        this->next_repeat = now + this->pause;
        return;
    case request_state::finished:
        this->finished = status;
        this->have.resize((status.length + segment_size - 1) / segment_size);
        this->answer.resize(status.length);
        if (this->early_tail)
            this->take_bytes(*this->early_tail);
        this->finish_if_whole(now);
        return;
    case request_state::not_run:
        this->try_elsewhere(status.cause, outcome_kind::not_run,
                            status.retry_after, now);
        return;
    case request_state::unknown:
        if (this->wish.idempotent)
            this->try_elsewhere(status.cause, outcome_kind::unknown, duration{},
                                now);
        else
            this->end(outcome_kind::unknown, status.cause, now);
        return;
    }
}

// Another flow, within the retry budget and the deadline. Safe for any
// request that did not run, and for an idempotent one always.
template <random_source R>
void session<R>::try_elsewhere(reason why, outcome_kind kind, duration pause,
                               time_point now)
{
    bool const in_time = now + pause < this->began + this->wish.deadline;
    bool const moving = why == reason::leaving;
    bool const may_try = in_time && this->flows_used < most_flows_per_request &&
                         why != reason::timed_out;
    if (!may_try || !(moving || this->budget.spend())) {
        this->end(kind, why, now);
        return;
    }
    this->new_flow(now);
    if (pause == duration{}) {
        this->send_open(now);
        return;
    }
    this->now_in = phase::opening;
    this->next_repeat = now + pause;
}

// ---- answers ------------------------------------------------------------

template <random_source R>
void session<R>::take_bytes(answer_segment const& segment)
{
    // Only the last segment of an answer is shorter than the others.
    bool const whole = segment.bytes.size() == segment_size;
    bool const last = this->finished && segment.offset + segment.bytes.size() ==
                                            this->finished->length;
    if (!whole && !this->finished)
        this->early_tail = segment;  // it may be the last: kept until known
    if (!whole && !last)
        return;
    std::size_t const index = segment.offset / segment_size;
    if (index >= this->have.size()) {
        this->have.resize(index + 1);
        this->answer.resize(std::max<std::size_t>(
            this->answer.size(), segment.offset + segment.bytes.size()));
    }
    if (this->have[index])
        return;
    if (segment.offset + segment.bytes.size() > this->answer.size())
        return;
    this->answer.replace(segment.offset, segment.bytes.size(), segment.bytes);
    this->have[index] = true;
    this->received += segment.bytes.size();
    while (this->first_gap < this->have.size() && this->have[this->first_gap])
        ++this->first_gap;
}

template <random_source R>
void session<R>::on_message(answer_segment const& segment, time_point now)
{
    bool const aligned = segment.offset % segment_size == 0;
    bool const in_window = segment.offset < this->asked_to;
    if (this->now_in != phase::asking || segment.number != this->number ||
        segment.service != this->settings.service || !aligned || !in_window ||
        segment.bytes.empty() || segment.bytes.size() > segment_size)
        return;
    this->last_heard = now;
    this->silent_from = now;
    this->pause = first_repeat;
    this->next_repeat = now + this->pause;
    this->take_bytes(segment);
    this->effects.push_back(report_progress{
        this->received, this->finished ? this->finished->length : 0});
    this->finish_if_whole(now);
    // The next window is asked for while the rest of this one is on its way.
    bool const half =
        this->first_gap * segment_size + next_window >= this->asked_to;
    if (this->now_in == phase::asking && half)
        this->send_pull(this->asked_to, this->asked_to + next_window, now);
}

template <random_source R> void session<R>::finish_if_whole(time_point now)
{
    if (!this->finished || this->received < this->finished->length)
        return;
    if (digest{hash_bytes(this->answer)} == this->finished->content) {
        this->end(outcome_kind::complete, reason::none, now);
        return;
    }
    // The bytes are not what the target holds: fetch all of them again.
    this->have.assign(this->have.size(), false);
    this->received = 0;
    this->first_gap = 0;
    this->pull_gap(now);
}

}  // namespace lagoon
