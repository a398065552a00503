// Definitions of connection_target for packets of open connections, and for the
// question which connections its back end holds.
#pragma once

namespace lagoon {

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

}  // namespace lagoon
