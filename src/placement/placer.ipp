// Bodies of the templates that placer.hpp declares.
#pragma once

namespace lagoon {

namespace detail {

// A target whose back end is silent, or that takes nothing new, is passed over
// this long: about as often as its own back end is tried again.
constexpr duration unusable_avoidance = std::chrono::milliseconds{60};

inline bool owns(offer_verdict verdict)
{
    return verdict == offer_verdict::taken || verdict == offer_verdict::waiting;
}

}  // namespace detail

template <placement_policy P>
placer<P>::placer(placer_limits limits, P policy)
    : limits(limits), policy(policy)
{
}

// ---- beginning ----------------------------------------------------------

// Opening packets go by the policy, past targets that lately stayed silent
// while there are others. A search keeps to the ranking.
template <placement_policy P>
placing_outcomes placer<P>::begin(placing_wish const& wish, target_hints& hints,
                                  time_point now)
{
    connection_ends const ends = wish.packet.ends;
    placing_record record{wish, {}, 0, false, {}, 0, 0, 0, {}};
    if (this->records.size() >= this->limits.most)
        return {this->fail(record, false)};
    ranked_addresses usable;
    ranked_addresses avoided;
    std::map<peer_address, std::uint32_t> slots;
    for (placing_target const& one : wish.ranked) {
        bool const is_late =
            wish.packet.opens && hints.is_avoided(one.address, now);
        (is_late ? avoided : usable).push_back(one.address);
        slots[one.address] = one.slots;
    }
    if (wish.packet.opens)
        usable = this->policy.order(usable, hints, now);
    usable.insert(usable.end(), avoided.begin(), avoided.end());
    for (peer_address const& address : usable) {
        bool const is_busy = wish.packet.opens && P::trusts_hints &&
                             hints.seemed_busy(address, now);
        record.busy += is_busy ? 1U : 0U;
        record.choices.push_back(
            {{address, slots[address]},
             is_busy ? choice_state::busy : choice_state::untried,
             is_busy ? hints.load(address) : 0});
    }
    if (record.choices.empty())
        return {this->fail(record, false)};
    placing_record& kept = this->records[ends] = record;
    return {this->go_on(kept, now)};
}

template <placement_policy P>
bool placer<P>::is_placing(connection_ends const& ends) const
{
    return this->records.contains(ends);
}

template <placement_policy P>
void placer<P>::follow(connection_ends const& ends, std::string const& bytes)
{
    auto const found = this->records.find(ends);
    if (found != this->records.end() &&
        found->second.followers.size() < this->limits.most_followers)
        found->second.followers.push_back(bytes);
}

// ---- choosing -----------------------------------------------------------

template <placement_policy P>
std::optional<std::size_t>
placer<P>::next_choice(placing_record const& record) const
{
    bool const enough =
        record.wish.packet.opens && P::probes > 0 && record.busy >= P::probes;
    if (enough)
        return std::nullopt;
    for (std::size_t i = 0; i < record.choices.size(); ++i)
        if (record.choices[i].state == choice_state::untried)
            return i;
    return std::nullopt;
}

template <placement_policy P>
std::optional<std::size_t>
placer<P>::least_loaded(placing_record const& record) const
{
    std::optional<std::size_t> best;
    auto const share = [&record](std::size_t index) {
        choice const& one = record.choices[index];
        return static_cast<double>(one.load) /
               std::max<std::uint32_t>(one.target.slots, 1);
    };
    for (std::size_t i = 0; i < record.choices.size(); ++i)
        if (record.choices[i].state == choice_state::busy &&
            (!best || share(i) < share(*best)))
            best = i;
    return best;
}

template <placement_policy P>
std::optional<std::size_t>
placer<P>::first_unsure(placing_record const& record) const
{
    for (std::size_t i = 0; i < record.choices.size(); ++i)
        if (record.choices[i].state == choice_state::busy)
            return i;
    return std::nullopt;
}

template <placement_policy P>
placing_outcome placer<P>::go_on(placing_record& record, time_point now)
{
    bool const opens = record.wish.packet.opens;
    if (std::optional<std::size_t> const next = this->next_choice(record))
        return this->ask(record, *next, opens && P::probes == 0, now);
    std::optional<std::size_t> const last =
        opens ? this->least_loaded(record) : this->first_unsure(record);
    if (last)
        return this->ask(record, *last, true, now);
    placing_outcome const failed = this->fail(record, false);
    this->records.erase(record.wish.packet.ends);
    return failed;
}

template <placement_policy P>
placing_outcome placer<P>::ask(placing_record& record, std::size_t index,
                               bool insists, time_point now)
{
    placing_wish const& wish = record.wish;
    choice& one = record.choices[index];
    // Until it answers it counts as asked in vain.
    one.state = choice_state::out;
    record.at = index;
    record.insists = insists;
    record.asked += 1;
    record.question = {++this->last_question};
    if (this->last_question == 0)
        record.question = {++this->last_question};
    this->questions[record.question.value] = wish.packet.ends;
    this->due.push_back(
        {now + this->limits.silence, record.question, wish.packet.ends});
    std::optional<request_terms> terms;
    if (wish.packet.opens) {
        terms = wish.terms;
        terms->age = now - wish.begun;
    }
    return ask_target{one.target.address,
                      {record.question, wish.service, one.target.slots, insists,
                       terms, wish.packet.bytes}};
}

// ---- outcomes -----------------------------------------------------------

template <placement_policy P>
placing_outcome placer<P>::fail(placing_record const& record, bool refused)
{
    return placing_failed{
        record.wish.packet, record.wish.service, refused,          record.asked,
        record.silent,      record.wish.arrived, record.wish.begun};
}

template <placement_policy P>
placing_outcome placer<P>::settle(placing_record const& record,
                                  offer_answer const& answer)
{
    return owner_found{record.wish.packet,
                       record.wish.service,
                       record.choices[record.at].target.address,
                       answer.verdict,
                       answer.load,
                       record.asked,
                       record.silent,
                       record.wish.arrived,
                       record.wish.begun,
                       record.followers};
}

template <placement_policy P>
void placer<P>::note(offer_answer const& answer, peer_address target,
                     target_hints& hints, time_point now) const
{
    hints.told(target, answer.load, answer.slots, now);
    bool const is_unusable = answer.verdict == offer_verdict::no_answer ||
                             answer.verdict == offer_verdict::leaving ||
                             answer.verdict == offer_verdict::wrong_service;
    if (is_unusable)
        hints.avoid(target, detail::unusable_avoidance, now);
}

template <placement_policy P>
placing_outcomes placer<P>::answered(offer_answer const& answer,
                                     target_hints& hints, time_point now)
{
    auto const asked = this->questions.find(answer.question.value);
    if (asked == this->questions.end())
        return {};
    auto const found = this->records.find(asked->second);
    this->questions.erase(asked);
    // An answer after the next target was asked is too late to matter.
    if (found == this->records.end() ||
        found->second.question != answer.question)
        return {};
    placing_outcomes const outcomes{
        this->take_answer(found->second, answer, hints, now)};
    this->prune();
    return outcomes;
}

template <placement_policy P>
placing_outcome placer<P>::take_answer(placing_record& record,
                                       offer_answer const& answer,
                                       target_hints& hints, time_point now)
{
    choice& one = record.choices[record.at];
    this->note(answer, one.target.address, hints, now);
    if (detail::owns(answer.verdict)) {
        if (record.wish.packet.opens)
            hints.placed(one.target.address);
        placing_outcome const settled = this->settle(record, answer);
        this->records.erase(record.wish.packet.ends);
        return settled;
    }
    if (answer.verdict == offer_verdict::refused) {
        placing_outcome const failed = this->fail(record, true);
        this->records.erase(record.wish.packet.ends);
        return failed;
    }
    bool const would_if_it_must = answer.verdict == offer_verdict::busy ||
                                  answer.verdict == offer_verdict::unsure;
    if (would_if_it_must && !record.insists) {
        one.state = choice_state::busy;
        one.load = answer.load;
        record.busy += 1;
    }
    return this->go_on(record, now);
}

template <placement_policy P>
bool placer<P>::is_current(due_question const& one) const
{
    auto const found = this->records.find(one.ends);
    return found != this->records.end() &&
           found->second.question == one.question;
}

// Answered questions leave the front, so that nothing wakes up for them.
template <placement_policy P> void placer<P>::prune()
{
    while (!this->due.empty() && !this->is_current(this->due.front())) {
        this->questions.erase(this->due.front().question.value);
        this->due.pop_front();
    }
}

template <placement_policy P>
placing_outcomes placer<P>::tick(target_hints& hints, time_point now)
{
    placing_outcomes outcomes;
    while (!this->due.empty() && this->due.front().at <= now) {
        due_question const over = this->due.front();
        this->due.pop_front();
        this->questions.erase(over.question.value);
        if (!this->is_current(over))
            continue;
        placing_record& record = this->records.at(over.ends);
        record.silent += 1;
        hints.silent(record.choices[record.at].target.address, now);
        outcomes.push_back(this->go_on(record, now));
    }
    return outcomes;
}

template <placement_policy P>
std::optional<time_point> placer<P>::next_due() const
{
    if (this->due.empty())
        return std::nullopt;
    return this->due.front().at;
}

template <placement_policy P> std::size_t placer<P>::size() const
{
    return this->records.size();
}

}  // namespace lagoon
