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

// ---- offers from entries ------------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects,
                                       entry_offer const& event, time_point now)
{
    if (event.offer.service != this->settings.service) {
        this->reply(effects, event, offer_verdict::wrong_service, true, now);
        return;
    }
    if (event.offer.slots > 0)
        this->admission_control.set_slots(event.offer.slots);
    if (event.offer.attributes)
        this->open_limit.set_rate({event.offer.attributes->opens_per_second,
                                   event.offer.attributes->config_generation},
                                  now);
    if (event.packet.is_opening)
        this->handle_open(effects, event, now);
    else
        this->handle_other_packet(effects, event, now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type&,
                                       notice_from_entry const& event,
                                       time_point)
{
    if (event.notice.service == this->settings.service)
        this->newest_notice =
            std::max(this->newest_notice, event.notice.config_generation);
}

// Returns whether the entry offered a connection without knowing of the
// evacuation. An entry with the generation of the notice or a later one knows
// whether the evacuation still applies.
template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::is_outdated(packet_offer const& offer) const
{
    return detail::get_generation(offer) < this->newest_notice;
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::handle_open(effects_type& effects,
                                          entry_offer const& event,
                                          time_point now)
{
    connection_record const* record =
        this->connections.find(event.packet.endpoints);
    bool const is_copy =
        record != nullptr && record->stage != connection_stage::not_owned &&
        !(record->is_caller_finished && record->is_target_finished);
    if (is_copy) {
        this->handle_open_copy(effects, event, *record, now);
        return;
    }
    if (this->stopping_since) {
        this->reply(effects, event, offer_verdict::leaving, true, now);
        return;
    }
    if (this->is_outdated(event.offer)) {
        tracking_note note = this->make_note(tracking_result::evacuated,
                                             event.packet.endpoints, {});
        note.entry = event.from;
        effects.push_back(note);
        this->reply(effects, event, offer_verdict::leaving, true, now);
        return;
    }
    if (!this->monitor.may_send_open(now)) {
        this->reply(effects, event, offer_verdict::no_answer, true, now);
        return;
    }
    this->admit(effects, event, now);
}

// A retransmission gets the same reply as the first packet, which is queued
// or was sent to the back end.
template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::handle_open_copy(effects_type& effects,
                                               entry_offer const& event,
                                               connection_record const& record,
                                               time_point now)
{
    if (record.stage == connection_stage::waiting) {
        this->reply(effects, event, offer_verdict::waiting, false, now);
        return;
    }
    effects.push_back(send_to_back_end{event.packet.bytes});
    connection_record next = record;
    next.entry = event.from;
    next.last_used = now;
    this->connections.put(event.packet.endpoints, next);
    if (record.stage == connection_stage::opening)
        this->monitor.record_open(event.packet.endpoints, event.packet.bytes,
                                  now);
    this->reply(effects, event, offer_verdict::taken, false, now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::admit(effects_type& effects,
                                    entry_offer const& event, time_point now)
{
    this->release_stale_slots(effects, now);
    if (!event.offer.is_last_resort && !this->try_start(event, now)) {
        this->reply(effects, event, offer_verdict::busy, false, now);
        return;
    }
    connection_packet const& packet = event.packet;
    peer_address const route = event.offer.attributes
                                   ? event.offer.attributes->route
                                   : packet.endpoints.service;
    bool const has_room = this->connections.put(
        packet.endpoints, {.stage = connection_stage::waiting,
                           .entry = event.from,
                           .route = route,
                           .stage_since = now,
                           .last_used = now});
    if (!has_room) {
        this->completeness.record_overflow(now);
        effects.push_back(
            this->make_note(tracking_result::table_full, packet.endpoints, {}));
        this->reply(effects, event, offer_verdict::busy, true, now);
        return;
    }
    this->enqueue_open(effects, event, now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::enqueue_open(effects_type& effects,
                                           entry_offer const& event,
                                           time_point now)
{
    connection_packet const& packet = event.packet;
    connection_record const& record = *this->connections.find(packet.endpoints);
    std::optional<refusal> const refused = this->admission_control.enqueue(
        detail::make_request_key(packet.endpoints),
        this->make_request_class(packet.endpoints, record.route),
        detail::make_urgency(event.offer, now), now,
        this->open_limit.pace(now));
    if (refused) {
        this->connections.erase(packet.endpoints);
        tracking_note note =
            this->make_note(tracking_result::refused, packet.endpoints, {});
        note.elapsed = refused->retry_after;
        note.retransmission_count = packet.retransmission_count;
        effects.push_back(note);
        this->reply(effects, event, offer_verdict::refused, true, now);
        return;
    }
    this->queued_opens.put(
        {packet, event.from, detail::get_generation(event.offer)});
    this->start_queued(effects, now);
    connection_record const* updated = this->connections.find(packet.endpoints);
    bool const is_waiting =
        updated != nullptr && updated->stage == connection_stage::waiting;
    if (is_waiting) {
        tracking_note note =
            this->make_note(tracking_result::queued, packet.endpoints, {});
        note.entry = event.from;
        note.retransmission_count = packet.retransmission_count;
        effects.push_back(note);
    }
    this->reply(effects, event,
                is_waiting ? offer_verdict::waiting : offer_verdict::taken,
                false, now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::send_open_to_back_end(
    effects_type& effects, connection_packet const& packet, peer_address entry,
    time_point now)
{
    connection_record next = *this->connections.find(packet.endpoints);
    duration const wait_time = now - next.stage_since;
    tracking_note note =
        this->make_note(wait_time > duration{} ? tracking_result::dequeued
                                               : tracking_result::admitted,
                        packet.endpoints, wait_time);
    note.entry = entry;
    note.retransmission_count = packet.retransmission_count;
    effects.push_back(note);
    next.stage = connection_stage::opening;
    next.stage_since = now;
    next.last_used = now;
    this->connections.put(packet.endpoints, next);
    this->monitor.record_open(packet.endpoints, packet.bytes, now);
    this->open_limit.record_sent(now);
    effects.push_back(send_to_back_end{packet.bytes});
}

// Sends queued opening packets to the back end while slots are free and the
// limit of a cold back end permits it.
template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::start_queued(effects_type& effects,
                                           time_point now)
{
    while (this->open_limit.may_send(now)) {
        std::optional<waiting_request> const next =
            this->admission_control.start_next(now);
        if (!next)
            return;
        std::optional<waiting_open> const one =
            this->queued_opens.take(next->key.flow);
        bool const is_known =
            one && this->connections.find(one->packet.endpoints) != nullptr;
        if (is_known && one->config_generation >= this->newest_notice) {
            this->send_open_to_back_end(effects, one->packet, one->entry, now);
            continue;
        }
        this->admission_control.release(next->key);
        if (is_known)
            this->return_queued(effects, *one, now);
    }
}

// Returns a packet that was queued before an evacuation, so that the entry
// offers it elsewhere.
template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::return_queued(effects_type& effects,
                                            waiting_open const& open,
                                            time_point now)
{
    this->connections.erase(open.packet.endpoints);
    tracking_note note =
        this->make_note(tracking_result::evacuated, open.packet.endpoints, {});
    note.entry = open.entry;
    effects.push_back(note);
    effects.push_back(
        reply_to_entry{open.entry, this->make_reply({}, offer_verdict::leaving,
                                                    open.packet.bytes, now)});
}

// Callers give up without notice, so their slots are freed after a timeout.
template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::release_stale_slots(effects_type& effects,
                                                  time_point now)
{
    for (stale_slot const& one : this->admission_control.find_stale_slots(
             this->settings.max_handshake_time, this->settings.max_run_time,
             now)) {
        this->admission_control.release(one.key);
        if (one.has_started)
            this->record_outcome(effects, {}, request_result::failed, now);
    }
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

// ---- other packets of callers -------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::handle_other_packet(effects_type& effects,
                                                  entry_offer const& event,
                                                  time_point now)
{
    connection_record const* record =
        this->connections.find(event.packet.endpoints);
    if (record == nullptr && this->completeness.is_complete(now)) {
        this->reply(effects, event, offer_verdict::not_owner, true, now);
        return;
    }
    bool const can_try_back_end =
        event.offer.is_last_resort || event.offer.query == query_id{};
    if (record == nullptr && !can_try_back_end) {
        this->reply(effects, event, offer_verdict::unsure, true, now);
        return;
    }
    if (record == nullptr) {
        // The connection may be older than this process; only the back end
        // can tell.
        this->deliver_to_back_end(effects, event,
                                  {.stage = connection_stage::unverified,
                                   .route = event.packet.endpoints.service,
                                   .stage_since = now},
                                  now);
        return;
    }
    if (this->is_owned_elsewhere(*record, event.packet.acknowledgement, now))
        this->reply(effects, event, offer_verdict::not_owner, true, now);
    else
        this->deliver_to_back_end(effects, event, *record, now);
}

// A caller sends only opening packets until a back end has accepted. If this back
// end has not, another one has, and the packet belongs to its target. If the
// table is incomplete, this back end may have accepted before this process
// started.
template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::is_owned_elsewhere(
    connection_record const& record, std::uint32_t acknowledgement,
    time_point now) const
{
    bool const is_early = record.stage == connection_stage::opening &&
                          this->completeness.is_complete(now);
    return record.stage == connection_stage::not_owned ||
           record.stage == connection_stage::waiting || is_early ||
           !acknowledges_sent_data(record, acknowledgement);
}

// ---- locate queries -----------------------------------------------------

// The address may have passed on to the target of another service, whose denial
// would say nothing about the connection.
template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects,
                                       locate_request const& event,
                                       time_point now)
{
    bool const is_for_this = event.query.service == this->settings.service;
    if (is_for_this)
        this->completeness.record_published_start(
            {event.query.back_end_started_at_ms, event.query.sent_at_ms,
             event.received_at_ms},
            now);
    locate_reply reply{event.query.query};
    reply.verdicts.reserve(event.query.connections.size());
    for (located_connection const& one : event.query.connections)
        reply.verdicts.push_back(is_for_this ? this->locate(one, now)
                                             : locate_verdict::unsure);
    effects.push_back(answer_locate_query{event.from, reply});
}

template <queue_policy Q, running_time_predictor T>
locate_verdict
connection_target<Q, T>::locate(located_connection const& connection,
                                time_point now) const
{
    connection_record const* record =
        this->connections.find(connection.endpoints);
    if (record == nullptr)
        return this->completeness.is_complete(now) ? locate_verdict::denied
                                                   : locate_verdict::unsure;
    if (record->stage == connection_stage::unverified)
        return locate_verdict::unsure;
    return this->is_owned_elsewhere(*record, connection.acknowledgement, now)
               ? locate_verdict::denied
               : locate_verdict::held;
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::deliver_to_back_end(effects_type& effects,
                                                  entry_offer const& event,
                                                  connection_record record,
                                                  time_point now)
{
    connection_packet const& packet = event.packet;
    request_key const key = detail::make_request_key(packet.endpoints);
    record.entry = event.from;
    record.last_used = now;
    record.is_caller_finished =
        record.is_caller_finished || packet.is_finishing || packet.is_reset;
    bool const is_request_start = packet.data_size > 0 &&
                                  record.stage != connection_stage::requested &&
                                  record.stage != connection_stage::unverified;
    if (is_request_start) {
        tracking_note note =
            this->make_note(tracking_result::request, packet.endpoints,
                            now - record.stage_since);
        note.entry = event.from;
        note.bytes = packet.bytes;
        effects.push_back(note);
        record.stage = connection_stage::requested;
        record.stage_since = now;
        if (this->admission_control.is_running(key))
            this->admission_control.mark_started(key, now);
        else
            this->admission_control.start_unqueued(
                key, this->make_request_class(packet.endpoints, record.route),
                now);
    }
    if (packet.is_reset)
        this->admission_control.release(key);
    this->connections.put(packet.endpoints, record);
    effects.push_back(send_to_back_end{packet.bytes});
    this->reply(effects, event, offer_verdict::taken, false, now);
    if (packet.is_reset)
        this->start_queued(effects, now);
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
