// Definitions of the templates in membership.hpp.
#pragma once

namespace lagoon {

namespace detail {

// While a peer has earlier routes, each of its changes is a conflict. The next
// digest repeats the fetch that is left out.
constexpr duration min_full_fetch_interval = std::chrono::milliseconds{100};

}  // namespace detail

template <random_source R>
membership<R>::membership(membership_settings settings, R random,
                          time_point now)
    : settings(std::move(settings)), random(std::move(random)),
      last_tick_at(now), next_exchange_at(now),
      platform_contact(now - initial_platform_age), earliest_read_at(now),
      list_state(now)
{
    this->begin_catch_up(now);
    if (!this->settings.seeds.empty())
        this->earliest_read_at = now + this->settings.timing.first_read_delay;
}

template <random_source R>
void membership<R>::set_seeds(std::vector<peer_address> const& seeds)
{
    this->settings.seeds = seeds;
}

template <random_source R> void membership<R>::begin_catch_up(time_point now)
{
    this->catch_up_started_at = now;
    this->is_compared_with_peer = false;
    this->is_compared_with_platform = false;
}

// After a revert of the store, neither earlier contacts with it nor peers that
// have not noticed it confirm the catalog.
template <random_source R>
void membership<R>::handle_era(std::uint64_t era, catalog const& current,
                               time_point now)
{
    generation const known =
        std::max(current.version().number, this->highest_seen_version.number);
    bool const is_unconfigured = current.version() == catalog_version{};
    if (is_unconfigured || era > max_era || era <= find_position(known).era)
        return;
    this->highest_seen_version = {{era << revision_bits}, {}};
    this->platform_contact = now - initial_platform_age;
    this->reported_contact.reset();
    this->list_state.reset(now);
    this->begin_catch_up(now);
}

// The process that reads a later era first does not learn of it from a digest.
template <random_source R>
void membership<R>::restart_list_after_revert(catalog const& current,
                                              time_point now)
{
    std::uint64_t const era = find_position(current.version().number).era;
    if (era > this->list_era)
        this->list_state.reset(now);
    this->list_era = era;
}

template <random_source R>
bool membership<R>::is_era_unread(catalog const& current) const
{
    return find_position(this->highest_seen_version.number).era >
           find_position(current.version().number).era;
}

template <random_source R>
duration membership<R>::platform_age(time_point now) const
{
    return now - this->platform_contact;
}

template <random_source R>
peer_digest membership<R>::make_digest(catalog const& current,
                                       bool is_reply_requested, time_point now)
{
    return {this->settings.self,    current.version(),  this->platform_age(now),
            this->settings.control, is_reply_requested, this->sample_peers()};
}

template <random_source R>
std::vector<peer_address> membership<R>::sample_peers()
{
    std::vector<peer_address> all;
    for (known_peer const& peer : this->peers.all())
        all.push_back(peer.exchange);
    std::shuffle(all.begin(), all.end(), this->random);
    all.resize(std::min(all.size(), max_peers_per_digest));
    return all;
}

// Returns the entries of the catalog, the seeds, and the peers learnt from
// digests.
template <random_source R>
std::vector<peer_address>
membership<R>::list_peers(catalog const& current) const
{
    std::vector<peer_address> all;
    for (entry_record const& entry : current.fleet().entries)
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
std::vector<known_peer> membership<R>::known_peers() const
{
    return this->peers.all();
}

template <random_source R>
std::vector<peer_address> membership<R>::pick_peers(catalog const& current,
                                                    std::size_t limit)
{
    std::vector<peer_address> all = this->list_peers(current);
    for (std::size_t i = 0; i < std::min(limit, all.size()); ++i)
        std::swap(all[i], all[i + random_index(this->random, all.size() - i)]);
    all.resize(std::min(limit, all.size()));
    return all;
}

template <random_source R>
void membership<R>::send_digests(membership_effects& effects,
                                 catalog const& current, std::size_t peer_count,
                                 bool is_reply_requested, time_point now)
{
    for (peer_address const& peer : this->pick_peers(current, peer_count))
        effects.push_back(send_digest{
            peer, this->make_digest(current, is_reply_requested, now)});
}

// A peer that is ahead says nothing about the age of this catalog: its changes
// may never arrive here. Its contact counts once the catalog has caught up.
template <random_source R>
void membership<R>::record_contact(platform_contact_report const& report,
                                   catalog const& current)
{
    bool const is_ahead = report.version > current.version();
    if (!is_ahead && this->is_era_unread(current))
        return;
    if (!is_ahead)
        this->record_platform_contact(report.at);
    else if (!this->reported_contact || this->reported_contact->at < report.at)
        this->reported_contact = report;
}

template <random_source R>
void membership<R>::accept_reported_contact(catalog const& current)
{
    if (!this->reported_contact ||
        this->reported_contact->version > current.version())
        return;
    this->record_platform_contact(this->reported_contact->at);
    this->reported_contact.reset();
}

template <random_source R>
void membership<R>::record_platform_contact(time_point at)
{
    this->platform_contact = std::max(this->platform_contact, at);
    this->list_state.record_contact(at);
}

template <random_source R>
membership_effects
membership<R>::handle_digest(peer_address from, peer_digest const& digest,
                             catalog const& current, time_point now)
{
    membership_effects effects;
    if (digest.sender != this->settings.self)
        this->peers.record_digest(from, digest.sender, now);
    for (peer_address const& peer : digest.peers)
        if (peer != this->settings.exchange)
            this->peers.add_mentioned(peer, now);
    this->handle_era(find_position(digest.version.number).era, current, now);
    this->record_contact({now - digest.platform_age, digest.version}, current);
    this->highest_seen_version =
        std::max(this->highest_seen_version, digest.version);
    // Two contents with one generation are compared in both directions: the
    // one with the smaller digest may have the later routes.
    catalog_version const own = current.version();
    bool const is_same_number = digest.version.number == own.number;
    bool const is_ahead = digest.version > own;
    // Changes since an earlier era don't lead to the contents of a later one.
    bool const needs_whole = is_same_number || this->is_era_unread(current);
    if (is_ahead || (is_same_number && digest.version != own)) {
        bool const may_fetch =
            !this->fetch_started_at ||
            now - *this->fetch_started_at > this->settings.timing.fetch_timeout;
        if (may_fetch) {
            this->fetch_started_at = now;
            effects.push_back(
                fetch_from_peer{from, digest.control_address,
                                needs_whole ? generation{} : own.number,
                                this->settings.timing.fetch_timeout});
        }
    }
    if (!is_ahead && !this->is_era_unread(current))
        this->is_compared_with_peer = true;
    bool const is_peer_behind = digest.version < current.version();
    if (digest.is_reply_requested || is_peer_behind)
        effects.push_back(
            send_digest{from, this->make_digest(current, false, now)});
    return effects;
}

template <random_source R>
membership_effects membership<R>::handle_response(change_source source,
                                                  catalog_change const* adopted,
                                                  catalog const& current,
                                                  time_point now)
{
    this->restart_list_after_revert(current, now);
    if (source == change_source::platform) {
        this->list_state.record_contact(now);
        // The contents of an answer may be as old as its request, also those of
        // a watch.
        if (this->read_started_at)
            this->list_state.record_read(*this->read_started_at);
        this->read_started_at.reset();
        this->needs_full_read = false;
        this->platform_contact = now;
        this->is_compared_with_platform = true;
        this->has_platform_answered = true;
    } else {
        this->fetch_started_at.reset();
        this->is_compared_with_peer = true;
        this->accept_reported_contact(current);
    }
    if (adopted != nullptr)
        return this->announce(*adopted, this->settings.timing.update_fan_out,
                              current, now);
    // A linearizable answer is announced even if nothing changed, since it
    // confirms that the current configuration is up to date.
    membership_effects effects;
    if (source == change_source::platform &&
        this->settings.timing.is_platform_linearizable)
        this->send_digests(effects, current,
                           this->settings.timing.update_fan_out, false, now);
    return effects;
}

template <random_source R>
membership_effects membership<R>::forward(catalog_change const& adopted,
                                          catalog const& current,
                                          time_point now)
{
    this->restart_list_after_revert(current, now);
    this->is_compared_with_peer = true;
    this->fetch_started_at.reset();
    this->accept_reported_contact(current);
    return this->announce(adopted, this->settings.timing.forward_fan_out,
                          current, now);
}

template <random_source R>
membership_effects
membership<R>::handle_request(peer_address from, generation since,
                              catalog const& current, time_point now)
{
    return {send_update{from,
                        {this->make_digest(current, false, now),
                         current.changes_since(since)}}};
}

// Deltas are pushed to the peers. Whole parts may be large, so peers only get a
// digest and fetch them.
template <random_source R>
membership_effects
membership<R>::announce(catalog_change const& adopted, std::size_t peer_count,
                        catalog const& current, time_point now)
{
    membership_effects effects;
    if (!is_delta_only(adopted)) {
        this->send_digests(effects, current, peer_count, false, now);
        return effects;
    }
    for (peer_address const& peer : this->pick_peers(current, peer_count))
        effects.push_back(send_update{
            peer, {this->make_digest(current, false, now), adopted}});
    return effects;
}

template <random_source R>
membership_effects membership<R>::fetch_full(peer_address exchange,
                                             peer_address control,
                                             time_point now)
{
    bool const is_repeated =
        this->last_full_fetch_at &&
        now - *this->last_full_fetch_at < detail::min_full_fetch_interval;
    if (is_repeated) {
        this->fetch_started_at.reset();
        return {};
    }
    this->last_full_fetch_at = now;
    this->fetch_started_at = now;
    return {fetch_from_peer{exchange, control, generation{},
                            this->settings.timing.fetch_timeout}};
}

template <random_source R>
void membership<R>::require_full_read(catalog const& current, time_point now)
{
    this->handle_failure(change_source::platform, current, now);
    this->needs_full_read = true;
    this->last_read_at.reset();
}

template <random_source R>
void membership<R>::handle_failure(change_source source, catalog const& current,
                                   time_point now)
{
    if (source == change_source::peer) {
        this->fetch_started_at.reset();
        return;
    }
    this->read_started_at.reset();
    this->has_platform_answered = false;
    // The attempt counts as a comparison with the platform unless an answer is
    // needed to confirm the catalog.
    if (!this->settings.timing.is_platform_linearizable)
        this->is_compared_with_platform = true;
    bool const is_unconfigured = current.version() == catalog_version{};
    read_timing const& timing = this->settings.timing.reading;
    this->earliest_read_at =
        now + (is_unconfigured ? timing.retry_interval : timing.interval_step);
}

template <random_source R> bool membership<R>::is_platform_reachable() const
{
    return this->has_platform_answered;
}

// Returns the rank among the entries of the catalog if it lists any, else among
// the peers learnt from digests. A process without peers ranks first.
template <random_source R>
std::size_t membership<R>::compute_rank(catalog const& current) const
{
    if (current.fleet().entries.empty())
        return this->peers.compute_rank(this->settings.self, 0);
    return compute_reader_rank(current.fleet(), this->settings.self,
                               this->settings.data_centre);
}

// The schedule is cached until the catalog or the number of peers changes:
// computing the rank visits the whole fleet.
template <random_source R>
read_schedule membership<R>::current_schedule(catalog const& current)
{
    bool const is_current = this->schedule_version == current.version() &&
                            this->schedule_peer_count == this->peers.size();
    if (!is_current) {
        this->schedule_version = current.version();
        this->schedule_peer_count = this->peers.size();
        this->cached_schedule = make_read_schedule(
            this->compute_rank(current), this->settings.timing.reading);
    }
    return this->cached_schedule;
}

template <random_source R>
void membership<R>::read_if_due(membership_effects& effects,
                                catalog const& current, time_point now)
{
    if (this->read_started_at) {
        duration const timeout =
            this->settings.timing.read_timeout + this->current_watch;
        if (now - *this->read_started_at < timeout)
            return;
        this->handle_failure(change_source::platform, current, now);
    }
    read_schedule const schedule = this->current_schedule(current);
    bool const is_first = current.version() == catalog_version{};
    bool const is_contact_old = this->platform_age(now) >
                                this->settings.timing.reading.max_platform_age;
    bool const is_wanted =
        schedule.is_watcher || is_contact_old || this->needs_full_read;
    // Checked against the current schedule: the rank may have changed since the
    // last read.
    bool const is_too_soon =
        now < this->earliest_read_at ||
        (!is_first && this->last_read_at &&
         now < *this->last_read_at + schedule.min_interval);
    if (is_too_soon || !is_wanted)
        return;
    // The first read, and the first one after a pause, must not wait for a
    // change.
    bool const can_watch = schedule.is_watcher && !is_first &&
                           !this->needs_full_read &&
                           this->is_compared_with_platform;
    generation const since =
        this->needs_full_read ? generation{} : current.version().number;
    this->current_watch = can_watch ? schedule.watch_duration : duration{};
    this->read_started_at = now;
    this->last_read_at = now;
    effects.push_back(read_platform{since, can_watch, this->current_watch,
                                    this->settings.timing.read_timeout,
                                    current.routes()});
}

template <random_source R>
membership_effects membership<R>::tick(catalog const& current, time_point now)
{
    membership_effects effects;
    this->peers.sweep(now);
    if (now - this->last_tick_at > this->settings.timing.pause_threshold) {
        this->begin_catch_up(now);
        this->list_state.reset(now);
        this->read_started_at.reset();
        this->fetch_started_at.reset();
        this->earliest_read_at = now;
        this->last_read_at.reset();
        this->next_exchange_at = now;
    }
    this->last_tick_at = now;
    if (now >= this->next_exchange_at) {
        bool const is_catching_up = !this->is_ready(current, now);
        duration const interval = this->settings.timing.exchange_interval;
        this->next_exchange_at =
            now + (is_catching_up ? interval / 10 : interval);
        this->send_digests(effects, current, 1, true, now);
    }
    this->read_if_due(effects, current, now);
    return effects;
}

template <random_source R>
membership_effects membership<R>::read_now(catalog const& current,
                                           time_point now)
{
    bool const is_too_soon =
        (this->read_started_at && this->current_watch == duration{}) ||
        now < this->earliest_read_at ||
        (this->last_read_at &&
         now - *this->last_read_at < this->settings.timing.read_now_interval);
    if (is_too_soon)
        return {};
    this->current_watch = {};
    this->read_started_at = now;
    this->last_read_at = now;
    return {read_platform{this->needs_full_read ? generation{}
                                                : current.version().number,
                          false,
                          {},
                          this->settings.timing.read_timeout,
                          current.routes()}};
}

template <random_source R>
bool membership<R>::needs_list_read(time_point now) const
{
    return this->list_state.needs_read(now);
}

template <random_source R>
std::optional<time_point> membership<R>::whole_list_as_of() const
{
    return this->list_state.whole_as_of();
}

template <random_source R>
std::optional<time_point> membership<R>::next_due(catalog const& current) const
{
    bool const is_unconfigured = current.version() == catalog_version{};
    if (!is_unconfigured || this->read_started_at)
        return std::nullopt;
    return this->earliest_read_at;
}

// Returns whether the catalog was confirmed as current. A peer may be as far
// behind as this process, and a platform that isn't linearizable may answer
// with old contents. Such a platform and a peer are both needed, or a peer and
// a recent contact of any process with the platform.
template <random_source R>
bool membership<R>::is_confirmed(time_point now) const
{
    bool const is_contact_fresh =
        this->platform_age(now) <
        this->settings.timing.reading.max_platform_age;
    if (this->settings.timing.is_platform_linearizable)
        return this->is_compared_with_platform ||
               (this->is_compared_with_peer && is_contact_fresh);
    return this->is_compared_with_peer &&
           (this->is_compared_with_platform || is_contact_fresh);
}

template <random_source R>
bool membership<R>::is_ready(catalog const& current, time_point now) const
{
    if (current.version() == catalog_version{})
        return false;
    membership_timing const& timing = this->settings.timing;
    bool const is_timed_out =
        now - this->catch_up_started_at > timing.catch_up_timeout;
    // After a linearizable read, later versions seen at peers are ordinary
    // updates and don't delay readiness: after an outage they are frequent.
    bool const has_read =
        timing.is_platform_linearizable && this->is_compared_with_platform;
    bool const is_caught_up =
        has_read || current.version() >= this->highest_seen_version;
    // After a pause, packets may be handled before the tick that detects it.
    bool const is_paused = now - this->last_tick_at > timing.pause_threshold;
    if (is_paused)
        return false;
    return is_timed_out || (is_caught_up && this->is_confirmed(now));
}

}  // namespace lagoon
