// Bodies of the templates that connection_target.hpp declares.
#pragma once

namespace lagoon {

namespace detail {

inline request_key slot_key(connection_endpoints const& endpoints)
{
    return {key_of(endpoints), {}};
}

inline request_urgency urgency_of(packet_offer const& offer, time_point now)
{
    if (!offer.terms)
        return {};
    time_point const begun = now - offer.terms->age;
    request_urgency urgency{};
    urgency.priority = offer.terms->priority;
    if (offer.terms->deadline > duration{})
        urgency.deadline = begun + offer.terms->deadline;
    if (offer.terms->objective > duration{})
        urgency.objective = begun + offer.terms->objective;
    return urgency;
}

}  // namespace detail

template <queue_policy Q, running_time_predictor T>
connection_target<Q, T>::connection_target(connection_target_settings settings,
                                           time_point now)
    : settings(settings), gate(settings.admission, now),
      table(settings.connections), conduct(settings.conduct), started(now)
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
    return effects;
}

template <queue_policy Q, running_time_predictor T>
std::optional<time_point>
connection_target<Q, T>::next_due(time_point now) const
{
    // How often a queue is looked at for requests that no slot can serve.
    constexpr duration queue_interval = std::chrono::milliseconds{20};
    std::optional<time_point> due = this->monitor.next_due();
    if (this->gate.waiting() > 0)
        due =
            std::min(due.value_or(now + queue_interval), now + queue_interval);
    return due;
}

template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::may_stop(time_point now) const
{
    if (!this->stopping_since)
        return false;
    return now - *this->stopping_since > this->settings.longest_stop ||
           !this->table.is_any_used_within(this->settings.idle_before_stop,
                                           now);
}

template <queue_policy Q, running_time_predictor T>
std::size_t connection_target<Q, T>::connections() const
{
    return this->table.size();
}

template <queue_policy Q, running_time_predictor T>
std::uint32_t connection_target<Q, T>::load() const
{
    return this->gate.load();
}

template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::knows_all(time_point now) const
{
    return this->settings.knows_all ||
           now - this->started > this->settings.longest_connection;
}

template <queue_policy Q, running_time_predictor T>
work_kind connection_target<Q, T>::kind_of(peer_address route) const
{
    return {{}, hash_pair(route.ip, route.port), {}};
}

template <queue_policy Q, running_time_predictor T>
tracking_note
connection_target<Q, T>::note(tracking_result result,
                              connection_endpoints const& endpoints,
                              duration took) const
{
    return {.result = result,
            .endpoints = endpoints,
            .load = this->gate.load(),
            .slots = this->gate.slots(),
            .took = took};
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::answer(effects_type& effects,
                                     offer_from_entry const& event,
                                     offer_verdict verdict, bool with_packet,
                                     time_point now)
{
    bool const asked = event.offer.question != question_id{};
    if (!asked && !with_packet)
        return;
    effects.push_back(answer_entry{
        event.from,
        {event.offer.question, verdict, this->told_load(now),
         this->gate.slots(), asked ? std::string{} : event.packet.bytes}});
}

// ---- offers of entries --------------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects,
                                       offer_from_entry const& event,
                                       time_point now)
{
    if (event.offer.service != this->settings.service) {
        this->answer(effects, event, offer_verdict::wrong_service, true, now);
        return;
    }
    if (event.offer.slots > 0)
        this->gate.set_slots(event.offer.slots);
    if (event.packet.is_opening)
        this->take_open(effects, event, now);
    else
        this->take_other(effects, event, now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::take_open(effects_type& effects,
                                        offer_from_entry const& event,
                                        time_point now)
{
    connection_record const* record = this->table.find(event.packet.endpoints);
    bool const is_copy =
        record != nullptr && record->stage != connection_stage::not_owned &&
        !(record->is_caller_finished && record->is_target_finished);
    if (is_copy) {
        this->take_copy(effects, event, *record, now);
        return;
    }
    if (this->stopping_since) {
        this->answer(effects, event, offer_verdict::leaving, true, now);
        return;
    }
    if (!this->monitor.may_send_open(now)) {
        this->answer(effects, event, offer_verdict::no_answer, true, now);
        return;
    }
    this->admit(effects, event, now);
}

// The first one waits here, or the back end has it: a copy learns the same.
template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::take_copy(effects_type& effects,
                                        offer_from_entry const& event,
                                        connection_record const& record,
                                        time_point now)
{
    if (record.stage == connection_stage::waiting) {
        this->answer(effects, event, offer_verdict::waiting, false, now);
        return;
    }
    effects.push_back(send_to_back_end{event.packet.bytes});
    connection_record next = record;
    next.entry = event.from;
    next.last_used = now;
    this->table.put(event.packet.endpoints, next);
    if (record.stage == connection_stage::opening)
        this->monitor.record_open(event.packet.endpoints, event.packet.bytes,
                                  now);
    this->answer(effects, event, offer_verdict::taken, false, now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::admit(effects_type& effects,
                                    offer_from_entry const& event,
                                    time_point now)
{
    this->expire_running(effects, now);
    if (!event.offer.insists && !this->is_free_for(event, now)) {
        this->answer(effects, event, offer_verdict::busy, false, now);
        return;
    }
    connection_packet const& packet = event.packet;
    peer_address const route =
        event.offer.terms ? event.offer.terms->route : packet.endpoints.service;
    bool const has_room =
        this->table.put(packet.endpoints, {.stage = connection_stage::waiting,
                                           .entry = event.from,
                                           .route = route,
                                           .stage_since = now,
                                           .last_used = now});
    if (!has_room) {
        effects.push_back(
            this->note(tracking_result::table_full, packet.endpoints, {}));
        this->answer(effects, event, offer_verdict::busy, true, now);
        return;
    }
    this->let_wait(effects, event, now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::let_wait(effects_type& effects,
                                       offer_from_entry const& event,
                                       time_point now)
{
    connection_packet const& packet = event.packet;
    connection_record const& record = *this->table.find(packet.endpoints);
    std::optional<refusal> const refused = this->gate.offer(
        detail::slot_key(packet.endpoints), this->kind_of(record.route),
        detail::urgency_of(event.offer, now), now);
    if (refused) {
        this->table.erase(packet.endpoints);
        tracking_note note =
            this->note(tracking_result::refused, packet.endpoints, {});
        note.took = refused->retry_after;
        note.copy = packet.retransmission_count;
        effects.push_back(note);
        this->answer(effects, event, offer_verdict::refused, true, now);
        return;
    }
    this->waiting.put({packet, event.from});
    this->start_waiting(effects, now);
    connection_record const* after = this->table.find(packet.endpoints);
    bool const waits =
        after != nullptr && after->stage == connection_stage::waiting;
    if (waits) {
        tracking_note note =
            this->note(tracking_result::queued, packet.endpoints, {});
        note.entry = event.from;
        note.copy = packet.retransmission_count;
        effects.push_back(note);
    }
    this->answer(effects, event,
                 waits ? offer_verdict::waiting : offer_verdict::taken, false,
                 now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::give_open(effects_type& effects,
                                        connection_packet const& packet,
                                        peer_address entry, time_point now)
{
    connection_record next = *this->table.find(packet.endpoints);
    duration const waited = now - next.stage_since;
    tracking_note note =
        this->note(waited > duration{} ? tracking_result::dequeued
                                       : tracking_result::admitted,
                   packet.endpoints, waited);
    note.entry = entry;
    note.copy = packet.retransmission_count;
    effects.push_back(note);
    next.stage = connection_stage::opening;
    next.stage_since = now;
    next.last_used = now;
    this->table.put(packet.endpoints, next);
    this->monitor.record_open(packet.endpoints, packet.bytes, now);
    effects.push_back(send_to_back_end{packet.bytes});
}

// Gives the back end as many opening packets as it has room for.
template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::start_waiting(effects_type& effects,
                                            time_point now)
{
    while (std::optional<waiting_request> const next = this->gate.next(now)) {
        std::optional<waiting_open> const one =
            this->waiting.take(next->key.flow);
        if (one && this->table.find(one->packet.endpoints) != nullptr)
            this->give_open(effects, one->packet, one->entry, now);
        else
            this->gate.release(next->key);
    }
}

// Callers that gave up say nothing, so their slots are freed by time.
template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::expire_running(effects_type& effects,
                                             time_point now)
{
    for (vain_slot const& one : this->gate.held_in_vain(
             this->settings.handshake_limit, this->settings.longest_run, now)) {
        this->gate.release(one.key);
        if (one.has_begun)
            this->note_outcome(effects, {}, request_result::failed, now);
    }
}

// ---- how the back end does ----------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::note_outcome(
    effects_type& effects, connection_endpoints const& endpoints,
    request_result how, time_point now)
{
    if (this->conduct.record_result(how, now))
        effects.push_back(this->note(this->conduct.is_unhealthy()
                                         ? tracking_result::unwell
                                         : tracking_result::well,
                                     endpoints, {}));
}

template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::is_unwell(time_point now) const
{
    return this->conduct.is_unhealthy() ||
           this->gate.has_stuck(this->settings.stuck_times_usual,
                                this->settings.stuck_at_least, now);
}

// An unwell back end is given one request at a time, now and then.
template <queue_policy Q, running_time_predictor T>
bool connection_target<Q, T>::is_free_for(offer_from_entry const& event,
                                          time_point now)
{
    if (!this->gate.has_free_slot(now))
        return false;
    if (!this->is_unwell(now))
        return true;
    bool const may_repeat = !event.offer.terms || event.offer.terms->may_repeat;
    if (this->gate.load() > 0 || !this->conduct.may_send_trial(may_repeat, now))
        return false;
    this->conduct.record_trial(now);
    return true;
}

template <queue_policy Q, running_time_predictor T>
std::uint32_t connection_target<Q, T>::told_load(time_point now) const
{
    std::uint32_t const beyond =
        this->is_unwell(now) ? this->settings.unwell_counts_as : 0;
    return this->gate.load() + beyond * this->gate.slots();
}

// ---- other packets of callers -------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::take_other(effects_type& effects,
                                         offer_from_entry const& event,
                                         time_point now)
{
    connection_record const* record = this->table.find(event.packet.endpoints);
    if (record == nullptr && this->knows_all(now)) {
        this->answer(effects, event, offer_verdict::not_owner, true, now);
        return;
    }
    bool const may_try =
        event.offer.insists || event.offer.question == question_id{};
    if (record == nullptr && !may_try) {
        this->answer(effects, event, offer_verdict::unsure, true, now);
        return;
    }
    if (record == nullptr) {
        // This process is younger than the connection may be: the back end
        // itself knows.
        this->deliver(effects, event,
                      {.stage = connection_stage::unverified,
                       .route = event.packet.endpoints.service,
                       .stage_since = now},
                      now);
        return;
    }
    // Before its back end has accepted there is nothing to go on with here,
    // unless it has accepted by a process before this one.
    bool const is_early =
        record->stage == connection_stage::opening && this->knows_all(now);
    bool const is_other = record->stage == connection_stage::not_owned ||
                          record->stage == connection_stage::waiting ||
                          is_early ||
                          !acknowledges_sent_data(*record, event.packet);
    if (is_other)
        this->answer(effects, event, offer_verdict::not_owner, true, now);
    else
        this->deliver(effects, event, *record, now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::deliver(effects_type& effects,
                                      offer_from_entry const& event,
                                      connection_record record, time_point now)
{
    connection_packet const& packet = event.packet;
    request_key const key = detail::slot_key(packet.endpoints);
    record.entry = event.from;
    record.last_used = now;
    record.is_caller_finished =
        record.is_caller_finished || packet.is_finishing || packet.is_reset;
    bool const begins_request = packet.data_size > 0 &&
                                record.stage != connection_stage::requested &&
                                record.stage != connection_stage::unverified;
    if (begins_request) {
        tracking_note note =
            this->note(tracking_result::request, packet.endpoints,
                       now - record.stage_since);
        note.entry = event.from;
        note.bytes = packet.bytes;
        effects.push_back(note);
        record.stage = connection_stage::requested;
        record.stage_since = now;
        if (this->gate.is_running(key))
            this->gate.begun(key, now);
        else
            this->gate.occupy(key, this->kind_of(record.route), now);
    }
    if (packet.is_reset)
        this->gate.release(key);
    this->table.put(packet.endpoints, record);
    effects.push_back(send_to_back_end{packet.bytes});
    this->answer(effects, event, offer_verdict::taken, false, now);
    if (packet.is_reset)
        this->start_waiting(effects, now);
}

// ---- the back end -------------------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects,
                                       packet_from_back_end const& event,
                                       time_point now)
{
    connection_packet const& packet = event.packet;
    this->monitor.record_packet(packet.endpoints, now);
    connection_record const* found = this->table.find(packet.endpoints);
    connection_record next =
        found != nullptr ? *found
                         : connection_record{.stage = connection_stage::open,
                                             .route = packet.endpoints.service,
                                             .stage_since = now};
    bool const was_unsure = found == nullptr ||
                            found->stage == connection_stage::unverified ||
                            found->stage == connection_stage::not_owned;
    if (was_unsure)
        effects.push_back(
            this->note(tracking_result::adopted, packet.endpoints, {}));
    if (packet.is_accepting || was_unsure)
        next.stage = connection_stage::open;
    bool const answers =
        packet.data_size > 0 && next.stage == connection_stage::requested;
    bool const ends = packet.is_finishing || packet.is_reset;
    // The end of an answer may overtake its data; a reset ends it at once.
    bool const broke_off =
        packet.is_reset && next.stage == connection_stage::requested;
    // One that is full while its slots are free fails, too.
    bool const is_really_full = this->gate.load() > this->gate.slots();
    bool const fails = broke_off || event.report == answer_report::failed ||
                       (event.report == answer_report::full && !is_really_full);
    if (answers || broke_off)
        this->note_outcome(
            effects, packet.endpoints,
            fails ? request_result::failed : request_result::answered, now);
    if (answers) {
        effects.push_back(this->note(tracking_result::answered,
                                     packet.endpoints, now - next.stage_since));
        next.stage = connection_stage::responding;
    }
    next.last_used = now;
    next.target_sequence =
        packet.sequence + packet.data_size + (packet.is_accepting ? 1U : 0U);
    next.has_sequence = true;
    next.is_target_finished = next.is_target_finished || ends;
    next.is_caller_finished = next.is_caller_finished || packet.is_reset;
    this->table.put(packet.endpoints, next);
    effects.push_back(pass_to_caller{packet.endpoints.caller, packet.bytes});
    if (answers || ends) {
        this->gate.finished(detail::slot_key(packet.endpoints), now);
        this->start_waiting(effects, now);
    }
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects,
                                       packet_returned const& event,
                                       time_point now)
{
    connection_packet const& packet = event.packet;
    connection_record const* found = this->table.find(packet.endpoints);
    connection_record const record =
        found != nullptr ? *found : connection_record{};
    tracking_note note = this->note(tracking_result::returned, packet.endpoints,
                                    now - record.stage_since);
    note.entry = record.entry;
    this->gate.release(detail::slot_key(packet.endpoints));
    bool const was_held = found != nullptr && !packet.is_opening &&
                          record.has_sequence &&
                          acknowledges_sent_data(record, packet) &&
                          record.stage != connection_stage::unverified &&
                          record.stage != connection_stage::not_owned;
    if (was_held) {
        // It held the connection and no longer does: it has restarted.
        note.result = tracking_result::gone;
        this->table.erase(packet.endpoints);
        effects.push_back(note);
        if (!packet.is_reset)
            effects.push_back(reset_connection{packet});
        return;
    }
    effects.push_back(note);
    if (packet.is_opening) {
        this->monitor.record_refusal(packet.endpoints, now);
        this->table.erase(packet.endpoints);
    } else {
        connection_record next = record;
        next.stage = connection_stage::not_owned;
        next.last_used = now;
        this->table.put(packet.endpoints, next);
    }
    if (record.entry != peer_address{})
        effects.push_back(
            answer_entry{record.entry,
                         {{},
                          packet.is_opening ? offer_verdict::no_answer
                                            : offer_verdict::not_owner,
                          this->told_load(now),
                          this->gate.slots(),
                          packet.bytes}});
    this->start_waiting(effects, now);
}

// ---- time ---------------------------------------------------------------

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type& effects, clock_tick const&,
                                       time_point now)
{
    for (unanswered_open const& one : this->monitor.take_overdue(now)) {
        connection_record const* record = this->table.find(one.endpoints);
        if (record == nullptr || record->stage != connection_stage::opening)
            continue;
        tracking_note note = this->note(tracking_result::unanswered,
                                        one.endpoints, now - one.sent_at);
        note.entry = record->entry;
        effects.push_back(note);
        effects.push_back(answer_entry{record->entry,
                                       {{},
                                        offer_verdict::no_answer,
                                        this->told_load(now),
                                        this->gate.slots(),
                                        one.bytes}});
        this->gate.release(detail::slot_key(one.endpoints));
    }
    for (waiting_request const& one : this->gate.take_expired(now)) {
        std::optional<waiting_open> const open =
            this->waiting.take(one.key.flow);
        if (!open)
            continue;
        this->table.erase(open->packet.endpoints);
        tracking_note note =
            this->note(tracking_result::refused, open->packet.endpoints,
                       now - one.arrived);
        note.entry = open->entry;
        note.copy = open->packet.retransmission_count;
        effects.push_back(note);
        effects.push_back(answer_entry{open->entry,
                                       {{},
                                        offer_verdict::refused,
                                        this->told_load(now),
                                        this->gate.slots(),
                                        open->packet.bytes}});
    }
    this->expire_running(effects, now);
    this->start_waiting(effects, now);
    this->table.sweep(now);
}

template <queue_policy Q, running_time_predictor T>
void connection_target<Q, T>::on_event(effects_type&, stop_asked const&,
                                       time_point now)
{
    if (!this->stopping_since)
        this->stopping_since = now;
}

}  // namespace lagoon
