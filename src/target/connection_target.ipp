// Implementation of connection_target.hpp.
#pragma once

namespace lagoon {

namespace detail {

inline request_key make_request_key(connection_endpoints const& endpoints)
{
    return {make_flow_key(endpoints), {}};
}

inline request_urgency make_urgency(packet_offer const& offer, time_point now)
{
    if (!offer.attributes)
        return {};
    time_point const requested_at = now - offer.attributes->age;
    request_urgency urgency{};
    urgency.priority = offer.attributes->priority;
    if (offer.attributes->deadline > duration{})
        urgency.deadline = requested_at + offer.attributes->deadline;
    if (offer.attributes->objective > duration{})
        urgency.objective = requested_at + offer.attributes->objective;
    return urgency;
}

// Returns the generation of the entry's catalog; 0 without attributes.
inline generation get_generation(packet_offer const& offer)
{
    return offer.attributes ? offer.attributes->config_generation
                            : generation{};
}

}  // namespace detail

template <queue_policy Q, running_time_predictor T>
connection_target<Q, T>::connection_target(connection_target_settings settings,
                                           time_point now)
    : settings(settings), admission_control(settings.admission, now),
      connections(settings.connections),
      completeness({.max_connection_age = settings.max_connection_age},
                   settings.is_table_complete, settings.process_started_at_ms,
                   now),
      health(settings.health), open_limit(now), usual_load(now)
{
}

template <queue_policy Q, running_time_predictor T>
connection_target_effects
connection_target<Q, T>::on(connection_target_event const& event,
                            time_point now)
{
    connection_target_effects effects;
    std::visit(
        [this, &effects, now](auto const& one) {
            this->on_event(effects, one, now);
        },
        event);
    this->usual_load.record({this->admission_control.running_count(),
                             this->connections.open_count()},
                            now);
    return effects;
}

template <queue_policy Q, running_time_predictor T>
std::optional<time_point>
connection_target<Q, T>::next_due(time_point now) const
{
    // Interval of the check for queued requests that can't be served in time.
    constexpr duration queue_interval = std::chrono::milliseconds{20};
    std::optional<time_point> due = this->monitor.next_due();
    if (this->admission_control.queue_length() > 0)
        due =
            std::min(due.value_or(now + queue_interval), now + queue_interval);
    // Only a time to come: a slot may be missing, too.
    time_point const next_open = this->open_limit.next_allowed(now);
    if (this->admission_control.queue_length() > 0 && next_open > now)
        due = std::min(*due, next_open);
    return due;
}

template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::can_stop(time_point now) const
{
    if (!this->stopping_since)
        return false;
    if (now - *this->stopping_since > this->settings.max_stop_time)
        return true;
    return this->admission_control.queue_length() == 0 &&
           !this->connections.has_connection_used_within(
               this->settings.min_idle_before_stop, now);
}

template <queue_policy Q, running_time_predictor T>
std::size_t connection_target<Q, T>::connection_count() const
{
    return this->connections.size();
}

template <queue_policy Q, running_time_predictor T>
std::uint32_t connection_target<Q, T>::load() const
{
    return this->admission_control.load();
}

template <queue_policy Q, running_time_predictor T>
request_class connection_target<Q, T>::make_request_class(
    connection_endpoints const& endpoints, peer_address route) const
{
    return {{endpoints.caller.ip}, hash_pair(route.ip, route.port), {}};
}

template <queue_policy Q, running_time_predictor T>
tracking_note
connection_target<Q, T>::make_note(tracking_result result,
                                   connection_endpoints const& endpoints,
                                   duration elapsed) const
{
    return {.result = result,
            .endpoints = endpoints,
            .load = this->admission_control.load(),
            .slots = this->admission_control.slots(),
            .elapsed = elapsed};
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::reply(effects_type& effects,
                                    entry_offer const& event,
                                    offer_verdict verdict,
                                    bool is_packet_returned, time_point now)
{
    bool const is_query = event.offer.query != query_id{};
    if (!is_query && !is_packet_returned)
        return;
    effects.push_back(reply_to_entry{
        event.from, this->make_reply(event.offer.query, verdict,
                                     is_query ? "" : event.packet.bytes, now)});
}

template <queue_policy Q, running_time_predictor T>
offer_reply connection_target<Q, T>::make_reply(query_id query,
                                                offer_verdict verdict,
                                                std::string const& bytes,
                                                time_point now) const
{
    return {query,
            verdict,
            this->reported_load(now),
            this->admission_control.slots(),
            bytes,
            this->usual_load.estimate(now)};
}

// ---- health of the back end ---------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::record_outcome(
    effects_type& effects, connection_endpoints const& endpoints,
    request_result result, time_point now)
{
    if (this->health.record_result(result, now))
        effects.push_back(this->make_note(this->health.is_unhealthy()
                                              ? tracking_result::unwell
                                              : tracking_result::well,
                                          endpoints, {}));
}

template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::is_unhealthy(time_point now) const
{
    return this->health.is_unhealthy() ||
           this->admission_control.has_stuck_request(
               this->settings.stuck_factor, this->settings.min_stuck_time, now);
}

// An unhealthy back end gets trial requests, one at a time and at intervals.
template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::try_start(entry_offer const& event,
                                        time_point now)
{
    if (!this->admission_control.has_free_slot(now) ||
        !this->open_limit.may_send(now))
        return false;
    if (!this->is_unhealthy(now))
        return true;
    bool const is_retryable =
        !event.offer.attributes || event.offer.attributes->is_retryable;
    if (this->admission_control.load() > 0 ||
        !this->health.may_send_trial(is_retryable, now))
        return false;
    this->health.record_trial(now);
    return true;
}

template <queue_policy Q, running_time_predictor T>
std::uint32_t connection_target<Q, T>::reported_load(time_point now) const
{
    std::uint32_t const slots = this->admission_control.slots();
    std::uint32_t const extra_load =
        this->is_unhealthy(now) ? this->settings.unhealthy_load_per_slot : 0;
    std::uint32_t const load =
        this->admission_control.load() + extra_load * slots;
    std::optional<start_pace> const pace = this->open_limit.pace(now);
    if (!pace || pace->until_first <= duration{})
        return load;
    // Until the limit of a cold back end permits the next opening packet, the
    // target counts as full, with the requests that the slots could serve while
    // another request waits.
    auto const queue_length =
        static_cast<std::int64_t>(this->admission_control.queue_length());
    duration const wait = pace->until_first + pace->interval * queue_length;
    auto const requests =
        static_cast<std::uint32_t>(wait / default_running_time);
    return std::max(load, slots) + requests * slots;
}

// ---- the back end -------------------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects,
                                       packet_from_back_end const& event,
                                       time_point now)
{
    connection_packet const& packet = event.packet;
    this->monitor.record_packet(packet.endpoints, now);
    connection_record const* found = this->connections.find(packet.endpoints);
    connection_record next =
        found != nullptr ? *found
                         : connection_record{.stage = connection_stage::open,
                                             .route = packet.endpoints.service,
                                             .stage_since = now};
    bool const is_adopted = found == nullptr ||
                            found->stage == connection_stage::unverified ||
                            found->stage == connection_stage::not_owned;
    if (is_adopted)
        effects.push_back(
            this->make_note(tracking_result::adopted, packet.endpoints, {}));
    if (packet.is_accepting || is_adopted)
        next.stage = connection_stage::open;
    bool const is_answer =
        packet.data_size > 0 && next.stage == connection_stage::requested;
    bool const is_end = packet.is_finishing || packet.is_reset;
    // The packet that ends an answer may arrive before its data, so only a
    // reset counts as an incomplete answer.
    bool const is_answer_reset =
        packet.is_reset && next.stage == connection_stage::requested;
    // A back end that reports to be full while it has free slots has failed,
    // too.
    bool const is_full =
        this->admission_control.load() > this->admission_control.slots();
    bool const has_failed = is_answer_reset ||
                            event.report == answer_report::failed ||
                            (event.report == answer_report::full && !is_full);
    if (is_answer || is_answer_reset)
        this->record_outcome(effects, packet.endpoints,
                             has_failed ? request_result::failed
                                        : request_result::answered,
                             now);
    if (is_answer) {
        effects.push_back(this->make_note(tracking_result::answered,
                                          packet.endpoints,
                                          now - next.stage_since));
        next.stage = connection_stage::responding;
    }
    next.last_used = now;
    next.target_sequence =
        packet.sequence + packet.data_size + (packet.is_accepting ? 1U : 0U);
    next.has_sequence = true;
    next.is_target_finished = next.is_target_finished || is_end;
    next.is_caller_finished = next.is_caller_finished || packet.is_reset;
    this->connections.put(packet.endpoints, next);
    effects.push_back(forward_to_caller{packet.endpoints.caller, packet.bytes});
    if (is_answer || is_end) {
        this->admission_control.finish(
            detail::make_request_key(packet.endpoints), now);
        this->start_queued(effects, now);
    }
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects,
                                       packet_returned const& event,
                                       time_point now)
{
    connection_packet const& packet = event.packet;
    connection_record const* found = this->connections.find(packet.endpoints);
    connection_record const record =
        found != nullptr ? *found : connection_record{};
    tracking_note note = this->make_note(
        tracking_result::returned, packet.endpoints, now - record.stage_since);
    note.entry = record.entry;
    this->admission_control.release(detail::make_request_key(packet.endpoints));
    bool const is_connection_lost =
        found != nullptr && !packet.is_opening && record.has_sequence &&
        acknowledges_sent_data(record, packet) &&
        record.stage != connection_stage::unverified &&
        record.stage != connection_stage::not_owned;
    if (is_connection_lost) {
        // The back end held the connection and lost it in a restart.
        note.result = tracking_result::gone;
        this->connections.erase(packet.endpoints);
        effects.push_back(note);
        if (!packet.is_reset)
            effects.push_back(reset_connection{packet});
        return;
    }
    effects.push_back(note);
    if (packet.is_opening) {
        this->monitor.record_refusal(packet.endpoints, now);
        this->connections.erase(packet.endpoints);
    } else {
        connection_record next = record;
        next.stage = connection_stage::not_owned;
        next.last_used = now;
        this->connections.put(packet.endpoints, next);
    }
    if (record.entry != peer_address{})
        effects.push_back(reply_to_entry{
            record.entry,
            this->make_reply({},
                             packet.is_opening ? offer_verdict::no_answer
                                               : offer_verdict::not_owner,
                             packet.bytes, now)});
    this->start_queued(effects, now);
}

// ---- time ---------------------------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects, clock_tick const&,
                                       time_point now)
{
    for (unanswered_open const& one : this->monitor.take_overdue(now)) {
        connection_record const* record = this->connections.find(one.endpoints);
        if (record == nullptr || record->stage != connection_stage::opening)
            continue;
        tracking_note note = this->make_note(tracking_result::unanswered,
                                             one.endpoints, now - one.sent_at);
        note.entry = record->entry;
        effects.push_back(note);
        effects.push_back(reply_to_entry{
            record->entry,
            this->make_reply({}, offer_verdict::no_answer, one.bytes, now)});
        this->admission_control.release(
            detail::make_request_key(one.endpoints));
    }
    for (waiting_request const& one :
         this->admission_control.remove_expired(now)) {
        std::optional<waiting_open> const open =
            this->queued_opens.take(one.key.flow);
        if (!open)
            continue;
        this->connections.erase(open->packet.endpoints);
        tracking_note note =
            this->make_note(tracking_result::refused, open->packet.endpoints,
                            now - one.arrived_at);
        note.entry = open->entry;
        note.retransmission_count = open->packet.retransmission_count;
        effects.push_back(note);
        effects.push_back(reply_to_entry{
            open->entry, this->make_reply({}, offer_verdict::refused,
                                          open->packet.bytes, now)});
    }
    this->release_stale_slots(effects, now);
    this->start_queued(effects, now);
    this->connections.sweep(now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type&, stop_requested const&,
                                       time_point now)
{
    if (!this->stopping_since)
        this->stopping_since = now;
}

}  // namespace lagoon
