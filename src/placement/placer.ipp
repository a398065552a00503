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
placing_outcomes placer<P>::begin(placing_wish wish, target_hints& hints,
                                  time_point now)
{
    connection_ends const ends = wish.packet.ends;
    ranked_targets targets = std::move(wish.ranked);
    bool const chooses = wish.packet.opens && !wish.first_has_it;
    placing_record record{};
    record.progress = wish.progress;
    record.wish = std::move(wish);
    if (this->records.size() >= this->limits.most)
        return {this->fail(record, false)};
    if (chooses) {
        auto const avoided = std::stable_partition(
            targets.begin(), targets.end(), [&](placing_target const& one) {
                return !hints.is_avoided(one.address, now);
            });
        ranked_targets usable =
            this->policy.order({targets.begin(), avoided}, hints, now);
        std::move(usable.begin(), usable.end(), targets.begin());
    }
    record.choices.reserve(targets.size());
    for (placing_target const& one : targets) {
        bool const is_busy =
            chooses && P::trusts_hints && hints.seemed_busy(one.address, now);
        record.choices.push_back({one,
                                  is_busy || one.is_unsure
                                      ? choice_state::busy
                                      : choice_state::untried,
                                  is_busy ? hints.load(one.address) : 0});
    }
    if (record.choices.empty())
        return {this->fail(record, false)};
    placing_record& kept = this->records[ends] = std::move(record);
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
std::optional<typename placer<P>::placing_step>
placer<P>::next_step(placing_record const& record) const
{
    return record.wish.packet.opens ? this->next_opening(record)
                                    : this->next_search(record);
}

// The first places of the ranking one after the other; the least loaded of
// them must take it when they are busy. Those behind count only where none of
// the first can take it at all.
template <placement_policy P>
std::optional<typename placer<P>::placing_step>
placer<P>::next_opening(placing_record const& record) const
{
    std::optional<std::size_t> const least = this->least_loaded(record);
    bool const enough = P::probes > 0 && record.busy >= P::probes;
    for (std::size_t i = 0; i < record.choices.size() && !enough; ++i) {
        if (i >= P::places && least)
            break;
        bool const has_it = i == 0 && record.wish.first_has_it;
        if (record.choices[i].state == choice_state::untried)
            return placing_step{i, P::probes == 0 || has_it};
    }
    if (!least)
        return std::nullopt;
    return placing_step{*least, true};
}

template <placement_policy P>
std::optional<typename placer<P>::placing_step>
placer<P>::next_search(placing_record const& record) const
{
    std::size_t const all = record.choices.size();
    std::size_t const nearest = std::min(all, this->limits.nearest);
    std::size_t const near = std::min(all, this->limits.near);
    // Where nobody near knows anything, asking the rest would be in vain.
    bool const asks_far =
        record.progress.any_knows || record.progress.trials < this->limits.near;
    std::optional<placing_step> step = this->next_in(record, 0, nearest, true);
    if (!step)
        step = this->next_in(record, nearest, near, true);
    if (!step)
        step = this->next_in(record, near, all, asks_far);
    return step;
}

// Asks all of a part of the ranking, or none, and then makes the unsure try.
template <placement_policy P>
std::optional<typename placer<P>::placing_step>
placer<P>::next_in(placing_record const& record, std::size_t from,
                   std::size_t upto, bool asks) const
{
    for (std::size_t i = from; i < upto && asks; ++i)
        if (record.choices[i].state == choice_state::untried)
            return placing_step{i, false};
    if (record.progress.trials >= this->limits.most_trials)
        return std::nullopt;
    for (std::size_t i = from; i < upto; ++i)
        if (record.choices[i].state != choice_state::out)
            return placing_step{i, true};
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
    for (std::size_t i = 0; i < record.choices.size(); ++i) {
        if (i >= P::places && best)
            break;
        if (record.choices[i].state == choice_state::busy &&
            (!best || share(i) < share(*best)))
            best = i;
    }
    return best;
}

// Whom a search would ask next.
template <placement_policy P>
std::vector<placing_target>
placer<P>::left_of(placing_record const& record) const
{
    std::vector<placing_target> left;
    if (record.wish.packet.opens)
        return left;
    for (choice const& one : record.choices) {
        bool const is_unsure = one.state == choice_state::busy;
        if (one.state != choice_state::out)
            left.push_back({one.target.address, one.target.slots, is_unsure});
    }
    return left;
}

template <placement_policy P>
placing_outcome placer<P>::go_on(placing_record& record, time_point now)
{
    if (std::optional<placing_step> const next = this->next_step(record))
        return this->ask(record, next->index, next->is_last_resort, now);
    placing_outcome const failed = this->fail(record, false);
    this->records.erase(record.wish.packet.ends);
    return failed;
}

template <placement_policy P>
placing_outcome placer<P>::ask(placing_record& record, std::size_t index,
                               bool is_last_resort, time_point now)
{
    placing_wish const& wish = record.wish;
    choice& one = record.choices[index];
    // Until it answers it counts as asked in vain.
    one.state = choice_state::out;
    record.at = index;
    record.is_last_resort = is_last_resort;
    record.asked += 1;
    record.progress.trials += is_last_resort ? 1U : 0U;
    record.query = {++this->last_question};
    if (this->last_question == 0)
        record.query = {++this->last_question};
    this->questions[record.query.value] = wish.packet.ends;
    this->due.push_back(
        {now + this->limits.silence, record.query, wish.packet.ends});
    std::optional<request_attributes> attributes;
    if (wish.packet.opens) {
        attributes = wish.attributes;
        attributes->age = now - wish.begun;
    }
    return ask_target{one.target.address,
                      {record.query, wish.service, one.target.slots,
                       is_last_resort, attributes, wish.packet.bytes}};
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
                                  offer_reply const& answer)
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
                       record.followers,
                       this->left_of(record),
                       record.progress};
}

template <placement_policy P>
void placer<P>::note(offer_reply const& answer, peer_address target,
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
placing_outcomes placer<P>::answered(offer_reply const& answer,
                                     target_hints& hints, time_point now)
{
    auto const asked = this->questions.find(answer.query.value);
    if (asked == this->questions.end())
        return {};
    auto const found = this->records.find(asked->second);
    this->questions.erase(asked);
    // An answer after the next target was asked is too late to matter.
    if (found == this->records.end() || found->second.query != answer.query)
        return {};
    placing_outcomes const outcomes{
        this->take_answer(found->second, answer, hints, now)};
    this->prune();
    return outcomes;
}

template <placement_policy P>
placing_outcome placer<P>::take_answer(placing_record& record,
                                       offer_reply const& answer,
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
    if (answer.verdict == offer_verdict::not_owner && !record.is_last_resort)
        record.progress.any_knows = true;
    bool const would_if_it_must = answer.verdict == offer_verdict::busy ||
                                  answer.verdict == offer_verdict::unsure;
    if (would_if_it_must && !record.is_last_resort) {
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
    return found != this->records.end() && found->second.query == one.query;
}

// Answered questions leave the front, so that nothing wakes up for them.
template <placement_policy P> void placer<P>::prune()
{
    while (!this->due.empty() && !this->is_current(this->due.front())) {
        this->questions.erase(this->due.front().query.value);
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
        this->questions.erase(over.query.value);
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
