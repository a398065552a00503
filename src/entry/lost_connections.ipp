// Definitions of connection_entry for connections whose owner a search did not
// find: the locator asks all targets, and a connection that is lost is reset.
#pragma once

namespace lagoon {

// While the list of targets is not known to be whole, searches along the ranking
// go through all targets as before.
template <random_source R, placement_policy P>
bool connection_entry<R, P>::may_locate() const
{
    return this->settings.reset_lost_connections &&
           this->member.whole_list_as_of().has_value();
}

// Searches are left to the locator only while it decides: after a restart of
// all targets they are unsure, and every connection has an owner.
template <random_source R, placement_policy P>
bool connection_entry<R, P>::may_skip_search(time_point now)
{
    return this->may_locate() && this->locator.is_conclusive(now) &&
           this->yield.is_low(now);
}

// While many targets are unsure, as after a restart of all of them, no proof is
// to be had, and the entry's processor is needed for the searches.
template <random_source R, placement_policy P>
void connection_entry<R, P>::locate(effects_type& effects,
                                    connection_packet const& packet,
                                    search_progress const& progress,
                                    time_point now)
{
    bool const is_provable =
        progress.trial_count <= this->settings.locator.max_trials;
    if (!this->settings.reset_lost_connections || packet.is_reset ||
        !is_provable)
        return;
    this->locator.add(packet, now);
    // Advancing visits all pending connections, which is too much for each
    // packet of a caller.
    std::optional<time_point> const due = this->locator.next_due();
    if (due && *due <= now)
        this->advance_locator(effects, now);
}

// Targets that were removed from the catalog unannounced a moment ago may be
// alive, and are asked as well.
template <random_source R, placement_policy P>
located_targets connection_entry<R, P>::list_located_targets() const
{
    located_targets list;
    list.as_of = this->member.whole_list_as_of();
    for (auto const& [id, part] : this->directory.services())
        for (target_record const& target : part.targets) {
            bool const is_listed =
                this->config.find_state(id, target.id).has_value();
            (is_listed ? list.targets : list.removed)
                .push_back({target.address, id, target.started_at_ms});
        }
    std::sort(list.targets.begin(), list.targets.end());
    return list;
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::advance_locator(effects_type& effects,
                                             time_point now)
{
    if (this->locator.size() == 0)
        return;
    for (locator_outcome const& outcome :
         this->locator.advance(this->list_located_targets(), now))
        std::visit(
            [this, &effects, now](auto const& value) {
                this->handle_outcome(effects, value, now);
            },
            outcome);
    std::optional<time_point> const as_of = this->member.whole_list_as_of();
    bool const is_read_needed = as_of ? this->locator.needs_list_after(*as_of)
                                      : this->member.needs_list_read(now);
    if (is_read_needed)
        detail::append(effects, this->member.read_now(this->config, now));
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects,
                                      locate_answer const& event,
                                      time_point now)
{
    if (this->locator.on_reply(event.from, event.reply))
        this->advance_locator(effects, now);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_outcome(effects_type& effects,
                                            send_locate_query const& query,
                                            time_point)
{
    effects.push_back(query);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_outcome(effects_type& effects,
                                            connection_held const& held,
                                            time_point now)
{
    placement_note note = this->make_note(placement_result::owner_found,
                                          held.packet.endpoints, now, now);
    note.target = held.target.address;
    effects.push_back(note);
    this->yield.record(true, now);
    this->forward(effects,
                  {.target = held.target.address,
                   .service = held.target.service,
                   .is_confirmed = true,
                   .arrived_at = now,
                   .requested_at = now},
                  held.packet, now);
}

// Without a query id the target passes the packet to its back end, or returns
// it.
template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_outcome(effects_type& effects,
                                            try_at_target const& trial,
                                            time_point)
{
    effects.push_back(send_offer{
        trial.target.address,
        {{}, trial.target.service, 0, true, {}, trial.packet.bytes}});
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_outcome(effects_type& effects,
                                            connection_lost const& lost,
                                            time_point now)
{
    this->yield.record(false, now);
    this->owners.erase(lost.packet.endpoints);
    effects.push_back(this->make_note(
        placement_result::lost, lost.packet.endpoints, lost.arrived_at, now));
    effects.push_back(reset_caller{lost.packet});
}

}  // namespace lagoon
