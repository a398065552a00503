// Definitions of connection_entry for changes of the configuration: exchange with
// peers and the platform, and what follows from a change.
#pragma once

namespace lagoon {

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects,
                                      digest_packet const& event,
                                      time_point now)
{
    detail::append(effects, this->member.handle_digest(
                                event.from, event.message, this->config, now));
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects,
                                      change_received const& event,
                                      time_point now)
{
    catalog_version const before = this->config.version();
    handle_change(effects, this->config, this->member, event, now);
    this->handle_config_change(effects, before, now);
    this->report_platform_change(effects, now);
    if (this->settings.reset_lost_connections)
        this->advance_locator(effects, now);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects,
                                      update_packet const& event,
                                      time_point now)
{
    catalog_version const before = this->config.version();
    handle_update(effects, this->config, this->member, event, now);
    this->handle_config_change(effects, before, now);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects,
                                      change_request_packet const& event,
                                      time_point now)
{
    detail::append(effects,
                   this->member.handle_request(event.from, event.message.since,
                                               this->config, now));
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::handle_config_change(effects_type& effects,
                                                  catalog_version const& before,
                                                  time_point now)
{
    if (this->config.version() != before) {
        this->directory.update(this->config, now);
        this->report_evacuations(effects, now);
        this->retry_held_now(now);
    }
    this->retry_held(effects, now);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::on_event(effects_type& effects,
                                      change_unavailable const& event,
                                      time_point now)
{
    this->member.handle_failure(event.source, this->config, now);
    this->member.handle_era(event.store_era, this->config, now);
    effects.push_back(report_failure{event.error});
    this->report_platform_change(effects, now);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::report_evacuations(effects_type& effects,
                                                time_point now)
{
    evacuation_difference const changes =
        this->evacuations.update(this->config);
    duration const age = this->member.platform_age(now);
    for (std::string const& name : changes.begun)
        effects.push_back(
            status_change_note{status_change::evacuation_begun, name, age});
    for (std::string const& name : changes.ended)
        effects.push_back(
            status_change_note{status_change::evacuation_ended, name, age});
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::notify_evacuated_targets(effects_type& effects,
                                                      time_point now)
{
    if (this->config.evacuations().data_centres.empty())
        return;
    for (addressed_notice const& one :
         this->evacuations.tick(this->config, this->directory.services(),
                                this->member.known_peers(), now))
        effects.push_back(send_evacuation_notice{one.to, one.notice});
}

// A changed catalog may contain what a held packet waits for.
template <random_source R, placement_policy P>
void connection_entry<R, P>::retry_held_now(time_point now)
{
    for (held_packet& held : this->held)
        held.due = now;
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::report_platform_change(effects_type& effects,
                                                    time_point now)
{
    bool const is_reachable = this->member.is_platform_reachable();
    if (is_reachable != this->was_platform_reachable)
        effects.push_back(
            status_change_note{is_reachable ? status_change::platform_regained
                                            : status_change::platform_lost,
                               {},
                               this->member.platform_age(now)});
    this->was_platform_reachable = is_reachable;
}

}  // namespace lagoon
