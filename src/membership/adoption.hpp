// Handling of configuration changes, shared by entries and targets: apply the
// change, announce it to peers, and fetch the full catalog if the change
// doesn't apply.
//
// Index
//   events          events handled by entries and targets alike
//   effects         effects that the program has to perform
//   handle_change   handles the result of a fetch or read
//   handle_update   handles an update pushed by a peer
#pragma once

#include "membership/membership.hpp"

#include <optional>
#include <variant>

namespace lagoon {

// ---- events -------------------------------------------------------------

struct digest_packet
{
    peer_address from = {};
    peer_digest message = {};
    auto operator<=>(digest_packet const&) const = default;
};

struct update_packet
{
    peer_address from = {};
    peer_update message = {};
    bool operator==(update_packet const&) const = default;
};

struct change_request_packet
{
    peer_address from = {};
    change_request message = {};
    auto operator<=>(change_request_packet const&) const = default;
};

struct change_received
{
    change_source source = change_source::peer;
    peer_address control = {};  // of the peer, if a peer sent it
    std::optional<catalog_change> change = {};  // empty: no newer generation
    bool operator==(change_received const&) const = default;
};

struct change_unavailable
{
    change_source source = change_source::peer;
    failure error = {};
    std::uint64_t store_era = 0;  // latest one seen; see store_position
    bool operator==(change_unavailable const&) const = default;
};

struct clock_tick
{
    auto operator<=>(clock_tick const&) const = default;
};

struct stop_requested
{
    auto operator<=>(stop_requested const&) const = default;
};

// ---- effects ------------------------------------------------------------

struct generation_adopted
{
    catalog_version version = {};
    auto operator<=>(generation_adopted const&) const = default;
};

// Reports a dropped or rejected item, to be counted and logged.
struct report_failure
{
    failure error = {};
    bool operator==(report_failure const&) const = default;
};

namespace detail {

template <class Effects>
void append(Effects& to, membership_effects const& from)
{
    for (membership_effect const& one : from)
        std::visit(
            [&to](auto const& effect) {
                to.push_back(effect);
            },
            one);
}

}  // namespace detail

// ---- handle_change ------------------------------------------------------

// Model step `adopt`. Applies the change and appends the resulting effects.
// Effects is a vector of a variant that includes the membership effects,
// generation_adopted and report_failure.
template <class Effects, random_source R>
void handle_change(Effects& effects, catalog& current,
                   membership<R>& membership, change_received const& event,
                   time_point now)
{
    if (!event.change) {
        detail::append(effects, membership.handle_response(
                                    event.source, nullptr, current, now));
        return;
    }
    failure error;
    std::optional<catalog_version> const adopted =
        current.adopt(*event.change, error);
    if (adopted)
        effects.push_back(generation_adopted{*adopted});
    else if (error.cause != reason::stale)
        effects.push_back(report_failure{error});
    bool const is_conflict = !adopted && error.cause == reason::conflict;
    bool const can_fetch_full = event.source == change_source::peer &&
                                event.change->base != generation{};
    if (is_conflict && can_fetch_full) {
        detail::append(effects, membership.fetch_full({}, event.control, now));
        return;
    }
    if (is_conflict && event.source == change_source::platform) {
        membership.require_full_read(current, now);
        return;
    }
    detail::append(
        effects, membership.handle_response(event.source,
                                            adopted ? &*event.change : nullptr,
                                            current, now));
}

// ---- handle_update ------------------------------------------------------

// Applies an update pushed by a peer and forwards it. If the change doesn't
// apply, the digest in the update triggers a fetch.
template <class Effects, random_source R>
void handle_update(Effects& effects, catalog& current,
                   membership<R>& membership, update_packet const& event,
                   time_point now)
{
    failure error;
    catalog_change const& change = event.message.change;
    std::optional<catalog_version> const adopted = current.adopt(change, error);
    if (adopted) {
        effects.push_back(generation_adopted{*adopted});
        detail::append(effects, membership.forward(change, current, now));
    }
    bool const is_conflict = !adopted && error.cause == reason::conflict &&
                             change.base != generation{} &&
                             change.base <= current.version().number;
    if (is_conflict) {
        effects.push_back(report_failure{error});
        detail::append(effects, membership.fetch_full(
                                    event.from,
                                    event.message.digest.control_address, now));
    }
    detail::append(effects,
                   membership.handle_digest(event.from, event.message.digest,
                                            current, now));
}

}  // namespace lagoon
