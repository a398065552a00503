// Bodies of the templates that target.hpp declares.
#pragma once

namespace lagoon {

namespace detail {

constexpr duration expiry_interval = std::chrono::seconds{1};
constexpr duration leaving_retry = std::chrono::milliseconds{1};
constexpr duration cold_retry = std::chrono::milliseconds{200};

inline request_key key_of(flow_token const& token, request_number number)
{
    return {token.flow, number};
}

// The status of a request that the ledger has no record of.
inline request_status status_of(flow_token const& token, request_number number,
                                request_state state, reason why)
{
    return {token.service, token.flow, number, state, why, 0, {}, {}};
}

inline std::optional<time_point> deadline_of(submit_request const& submit,
                                             time_point now)
{
    if (submit.deadline <= duration{})
        return std::nullopt;
    return now + submit.deadline;
}

// Whether a path may stand in a request to the back end as it is.
inline bool is_plain_path(std::string const& path)
{
    auto const plain = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '/' || c == '-' || c == '_';
    };
    return !path.empty() && path.size() <= max_path_size &&
           std::all_of(path.begin(), path.end(), plain);
}

inline bool is_copy(request_record const& known, submit_request const& submit)
{
    return known.path == submit.path && known.body == submit.body &&
           known.idempotent == submit.idempotent;
}

// Whether a start would be wasted: the deadline has passed, as a paused
// process finds, or the run is predicted to end after it. A prediction that
// fills most of the whole time is not trusted that far: it might be wrong, and
// nothing would ever run to correct it.
inline bool is_too_late(request_record const& waiting, duration predicted,
                        time_point now)
{
    if (!waiting.deadline)
        return false;
    duration const whole = *waiting.deadline - waiting.arrived;
    return now + std::min(predicted, whole / 2) > *waiting.deadline;
}

inline work_kind kind_of(request_record const& record)
{
    return {record.caller, hash_bytes(record.path), record.declared};
}

}  // namespace detail

template <target_policy P>
target<P>::target(target_settings settings, membership_settings peers,
                  typename P::random random, time_point now)
    : settings(settings), mint(settings.self, settings.started, settings.key),
      flows(settings.flows), answers(settings.answer_memory),
      gate(settings.admission, now),
      member(std::move(peers), std::move(random), now)
{
}

template <target_policy P>
target_effects target<P>::on(target_event const& event, time_point now)
{
    this->effects.clear();
    std::visit(
        [this, now](auto const& one) {
            this->on_event(one, now);
        },
        event);
    return std::move(this->effects);
}

template <target_policy P> catalog const& target<P>::configuration() const
{
    return this->known;
}

template <target_policy P> bool target<P>::is_ready(time_point now) const
{
    return !this->stopping && this->member.is_ready(this->known, now);
}

template <target_policy P>
duration target<P>::platform_age(time_point now) const
{
    return this->member.platform_age(now);
}

template <target_policy P> bool target<P>::is_leaving() const
{
    return this->stopping;
}

template <target_policy P> bool target<P>::is_idle() const
{
    return this->ledger.size() == 0;
}

template <target_policy P> std::size_t target<P>::open_flows() const
{
    return this->flows.size();
}

template <target_policy P> std::size_t target<P>::held_requests() const
{
    return this->ledger.size();
}

// ---- small helpers ------------------------------------------------------

template <target_policy P> std::uint32_t target<P>::load(time_point now)
{
    return this->gate.load() +
           static_cast<std::uint32_t>(this->coming.count(now));
}

template <target_policy P>
void target<P>::note(step at, reason why, peer_address peer, std::string detail)
{
    this->effects.push_back(
        note_failure{failure{at, why, peer, std::move(detail)}});
}

template <target_policy P>
void target<P>::tell(return_path const& back, answer_message const& message)
{
    this->effects.push_back(
        send_outward{back.entry, outward_packet{back.caller, {}, message}});
}

template <target_policy P> void target<P>::tell_status(request_key key)
{
    request_record const* record = this->ledger.find(key);
    if (record == nullptr)
        return;
    answer_size const size = record->state == request_state::finished
                                 ? this->answers.measure(key)
                                 : answer_size{};
    this->tell(record->back,
               request_status{record->service, key.flow, key.number,
                              record->state, record->why, size.length,
                              size.content, record->retry_after});
}

template <target_policy P>
void target<P>::send_segments(request_key key, std::uint64_t begin,
                              std::uint64_t end)
{
    request_record const* record = this->ledger.find(key);
    // While the run goes on its last segment isn't whole yet.
    std::uint64_t const length = this->answers.length(key);
    bool const ended = record->state == request_state::finished;
    std::uint64_t const ready =
        ended ? length : length / segment_size * segment_size;
    std::uint64_t const held = std::min<std::uint64_t>(end, ready);
    for (std::uint64_t at = begin; at < held; at += segment_size)
        this->tell(record->back,
                   answer_segment{record->service, key.flow, key.number, at,
                                  this->answers.slice(key, at)});
}

// ---- packets ------------------------------------------------------------

template <target_policy P>
void target<P>::on_event(inward_arrived const& event, time_point now)
{
    inward_packet const& packet = event.packet;
    peer_address const entry =
        packet.entry == peer_address{} ? event.from : packet.entry;
    return_path const back{entry, packet.caller};
    std::visit(
        [&](auto const& message) {
            this->on_message(back, message, event, now);
        },
        packet.message);
}

// ---- opening ------------------------------------------------------------

template <target_policy P>
bool target<P>::takes_new_work(service_id service, time_point now) const
{
    auto const left = this->left_at.find(service);
    return left == this->left_at.end() || now - left->second < leave_grace;
}

// Model step `admit`. A leaving target admits nothing once it knows.
template <target_policy P>
std::optional<reason> target<P>::refuses_open(open_request const& open,
                                              time_point now) const
{
    if (!this->is_ready(now))
        return this->stopping ? reason::leaving : reason::stale;
    std::optional<target_state> const state =
        this->known.state_of(open.service, this->settings.self);
    if (!state)
        return reason::wrong_service;
    if (*state == target_state::leaving)
        return reason::leaving;
    if (!this->known.permits(open.service, open.caller))
        return reason::not_permitted;
    return std::nullopt;
}

template <target_policy P>
void target<P>::on_message(return_path const& back, open_request const& open,
                           inward_arrived const& event, time_point now)
{
    bool const known_flow = this->flows.find(open.flow).has_value();
    std::optional<reason> const refused = this->refuses_open(open, now);
    bool const has_candidates =
        known_flow && this->takes_new_work(open.service, now);
    if (refused && !has_candidates) {
        this->note(step::open_flow, *refused, event.from, "open refused");
        this->tell(back, open_refusal{open.service, open.flow, *refused,
                                      detail::cold_retry});
        return;
    }
    if (!known_flow && this->hands_over(back, event, open, now))
        return;
    this->admit_flow(back, open, event.packet.handed_by, now);
}

// Two choices: the first-ranked target passes an open to the second when it
// has work waiting; the second passes it back unless it has less.
template <target_policy P>
bool target<P>::hands_over(return_path const& back, inward_arrived const& event,
                           open_request const& open, time_point now)
{
    std::uint32_t const own = this->load(now);
    open_request passed = open;
    passed.hops = static_cast<std::uint8_t>(open.hops + 1);
    passed.load = own;
    if (open.hops == 1 && own >= open.load) {
        this->effects.push_back(hand_over{
            event.from,
            {back.caller, back.entry, event.packet.handed_by, passed}});
        return true;
    }
    bool const busy = P::hands_over && own >= this->gate.slots();
    if (open.hops != 0 || open.attempt > 1 || !busy)
        return false;
    service_part const* part = this->known.find_service(open.service);
    std::vector<target_record const*> const ranked =
        rank_targets(*part, open.flow);
    if (ranked.size() < 2 || ranked[0]->id != this->settings.self)
        return false;
    this->effects.push_back(
        hand_over{ranked[1]->address,
                  {back.caller, back.entry, this->settings.address, passed}});
    return true;
}

template <target_policy P>
void target<P>::admit_flow(return_path const& back, open_request const& open,
                           peer_address handed_by, time_point now)
{
    failure last;
    bool const fresh = !this->flows.find(open.flow).has_value();
    std::optional<flow_record> const flow =
        this->flows.open(open.flow, open.service, open.caller, now, last);
    if (!flow) {
        this->note(last.at, last.why, back.caller, last.detail);
        this->tell(back, open_refusal{open.service, open.flow, last.why,
                                      detail::cold_retry});
        return;
    }
    if (fresh)
        this->coming.opened(open.flow, now);
    time_point const issued{duration{flow->issued}};
    flow_token const token = this->mint.issue(open.service, open.flow, issued);
    this->effects.push_back(send_outward{
        back.entry, outward_packet{back.caller, handed_by, open_reply{token}}});
}

// ---- requests -----------------------------------------------------------

template <target_policy P>
std::optional<flow_record>
target<P>::verified_flow(flow_token const& token, time_point now, failure& last)
{
    if (!this->mint.verify(token, last))
        return std::nullopt;
    return this->flows.use(token, now, last);
}

// Another epoch, or a closed flow, answers `unknown`, never `not_run`: this
// process can't know what ran before it started, or what it has forgotten.
template <target_policy P>
std::optional<flow_record>
target<P>::flow_for(return_path const& back, flow_token const& token,
                    request_number number, time_point now)
{
    failure last;
    std::optional<flow_record> const flow =
        this->verified_flow(token, now, last);
    if (flow && !this->is_settled_early({token.flow, number}, *flow))
        return flow;
    if (flow)
        last = {step::verify_token, reason::expired, {}, "request is settled"};
    this->note(last.at, last.why, back.caller, last.detail);
    if (last.why == reason::bad_token)
        return std::nullopt;  // a forger gets no answer
    this->tell(back, detail::status_of(token, number, request_state::unknown,
                                       last.why));
    return std::nullopt;
}

template <target_policy P>
void target<P>::on_message(return_path const& back,
                           submit_request const& submit, inward_arrived const&,
                           time_point now)
{
    std::optional<flow_record> const flow =
        this->flow_for(back, submit.token, submit.number, now);
    if (!flow)
        return;
    request_key const key = detail::key_of(submit.token, submit.number);
    this->coming.arrived(key.flow);
    request_record const* known = this->ledger.find(key);
    if (known != nullptr && !detail::is_copy(*known, submit)) {
        // Its number is taken by another request, so it never runs.
        this->tell(back, detail::status_of(submit.token, submit.number,
                                           request_state::not_run,
                                           reason::duplicate));
        return;
    }
    if (known == nullptr)
        this->admit_request(key, *flow, submit, now);
    if (this->ledger.find(key) == nullptr)
        return;
    this->ledger.ask(key, back, first_window, now);
    this->start_runs(now);
    this->tell_status(key);
    this->send_segments(key, 0, first_window);
}

template <target_policy P>
void target<P>::admit_request(request_key key, flow_record const& flow,
                              submit_request const& submit, time_point now)
{
    if (key.number.value > flow.floor.value + requests_per_flow)
        return;  // dropped: the caller repeats it when others are settled
    flow_record counted = flow;
    ++counted.unsettled;
    this->flows.replace(key.flow, counted);
    request_record const record = this->ledger.accept(
        key, request_record{.service = flow.service,
                            .caller = flow.caller,
                            .idempotent = submit.idempotent,
                            .declared = submit.declared,
                            .path = submit.path,
                            .body = submit.body,
                            .arrived = now,
                            .deadline = detail::deadline_of(submit, now)});
    if (!this->takes_new_work(flow.service, now)) {
        this->refuse_request(key, {reason::leaving, detail::leaving_retry},
                             now);
        return;
    }
    if (!detail::is_plain_path(submit.path)) {
        this->refuse_request(key, {reason::malformed, {}}, now);
        return;
    }
    std::optional<refusal> const refused = this->gate.offer(
        key, detail::kind_of(record), request_urgency{record.deadline}, now);
    if (refused)
        this->refuse_request(key, *refused, now);
}

template <target_policy P>
void target<P>::refuse_request(request_key key, refusal const& why,
                               time_point now)
{
    if (this->ledger.refuse(key, why.why, why.retry_after))
        this->settle(key, now);
}

template <target_policy P> void target<P>::refuse_overdue(time_point now)
{
    for (request_key const key : this->ledger.overdue(now)) {
        this->gate.release(key);
        this->refuse_request(key, {reason::timed_out, {}}, now);
        this->tell_status(key);
    }
}

template <target_policy P> void target<P>::start_runs(time_point now)
{
    while (!this->answers.is_full()) {
        std::optional<waiting_request> const picked = this->gate.next(now);
        if (!picked)
            return;
        request_record const* waiting = this->ledger.find(picked->key);
        if (waiting != nullptr &&
            detail::is_too_late(*waiting, picked->predicted, now)) {
            this->gate.release(picked->key);
            this->refuse_request(picked->key, {reason::timed_out, {}}, now);
            this->tell_status(picked->key);
            continue;
        }
        run_id const run{++this->last_run};
        std::optional<request_record> const record =
            this->ledger.start(picked->key, run, now);
        if (!record) {
            this->gate.release(picked->key);
            continue;
        }
        this->begin_run(run, picked->key, *record, now);
    }
}

template <target_policy P>
void target<P>::begin_run(run_id run, request_key key,
                          request_record const& record, time_point now)
{
    this->runs.insert_or_assign(run, key);
    duration const left = record.deadline ? *record.deadline - now : duration{};
    this->effects.push_back(
        start_run{run, record.service, key, record.path, record.body, left});
}

template <target_policy P>
void target<P>::on_message(return_path const& back,
                           cancel_request const& cancel, inward_arrived const&,
                           time_point now)
{
    std::optional<flow_record> const flow =
        this->flow_for(back, cancel.token, cancel.number, now);
    request_key const key = detail::key_of(cancel.token, cancel.number);
    request_record const* record = this->ledger.find(key);
    if (!flow || record == nullptr)
        return;
    this->ledger.ask(key, back, 0, now);
    if (record->state == request_state::queued) {
        this->gate.release(key);
        this->refuse_request(key, {reason::none, {}}, now);
    } else if (record->state == request_state::running) {
        this->effects.push_back(cancel_run{record->run});
    }
    this->tell_status(key);
}

template <target_policy P>
void target<P>::on_message(return_path const& back, pull_answer const& pull,
                           inward_arrived const&, time_point now)
{
    std::optional<flow_record> const flow =
        this->flow_for(back, pull.token, pull.number, now);
    request_key const key = detail::key_of(pull.token, pull.number);
    if (!flow || this->ledger.find(key) == nullptr)
        return;  // the submit may still be on its way
    std::uint32_t const length = std::min(pull.length, max_window);
    this->ledger.ask(key, back, pull.offset + length, now);
    this->tell_status(key);
    this->send_segments(key, pull.offset, pull.offset + length);
}

template <target_policy P>
void target<P>::on_message(return_path const& back,
                           acknowledge_answer const& done,
                           inward_arrived const&, time_point now)
{
    failure last;
    if (!this->verified_flow(done.token, now, last)) {
        this->note(last.at, last.why, back.caller, last.detail);
        return;
    }
    request_key const key = detail::key_of(done.token, done.number);
    request_record const* record = this->ledger.find(key);
    if (record == nullptr || record->state == request_state::queued ||
        record->state == request_state::running)
        return;
    this->release_settled(key);
}

// Whether the request was settled and forgotten: at or below the floor, or
// above it while an earlier one is still open.
template <target_policy P>
bool target<P>::is_settled_early(request_key key, flow_record const& flow) const
{
    return key.number <= flow.floor || this->settled_early.contains(key);
}

// Forgets a settled request; the floor of its flow keeps copies out. Model
// step `forget`.
template <target_policy P> void target<P>::release_settled(request_key key)
{
    this->answers.discard(key);
    this->ledger.forget(key);
    std::optional<flow_record> const flow = this->flows.find(key.flow);
    if (!flow)
        return;
    this->settled_early.insert(key);
    flow_record next = *flow;
    next.unsettled = next.unsettled > 0 ? next.unsettled - 1 : 0;
    while (this->settled_early.erase(
               {key.flow, request_number{next.floor.value + 1}}) > 0)
        next.floor = request_number{next.floor.value + 1};
    this->flows.replace(key.flow, next);
}

// A closed flow's settled requests need no memory of their own: its token is
// refused as a whole.
template <target_policy P> void target<P>::drop_settled(flow_key flow)
{
    auto const from = this->settled_early.lower_bound({flow, {}});
    auto to = from;
    while (to != this->settled_early.end() && to->flow == flow)
        ++to;
    this->settled_early.erase(from, to);
}

template <target_policy P>
void target<P>::on_message(return_path const& back, close_flow const& close,
                           inward_arrived const&, time_point now)
{
    failure last;
    std::optional<flow_record> const flow =
        this->verified_flow(close.token, now, last);
    if (!flow)
        this->note(last.at, last.why, back.caller, last.detail);
    else if (flow->unsettled == 0) {
        this->flows.close(close.token.flow);
        this->drop_settled(close.token.flow);
    }
}

// ---- runs ---------------------------------------------------------------

template <target_policy P>
void target<P>::on_event(run_bytes const& event, time_point)
{
    auto const found = this->runs.find(event.run);
    if (found == this->runs.end())
        return;
    request_key const key = found->second;
    std::uint64_t const before = this->answers.length(key);
    this->answers.append(key, event.bytes);
    request_record const* record = this->ledger.find(key);
    // What wasn't whole before goes out now, the last part with the end.
    std::uint64_t const begin = before / segment_size * segment_size;
    this->send_segments(key, begin, record->wanted_end);
}

template <target_policy P>
void target<P>::on_event(run_ended const& event, time_point now)
{
    auto const found = this->runs.find(event.run);
    if (found == this->runs.end())
        return;
    request_key const key = found->second;
    this->runs.erase(found);
    this->gate.finished(key, now);
    switch (event.outcome) {
    case run_outcome::completed:
        this->answers.seal(key);
        this->ledger.finish(key);
        break;
    case run_outcome::shed:
    case run_outcome::unreachable:
        this->ledger.undo_start(key, reason::overloaded, event.retry_after);
        break;
    case run_outcome::lost:
        this->answers.discard(key);
        this->ledger.lose(key, reason::unreachable);
        break;
    }
    this->settle(key, now);
    this->tell_status(key);
    request_record const* record = this->ledger.find(key);
    std::uint64_t const whole =
        this->answers.length(key) / segment_size * segment_size;
    this->send_segments(key, whole, record->wanted_end);
    this->start_runs(now);
}

template <target_policy P>
void target<P>::settle(request_key key, time_point now)
{
    request_record const* record = this->ledger.find(key);
    bool const ran = record->started != time_point{};
    duration const waited = (ran ? record->started : now) - record->arrived;
    this->effects.push_back(request_settled{record->service, record->state,
                                            record->why, waited,
                                            now - record->arrived});
}

// ---- configuration and time ---------------------------------------------

template <target_policy P>
void target<P>::on_event(digest_packet const& event, time_point now)
{
    detail::append(this->effects, this->member.heard(event.from, event.what,
                                                     this->known, now));
}

template <target_policy P>
void target<P>::on_event(news_packet const& event, time_point now)
{
    take_news(this->effects, this->known, this->member, event, now);
    this->watch_leaving(event.what.change, now);
}

template <target_policy P>
void target<P>::on_event(change_arrived const& event, time_point now)
{
    take_change(this->effects, this->known, this->member, event, now);
    if (event.change)
        this->watch_leaving(*event.change, now);
}

// Remembers when each service of this target began to leave it. Only the
// services that have named it are looked at: the catalog is large.
template <target_policy P>
void target<P>::watch_leaving(catalog_change const& change, time_point now)
{
    auto const look_at = [this](service_id id) {
        if (this->known.state_of(id, this->settings.self))
            this->own_services.insert(id);
    };
    for (service_part const& part : change.parts)
        look_at(part.id);
    for (service_delta const& delta : change.deltas)
        look_at(delta.id);
    for (service_id const id : this->own_services) {
        std::optional<target_state> const state =
            this->known.state_of(id, this->settings.self);
        bool const left = !state || *state == target_state::leaving;
        if (left)
            this->left_at.try_emplace(id, now);
        else
            this->left_at.erase(id);
    }
}

template <target_policy P>
void target<P>::on_event(change_missed const& event, time_point now)
{
    this->member.unanswered(event.source, this->known, now);
    this->effects.push_back(note_failure{event.why});
}

template <target_policy P>
void target<P>::on_event(clock_tick const&, time_point now)
{
    detail::append(this->effects, this->member.tick(this->known, now));
    this->refuse_overdue(now);
    this->start_runs(now);
    for (flow_key const expired : this->flows.sweep(now))
        this->drop_settled(expired);
    if (now - this->last_expiry < detail::expiry_interval)
        return;
    this->last_expiry = now;
    duration const lifetime =
        this->stopping ? last_answer_lifetime : answer_lifetime;
    for (request_key const key : this->ledger.abandoned(now, lifetime))
        this->release_settled(key);
}

template <target_policy P>
void target<P>::on_event(stop_asked const&, time_point now)
{
    this->stopping = true;
    for (service_id const id : this->own_services)
        this->left_at.try_emplace(id, now);
}

}  // namespace lagoon
