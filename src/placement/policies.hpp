// In which order the targets of a connection are asked for a free slot. Each
// order is a type that satisfies `placement_policy`; docs/POLICY.md compares
// them.
//
// Index
//   placement_candidate     one that may be asked
//   placement_policy   the concept
//   ranking_only      baseline: the first of the ranking takes it
//   probe_in_order      the first few of the ranking, one after the other
//   two_choices      baseline: of the first two the one that said it has
//                      less
//   free_first         the first few, those that lately seemed free first
#pragma once

#include "placement/target_hints.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <vector>

namespace lagoon {

// ---- placement_candidate -----------------------------------------------------

struct placement_candidate
{
    peer_address address = {};
    std::uint32_t slots = 0;
    bool is_unsure = false;  // it said so in this search
    auto operator<=>(placement_candidate const&) const = default;
};

using ranked_candidates = std::vector<placement_candidate>;  // best first

// ---- placement_policy ---------------------------------------------------

template <class P>
concept placement_policy = requires(P const& policy,
                                    ranked_candidates const& ranked,
                                    target_hints const& hints, time_point now)
{
    // How many targets say that they are busy before one of them must let
    // the connection wait. 0: the first one asked must.
    {
        P::max_busy_replies
        } -> std::convertible_to<std::size_t>;
    // How many places of the ranking an opening packet goes along while one of
    // them answers. Whoever looks for the owner later begins there.
    {
        P::preferred_count
        } -> std::convertible_to<std::size_t>;
    // Whether a target that said so a moment ago counts as busy unasked.
    {
        P::uses_hints
        } -> std::convertible_to<bool>;
    // The same targets in the order in which they are asked.
    {
        policy.order(ranked, hints, now)
        } -> std::same_as<ranked_candidates>;
};

// Two thirds of the targets are busy at the crest: of eight, one is idle in 96
// of 100 cases, and the least loaded of eight is rarely far from the best.
constexpr std::size_t default_preferred_count = 8;

// ---- ranking_only ------------------------------------------------------

struct ranking_only
{
    static constexpr std::size_t max_busy_replies = 0;
    static constexpr std::size_t preferred_count = default_preferred_count;
    static constexpr bool uses_hints = false;

    ranked_candidates order(ranked_candidates const& ranked,
                            target_hints const&, time_point) const
    {
        return ranked;
    }
};

// ---- probe_in_order ------------------------------------------------------

// Load pattern: requests of one kind at 40 to 80% of the slots. With few slots
// a target, hashing alone leaves some queueing while others idle; asking
// finds a free slot at the price of a round trip each.
struct probe_in_order
{
    static constexpr std::size_t max_busy_replies = 4;
    static constexpr std::size_t preferred_count = default_preferred_count;
    static constexpr bool uses_hints = false;

    ranked_candidates order(ranked_candidates const& ranked,
                            target_hints const&, time_point) const
    {
        return ranked;
    }
};

// ---- two_choices ------------------------------------------------------

struct two_choices
{
    static constexpr std::size_t max_busy_replies = 0;
    static constexpr std::size_t preferred_count = default_preferred_count;
    static constexpr bool uses_hints = false;

    ranked_candidates order(ranked_candidates const& ranked,
                            target_hints const& hints, time_point now) const
    {
        ranked_candidates ordered = ranked;
        bool const swaps = ordered.size() > 1 &&
                           hints.load_per_slot(ordered[1].address, now) <
                               hints.load_per_slot(ordered[0].address, now);
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
    static constexpr std::size_t max_busy_replies = 4;
    static constexpr std::size_t preferred_count = default_preferred_count;
    static constexpr bool uses_hints = true;

    ranked_candidates order(ranked_candidates const& ranked,
                            target_hints const& hints, time_point now) const
    {
        ranked_candidates ordered = ranked;
        auto const few = static_cast<std::ptrdiff_t>(
            std::min(ordered.size(), preferred_count));
        std::stable_partition(ordered.begin(), ordered.begin() + few,
                              [&](placement_candidate const& one) {
                                  return !hints.is_reported_busy(one.address,
                                                                 now);
                              });
        return ordered;
    }
};

static_assert(placement_policy<ranking_only>);
static_assert(placement_policy<probe_in_order>);
static_assert(placement_policy<two_choices>);
static_assert(placement_policy<free_first>);

}  // namespace lagoon
