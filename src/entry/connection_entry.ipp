// Definitions of the templates in connection_entry.hpp.
#pragma once

namespace lagoon {

namespace detail {

// Returns the age of a connection attempt from the number of retransmissions of
// its opening packet, which callers send after 0, 200 and 600 ms.
inline duration compute_attempt_age(std::uint8_t retransmission_count)
{
    constexpr std::array<duration, 3> ages{std::chrono::milliseconds{0},
                                           std::chrono::milliseconds{200},
                                           std::chrono::milliseconds{600}};
    return ages[std::min<std::size_t>(retransmission_count, ages.size() - 1)];
}

inline status_change to_status_change(home_condition condition)
{
    switch (condition) {
    case home_condition::has_room:
        return status_change::home_has_room;
    case home_condition::full:
        return status_change::home_full;
    case home_condition::empty:
        break;
    }
    return status_change::home_empty;
}

}  // namespace detail

template <random_source R, placement_policy P>
connection_entry<R, P>::connection_entry(connection_entry_settings settings,
                                         R random, time_point now)
    : settings(settings), member(settings.membership, std::move(random), now),
      directory(settings.max_connection_age, now), owners(settings.owners),
      connection_placer(settings.placement),
      preference(settings.prefer_home_data_centre,
                 settings.membership.data_centre, settings.departure),
      evacuations(settings.membership.self), locator(settings.locator),
      last_tick(now)
{
}

template <random_source R, placement_policy P>
connection_entry_effects
connection_entry<R, P>::on(connection_entry_event const& event, time_point now)
{
    connection_entry_effects effects;
    std::visit(
        [this, &effects, now](auto const& value) {
            this->on_event(effects, value, now);
        },
        event);
    return effects;
}

template <random_source R, placement_policy P>
bool connection_entry<R, P>::is_ready(time_point now) const
{
    return !this->is_stopping && this->member.is_ready(this->config, now);
}

template <random_source R, placement_policy P>
std::optional<time_point> connection_entry<R, P>::next_due() const
{
    std::optional<time_point> due = this->connection_placer.next_due();
    if (std::optional<time_point> const read =
            this->member.next_due(this->config))
        due = std::min(due.value_or(*read), *read);
    if (!this->held.empty())
        due = std::min(due.value_or(this->held.front().due),
                       this->held.front().due);
    if (std::optional<time_point> const round = this->locator.next_due())
        due = std::min(due.value_or(*round), *round);
    return due;
}

template <random_source R, placement_policy P>
catalog const& connection_entry<R, P>::configuration() const
{
    return this->config;
}

template <random_source R, placement_policy P>
duration connection_entry<R, P>::platform_age(time_point now) const
{
    return this->member.platform_age(now);
}

template <random_source R, placement_policy P>
std::size_t connection_entry<R, P>::connection_count() const
{
    return this->owners.size();
}

template <random_source R, placement_policy P>
std::vector<service_departure> connection_entry<R, P>::departures() const
{
    return this->preference.list_departures();
}

template <random_source R, placement_policy P>
placement_note
connection_entry<R, P>::make_note(placement_result result,
                                  connection_endpoints const& endpoints,
                                  time_point arrived_at, time_point now) const
{
    return {.result = result,
            .endpoints = endpoints,
            .took = now - arrived_at,
            .config_generation = this->config.version().number,
            .platform_age = this->member.platform_age(now)};
}

// ---- packets of callers -------------------------------------------------

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects,
                                      packet_from_caller const& event,
                                      time_point now)
{
    connection_packet const& packet = event.packet;
    if (this->connection_placer.is_placing(packet.endpoints)) {
        // A retransmitted opening packet shares the outcome of the first.
        if (!packet.is_opening)
            this->connection_placer.queue_packet(packet.endpoints,
                                                 packet.bytes);
        return;
    }
    std::optional<owner_record> const owner =
        this->owners.find(packet.endpoints);
    if (packet.is_opening) {
        this->locator.erase(packet.endpoints);
        this->place(effects, packet, this->find_open_times(packet, now),
                    std::nullopt, now);
    } else if (owner && owner->is_confirmed) {
        this->forward(effects, *owner, packet, now);
        // Its target has left the list; it may be gone.
        if (this->may_locate() && !this->directory.contains(owner->target))
            this->locate(effects, packet, {}, now);
    } else if (!owner && this->may_skip_search(now))
        this->locate(effects, packet, {}, now);
    else if (this->searches.is_blocked(packet.endpoints, now))
        effects.push_back(this->make_note(placement_result::owner_lost,
                                          packet.endpoints, now, now));
    else if (std::optional<search_record> const suspended =
                 this->searches.take_suspended(packet.endpoints, now))
        this->search_candidates(effects, packet, *suspended, now);
    else
        this->search(effects, packet,
                     owner ? std::optional{owner->target} : std::nullopt,
                     std::nullopt, now);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::forward(effects_type& effects,
                                     owner_record const& owner,
                                     connection_packet const& packet,
                                     time_point now)
{
    owner_record next = owner;
    next.last_used = now;
    next.is_finished =
        owner.is_finished || packet.is_finishing || packet.is_reset;
    this->owners.put(packet.endpoints, next);
    this->connection_placer.record_delivery();
    effects.push_back(send_offer{
        owner.target, {{}, owner.service, 0, false, {}, packet.bytes}});
}

// Returns the times of a new opening packet. The retry of a recently refused
// request keeps the age of that request.
template <random_source R, placement_policy P>
typename connection_entry<R, P>::open_times
connection_entry<R, P>::find_open_times(connection_packet const& packet,
                                        time_point now)
{
    if (packet.retransmission_count > 0)
        return {now,
                now - detail::compute_attempt_age(packet.retransmission_count)};
    route_record const* route =
        this->config.find_route(packet.endpoints.service);
    std::optional<time_point> const requested_at = this->refusals.take_repeated(
        packet.endpoints.caller.ip, packet.endpoints.service,
        route != nullptr ? route->deadline : duration{}, now);
    return {now, requested_at.value_or(now)};
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::refuse_unknown_route(
    effects_type& effects, connection_packet const& packet, open_times times,
    time_point now)
{
    // The route may be missing only because the configuration is outdated.
    bool const is_fresh =
        this->member.is_ready(this->config, now) &&
        this->member.platform_age(now) <
            this->settings.membership.timing.reading.max_platform_age;
    if (!is_fresh) {
        if (packet.is_opening)
            this->hold(effects, packet, times, now);
        return;
    }
    effects.push_back(this->make_note(placement_result::no_route,
                                      packet.endpoints, now, now));
    if (!packet.is_reset)
        effects.push_back(reset_caller{packet});
}

// After a start or a pause, nothing is placed before the catalog has been
// compared with a peer or the platform. Packets that waited in the socket
// during a pause are dropped: their callers have retransmitted them or given
// up.
template <random_source R, placement_policy P>
void connection_entry<R, P>::place(effects_type& effects,
                                   connection_packet const& packet,
                                   open_times times,
                                   std::optional<peer_address> returned_by,
                                   time_point now)
{
    if (!this->member.is_ready(this->config, now)) {
        if (this->is_resuming || this->was_paused(now))
            effects.push_back(this->make_note(placement_result::outdated,
                                              packet.endpoints,
                                              times.arrived_at, now));
        else
            this->hold(effects, packet, times, now);
        return;
    }
    route_record const* route =
        this->config.find_route(packet.endpoints.service);
    if (route == nullptr) {
        this->refuse_unknown_route(effects, packet, times, now);
        return;
    }
    std::optional<service_id> const service =
        detail::select_service(*route, packet.endpoints);
    service_part const* part =
        service ? this->directory.find_configured(*service) : nullptr;
    std::optional<owner_record> const owner =
        this->owners.find(packet.endpoints);
    if (part == nullptr) {
        this->hold(effects, packet, times, now);
        return;
    }
    // A retransmission goes first to the target that accepted the first packet.
    target_record const* const copy_owner =
        owner && owner->target != returned_by
            ? detail::find_copy_owner(*part, *owner, packet, this->config, now)
            : nullptr;
    std::vector<target_record const*> ranked = this->select_candidates(
        *part, *route, packet.endpoints, returned_by, now);
    if (copy_owner != nullptr)
        detail::put_first(ranked, copy_owner);
    // A copy may belong to a connection that was opened through another entry,
    // so it is not reset.
    bool const is_refused = ranked.empty() &&
                            packet.retransmission_count == 0 &&
                            detail::is_unavailable(*part, this->config);
    if (is_refused) {
        this->refuse(effects, packet, times.requested_at, now);
        return;
    }
    std::vector<placement_candidate> targets;
    targets.reserve(ranked.size());
    std::uint32_t const warm_up_rate =
        find_warm_up_rate(this->config.routes().warm_up_limits, *service);
    for (target_record const* target : ranked)
        targets.push_back(
            {target->address, target->slots, *service, false,
             warm_up_rate > 0 &&
                     detail::is_cold(*target, *service, this->config)
                 ? warm_up_rate
                 : 0,
             this->settings.prefer_home_data_centre &&
                 target->data_centre != this->settings.membership.data_centre,
             detail::is_closed(*target, this->config)});
    detail::move_candidates(targets, std::nullopt, returned_by);
    request_attributes const attributes{.route = route->address,
                                        .objective = route->objective,
                                        .deadline = route->deadline,
                                        .priority = route->priority,
                                        .is_retryable = route->is_idempotent,
                                        .config_generation =
                                            this->config.version().number};
    this->start_placement(effects,
                          {packet,
                           attributes,
                           std::move(targets),
                           copy_owner != nullptr,
                           times.arrived_at,
                           times.requested_at,
                           {}},
                          now);
}

// Returns the best-ranked targets for a new connection outside evacuated data
// centres, without avoided ones unless all are avoided.
template <random_source R, placement_policy P>
std::vector<target_record const*> connection_entry<R, P>::select_candidates(
    service_part const& part, route_record const& route,
    connection_endpoints const& endpoints,
    std::optional<peer_address> returned_by, time_point now) const
{
    flow_key const flow = make_flow_key(endpoints);
    std::size_t const limit = this->preference.is_enabled()
                                  ? part.targets.size()
                                  : detail::max_candidates;
    auto const is_open = [this](target_record const& target) {
        return !this->config.is_evacuated(target.data_centre);
    };
    std::vector<target_record const*> ranked = rank_targets_if(
        part, flow, limit, [&, returned_by, now](target_record const& target) {
            return is_open(target) && target.address != returned_by &&
                   !this->hints.is_avoided(target.address, now);
        });
    if (ranked.empty())
        ranked = rank_targets_if(part, flow, detail::max_candidates, is_open);
    return this->preference.order_candidates(
        part.id, std::move(ranked), flow, route.objective,
        detail::max_candidates, this->hints, now);
}

// Passes on what is known of the targets. Visits all of them, so at most once
// per update interval.
template <random_source R, placement_policy P>
void connection_entry<R, P>::update_preference(effects_type& effects,
                                               time_point now)
{
    if (!this->preference.is_due(now))
        return;
    auto const find_answer_time = [this](peer_address target) {
        return this->connection_placer.find_answer_time(target);
    };
    for (service_departure const& change :
         this->preference.update(this->directory.services(), this->config,
                                 this->hints, find_answer_time, now))
        effects.push_back(
            status_change_note{detail::to_status_change(change.condition),
                               change.service, this->member.platform_age(now)});
}

template <random_source R, placement_policy P>
placement_site connection_entry<R, P>::find_site(owner_found const& found) const
{
    service_part const* part = this->directory.find_configured(found.service);
    route_record const* route =
        this->config.find_route(found.packet.endpoints.service);
    if (!found.packet.is_opening || part == nullptr || route == nullptr)
        return placement_site::not_chosen;
    return this->preference.find_site(*part, found.target,
                                      make_flow_key(found.packet.endpoints),
                                      route->objective);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::start_placement(effects_type& effects,
                                             placement_request const& request,
                                             time_point now)
{
    this->handle_outcome(
        effects, this->connection_placer.start(request, this->hints, now), now);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::hold(effects_type& effects,
                                  connection_packet const& packet,
                                  open_times times, time_point now)
{
    bool const is_dropped =
        now + this->settings.retry_interval - times.arrived_at >
            this->settings.max_hold_time ||
        this->held.size() >= this->settings.max_held_packets;
    effects.push_back(this->make_note(is_dropped ? placement_result::dropped
                                                 : placement_result::held,
                                      packet.endpoints, times.arrived_at, now));
    if (!is_dropped)
        this->held.push_back(
            {packet, times, now + this->settings.retry_interval});
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::retry_held(effects_type& effects, time_point now)
{
    // Packets held again are appended and due later, so the loop ends.
    while (!this->held.empty() && this->held.front().due <= now) {
        held_packet const held = this->held.front();
        this->held.pop_front();
        if (!this->connection_placer.is_placing(held.packet.endpoints))
            this->place(effects, held.packet, held.times, std::nullopt, now);
    }
}

// ---- placement outcomes -------------------------------------------------

template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_outcome(effects_type& effects,
                                            placement_outcomes const& outcomes,
                                            time_point now)
{
    for (placement_outcome const& outcome : outcomes)
        std::visit(
            [this, &effects, now](auto const& value) {
                this->handle_outcome(effects, value, now);
            },
            outcome);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_outcome(effects_type& effects,
                                            query_target const& query,
                                            time_point)
{
    effects.push_back(send_offer{query.target, query.offer});
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_outcome(effects_type& effects,
                                            owner_found const& found,
                                            time_point now)
{
    bool const is_opening = found.packet.is_opening;
    // A target that did not answer may have accepted the opening packet too.
    bool const is_confirmed = !is_opening || found.timeout_count == 0;
    owner_record const owner{.target = found.target,
                             .service = found.service,
                             .is_confirmed = is_confirmed,
                             .is_finished = found.packet.is_finishing ||
                                            found.packet.is_reset,
                             .arrived_at = found.arrived_at,
                             .requested_at = found.requested_at,
                             .last_used = now};
    bool const has_room = this->owners.put(found.packet.endpoints, owner);
    if (!has_room && !this->is_owner_table_full)
        effects.push_back(
            status_change_note{status_change::table_full, {}, {}});
    this->is_owner_table_full = !has_room;
    if (!is_opening) {
        // Targets that try their back ends have not found anything yet.
        if (found.progress.trial_count == 0)
            this->yield.record(true, now);
        this->searches.put(
            found.packet.endpoints,
            {search_state::found, found.remaining, found.progress, now});
    }
    placement_note note = this->make_note(
        is_opening ? placement_result::placed : placement_result::owner_found,
        found.packet.endpoints, found.arrived_at, now);
    note.target = found.target;
    note.load = found.load;
    note.query_count = found.query_count;
    note.timeout_count = found.timeout_count;
    note.site = this->find_site(found);
    effects.push_back(note);
    for (std::string const& bytes : found.pending_packets)
        effects.push_back(
            send_offer{found.target, {{}, found.service, 0, false, {}, bytes}});
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_outcome(effects_type& effects,
                                            placement_failed const& failed,
                                            time_point now)
{
    if (failed.is_refused) {
        this->refuse(effects, failed.packet, failed.requested_at, now);
        return;
    }
    if (failed.packet.is_opening) {
        this->hold(effects, failed.packet,
                   {failed.arrived_at, failed.requested_at}, now);
        return;
    }
    // Unsure targets have only denied after their back ends did: they are as
    // many after a restart of all targets, when every connection has an owner.
    if (failed.progress.trial_count == 0)
        this->yield.record(false, now);
    placement_note note =
        this->make_note(placement_result::owner_lost, failed.packet.endpoints,
                        failed.arrived_at, now);
    note.query_count = failed.query_count;
    note.timeout_count = failed.timeout_count;
    // A target that was not queried yet may be the owner.
    if (failed.remaining.empty())
        this->record_lost_owner(effects, failed.progress, note, now);
    else
        this->suspend_search(effects, failed, note, now);
    this->locate(effects, failed.packet, failed.progress, now);
}

// Resets the connection at once, so that the caller need not wait for a
// time-out. The request has not run.
template <random_source R, placement_policy P>
void connection_entry<R, P>::refuse(effects_type& effects,
                                    connection_packet const& packet,
                                    time_point requested_at, time_point now)
{
    effects.push_back(this->make_note(placement_result::refused,
                                      packet.endpoints, requested_at, now));
    effects.push_back(reset_caller{packet});
    this->refusals.add({packet.endpoints.caller.ip, packet.endpoints.service,
                        requested_at, now});
}

// ---- answers of targets -------------------------------------------------

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects,
                                      answer_from_target const& event,
                                      time_point now)
{
    this->handle_outcome(
        effects,
        this->connection_placer.on_answer(event.answer, this->hints, now), now);
    bool const is_returned = event.answer.query == query_id{} && event.returned;
    if (!is_returned)
        return;
    this->handle_returned(effects, *event.returned, event, now);
}

// Handles a packet that a target returned because it cannot serve it.
template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_returned(effects_type& effects,
                                             connection_packet const& packet,
                                             answer_from_target const& event,
                                             time_point now)
{
    std::optional<owner_record> const owner =
        this->owners.find(packet.endpoints);
    open_times const times =
        owner ? open_times{owner->arrived_at, owner->requested_at}
              : open_times{now, now};
    if (owner && owner->target == event.from)
        this->owners.erase(packet.endpoints);
    if (event.answer.verdict == offer_verdict::refused) {
        this->refuse(effects, packet, times.requested_at, now);
        return;
    }
    bool const is_unusable =
        event.answer.verdict != offer_verdict::not_owner &&
        event.answer.verdict != offer_verdict::wrong_service;
    if (is_unusable)
        this->hints.avoid(event.from, detail::unusable_avoidance, now);
    placement_note note = this->make_note(
        placement_result::returned, packet.endpoints, times.arrived_at, now);
    note.target = event.from;
    effects.push_back(note);
    if (this->connection_placer.is_placing(packet.endpoints)) {
        this->handle_outcome(effects,
                             this->connection_placer.on_returned(
                                 packet.endpoints, event.from, now),
                             now);
        return;
    }
    bool const has_other_owner = owner && owner->target != event.from;
    if (!packet.is_opening && has_other_owner)
        this->forward(effects, *owner, packet, now);
    else if (!packet.is_opening)
        this->resume_search(effects, packet, event.from, now);
    else if (event.answer.verdict == offer_verdict::leaving ||
             now - times.arrived_at < this->settings.max_hold_time)
        this->place(effects, packet, times, event.from, now);
}

// ---- time and settings --------------------------------------------------

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects, clock_tick const&,
                                      time_point now)
{
    if (this->was_paused(now)) {
        effects.push_back(status_change_note{
            status_change::paused, {}, now - this->last_tick});
        this->is_resuming = true;
        this->directory.record_pause(now);
    }
    this->last_tick = now;
    detail::append(effects, this->member.tick(this->config, now));
    if (this->member.is_ready(this->config, now))
        this->is_resuming = false;
    duration const age = this->member.platform_age(now);
    for (target_record const& expired : this->directory.tick(age, now))
        effects.push_back(status_change_note{status_change::target_lapsed,
                                             expired.name, age});
    this->notify_evacuated_targets(effects, now);
    this->handle_outcome(effects,
                         this->connection_placer.tick(this->hints, now), now);
    this->retry_held(effects, now);
    if (this->settings.reset_lost_connections)
        this->advance_locator(effects, now);
    this->owners.sweep(now);
    this->searches.sweep(now);
    this->hints.sweep(now);
    this->update_preference(effects, now);
}

template <random_source R, placement_policy P>
bool connection_entry<R, P>::was_paused(time_point now) const
{
    return now - this->last_tick >
           this->settings.membership.timing.pause_threshold;
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type&, stop_requested const&,
                                      time_point)
{
    this->is_stopping = true;
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type&, seeds_changed const& event,
                                      time_point)
{
    this->member.set_seeds(event.seeds);
}

}  // namespace lagoon
