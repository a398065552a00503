// Definitions of the templates in placer.hpp.
#pragma once

namespace lagoon {

namespace detail {

// How long a target is avoided when its back end does not answer or it accepts
// no new connections: about the interval at which the target tries its back end
// again.
constexpr duration unusable_avoidance = std::chrono::milliseconds{60};

inline bool is_owner_verdict(offer_verdict verdict)
{
    return verdict == offer_verdict::taken || verdict == offer_verdict::waiting;
}

}  // namespace detail

template <placement_policy P>
placer<P>::placer(placer_limits limits, P policy)
    : limits(limits), policy(policy), times(limits.answer_wait),
      budget(limits.budget)
{
}

// ---- starting -----------------------------------------------------------

// Orders the candidates of opening packets by the policy, with avoided targets
// last. A search uses the order of the ranking.
template <placement_policy P>
placement_outcomes placer<P>::start(placement_request request,
                                    target_hints& hints, time_point now)
{
    connection_endpoints const endpoints = request.packet.endpoints;
    ranked_candidates targets = std::move(request.candidates);
    bool const uses_policy =
        request.packet.is_opening && !request.is_retransmission;
    placement_state record{};
    record.progress = request.progress;
    if (record.progress.started_at == time_point{})
        record.progress.started_at = now;
    record.request = std::move(request);
    if (this->placements.size() >= this->limits.max_placements)
        return {this->make_failed(record, false)};
    if (uses_policy) {
        auto const avoided = std::stable_partition(
            targets.begin(), targets.end(),
            [&](placement_candidate const& candidate) {
                return !hints.is_avoided(candidate.address, now);
            });
        ranked_candidates usable =
            this->policy.order({targets.begin(), avoided}, hints, now);
        std::move(usable.begin(), usable.end(), targets.begin());
    }
    record.candidates.reserve(targets.size());
    for (placement_candidate const& candidate : targets) {
        bool const is_busy = uses_policy && P::uses_hints &&
                             hints.is_reported_busy(candidate.address, now);
        record.candidates.push_back(
            {candidate,
             is_busy || candidate.is_unsure ? candidate_state::busy
                                            : candidate_state::not_queried,
             is_busy ? hints.load_to_compare(candidate.address) : 0});
    }
    if (record.candidates.empty())
        return {this->make_failed(record, false)};
    placement_state& stored = this->placements[endpoints] = std::move(record);
    return {this->query_next(stored, now)};
}

template <placement_policy P>
bool placer<P>::is_placing(connection_endpoints const& endpoints) const
{
    return this->placements.contains(endpoints);
}

template <placement_policy P>
void placer<P>::queue_packet(connection_endpoints const& endpoints,
                             std::string const& bytes)
{
    auto const found = this->placements.find(endpoints);
    if (found != this->placements.end() &&
        found->second.pending_packets.size() < this->limits.max_pending_packets)
        found->second.pending_packets.push_back(bytes);
}

// ---- choosing -----------------------------------------------------------

template <placement_policy P>
std::optional<typename placer<P>::query_choice>
placer<P>::choose_next(placement_state const& record) const
{
    return record.request.packet.is_opening ? this->choose_for_opening(record)
                                            : this->choose_for_search(record);
}

// Queries the preferred candidates one after the other. If all are busy, the
// least loaded of them has to queue the connection. Further candidates are
// queried only if none of the preferred ones can accept the connection.
template <placement_policy P>
std::optional<typename placer<P>::query_choice>
placer<P>::choose_for_opening(placement_state const& record) const
{
    std::optional<std::size_t> const least = this->find_least_loaded(record);
    bool const has_enough_replies =
        P::max_busy_replies > 0 && record.busy_count >= P::max_busy_replies;
    for (std::size_t i = 0; i < record.candidates.size() && !has_enough_replies;
         ++i) {
        if (i >= P::preferred_count && least)
            break;
        bool const has_packet = i == 0 && record.request.is_retransmission;
        if (record.candidates[i].state == candidate_state::not_queried)
            return query_choice{i, P::max_busy_replies == 0 || has_packet};
    }
    if (!least)
        return std::nullopt;
    return query_choice{*least, true};
}

template <placement_policy P>
std::optional<typename placer<P>::query_choice>
placer<P>::choose_for_search(placement_state const& record) const
{
    std::size_t const count = record.candidates.size();
    std::size_t const first_end = std::min(count, this->limits.first_batch_end);
    std::size_t const second_end =
        std::min(count, this->limits.second_batch_end);
    // If the first two batches gave only unsure replies, so would the rest.
    bool const may_query_rest =
        record.progress.has_definite_denial ||
        record.progress.trial_count < this->limits.second_batch_end;
    std::optional<query_choice> choice =
        this->choose_in_range(record, 0, first_end, true);
    if (!choice)
        choice = this->choose_in_range(record, first_end, second_end, true);
    if (!choice)
        choice =
            this->choose_in_range(record, second_end, count, may_query_rest);
    return choice;
}

// Queries the candidates of a range that were not queried yet, if `may_query`
// is set, and then tells those that are unsure or not queried to try their back
// ends.
template <placement_policy P>
std::optional<typename placer<P>::query_choice>
placer<P>::choose_in_range(placement_state const& record, std::size_t from,
                           std::size_t to, bool may_query) const
{
    for (std::size_t i = from; i < to && may_query; ++i)
        if (record.candidates[i].state == candidate_state::not_queried)
            return query_choice{i, false};
    if (!this->may_try_back_end(record))
        return std::nullopt;
    for (std::size_t i = from; i < to; ++i)
        if (record.candidates[i].state == candidate_state::not_queried ||
            record.candidates[i].state == candidate_state::busy)
            return query_choice{i, true};
    return std::nullopt;
}

template <placement_policy P>
std::optional<std::size_t>
placer<P>::find_least_loaded(placement_state const& record) const
{
    std::optional<std::size_t> best;
    auto const load_share = [&record](std::size_t index) {
        candidate_record const& candidate = record.candidates[index];
        return static_cast<double>(candidate.load) /
               std::max<std::uint32_t>(candidate.target.slots, 1);
    };
    for (std::size_t i = 0; i < record.candidates.size(); ++i) {
        if (i >= P::preferred_count && best)
            break;
        if (record.candidates[i].state == candidate_state::busy &&
            (!best || load_share(i) < load_share(*best)))
            best = i;
    }
    return best;
}

// Returns the candidates that a resumed search would query, silent ones last.
template <placement_policy P>
std::vector<placement_candidate>
placer<P>::list_remaining_candidates(placement_state const& record) const
{
    std::vector<placement_candidate> remaining;
    std::vector<placement_candidate> silent;
    if (record.request.packet.is_opening)
        return remaining;
    for (candidate_record const& candidate : record.candidates) {
        bool const is_unsure = candidate.state == candidate_state::busy;
        if (candidate.state == candidate_state::silent)
            silent.push_back(candidate.target);
        else if (candidate.state != candidate_state::excluded)
            remaining.push_back({candidate.target.address,
                                 candidate.target.slots,
                                 candidate.target.service, is_unsure});
    }
    remaining.insert(remaining.end(), silent.begin(), silent.end());
    return remaining;
}

template <placement_policy P>
bool placer<P>::may_try_back_end(placement_state const& record) const
{
    return record.progress.trial_count - record.progress.earlier_trial_count <
           this->limits.max_trials;
}

template <placement_policy P>
bool placer<P>::has_candidate(placement_state const& record,
                              candidate_state state) const
{
    return std::any_of(record.candidates.begin(), record.candidates.end(),
                       [state](candidate_record const& candidate) {
                           return candidate.state == state;
                       });
}

// Load pattern: all VMs lose power, and callers send the packets of thousands
// of connections that no target holds any more. Searches for these must not
// take the entry's time and link from the connections that have an owner.
template <placement_policy P>
bool placer<P>::may_query(placement_state const& record, time_point now)
{
    if (record.request.packet.is_opening)
        return true;
    if (record.timeout_count >= this->limits.max_timeouts)
        return false;
    return record.progress.query_count < this->limits.free_queries ||
           this->budget.try_spend(now);
}

template <placement_policy P>
placement_outcome placer<P>::query_next(placement_state& record, time_point now)
{
    std::optional<query_choice> const next = this->choose_next(record);
    if (next && this->may_query(record, now))
        return this->make_query(record, next->index, next->is_last_resort, now);
    // An unsure target whose back end was not tried yet may be the owner.
    bool const is_cut_short =
        next || this->has_candidate(record, candidate_state::busy) ||
        this->has_candidate(record, candidate_state::not_queried);
    placement_failed failed = this->make_failed(record, false);
    if (is_cut_short)
        failed.remaining = this->list_remaining_candidates(record);
    else if (this->has_candidate(record, candidate_state::silent))
        failed.progress.has_silent_target = true;
    this->placements.erase(record.request.packet.endpoints);
    return failed;
}

template <placement_policy P>
placement_outcome placer<P>::make_query(placement_state& record,
                                        std::size_t index, bool is_last_resort,
                                        time_point now)
{
    placement_request const& request = record.request;
    candidate_record& candidate = record.candidates[index];
    // Excluded unless its answer changes that.
    candidate.state = candidate_state::excluded;
    record.current = index;
    record.is_last_resort = is_last_resort;
    record.query_count += 1;
    record.progress.query_count += 1;
    record.progress.trial_count += is_last_resort ? 1U : 0U;
    record.query = {++this->last_query_id};
    // The id 0 stands for no query; skip it when the counter wraps.
    if (this->last_query_id == 0)
        record.query = {++this->last_query_id};
    this->queries[record.query.value] = {request.packet.endpoints,
                                         candidate.target.address, index,
                                         is_last_resort, now};
    this->deadlines.insert(
        {now + this->times.wait_for(candidate.target.address), record.query,
         request.packet.endpoints});
    std::optional<request_attributes> attributes;
    if (request.packet.is_opening) {
        attributes = request.attributes;
        attributes->age = now - request.requested_at;
        attributes->opens_per_second = candidate.target.opens_per_second;
        // Without a generation, a target in an evacuated data centre takes only
        // copies, so that it opens no connection that it has forgotten.
        if (candidate.target.is_closed)
            attributes->config_generation = {};
    }
    return query_target{candidate.target.address,
                        {record.query, candidate.target.service,
                         candidate.target.slots, is_last_resort, attributes,
                         request.packet.bytes}};
}

// ---- outcomes -----------------------------------------------------------

template <placement_policy P>
placement_failed placer<P>::make_failed(placement_state const& record,
                                        bool is_refused)
{
    return placement_failed{record.request.packet,
                            is_refused,
                            record.query_count,
                            record.timeout_count,
                            record.request.arrived_at,
                            record.request.requested_at,
                            {},
                            record.progress};
}

template <placement_policy P>
placement_outcome placer<P>::make_found(placement_state const& record,
                                        placement_candidate const& owner,
                                        offer_reply const& answer)
{
    return owner_found{record.request.packet,
                       owner.service,
                       owner.address,
                       answer.verdict,
                       answer.load,
                       record.query_count,
                       record.timeout_count,
                       record.request.arrived_at,
                       record.request.requested_at,
                       record.pending_packets,
                       this->list_remaining_candidates(record),
                       record.progress};
}

// The target of another service may have the same address, so wrong_service says
// nothing about the address.
template <placement_policy P>
void placer<P>::update_hints(offer_reply const& answer, peer_address target,
                             target_hints& hints, bool is_opening,
                             time_point now) const
{
    bool const is_placed =
        is_opening && detail::is_owner_verdict(answer.verdict);
    hints.record_load(target, answer.load, answer.slots, now,
                      answer.expected_load, is_placed ? 1U : 0U);
    bool const is_unusable = answer.verdict == offer_verdict::no_answer ||
                             answer.verdict == offer_verdict::leaving;
    if (is_unusable)
        hints.avoid(target, detail::unusable_avoidance, now);
}

template <placement_policy P> void placer<P>::record_delivery()
{
    this->budget.record_delivery();
}

template <placement_policy P>
placement_outcomes placer<P>::on_answer(offer_reply const& answer,
                                        target_hints& hints, time_point now)
{
    auto const sent = this->queries.find(answer.query.value);
    if (sent == this->queries.end())
        return {};
    sent_query const query = sent->second;
    this->queries.erase(sent);
    this->times.record(query.target, now - query.sent_at, now);
    auto const found = this->placements.find(query.endpoints);
    bool const is_opening = found != this->placements.end() &&
                            found->second.request.packet.is_opening;
    this->update_hints(answer, query.target, hints, is_opening, now);
    if (found == this->placements.end())
        return {};
    placement_outcomes outcomes;
    if (found->second.query != answer.query)
        outcomes = this->handle_late_answer(found->second, query, answer);
    else
        outcomes.push_back(
            this->handle_answer(found->second, answer, hints, now));
    this->drop_stale_deadlines(now);
    return outcomes;
}

template <placement_policy P>
placement_outcomes placer<P>::on_returned(connection_endpoints const& endpoints,
                                          peer_address from, time_point now)
{
    auto const found = this->placements.find(endpoints);
    if (found == this->placements.end())
        return {};
    placement_state& record = found->second;
    for (query_deadline const& late : this->late_queries) {
        auto const sent = this->queries.find(late.query.value);
        if (sent != this->queries.end() && late.endpoints == endpoints &&
            sent->second.target == from)
            this->queries.erase(sent);
    }
    if (record.candidates[record.current].target.address != from)
        return {};
    this->queries.erase(record.query.value);
    placement_outcomes const outcomes{this->query_next(record, now)};
    this->drop_stale_deadlines(now);
    return outcomes;
}

// Another target has been queried since. What a target says about an open
// connection holds nevertheless; an opening packet goes to the one queried now.
template <placement_policy P>
placement_outcomes placer<P>::handle_late_answer(placement_state& record,
                                                 sent_query const& query,
                                                 offer_reply const& answer)
{
    bool const is_same_search =
        !record.request.packet.is_opening &&
        query.index < record.candidates.size() &&
        record.candidates[query.index].target.address == query.target;
    if (!is_same_search)
        return {};
    candidate_record& candidate = record.candidates[query.index];
    record.timeout_count -= std::min(record.timeout_count, 1U);
    candidate.state = candidate_state::excluded;
    if (detail::is_owner_verdict(answer.verdict)) {
        // The target queried now has not answered yet, and may be the owner if
        // this one has only tried its back end.
        record.candidates[record.current].state = candidate_state::not_queried;
        placement_outcomes const outcomes{
            this->make_found(record, candidate.target, answer)};
        this->placements.erase(query.endpoints);
        return outcomes;
    }
    if (answer.verdict == offer_verdict::not_owner && !query.is_last_resort)
        record.progress.has_definite_denial = true;
    if (answer.verdict == offer_verdict::unsure && !query.is_last_resort)
        candidate.state = candidate_state::busy;
    return {};
}

template <placement_policy P>
placement_outcome placer<P>::handle_answer(placement_state& record,
                                           offer_reply const& answer,
                                           target_hints& hints, time_point now)
{
    candidate_record& candidate = record.candidates[record.current];
    if (detail::is_owner_verdict(answer.verdict)) {
        if (record.request.packet.is_opening)
            hints.record_placement(candidate.target.address);
        placement_outcome const found_outcome =
            this->make_found(record, candidate.target, answer);
        this->placements.erase(record.request.packet.endpoints);
        return found_outcome;
    }
    // A retransmission goes first to the target that accepted the first packet,
    // whatever its load. If it has dropped the request since, the others may
    // still serve it.
    bool const has_other_candidates =
        record.request.is_retransmission && record.current == 0 &&
        this->has_candidate(record, candidate_state::not_queried);
    if (answer.verdict == offer_verdict::refused && !has_other_candidates) {
        placement_outcome const failed = this->make_failed(record, true);
        this->placements.erase(record.request.packet.endpoints);
        return failed;
    }
    if (answer.verdict == offer_verdict::not_owner && !record.is_last_resort)
        record.progress.has_definite_denial = true;
    bool const accepts_as_last_resort = answer.verdict == offer_verdict::busy ||
                                        answer.verdict == offer_verdict::unsure;
    if (accepts_as_last_resort && !record.is_last_resort) {
        candidate.state = candidate_state::busy;
        candidate.load = std::max(answer.load, answer.expected_load);
        record.busy_count += 1;
    }
    return this->query_next(record, now);
}

template <placement_policy P>
bool placer<P>::is_current(query_deadline const& deadline) const
{
    auto const found = this->placements.find(deadline.endpoints);
    return found != this->placements.end() &&
           found->second.query == deadline.query;
}

// Removes the deadlines of queries whose answer is not waited for any more.
// These need no tick.
template <placement_policy P>
void placer<P>::drop_stale_deadlines(time_point now)
{
    while (!this->deadlines.empty() &&
           !this->is_current(*this->deadlines.begin()))
        this->take_first_deadline(now);
}

// Keeps an unanswered query for its late answer.
template <placement_policy P>
typename placer<P>::query_deadline
placer<P>::take_first_deadline(time_point now)
{
    query_deadline const first = *this->deadlines.begin();
    this->deadlines.erase(this->deadlines.begin());
    if (this->queries.contains(first.query.value))
        this->late_queries.push_back({now + this->limits.late_answer_lifetime,
                                      first.query, first.endpoints});
    return first;
}

template <placement_policy P>
void placer<P>::forget_late_queries(time_point now)
{
    while (!this->late_queries.empty() &&
           this->late_queries.front().at <= now) {
        this->queries.erase(this->late_queries.front().query.value);
        this->late_queries.pop_front();
    }
}

template <placement_policy P>
placement_outcomes placer<P>::tick(target_hints& hints, time_point now)
{
    placement_outcomes outcomes;
    while (!this->deadlines.empty() && this->deadlines.begin()->at <= now) {
        query_deadline const expired = this->take_first_deadline(now);
        if (!this->is_current(expired))
            continue;
        placement_state& record = this->placements.at(expired.endpoints);
        record.timeout_count += 1;
        candidate_record& candidate = record.candidates[record.current];
        candidate.state = candidate_state::silent;
        hints.record_timeout(candidate.target.address, now);
        outcomes.push_back(this->query_next(record, now));
    }
    this->forget_late_queries(now);
    this->times.sweep(now);
    return outcomes;
}

template <placement_policy P>
std::optional<time_point> placer<P>::next_due() const
{
    if (this->deadlines.empty())
        return std::nullopt;
    return this->deadlines.begin()->at;
}

template <placement_policy P> std::size_t placer<P>::size() const
{
    return this->placements.size();
}

template <placement_policy P>
std::optional<duration> placer<P>::find_answer_time(peer_address target) const
{
    return this->times.find_mean(target);
}

}  // namespace lagoon
