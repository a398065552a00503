// Definitions of the templates in session.hpp.
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
        [this, now](auto const& alternative) {
            this->on_event(alternative, now);
        },
        event);
    return std::move(this->effects);
}

template <random_source R>
bool session<R>::matches(answer_message const& message) const
{
    flow_key const message_flow = std::visit(
        [](auto const& alternative) {
            if constexpr (requires { alternative.token; })
                return alternative.token.flow;
            else
                return alternative.flow;
        },
        message);
    return message_flow == this->key;
}

template <random_source R> flow_key session<R>::flow() const
{
    return this->key;
}

template <random_source R> bool session<R>::is_busy() const
{
    return this->current_phase != phase::idle;
}

// ---- sending ------------------------------------------------------------

template <random_source R>
void session<R>::send(caller_message const& message, time_point now)
{
    this->effects.push_back(send_packet{message});
    this->next_retransmit_at = now + this->retransmit_delay;
}

template <random_source R> void session<R>::send_open(time_point now)
{
    this->current_phase = phase::opening;
    this->send(open_request{this->settings.service, this->settings.caller,
                            this->key, this->open_attempt, 0, 0, this->token},
               now);
}

template <random_source R> void session<R>::send_submit(time_point now)
{
    this->current_phase = phase::awaiting_answer;
    this->is_submitted = true;
    duration const remaining_time =
        this->started_at + this->spec.deadline - now;
    this->requested_end = initial_window;
    this->send(submit_request{*this->token, this->number,
                              this->spec.is_idempotent, remaining_time,
                              this->spec.expected_run_time, this->spec.path,
                              this->spec.body},
               now);
}

template <random_source R>
void session<R>::send_pull(std::uint64_t begin, std::uint64_t end,
                           time_point now)
{
    this->requested_end = std::max(this->requested_end, end);
    this->send(pull_answer{*this->token, this->number, begin,
                           static_cast<std::uint32_t>(end - begin)},
               now);
}

// Pulls again from the first missing segment on.
template <random_source R> void session<R>::pull_missing(time_point now)
{
    std::uint64_t const begin = this->first_missing_segment * segment_size;
    std::uint64_t const end =
        std::max(begin + prefetch_size, this->requested_end);
    this->send_pull(begin, std::min<std::uint64_t>(end, begin + max_window),
                    now);
}

template <random_source R> void session<R>::start_flow(time_point now)
{
    this->key = flow_key{this->random()};
    this->token.reset();
    this->number = request_number{1};
    this->open_attempt = 0;
    this->is_submitted = false;
    this->final_status.reset();
    this->early_last_segment.reset();
    this->answer.clear();
    this->received_segments.clear();
    this->received_bytes = 0;
    this->first_missing_segment = 0;
    this->retransmit_delay = initial_retransmit_delay;
    this->silence_started_at = now;
    this->next_rebind_at = now + port_rebind_timeout;
    ++this->flows_used;
}

// ---- application events -------------------------------------------------

template <random_source R>
void session<R>::on_event(begin_request const& event, time_point now)
{
    this->spec = event.spec;
    this->started_at = now;
    this->flows_used = 0;
    this->budget.deposit();
    bool const is_flow_recent =
        this->token && now - this->last_received_at < flow_idle_timeout;
    if (!this->token) {
        this->start_flow(now);
        this->send_open(now);
        return;
    }
    flow_key const previous_key = this->key;
    std::optional<flow_token> const previous_token = this->token;
    request_number const next{this->number.value + 1};
    this->start_flow(now);
    this->key = previous_key;
    this->token = previous_token;
    this->number = next;
    if (is_flow_recent)
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
    this->current_phase = phase::idle;
}

template <random_source R> bool session<R>::is_overdue(time_point now) const
{
    duration const grace_period =
        this->is_submitted ? answer_grace_period : duration{};
    return now - this->started_at > this->spec.deadline + grace_period;
}

template <random_source R>
void session<R>::finish(outcome_kind kind, reason cause, time_point now)
{
    if (this->is_submitted && kind != outcome_kind::unknown)
        this->effects.push_back(
            send_packet{acknowledge_answer{*this->token, this->number}});
    // The result of a late idempotent request is not needed: cancelling it
    // frees its slot at the target.
    if (this->is_submitted && kind == outcome_kind::unknown &&
        this->spec.is_idempotent)
        this->effects.push_back(
            send_packet{cancel_request{*this->token, this->number}});
    this->effects.push_back(
        request_outcome{kind, cause, std::move(this->answer), this->flows_used,
                        this->token ? this->token->target : target_id{},
                        now - this->started_at});
    this->answer = {};
    this->current_phase = phase::idle;
    // The next request opens a new flow after a failure.
    if (kind != outcome_kind::complete)
        this->token.reset();
}

// ---- timer --------------------------------------------------------------

template <random_source R>
void session<R>::on_event(timer_expired const&, time_point now)
{
    if (this->current_phase == phase::idle || now < this->next_retransmit_at)
        return;
    if (this->is_overdue(now)) {
        // Without a submit the request can't have run. After one its outcome
        // is unknown, also for an idempotent request, where it doesn't matter.
        this->finish(this->is_submitted ? outcome_kind::unknown
                                        : outcome_kind::not_run,
                     reason::timed_out, now);
        return;
    }
    bool const is_unresponsive =
        now - this->silence_started_at > flow_response_timeout;
    bool const can_change_flow =
        this->spec.is_idempotent || !this->is_submitted;
    if (is_unresponsive && can_change_flow &&
        this->current_phase == phase::awaiting_answer) {
        this->retry_on_new_flow(reason::unreachable, outcome_kind::unknown,
                                duration{}, now);
        return;
    }
    bool const is_silent = now - this->silence_started_at > port_rebind_timeout;
    if (is_silent && now >= this->next_rebind_at) {
        this->effects.push_back(rebind_port{});
        this->next_rebind_at = now + port_rebind_timeout;
    }
    this->retransmit(now);
}

// Sends the last packet again and increases the delay until the next time.
template <random_source R> void session<R>::retransmit(time_point now)
{
    this->retransmit_delay =
        std::min(this->retransmit_delay * 3 / 2, max_retransmit_delay);
    if (this->current_phase == phase::opening) {
        if (this->open_attempt < UINT8_MAX)
            ++this->open_attempt;
        this->send_open(now);
    } else if (this->last_received_at < this->silence_started_at ||
               this->received_bytes == 0) {
        // No packet for this request yet: the submit itself may be lost.
        this->send_submit(now);
    } else {
        this->pull_missing(now);
    }
}

// ---- received packets ---------------------------------------------------

template <random_source R>
void session<R>::on_event(answer_received const& event, time_point now)
{
    if (this->current_phase == phase::idle || !this->matches(event.message))
        return;
    std::visit(
        [this, now](auto const& alternative) {
            this->on_message(alternative, now);
        },
        event.message);
}

template <random_source R>
void session<R>::on_message(open_reply const& reply, time_point now)
{
    if (this->current_phase != phase::opening ||
        reply.token.service != this->settings.service)
        return;
    // A flow key belongs to one owner: request numbers start again with another
    // owner, and a late answer of the first must not be taken for one of the
    // second.
    if (this->token && *this->token != reply.token) {
        this->start_flow(now);
        this->send_open(now);
        return;
    }
    this->token = reply.token;
    this->last_received_at = now;
    this->silence_started_at = now;
    this->retransmit_delay = initial_retransmit_delay;
    this->send_submit(now);
}

template <random_source R>
void session<R>::on_message(open_refusal const& refused, time_point now)
{
    if (this->current_phase != phase::opening)
        return;
    bool const is_temporary = refused.retry_after > duration{};
    if (!is_temporary) {
        this->finish(outcome_kind::not_run, refused.cause, now);
        return;
    }
    // Another target may accept the flow. The entry sends attempts 2n and
    // 2n + 1 to the target of rank n, so the next attempt must be even.
    this->open_attempt = static_cast<std::uint8_t>(this->open_attempt | 1U);
    this->next_retransmit_at =
        now + std::min(refused.retry_after, initial_retransmit_delay);
}

template <random_source R>
void session<R>::on_message(request_status const& status, time_point now)
{
    if (this->current_phase != phase::awaiting_answer ||
        status.number != this->number ||
        status.service != this->settings.service)
        return;
    this->last_received_at = now;
    this->silence_started_at = now;
    switch (status.state) {
    case request_state::queued:
    case request_state::running:
        this->retransmit_delay =
            std::max(this->retransmit_delay, status_poll_interval);
        this->next_retransmit_at = now + this->retransmit_delay;
        return;
    case request_state::finished:
        this->final_status = status;
        this->received_segments.resize((status.length + segment_size - 1) /
                                       segment_size);
        this->answer.resize(status.length);
        if (this->early_last_segment)
            this->store_segment(*this->early_last_segment);
        this->finish_if_complete(now);
        return;
    case request_state::not_run:
        this->retry_on_new_flow(status.cause, outcome_kind::not_run,
                                status.retry_after, now);
        return;
    case request_state::unknown:
        if (this->spec.is_idempotent)
            this->retry_on_new_flow(status.cause, outcome_kind::unknown,
                                    duration{}, now);
        else
            this->finish(outcome_kind::unknown, status.cause, now);
        return;
    }
}

// Retries on another flow, within the deadline and the retry budget. This is
// safe for a request that didn't run, and for any idempotent request. A refusal
// by a target that is leaving costs no budget.
template <random_source R>
void session<R>::retry_on_new_flow(reason cause, outcome_kind kind,
                                   duration delay, time_point now)
{
    bool const is_before_deadline =
        now + delay < this->started_at + this->spec.deadline;
    bool const is_leaving = cause == reason::leaving;
    bool const can_retry = is_before_deadline &&
                           this->flows_used < max_flows_per_request &&
                           cause != reason::timed_out;
    if (!can_retry || !(is_leaving || this->budget.try_withdraw())) {
        this->finish(kind, cause, now);
        return;
    }
    this->start_flow(now);
    if (delay == duration{}) {
        this->send_open(now);
        return;
    }
    this->current_phase = phase::opening;
    this->next_retransmit_at = now + delay;
}

// ---- answers ------------------------------------------------------------

template <random_source R>
void session<R>::store_segment(answer_segment const& segment)
{
    // Only the last segment of an answer may be short. Before the status the
    // length isn't known, so a short segment is kept until then.
    bool const is_full = segment.bytes.size() == segment_size;
    bool const is_last =
        this->final_status &&
        segment.offset + segment.bytes.size() == this->final_status->length;
    if (!is_full && !this->final_status)
        this->early_last_segment = segment;
    if (!is_full && !is_last)
        return;
    std::size_t const index = segment.offset / segment_size;
    if (index >= this->received_segments.size()) {
        this->received_segments.resize(index + 1);
        this->answer.resize(std::max<std::size_t>(
            this->answer.size(), segment.offset + segment.bytes.size()));
    }
    if (this->received_segments[index])
        return;
    if (segment.offset + segment.bytes.size() > this->answer.size())
        return;
    this->answer.replace(segment.offset, segment.bytes.size(), segment.bytes);
    this->received_segments[index] = true;
    this->received_bytes += segment.bytes.size();
    while (this->first_missing_segment < this->received_segments.size() &&
           this->received_segments[this->first_missing_segment])
        ++this->first_missing_segment;
}

template <random_source R>
void session<R>::on_message(answer_segment const& segment, time_point now)
{
    bool const is_aligned = segment.offset % segment_size == 0;
    bool const is_in_window = segment.offset < this->requested_end;
    if (this->current_phase != phase::awaiting_answer ||
        segment.number != this->number ||
        segment.service != this->settings.service || !is_aligned ||
        !is_in_window || segment.bytes.empty() ||
        segment.bytes.size() > segment_size)
        return;
    this->last_received_at = now;
    this->silence_started_at = now;
    this->retransmit_delay = initial_retransmit_delay;
    this->next_retransmit_at = now + this->retransmit_delay;
    this->store_segment(segment);
    this->effects.push_back(
        report_progress{this->received_bytes,
                        this->final_status ? this->final_status->length : 0});
    this->finish_if_complete(now);
    // Requests the next window when half of this one has arrived.
    bool const is_half_received =
        this->first_missing_segment * segment_size + prefetch_size >=
        this->requested_end;
    if (this->current_phase == phase::awaiting_answer && is_half_received)
        this->send_pull(this->requested_end,
                        this->requested_end + prefetch_size, now);
}

template <random_source R> void session<R>::finish_if_complete(time_point now)
{
    if (!this->final_status ||
        this->received_bytes < this->final_status->length)
        return;
    if (digest{hash_bytes(this->answer)} == this->final_status->content) {
        this->finish(outcome_kind::complete, reason::none, now);
        return;
    }
    // The digest doesn't match the bytes: pull the whole answer again.
    this->received_segments.assign(this->received_segments.size(), false);
    this->received_bytes = 0;
    this->first_missing_segment = 0;
    this->pull_missing(now);
}

}  // namespace lagoon
