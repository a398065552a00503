// Definitions of connection_target for opening packets: which are accepted, which
// wait, and when the back end gets them.
#pragma once

namespace lagoon {

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

}  // namespace lagoon
