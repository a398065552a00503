// Implementation of target.hpp.
#pragma once

namespace lagoon {

namespace detail {

constexpr duration expiry_interval = std::chrono::seconds{1};
constexpr duration leaving_retry_after = std::chrono::milliseconds{1};
constexpr duration refused_open_retry_after = std::chrono::milliseconds{200};

inline request_key make_request_key(flow_token const& token,
                                    request_number number)
{
    return {token.flow, number};
}

// Returns the status of a request without a record.
inline request_status make_status(flow_token const& token,
                                  request_number number, request_state state,
                                  reason cause)
{
    return {token.service, token.flow, number, state, cause, 0, {}, {}};
}

inline std::optional<time_point> compute_deadline(submit_request const& submit,
                                                  time_point now)
{
    if (submit.deadline <= duration{})
        return std::nullopt;
    return now + submit.deadline;
}

// Returns whether a path can be sent to the back end without escaping.
inline bool is_plain_path(std::string const& path)
{
    auto const plain = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '/' || c == '-' || c == '_';
    };
    return !path.empty() && path.size() <= max_path_size &&
           std::all_of(path.begin(), path.end(), plain);
}

inline bool is_copy(request_record const& existing,
                    submit_request const& submit)
{
    return existing.path == submit.path && existing.body == submit.body &&
           existing.is_idempotent == submit.is_idempotent;
}

// Returns whether a start would be wasted, because the deadline has passed
// (for instance while the process was paused) or the run is predicted to end
// after it. The prediction is limited to half of the time between arrival and
// deadline: a wrong prediction above that would refuse every request of its
// kind, and no run would ever correct it.
inline bool is_too_late(request_record const& queued, duration predicted_time,
                        time_point now)
{
    if (!queued.deadline)
        return false;
    duration const total_time = *queued.deadline - queued.arrived_at;
    return now + std::min(predicted_time, total_time / 2) > *queued.deadline;
}

inline request_class make_request_class(request_record const& record)
{
    return {record.caller, hash_bytes(record.path), record.declared_time};
}

}  // namespace detail

template <target_policy P>
target<P>::target(target_settings settings, membership_settings peers,
                  typename P::random random, time_point now)
    : settings(settings),
      issuer(settings.self, settings.own_epoch, settings.key),
      flows(settings.flows), answers(settings.max_answer_bytes),
      admission_control(settings.admission, now),
      member(std::move(peers), std::move(random), now)
{
}

template <target_policy P>
target_effects target<P>::on(target_event const& event, time_point now)
{
    this->effects.clear();
    std::visit(
        [this, now](auto const& one) {
            this->on_event(one, now);
        },
        event);
    return std::move(this->effects);
}

template <target_policy P> catalog const& target<P>::configuration() const
{
    return this->current_catalog;
}

template <target_policy P> bool target<P>::is_ready(time_point now) const
{
    return !this->is_stop_requested &&
           this->member.is_ready(this->current_catalog, now);
}

template <target_policy P>
duration target<P>::platform_age(time_point now) const
{
    return this->member.platform_age(now);
}

template <target_policy P> bool target<P>::is_stopping() const
{
    return this->is_stop_requested;
}

template <target_policy P> bool target<P>::is_idle() const
{
    return this->requests.size() == 0;
}

template <target_policy P> std::size_t target<P>::open_flow_count() const
{
    return this->flows.size();
}

template <target_policy P> std::size_t target<P>::request_count() const
{
    return this->requests.size();
}

// ---- load and messages --------------------------------------------------

template <target_policy P> std::uint32_t target<P>::load(time_point now)
{
    return this->admission_control.load() +
           static_cast<std::uint32_t>(this->expected.count(now));
}

template <target_policy P>
void target<P>::add_failure(step at, reason cause, peer_address peer,
                            std::string detail)
{
    this->effects.push_back(
        report_failure{failure{at, cause, peer, std::move(detail)}});
}

template <target_policy P>
void target<P>::send_message(reply_path const& reply_to,
                             answer_message const& message)
{
    this->effects.push_back(send_outbound{
        reply_to.entry, outbound_packet{reply_to.caller, {}, message}});
}

template <target_policy P> void target<P>::send_status(request_key key)
{
    request_record const* record = this->requests.find(key);
    if (record == nullptr)
        return;
    answer_summary const size = record->state == request_state::finished
                                    ? this->answers.summarise(key)
                                    : answer_summary{};
    this->send_message(record->reply_to,
                       request_status{record->service, key.flow, key.number,
                                      record->state, record->cause, size.length,
                                      size.content, record->retry_after});
}

template <target_policy P>
void target<P>::send_segments(request_key key, std::uint64_t begin,
                              std::uint64_t end)
{
    request_record const* record = this->requests.find(key);
    // During the run the last segment may still be incomplete.
    std::uint64_t const length = this->answers.length(key);
    bool const is_finished = record->state == request_state::finished;
    std::uint64_t const sendable_length =
        is_finished ? length : length / segment_size * segment_size;
    std::uint64_t const sendable_end =
        std::min<std::uint64_t>(end, sendable_length);
    for (std::uint64_t at = begin; at < sendable_end; at += segment_size)
        this->send_message(record->reply_to,
                           answer_segment{record->service, key.flow, key.number,
                                          at, this->answers.slice(key, at)});
}

// ---- packets ------------------------------------------------------------

template <target_policy P>
void target<P>::on_event(inbound_received const& event, time_point now)
{
    inbound_packet const& packet = event.packet;
    peer_address const entry =
        packet.entry == peer_address{} ? event.from : packet.entry;
    reply_path const reply_to{entry, packet.caller};
    std::visit(
        [&](auto const& message) {
            this->on_message(reply_to, message, event, now);
        },
        packet.message);
}

// ---- opening ------------------------------------------------------------

template <target_policy P>
bool target<P>::accepts_new_requests(service_id service, time_point now) const
{
    auto const found = this->leaving_since.find(service);
    return found == this->leaving_since.end() ||
           now - found->second < leave_grace_period;
}

// Model step `admit`. A target admits no new flows once it has learnt that it
// is leaving.
template <target_policy P>
std::optional<reason>
target<P>::find_open_refusal_cause(open_request const& open,
                                   time_point now) const
{
    if (!this->is_ready(now))
        return this->is_stop_requested ? reason::leaving : reason::stale;
    std::optional<target_state> const state =
        this->current_catalog.find_state(open.service, this->settings.self);
    if (!state)
        return reason::wrong_service;
    if (*state == target_state::leaving)
        return reason::leaving;
    if (!this->current_catalog.is_permitted(open.service, open.caller))
        return reason::not_permitted;
    return std::nullopt;
}

template <target_policy P>
void target<P>::on_message(reply_path const& reply_to, open_request const& open,
                           inbound_received const& event, time_point now)
{
    bool const is_known_flow = this->flows.find(open.flow).has_value();
    std::optional<reason> const refused =
        this->find_open_refusal_cause(open, now);
    bool const is_continued =
        is_known_flow && this->accepts_new_requests(open.service, now);
    if (refused && !is_continued) {
        this->add_failure(step::open_flow, *refused, event.from,
                          "open refused");
        this->send_message(reply_to,
                           open_refusal{open.service, open.flow, *refused,
                                        detail::refused_open_retry_after});
        return;
    }
    if (!is_known_flow && this->try_forward_open(reply_to, event, open, now))
        return;
    this->admit_flow(reply_to, open, event.packet.forwarded_by, now);
}

// Power of two choices: the first-ranked target forwards an open to the second
// if all its slots are in use. The second returns it unless its load is lower.
template <target_policy P>
bool target<P>::try_forward_open(reply_path const& reply_to,
                                 inbound_received const& event,
                                 open_request const& open, time_point now)
{
    std::uint32_t const own_load = this->load(now);
    open_request forwarded = open;
    forwarded.hops = static_cast<std::uint8_t>(open.hops + 1);
    forwarded.load = own_load;
    if (open.hops == 1 && own_load >= open.load) {
        this->effects.push_back(
            forward_open{event.from,
                         {reply_to.caller, reply_to.entry,
                          event.packet.forwarded_by, forwarded}});
        return true;
    }
    bool const is_busy =
        P::forwards_opens && own_load >= this->admission_control.slots();
    if (open.hops != 0 || open.attempt > 1 || !is_busy)
        return false;
    service_part const* part = this->current_catalog.find_service(open.service);
    std::vector<target_record const*> const ranked =
        rank_targets(*part, open.flow);
    if (ranked.size() < 2 || ranked[0]->id != this->settings.self)
        return false;
    this->effects.push_back(forward_open{
        ranked[1]->address,
        {reply_to.caller, reply_to.entry, this->settings.address, forwarded}});
    return true;
}

template <target_policy P>
void target<P>::admit_flow(reply_path const& reply_to, open_request const& open,
                           peer_address forwarded_by, time_point now)
{
    failure error;
    bool const is_new_flow = !this->flows.find(open.flow).has_value();
    std::optional<flow_record> const flow =
        this->flows.open(open.flow, open.service, open.caller, now, error);
    if (!flow) {
        this->add_failure(error.failed_step, error.cause, reply_to.caller,
                          error.detail);
        this->send_message(reply_to,
                           open_refusal{open.service, open.flow, error.cause,
                                        detail::refused_open_retry_after});
        return;
    }
    if (is_new_flow)
        this->expected.add(open.flow, now);
    time_point const issued{duration{flow->issued_at}};
    flow_token const token =
        this->issuer.issue(open.service, open.flow, issued);
    this->effects.push_back(send_outbound{
        reply_to.entry,
        outbound_packet{reply_to.caller, forwarded_by, open_reply{token}}});
}

// ---- requests -----------------------------------------------------------

template <target_policy P>
std::optional<flow_record>
target<P>::verify_flow(flow_token const& token, time_point now, failure& error)
{
    if (!this->issuer.verify(token, error))
        return std::nullopt;
    return this->flows.touch(token, now, error);
}

// The reply for a token of another epoch or of a closed flow is `unknown`,
// never `not_run`: this process can't know what ran before it started or what
// it has erased.
template <target_policy P>
std::optional<flow_record>
target<P>::find_flow_of_request(reply_path const& reply_to,
                                flow_token const& token, request_number number,
                                time_point now)
{
    failure error;
    std::optional<flow_record> const flow =
        this->verify_flow(token, now, error);
    if (flow && !this->is_settled({token.flow, number}, *flow))
        return flow;
    if (flow)
        error = {step::verify_token, reason::expired, {}, "request is settled"};
    this->add_failure(error.failed_step, error.cause, reply_to.caller,
                      error.detail);
    if (error.cause == reason::bad_token)
        return std::nullopt;  // no reply to forged tokens
    this->send_message(reply_to, detail::make_status(token, number,
                                                     request_state::unknown,
                                                     error.cause));
    return std::nullopt;
}

template <target_policy P>
void target<P>::on_message(reply_path const& reply_to,
                           submit_request const& submit,
                           inbound_received const&, time_point now)
{
    std::optional<flow_record> const flow =
        this->find_flow_of_request(reply_to, submit.token, submit.number, now);
    if (!flow)
        return;
    request_key const key =
        detail::make_request_key(submit.token, submit.number);
    this->expected.remove(key.flow);
    request_record const* existing = this->requests.find(key);
    if (existing != nullptr && !detail::is_copy(*existing, submit)) {
        // Another request has the same number, so this one never runs.
        this->send_message(reply_to,
                           detail::make_status(submit.token, submit.number,
                                               request_state::not_run,
                                               reason::duplicate));
        return;
    }
    if (existing == nullptr)
        this->admit_request(key, *flow, submit, now);
    if (this->requests.find(key) == nullptr)
        return;
    this->requests.record_query(key, reply_to, initial_window, now);
    this->start_runs(now);
    this->send_status(key);
    this->send_segments(key, 0, initial_window);
}

template <target_policy P>
void target<P>::admit_request(request_key key, flow_record const& flow,
                              submit_request const& submit, time_point now)
{
    if (key.number.value > flow.low_watermark.value + max_requests_per_flow)
        return;  // dropped: the caller retries after earlier ones are settled
    flow_record counted = flow;
    ++counted.pending_requests;
    this->flows.replace(key.flow, counted);
    request_record const record = this->requests.accept(
        key, request_record{.service = flow.service,
                            .caller = flow.caller,
                            .is_idempotent = submit.is_idempotent,
                            .declared_time = submit.declared_time,
                            .path = submit.path,
                            .body = submit.body,
                            .arrived_at = now,
                            .deadline = detail::compute_deadline(submit, now)});
    if (!this->accepts_new_requests(flow.service, now)) {
        this->refuse_request(
            key, {reason::leaving, detail::leaving_retry_after}, now);
        return;
    }
    if (!detail::is_plain_path(submit.path)) {
        this->refuse_request(key, {reason::malformed, {}}, now);
        return;
    }
    std::optional<refusal> const refused =
        this->admission_control.enqueue(key, detail::make_request_class(record),
                                        request_urgency{record.deadline}, now);
    if (refused)
        this->refuse_request(key, *refused, now);
}

template <target_policy P>
void target<P>::refuse_request(request_key key, refusal const& refused,
                               time_point now)
{
    if (this->requests.refuse(key, refused.cause, refused.retry_after))
        this->report_settled(key, now);
}

template <target_policy P> void target<P>::refuse_overdue(time_point now)
{
    for (request_key const key : this->requests.find_overdue(now)) {
        this->admission_control.release(key);
        this->refuse_request(key, {reason::timed_out, {}}, now);
        this->send_status(key);
    }
}

template <target_policy P> void target<P>::start_runs(time_point now)
{
    while (!this->answers.is_full()) {
        std::optional<waiting_request> const selected =
            this->admission_control.start_next(now);
        if (!selected)
            return;
        request_record const* queued = this->requests.find(selected->key);
        if (queued != nullptr &&
            detail::is_too_late(*queued, selected->predicted_time, now)) {
            this->admission_control.release(selected->key);
            this->refuse_request(selected->key, {reason::timed_out, {}}, now);
            this->send_status(selected->key);
            continue;
        }
        run_id const run{++this->last_run_id};
        std::optional<request_record> const record =
            this->requests.start(selected->key, run, now);
        if (!record) {
            this->admission_control.release(selected->key);
            continue;
        }
        this->begin_run(run, selected->key, *record, now);
    }
}

template <target_policy P>
void target<P>::begin_run(run_id run, request_key key,
                          request_record const& record, time_point now)
{
    this->runs.insert_or_assign(run, key);
    duration const time_left =
        record.deadline ? *record.deadline - now : duration{};
    this->effects.push_back(start_run{run, record.service, key, record.path,
                                      record.body, time_left});
}

template <target_policy P>
void target<P>::on_message(reply_path const& reply_to,
                           cancel_request const& cancel,
                           inbound_received const&, time_point now)
{
    std::optional<flow_record> const flow =
        this->find_flow_of_request(reply_to, cancel.token, cancel.number, now);
    request_key const key =
        detail::make_request_key(cancel.token, cancel.number);
    request_record const* record = this->requests.find(key);
    if (!flow || record == nullptr)
        return;
    this->requests.record_query(key, reply_to, 0, now);
    if (record->state == request_state::queued) {
        this->admission_control.release(key);
        this->refuse_request(key, {reason::none, {}}, now);
    } else if (record->state == request_state::running) {
        this->effects.push_back(cancel_run{record->run});
    }
    this->send_status(key);
}

template <target_policy P>
void target<P>::on_message(reply_path const& reply_to, pull_answer const& pull,
                           inbound_received const&, time_point now)
{
    std::optional<flow_record> const flow =
        this->find_flow_of_request(reply_to, pull.token, pull.number, now);
    request_key const key = detail::make_request_key(pull.token, pull.number);
    if (!flow || this->requests.find(key) == nullptr)
        return;  // the submit may still arrive
    std::uint32_t const length = std::min(pull.length, max_window);
    this->requests.record_query(key, reply_to, pull.offset + length, now);
    this->send_status(key);
    this->send_segments(key, pull.offset, pull.offset + length);
}

template <target_policy P>
void target<P>::on_message(reply_path const& reply_to,
                           acknowledge_answer const& acknowledgement,
                           inbound_received const&, time_point now)
{
    failure error;
    if (!this->verify_flow(acknowledgement.token, now, error)) {
        this->add_failure(error.failed_step, error.cause, reply_to.caller,
                          error.detail);
        return;
    }
    request_key const key =
        detail::make_request_key(acknowledgement.token, acknowledgement.number);
    request_record const* record = this->requests.find(key);
    if (record == nullptr || record->state == request_state::queued ||
        record->state == request_state::running)
        return;
    this->erase_settled(key);
}

// Returns whether the request was settled and erased: its number is at or
// below the low watermark of the flow, or above it while an earlier request is
// still pending.
template <target_policy P>
bool target<P>::is_settled(request_key key, flow_record const& flow) const
{
    return key.number <= flow.low_watermark ||
           this->settled_out_of_order.contains(key);
}

// Model step `forget`. Erases a settled request. The low watermark of its flow
// rejects later copies.
template <target_policy P> void target<P>::erase_settled(request_key key)
{
    this->answers.discard(key);
    this->requests.erase(key);
    std::optional<flow_record> const flow = this->flows.find(key.flow);
    if (!flow)
        return;
    this->settled_out_of_order.insert(key);
    flow_record next = *flow;
    next.pending_requests =
        next.pending_requests > 0 ? next.pending_requests - 1 : 0;
    while (this->settled_out_of_order.erase(
               {key.flow, request_number{next.low_watermark.value + 1}}) > 0)
        next.low_watermark = request_number{next.low_watermark.value + 1};
    this->flows.replace(key.flow, next);
}

// Erases the numbers of a closed flow's settled requests. They are no longer
// needed, because the token of the flow is refused.
template <target_policy P> void target<P>::erase_settled_of(flow_key flow)
{
    auto const from = this->settled_out_of_order.lower_bound({flow, {}});
    auto to = from;
    while (to != this->settled_out_of_order.end() && to->flow == flow)
        ++to;
    this->settled_out_of_order.erase(from, to);
}

template <target_policy P>
void target<P>::on_message(reply_path const& reply_to, close_flow const& close,
                           inbound_received const&, time_point now)
{
    failure error;
    std::optional<flow_record> const flow =
        this->verify_flow(close.token, now, error);
    if (!flow)
        this->add_failure(error.failed_step, error.cause, reply_to.caller,
                          error.detail);
    else if (flow->pending_requests == 0) {
        this->flows.close(close.token.flow);
        this->erase_settled_of(close.token.flow);
    }
}

// ---- runs ---------------------------------------------------------------

template <target_policy P>
void target<P>::on_event(run_output const& event, time_point)
{
    auto const found = this->runs.find(event.run);
    if (found == this->runs.end())
        return;
    request_key const key = found->second;
    std::uint64_t const before = this->answers.length(key);
    this->answers.append(key, event.bytes);
    request_record const* record = this->requests.find(key);
    // Starts at the segment that was incomplete before. The last segment is
    // sent when the run ends.
    std::uint64_t const begin = before / segment_size * segment_size;
    this->send_segments(key, begin, record->requested_end);
}

template <target_policy P>
void target<P>::on_event(run_ended const& event, time_point now)
{
    auto const found = this->runs.find(event.run);
    if (found == this->runs.end())
        return;
    request_key const key = found->second;
    this->runs.erase(found);
    this->admission_control.finish(key, now);
    switch (event.outcome) {
    case back_end_outcome::completed:
        this->answers.finalise(key);
        this->requests.finish(key);
        break;
    case back_end_outcome::shed:
    case back_end_outcome::unreachable:
        this->requests.undo_start(key, reason::overloaded, event.retry_after);
        break;
    case back_end_outcome::lost:
        this->answers.discard(key);
        this->requests.mark_unknown(key, reason::unreachable);
        break;
    }
    this->report_settled(key, now);
    this->send_status(key);
    request_record const* record = this->requests.find(key);
    std::uint64_t const complete_length =
        this->answers.length(key) / segment_size * segment_size;
    this->send_segments(key, complete_length, record->requested_end);
    this->start_runs(now);
}

template <target_policy P>
void target<P>::report_settled(request_key key, time_point now)
{
    request_record const* record = this->requests.find(key);
    bool const has_run = record->started_at != time_point{};
    duration const wait_time =
        (has_run ? record->started_at : now) - record->arrived_at;
    this->effects.push_back(request_settled{record->service, record->state,
                                            record->cause, wait_time,
                                            now - record->arrived_at});
}

// ---- configuration and time ---------------------------------------------

template <target_policy P>
void target<P>::on_event(digest_packet const& event, time_point now)
{
    detail::append(this->effects,
                   this->member.handle_digest(event.from, event.message,
                                              this->current_catalog, now));
}

template <target_policy P>
void target<P>::on_event(update_packet const& event, time_point now)
{
    handle_update(this->effects, this->current_catalog, this->member, event,
                  now);
    this->update_leaving_services(event.message.change, now);
}

template <target_policy P>
void target<P>::on_event(change_received const& event, time_point now)
{
    handle_change(this->effects, this->current_catalog, this->member, event,
                  now);
    if (event.change)
        this->update_leaving_services(*event.change, now);
}

// Records since when each service of this target has been leaving it. Checks
// only services that have listed the target, because the catalog is large.
template <target_policy P>
void target<P>::update_leaving_services(catalog_change const& change,
                                        time_point now)
{
    auto const add_if_listed = [this](service_id id) {
        if (this->current_catalog.find_state(id, this->settings.self))
            this->own_services.insert(id);
    };
    for (service_part const& part : change.parts)
        add_if_listed(part.id);
    for (service_delta const& delta : change.deltas)
        add_if_listed(delta.id);
    for (service_id const id : this->own_services) {
        std::optional<target_state> const state =
            this->current_catalog.find_state(id, this->settings.self);
        bool const is_leaving = !state || *state == target_state::leaving;
        if (is_leaving)
            this->leaving_since.try_emplace(id, now);
        else
            this->leaving_since.erase(id);
    }
}

template <target_policy P>
void target<P>::on_event(change_unavailable const& event, time_point now)
{
    this->member.handle_failure(event.source, this->current_catalog, now);
    this->effects.push_back(report_failure{event.error});
}

template <target_policy P>
void target<P>::on_event(clock_tick const&, time_point now)
{
    detail::append(this->effects,
                   this->member.tick(this->current_catalog, now));
    this->refuse_overdue(now);
    this->start_runs(now);
    for (flow_key const expired : this->flows.sweep(now))
        this->erase_settled_of(expired);
    if (now - this->last_expiry < detail::expiry_interval)
        return;
    this->last_expiry = now;
    duration const lifetime = this->is_stop_requested
                                  ? stopping_request_lifetime
                                  : settled_request_lifetime;
    for (request_key const key : this->requests.find_abandoned(now, lifetime))
        this->erase_settled(key);
}

template <target_policy P>
void target<P>::on_event(stop_requested const&, time_point now)
{
    this->is_stop_requested = true;
    for (service_id const id : this->own_services)
        this->leaving_since.try_emplace(id, now);
}

}  // namespace lagoon
