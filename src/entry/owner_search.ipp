// Definitions of connection_entry for the search for the owner of an open
// connection along the ranking.
#pragma once

namespace lagoon {

// Searches for the owner of an open connection among the targets of all
// services that may hold it.
template <random_source R, placement_policy P>
void connection_entry<R, P>::search(effects_type& effects,
                                    connection_packet const& packet,
                                    std::optional<peer_address> preferred,
                                    std::optional<peer_address> returned_by,
                                    time_point now)
{
    route_record const* route =
        this->config.find_route(packet.endpoints.service);
    if (route == nullptr) {
        this->refuse_unknown_route(effects, packet, {now, now}, now);
        return;
    }
    search_record search{};
    search.remaining = detail::list_owner_candidates(
        detail::list_searched_services(this->directory, this->config, *route,
                                       packet.endpoints),
        make_flow_key(packet.endpoints), this->preference);
    detail::move_candidates(search.remaining, preferred, returned_by);
    // While nearly all searches fail, most of the queries find nothing and delay
    // the packets of the connections that have an owner.
    std::size_t const limit = this->settings.placement.first_batch_end;
    bool const is_shortened =
        search.remaining.size() > limit && this->may_skip_search(now);
    if (is_shortened)
        search.remaining.resize(limit);
    if (search.remaining.empty())
        effects.push_back(this->make_note(placement_result::owner_lost,
                                          packet.endpoints, now, now));
    else
        this->search_candidates(effects, packet, search, now);
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::search_candidates(effects_type& effects,
                                               connection_packet const& packet,
                                               search_record const& search,
                                               time_point now)
{
    placement_request request{};
    request.packet = packet;
    request.candidates = search.remaining;
    request.arrived_at = now;
    request.requested_at = now;
    request.progress = search.progress;
    this->start_placement(effects, request, now);
}

// Handles a cached owner that turned out not to own the connection. The search
// that led to it is resumed among its remaining candidates.
template <random_source R, placement_policy P>
void connection_entry<R, P>::resume_search(effects_type& effects,
                                           connection_packet const& packet,
                                           peer_address returned_by,
                                           time_point now)
{
    std::optional<search_record> const previous =
        this->searches.take_found(packet.endpoints, now);
    if (!previous)
        this->search(effects, packet, std::nullopt, returned_by, now);
    else if (!previous->remaining.empty())
        this->search_candidates(effects, packet, *previous, now);
    else {
        this->record_lost_owner(effects, previous->progress,
                                this->make_note(placement_result::owner_lost,
                                                packet.endpoints, now, now),
                                now);
        this->locate(effects, packet, previous->progress, now);
    }
}

template <random_source R, placement_policy P>
void connection_entry<R, P>::record_lost_owner(effects_type& effects,
                                               search_progress const& progress,
                                               placement_note const& note,
                                               time_point now)
{
    // A silent target may be the owner: the search soon starts over.
    this->searches.put(note.endpoints, {.state = progress.has_silent_target
                                                     ? search_state::suspended
                                                     : search_state::failed,
                                        .progress = progress,
                                        .updated_at = now});
    effects.push_back(note);
}

// The search goes on when the caller sends again.
template <random_source R, placement_policy P>
void connection_entry<R, P>::suspend_search(effects_type& effects,
                                            placement_failed const& failed,
                                            placement_note const& note,
                                            time_point now)
{
    this->searches.put(
        failed.packet.endpoints,
        {search_state::suspended, failed.remaining, failed.progress, now});
    effects.push_back(note);
}

}  // namespace lagoon
