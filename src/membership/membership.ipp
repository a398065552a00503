// Bodies of the templates that membership.hpp declares.
#pragma once

namespace lagoon {

template <random_source R>
membership<R>::membership(membership_settings settings, R random,
                          time_point now)
    : settings(std::move(settings)), random(std::move(random)), last_tick(now),
      next_exchange(now), platform_contact(now - no_platform_contact),
      earliest_read(now)
{
    this->begin_wait(now);
    if (!this->settings.seeds.empty())
        this->earliest_read = now + this->settings.pace.first_read_delay;
}

template <random_source R>
void membership<R>::set_seeds(std::vector<peer_address> const& seeds)
{
    this->settings.seeds = seeds;
}

template <random_source R> void membership<R>::begin_wait(time_point now)
{
    this->waiting_since = now;
    this->peer_compared = false;
    this->platform_compared = false;
}

template <random_source R>
duration membership<R>::platform_age(time_point now) const
{
    return now - this->platform_contact;
}

template <random_source R>
peer_digest membership<R>::own_digest(catalog const& known,
                                      bool is_reply_requested, time_point now)
{
    return {this->settings.self,    known.version(),    this->platform_age(now),
            this->settings.control, is_reply_requested, this->some_peers()};
}

template <random_source R> std::vector<peer_address> membership<R>::some_peers()
{
    std::vector<peer_address> all;
    for (known_peer const& peer : this->peers.all())
        all.push_back(peer.exchange);
    std::shuffle(all.begin(), all.end(), this->random);
    all.resize(std::min(all.size(), peers_in_digest));
    return all;
}

// Those that the catalog lists, the seeds, and those heard of.
template <random_source R>
std::vector<peer_address> membership<R>::peers_known(catalog const& known) const
{
    std::vector<peer_address> all;
    for (entry_record const& entry : known.fleet().entries)
        all.push_back(entry.exchange);
    for (peer_address const& seed : this->settings.seeds)
        all.push_back(seed);
    for (known_peer const& peer : this->peers.all())
        all.push_back(peer.exchange);
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    std::erase(all, this->settings.exchange);
    return all;
}

template <random_source R>
std::vector<peer_address> membership<R>::pick_peers(catalog const& known,
                                                    std::size_t most)
{
    std::vector<peer_address> all = this->peers_known(known);
    for (std::size_t i = 0; i < std::min(most, all.size()); ++i)
        std::swap(all[i], all[i + pick_below(this->random, all.size() - i)]);
    all.resize(std::min(most, all.size()));
    return all;
}

template <random_source R>
void membership<R>::greet(membership_effects& effects, catalog const& known,
                          std::size_t peers, bool is_reply_requested,
                          time_point now)
{
    for (peer_address const& peer : this->pick_peers(known, peers))
        effects.push_back(send_digest{
            peer, this->own_digest(known, is_reply_requested, now)});
}

template <random_source R>
membership_effects membership<R>::heard(peer_address from,
                                        peer_digest const& what,
                                        catalog const& known, time_point now)
{
    membership_effects effects;
    if (what.sender != this->settings.self)
        this->peers.heard(from, what.sender, now);
    for (peer_address const& peer : what.peers)
        if (peer != this->settings.exchange)
            this->peers.named(peer, now);
    this->platform_contact =
        std::max(this->platform_contact, now - what.platform_age);
    this->highest_heard = std::max(this->highest_heard, what.version);
    if (what.version > known.version()) {
        bool const free =
            !this->fetching_since ||
            now - *this->fetching_since > this->settings.pace.fetch_timeout;
        if (free) {
            this->fetching_since = now;
            effects.push_back(fetch_from_peer{
                from, what.control_address, known.version().number,
                this->settings.pace.fetch_timeout});
        }
    } else {
        this->peer_compared = true;
    }
    bool const peer_is_behind = what.version < known.version();
    if (what.is_reply_requested || peer_is_behind)
        effects.push_back(
            send_digest{from, this->own_digest(known, false, now)});
    return effects;
}

template <random_source R>
membership_effects membership<R>::answered(change_source source,
                                           catalog_change const* adopted,
                                           catalog const& known, time_point now)
{
    if (source == change_source::platform) {
        this->reading_since.reset();
        this->needs_whole = false;
        this->platform_contact = now;
        this->platform_compared = true;
        this->platform_answered = true;
    } else {
        this->fetching_since.reset();
        this->peer_compared = true;
    }
    if (adopted != nullptr)
        return this->tell(*adopted, this->settings.pace.news_fan_out, known,
                          now);
    // A linearizable answer is news even where nothing changed: it tells how
    // fresh the present configuration is.
    membership_effects effects;
    if (source == change_source::platform &&
        this->settings.pace.platform_is_linearizable)
        this->greet(effects, known, this->settings.pace.news_fan_out, false,
                    now);
    return effects;
}

template <random_source R>
membership_effects membership<R>::pass_on(catalog_change const& adopted,
                                          catalog const& known, time_point now)
{
    this->peer_compared = true;
    this->fetching_since.reset();
    return this->tell(adopted, this->settings.pace.pass_on_fan_out, known, now);
}

template <random_source R>
membership_effects membership<R>::asked(peer_address from, generation since,
                                        catalog const& known, time_point now)
{
    return {send_news{
        from,
        {this->own_digest(known, false, now), known.changes_since(since)}}};
}

// Whole parts are for those who ask.
template <random_source R>
membership_effects membership<R>::tell(catalog_change const& adopted,
                                       std::size_t peers, catalog const& known,
                                       time_point now)
{
    membership_effects effects;
    if (!holds_records_alone(adopted)) {
        this->greet(effects, known, peers, false, now);
        return effects;
    }
    for (peer_address const& peer : this->pick_peers(known, peers))
        effects.push_back(
            send_news{peer, {this->own_digest(known, false, now), adopted}});
    return effects;
}

template <random_source R>
membership_effects membership<R>::conflicted(peer_address exchange,
                                             peer_address control,
                                             time_point now)
{
    this->fetching_since = now;
    return {fetch_from_peer{exchange, control, generation{},
                            this->settings.pace.fetch_timeout}};
}

template <random_source R>
void membership<R>::misled(catalog const& known, time_point now)
{
    this->unanswered(change_source::platform, known, now);
    this->needs_whole = true;
    this->last_read.reset();
}

template <random_source R>
void membership<R>::unanswered(change_source source, catalog const& known,
                               time_point now)
{
    if (source == change_source::peer) {
        this->fetching_since.reset();
        return;
    }
    this->reading_since.reset();
    this->platform_answered = false;
    // It was asked; there is no more to wait for, unless only its answer
    // would do.
    if (!this->settings.pace.platform_is_linearizable)
        this->platform_compared = true;
    bool const has_none = known.version() == catalog_version{};
    reading_pace const& pace = this->settings.pace.reading;
    this->earliest_read = now + (has_none ? pace.retry : pace.step);
}

template <random_source R> bool membership<R>::reaches_platform() const
{
    return this->platform_answered;
}

// By the documents where they list the fleet, else among the peers heard of.
template <random_source R>
std::size_t membership<R>::rank(catalog const& known) const
{
    if (known.fleet().entries.empty() && this->peers.size() > 0)
        return this->peers.rank_of(this->settings.self, 0);
    return reader_rank(known.fleet(), this->settings.self,
                       this->settings.data_centre);
}

// The rank is worked out once for each generation: the fleet is large.
template <random_source R>
reading_plan membership<R>::plan(catalog const& known)
{
    bool const is_current = this->planned_for == known.version() &&
                            this->planned_peers == this->peers.size();
    if (!is_current) {
        this->planned_for = known.version();
        this->planned_peers = this->peers.size();
        this->present_plan =
            plan_for_rank(this->rank(known), this->settings.pace.reading);
    }
    return this->present_plan;
}

template <random_source R>
void membership<R>::read_if_due(membership_effects& effects,
                                catalog const& known, time_point now)
{
    if (this->reading_since) {
        duration const most = this->settings.pace.read_timeout + this->watching;
        if (now - *this->reading_since < most)
            return;
        this->unanswered(change_source::platform, known, now);
    }
    reading_plan const plan = this->plan(known);
    bool const first = known.version() == catalog_version{};
    bool const news_is_old =
        this->platform_age(now) > this->settings.pace.reading.news_lifetime;
    bool const wanted = plan.watches || news_is_old || this->needs_whole;
    // The rank may have changed since the last read, and the interval with it.
    bool const too_soon =
        now < this->earliest_read ||
        (!first && this->last_read && now < *this->last_read + plan.interval);
    if (too_soon || !wanted)
        return;
    // The first read, and the first after a pause, doesn't wait for a change.
    bool const may_wait =
        plan.watches && !first && !this->needs_whole && this->platform_compared;
    generation const since =
        this->needs_whole ? generation{} : known.version().number;
    this->watching = may_wait ? plan.watch : duration{};
    this->reading_since = now;
    this->last_read = now;
    effects.push_back(read_platform{since, may_wait, this->watching,
                                    this->settings.pace.read_timeout});
}

template <random_source R>
membership_effects membership<R>::tick(catalog const& known, time_point now)
{
    membership_effects effects;
    this->peers.sweep(now);
    if (now - this->last_tick > this->settings.pace.pause_gap) {
        this->begin_wait(now);
        this->reading_since.reset();
        this->fetching_since.reset();
        this->earliest_read = now;
        this->last_read.reset();
        this->next_exchange = now;
    }
    this->last_tick = now;
    if (now >= this->next_exchange) {
        bool const waiting = !this->is_ready(known, now);
        duration const interval = this->settings.pace.exchange_interval;
        this->next_exchange = now + (waiting ? interval / 10 : interval);
        this->greet(effects, known, 1, true, now);
    }
    this->read_if_due(effects, known, now);
    return effects;
}

template <random_source R>
std::optional<time_point> membership<R>::next_due(catalog const& known) const
{
    bool const has_none = known.version() == catalog_version{};
    if (!has_none || this->reading_since)
        return std::nullopt;
    return this->earliest_read;
}

// A peer alone may be as far behind as this process, and a platform that may
// answer with old contents is no proof alone either: then it takes both, or a
// peer with fresh news of the platform.
template <random_source R>
bool membership<R>::has_compared(time_point now) const
{
    bool const fresh_news =
        this->platform_age(now) < this->settings.pace.reading.news_lifetime;
    if (this->settings.pace.platform_is_linearizable)
        return this->platform_compared || (this->peer_compared && fresh_news);
    return this->peer_compared && (this->platform_compared || fresh_news);
}

template <random_source R>
bool membership<R>::is_ready(catalog const& known, time_point now) const
{
    if (known.version() == catalog_version{})
        return false;
    membership_pace const& pace = this->settings.pace;
    bool const waited = now - this->waiting_since > pace.news_wait;
    // What peers have learnt since then is news like any other: after an
    // outage they learn something all the time.
    bool const has_read =
        pace.platform_is_linearizable && this->platform_compared;
    bool const caught_up = has_read || known.version() >= this->highest_heard;
    // The tick that notices a pause may come after the first packet.
    bool const paused = now - this->last_tick > pace.pause_gap;
    if (paused)
        return false;
    return waited || (caught_up && this->has_compared(now));
}

}  // namespace lagoon
