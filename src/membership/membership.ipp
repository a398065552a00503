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
        this->earliest_read = now + first_read_delay;
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
peer_digest membership<R>::own_digest(catalog const& known, bool reply_wanted,
                                      time_point now) const
{
    return {this->settings.self, known.version(), this->platform_age(now),
            this->settings.control, reply_wanted};
}

// Entries know all peers from the catalog; before there is one, the seeds.
template <random_source R>
std::optional<peer_address> membership<R>::pick_peer(catalog const& known)
{
    std::vector<entry_record> const& entries = known.fleet().entries;
    std::size_t const choices = entries.size() + this->settings.seeds.size();
    if (choices == 0)
        return std::nullopt;
    std::size_t const index = pick_below(this->random, choices);
    peer_address const peer =
        index < entries.size() ? entries[index].exchange
                               : this->settings.seeds[index - entries.size()];
    if (peer == this->settings.exchange)
        return std::nullopt;
    return peer;
}

template <random_source R>
void membership<R>::greet(membership_effects& effects, catalog const& known,
                          std::size_t peers, bool reply_wanted, time_point now)
{
    for (std::size_t i = 0; i < peers; ++i) {
        std::optional<peer_address> const peer = this->pick_peer(known);
        if (peer)
            effects.push_back(
                send_digest{*peer, this->own_digest(known, reply_wanted, now)});
    }
}

template <random_source R>
membership_effects membership<R>::heard(peer_address from,
                                        peer_digest const& what,
                                        catalog const& known, time_point now)
{
    membership_effects effects;
    this->platform_contact =
        std::max(this->platform_contact, now - what.platform_age);
    this->highest_heard = std::max(this->highest_heard, what.version);
    if (what.version > known.version()) {
        bool const free = !this->fetching_since ||
                          now - *this->fetching_since > fetch_timeout;
        if (free) {
            this->fetching_since = now;
            effects.push_back(
                fetch_from_peer{what.control, known.version().number});
        }
    } else {
        this->peer_compared = true;
    }
    bool const peer_is_behind = what.version < known.version();
    if (what.reply_wanted || peer_is_behind)
        effects.push_back(
            send_digest{from, this->own_digest(known, false, now)});
    return effects;
}

template <random_source R>
membership_effects membership<R>::answered(change_source source, bool changed,
                                           catalog const& known, time_point now)
{
    membership_effects effects;
    if (source == change_source::platform) {
        this->reading_since.reset();
        this->platform_contact = now;
        this->platform_compared = true;
    } else {
        this->fetching_since.reset();
        this->peer_compared = true;
    }
    if (changed)
        this->greet(effects, known, news_fan_out, false, now);
    return effects;
}

template <random_source R>
membership_effects membership<R>::conflicted(peer_address control,
                                             time_point now)
{
    this->fetching_since = now;
    return {fetch_from_peer{control, generation{}}};
}

template <random_source R>
void membership<R>::unanswered(change_source source, time_point now)
{
    if (source == change_source::peer) {
        this->fetching_since.reset();
        return;
    }
    this->reading_since.reset();
    // It was asked; there is no more to wait for.
    this->platform_compared = true;
    this->earliest_read = now + reading_step;
}

// The rank is worked out once for each generation: the fleet is large.
template <random_source R>
reading_plan membership<R>::plan(catalog const& known)
{
    if (!this->planned_for || *this->planned_for != known.version()) {
        this->planned_for = known.version();
        this->present_plan = plan_for_rank(reader_rank(
            known.fleet(), this->settings.self, this->settings.data_centre));
    }
    return this->present_plan;
}

template <random_source R>
void membership<R>::read_if_due(membership_effects& effects,
                                catalog const& known, time_point now)
{
    if (this->reading_since) {
        duration const most =
            this->watching ? watch_lifetime + read_timeout : read_timeout;
        if (now - *this->reading_since < most)
            return;
        this->unanswered(change_source::platform, now);
    }
    reading_plan const plan = this->plan(known);
    bool const first = known.version() == catalog_version{};
    bool const news_is_old = this->platform_age(now) > platform_news_lifetime;
    bool const wanted = plan.watches || news_is_old;
    // The rank may have changed since the last read, and the interval with it.
    bool const too_soon =
        now < this->earliest_read ||
        (this->last_read && now < *this->last_read + plan.interval);
    if (too_soon || !wanted)
        return;
    // The first read, and the first after a pause, doesn't wait for a change.
    this->watching = plan.watches && !first && this->platform_compared;
    this->reading_since = now;
    this->last_read = now;
    effects.push_back(
        read_platform{known.version().number, this->watching,
                      this->watching ? watch_lifetime : read_timeout});
}

template <random_source R>
membership_effects membership<R>::tick(catalog const& known, time_point now)
{
    membership_effects effects;
    if (now - this->last_tick > pause_gap) {
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
        this->next_exchange =
            now + (waiting ? exchange_interval / 10 : exchange_interval);
        this->greet(effects, known, 1, true, now);
    }
    this->read_if_due(effects, known, now);
    return effects;
}

// A peer alone may be as far behind as this process, and the platform alone
// may be stale: it takes both, or a peer with fresh news of the platform.
template <random_source R>
bool membership<R>::has_compared(time_point now) const
{
    bool const fresh_news = this->platform_age(now) < platform_news_lifetime;
    return this->peer_compared && (this->platform_compared || fresh_news);
}

template <random_source R>
bool membership<R>::is_ready(catalog const& known, time_point now) const
{
    if (known.version() == catalog_version{})
        return false;
    bool const waited = now - this->waiting_since > news_wait;
    bool const caught_up = known.version() >= this->highest_heard;
    // The tick that notices a pause may come after the first packet.
    bool const paused = now - this->last_tick > pause_gap;
    if (paused)
        return false;
    return waited || (caught_up && this->has_compared(now));
}

}  // namespace lagoon
