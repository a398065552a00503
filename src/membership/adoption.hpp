// The step that entries and targets share: take a change in, tell peers, and
// ask for the whole catalog where the change doesn't fit.
//
// Index
//   events        what reaches every process, whatever its role
//   effects       what adoption asks of the surroundings
//   take_change   adopts and appends the effects
//   take_news     the same for what a peer sends unasked
#pragma once

#include "membership/membership.hpp"

#include <optional>
#include <variant>

namespace lagoon {

// ---- events -------------------------------------------------------------

struct digest_packet
{
    peer_address from = {};
    peer_digest what = {};
    auto operator<=>(digest_packet const&) const = default;
};

struct news_packet
{
    peer_address from = {};
    peer_update what = {};
    bool operator==(news_packet const&) const = default;
};

struct change_request_packet
{
    peer_address from = {};
    change_request what = {};
    auto operator<=>(change_request_packet const&) const = default;
};

struct change_arrived
{
    change_source source = change_source::peer;
    peer_address control = {};  // of the peer, when it came from one
    std::optional<catalog_change> change = {};  // empty: nothing newer
    bool operator==(change_arrived const&) const = default;
};

struct change_missed
{
    change_source source = change_source::peer;
    failure why = {};
    bool operator==(change_missed const&) const = default;
};

struct clock_tick
{
    auto operator<=>(clock_tick const&) const = default;
};

struct stop_asked
{
    auto operator<=>(stop_asked const&) const = default;
};

// ---- effects ------------------------------------------------------------

struct generation_adopted
{
    catalog_version version = {};
    auto operator<=>(generation_adopted const&) const = default;
};

// Something was dropped or refused; it is counted and logged.
struct note_failure
{
    failure what = {};
    bool operator==(note_failure const&) const = default;
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

// ---- take_change --------------------------------------------------------

// Model step `adopt`. Effects is a vector of a variant that holds the
// membership effects and the two above.
template <class Effects, random_source R>
void take_change(Effects& effects, catalog& known, membership<R>& member,
                 change_arrived const& event, time_point now)
{
    if (!event.change) {
        detail::append(effects,
                       member.answered(event.source, nullptr, known, now));
        return;
    }
    failure last;
    std::optional<catalog_version> const adopted =
        known.adopt(*event.change, last);
    if (adopted)
        effects.push_back(generation_adopted{*adopted});
    else if (last.why != reason::stale)
        effects.push_back(note_failure{last});
    bool const misfit = !adopted && last.why == reason::conflict;
    bool const can_ask_whole = event.source == change_source::peer &&
                               event.change->base != generation{};
    if (misfit && can_ask_whole) {
        detail::append(effects, member.conflicted({}, event.control, now));
        return;
    }
    if (misfit && event.source == change_source::platform) {
        member.misled(known, now);
        return;
    }
    detail::append(effects, member.answered(event.source,
                                            adopted ? &*event.change : nullptr,
                                            known, now));
}

// ---- take_news ----------------------------------------------------------

// A peer's news with what changed. Where the change doesn't fit, the digest
// leads to a question for what does.
template <class Effects, random_source R>
void take_news(Effects& effects, catalog& known, membership<R>& member,
               news_packet const& event, time_point now)
{
    failure last;
    catalog_change const& change = event.what.change;
    std::optional<catalog_version> const adopted = known.adopt(change, last);
    if (adopted) {
        effects.push_back(generation_adopted{*adopted});
        detail::append(effects, member.pass_on(change, known, now));
    }
    bool const misfit = !adopted && last.why == reason::conflict &&
                        change.base != generation{} &&
                        change.base <= known.version().number;
    if (misfit) {
        effects.push_back(note_failure{last});
        detail::append(
            effects, member.conflicted(event.from,
                                       event.what.digest.control_address, now));
    }
    detail::append(effects,
                   member.heard(event.from, event.what.digest, known, now));
}

}  // namespace lagoon
