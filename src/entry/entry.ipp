// Definitions of the templates in entry.hpp.
#pragma once

namespace lagoon {

namespace detail {

// Attempts to open a flow at one target before the next one is tried.
constexpr std::uint8_t attempts_per_target = 2;

inline failure make_route_failure(reason cause, peer_address peer,
                                  std::string detail)
{
    return {step::route_packet, cause, peer, std::move(detail)};
}

// Whether a target answers this message, so that a missing answer shows a
// fault.
inline bool expects_answer(caller_message const& message)
{
    return !std::holds_alternative<acknowledge_answer>(message) &&
           !std::holds_alternative<close_flow>(message) &&
           !std::holds_alternative<cancel_request>(message);
}

}  // namespace detail

template <random_source R>
entry<R>::entry(membership_settings settings, R random, time_point now)
    : member(std::move(settings), std::move(random), now)
{
}

template <random_source R>
entry_effects entry<R>::on(entry_event const& event, time_point now)
{
    return std::visit(
        [this, now](auto const& value) {
            return this->on_event(value, now);
        },
        event);
}

template <random_source R> catalog const& entry<R>::configuration() const
{
    return this->config;
}

template <random_source R> bool entry<R>::is_ready(time_point now) const
{
    return !this->is_stopping && this->member.is_ready(this->config, now);
}

template <random_source R> duration entry<R>::platform_age(time_point now) const
{
    return this->member.platform_age(now);
}

// ---- packets of callers -------------------------------------------------

template <random_source R>
entry_effects entry<R>::on_event(caller_packet const& event, time_point now)
{
    open_request const* open = std::get_if<open_request>(&event.message);
    if (open != nullptr)
        return this->route_open(event.from, *open, now);
    flow_token const token = std::visit(
        [](auto const& message) {
            if constexpr (requires { message.token; })
                return message.token;
            else
                return flow_token{};
        },
        event.message);
    return this->route_by_token(event.from, token, event.message, now);
}

// Whether an open may be sent to a target; sets `error` if not. An entry that
// is not ready drops the open, because the caller retransmits it and another
// entry may be ready.
template <random_source R>
bool entry<R>::may_route_open(open_request const& open, time_point now,
                              failure& error) const
{
    if (!this->is_ready(now)) {
        error = {step::open_flow,
                 reason::stale,
                 {},
                 "entry is not ready for new flows"};
        return false;
    }
    if (this->config.find_service(open.service) == nullptr) {
        error = {step::open_flow,
                 reason::unknown_name,
                 {},
                 "service is not in the catalog"};
        return false;
    }
    if (!this->config.is_permitted(open.service, open.caller)) {
        error = {step::open_flow,
                 reason::not_permitted,
                 {},
                 "caller is not permitted to use the service"};
        return false;
    }
    return true;
}

template <random_source R>
target_record const* entry<R>::select_target(service_part const& part,
                                             open_request const& open,
                                             time_point now) const
{
    std::vector<target_record const*> const ranked =
        rank_targets(part, open.flow);
    if (ranked.empty())
        return nullptr;
    std::size_t const first = open.attempt / detail::attempts_per_target;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        target_record const* target = ranked[(first + i) % ranked.size()];
        if (!this->channels.is_unresponsive(target->address, now))
            return target;
    }
    return ranked[first % ranked.size()];
}

template <random_source R>
entry_effects entry<R>::route_open(peer_address from, open_request const& open,
                                   time_point now)
{
    failure error;
    if (!this->may_route_open(open, now, error)) {
        failure const reported{error.failed_step, error.cause, from,
                               error.detail};
        if (error.cause == reason::stale)
            return {report_failure{reported}};
        return {report_failure{reported},
                send_to_caller{from, open_refusal{open.service, open.flow,
                                                  error.cause, duration{}}}};
    }
    service_part const& part = *this->config.find_service(open.service);
    bool const keeps_target =
        open.previous && open.attempt < detail::attempts_per_target;
    if (keeps_target && this->config.find_address(open.previous->target))
        return this->route_by_token(from, *open.previous, caller_message{open},
                                    now);
    target_record const* target = this->select_target(part, open, now);
    if (target == nullptr)
        return {report_failure{detail::make_route_failure(
            reason::unreachable, from, "service has no serving target")}};
    socket_index const via =
        this->channels.select_for_request(target->address, now);
    return {send_inbound{via, target->address,
                         inbound_packet{from, {}, {}, caller_message{open}}}};
}

// Sends a packet with a token to the target in the token, even if that target
// is leaving its service. If the target is unknown the packet is dropped
// without an answer: the caller retransmits it, and another entry may have it
// in its catalog.
template <random_source R>
entry_effects
entry<R>::route_by_token(peer_address from, flow_token const& token,
                         caller_message const& message, time_point now)
{
    std::optional<peer_address> const to =
        this->config.find_address(token.target);
    if (!to)
        return {report_failure{detail::make_route_failure(
            reason::unknown_name, from,
            "target of the token is not in the catalog")}};
    socket_index const via = detail::expects_answer(message)
                                 ? this->channels.select_for_request(*to, now)
                                 : this->channels.current_socket(*to);
    return {send_inbound{via, *to, inbound_packet{from, {}, {}, message}}};
}

// ---- packets of targets and peers ---------------------------------------

template <random_source R>
entry_effects entry<R>::on_event(target_packet const& event, time_point)
{
    this->channels.record_reply(event.from);
    if (event.packet.forwarded_by != peer_address{})
        this->channels.record_reply(event.packet.forwarded_by);
    return {send_to_caller{event.packet.caller, event.packet.message}};
}

template <random_source R>
entry_effects entry<R>::on_event(digest_packet const& event, time_point now)
{
    entry_effects effects;
    detail::append(effects, this->member.handle_digest(
                                event.from, event.message, this->config, now));
    return effects;
}

template <random_source R>
entry_effects entry<R>::on_event(update_packet const& event, time_point now)
{
    entry_effects effects;
    handle_update(effects, this->config, this->member, event, now);
    return effects;
}

template <random_source R>
entry_effects entry<R>::on_event(change_received const& event, time_point now)
{
    entry_effects effects;
    handle_change(effects, this->config, this->member, event, now);
    return effects;
}

template <random_source R>
entry_effects entry<R>::on_event(change_unavailable const& event,
                                 time_point now)
{
    this->member.handle_failure(event.source, this->config, now);
    return {report_failure{event.error}};
}

template <random_source R>
entry_effects entry<R>::on_event(clock_tick const&, time_point now)
{
    entry_effects effects;
    detail::append(effects, this->member.tick(this->config, now));
    return effects;
}

template <random_source R>
entry_effects entry<R>::on_event(stop_requested const&, time_point)
{
    this->is_stopping = true;
    return {};
}

}  // namespace lagoon
