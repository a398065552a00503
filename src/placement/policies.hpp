// In which order the targets of a connection are asked for a free slot. Each
// order is a type that satisfies `placement_policy`; docs/POLICY.md compares
// them.
//
// Index
//   placing_target     one that may be asked
//   placement_policy   the concept
//   ranking_alone      baseline: the first of the ranking takes it
//   probe_in_turn      the first few of the ranking, one after the other
//   lesser_of_two      baseline: of the first two the one that said it has
//                      less
//   free_first         the first few, those that lately seemed free first
#pragma once

#include "placement/hints.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <vector>

namespace lagoon {

// ---- placing_target -----------------------------------------------------

struct placing_target
{
    peer_address address = {};
    std::uint32_t slots = 0;
    bool is_unsure = false;  // it said so in this search
    auto operator<=>(placing_target const&) const = default;
};

using ranked_targets = std::vector<placing_target>;  // best first

// ---- placement_policy ---------------------------------------------------

template <class P>
concept placement_policy = requires(P const& policy,
                                    ranked_targets const& ranked,
                                    target_hints const& hints, time_point now)
{
    // How many targets say that they are busy before one of them must let
    // the connection wait. 0: the first one asked must.
    {
        P::probes
        } -> std::convertible_to<std::size_t>;
    // How many places of the ranking an opening packet goes along while one of
    // them answers. Whoever looks for the owner later begins there.
    {
        P::places
        } -> std::convertible_to<std::size_t>;
    // Whether a target that said so a moment ago counts as busy unasked.
    {
        P::trusts_hints
        } -> std::convertible_to<bool>;
    // The same targets in the order in which they are asked.
    {
        policy.order(ranked, hints, now)
        } -> std::same_as<ranked_targets>;
};

// Two thirds of the targets are busy at the crest: of eight, one is idle in 96
// of 100 cases, and the least loaded of eight is rarely far from the best.
constexpr std::size_t usual_places = 8;

// ---- ranking_alone ------------------------------------------------------

struct ranking_alone
{
    static constexpr std::size_t probes = 0;
    static constexpr std::size_t places = usual_places;
    static constexpr bool trusts_hints = false;

    ranked_targets order(ranked_targets const& ranked, target_hints const&,
                         time_point) const
    {
        return ranked;
    }
};

// ---- probe_in_turn ------------------------------------------------------

// Load pattern: requests of one kind at 40 to 80% of the slots. With few slots
// a target, hashing alone leaves some queueing while others idle; asking
// finds a free slot at the price of a round trip each.
struct probe_in_turn
{
    static constexpr std::size_t probes = 4;
    static constexpr std::size_t places = usual_places;
    static constexpr bool trusts_hints = false;

    ranked_targets order(ranked_targets const& ranked, target_hints const&,
                         time_point) const
    {
        return ranked;
    }
};

// ---- lesser_of_two ------------------------------------------------------

struct lesser_of_two
{
    static constexpr std::size_t probes = 0;
    static constexpr std::size_t places = usual_places;
    static constexpr bool trusts_hints = false;

    ranked_targets order(ranked_targets const& ranked,
                         target_hints const& hints, time_point now) const
    {
        ranked_targets ordered = ranked;
        bool const swaps = ordered.size() > 1 &&
                           hints.relative_load(ordered[1].address, now) <
                               hints.relative_load(ordered[0].address, now);
        if (swaps)
            std::swap(ordered[0], ordered[1]);
        return ordered;
    }
};

// ---- free_first ---------------------------------------------------------

// Load pattern: the same near full load and beyond, where most of the first few
// are busy. Answers of a moment ago save the round trips to those, and an
// entry's processor with them: five questions for each connection are more
// than a twentieth of a core can ask at the crest.
struct free_first
{
    static constexpr std::size_t probes = 4;
    static constexpr std::size_t places = usual_places;
    static constexpr bool trusts_hints = true;

    ranked_targets order(ranked_targets const& ranked,
                         target_hints const& hints, time_point now) const
    {
        ranked_targets ordered = ranked;
        auto const few =
            static_cast<std::ptrdiff_t>(std::min(ordered.size(), places));
        std::stable_partition(ordered.begin(), ordered.begin() + few,
                              [&](placing_target const& one) {
                                  return !hints.seemed_busy(one.address, now);
                              });
        return ordered;
    }
};

static_assert(placement_policy<ranking_alone>);
static_assert(placement_policy<probe_in_turn>);
static_assert(placement_policy<lesser_of_two>);
static_assert(placement_policy<free_first>);

}  // namespace lagoon
