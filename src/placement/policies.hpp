// The order in which targets are queried for a free slot. Each policy is a type
// that satisfies `placement_policy`; docs/POLICY.md compares them.
//
// Index
//   placement_candidate   a target that may be queried
//   placement_policy      the concept
//   ranking_only          baseline: the first target of the ranking
//   probe_in_order        the preferred targets in ranking order
//   two_choices           baseline: the less loaded of the first two targets
//   free_first            the preferred targets, reported free ones first
#pragma once

#include "placement/target_hints.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <vector>

namespace lagoon {

// ---- placement_candidate ------------------------------------------------

struct placement_candidate
{
    peer_address address = {};
    std::uint32_t slots = 0;
    service_id service = {};
    bool is_unsure = false;              // replied so earlier in this search
    std::uint32_t opens_per_second = 0;  // limit of a cold back end; 0: none
    bool is_elsewhere = false;  // in another data centre, if that matters
    bool is_closed = false;     // may get copies of packets that it accepted
    auto operator<=>(placement_candidate const&) const = default;
};

using ranked_candidates = std::vector<placement_candidate>;  // best first

// ---- placement_policy ---------------------------------------------------

template <class P>
concept placement_policy = requires(P const& policy,
                                    ranked_candidates const& ranked,
                                    target_hints const& hints, time_point now)
{
    // Number of busy replies after which the least loaded of the busy targets
    // has to queue the connection. 0: the first target queried has to.
    {
        P::max_busy_replies
        } -> std::convertible_to<std::size_t>;
    // Number of targets at the head of the ranking to which opening packets
    // are offered while one of them answers. A search for an owner starts
    // there.
    {
        P::preferred_count
        } -> std::convertible_to<std::size_t>;
    // Whether a target with a recent busy report counts as busy without a
    // query.
    {
        P::uses_hints
        } -> std::convertible_to<bool>;
    // Returns the same targets in the order in which to query them.
    {
        policy.order(ranked, hints, now)
        } -> std::same_as<ranked_candidates>;
};

// At peak load two thirds of the targets are busy. One of eight is then idle in
// 96 of 100 cases, and the least loaded of eight is rarely far from the best.
constexpr std::size_t default_preferred_count = 8;

// ---- ranking_only -------------------------------------------------------

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

// ---- probe_in_order -----------------------------------------------------

// Load pattern: requests of one kind at 40 to 80% of the slots. With few slots
// per target, hashing alone makes requests queue at some targets while others
// are idle. Queries find a free slot at the cost of a round trip each.
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

// ---- two_choices --------------------------------------------------------

struct two_choices
{
    static constexpr std::size_t max_busy_replies = 0;
    static constexpr std::size_t preferred_count = default_preferred_count;
    static constexpr bool uses_hints = false;

    ranked_candidates order(ranked_candidates const& ranked,
                            target_hints const& hints, time_point now) const
    {
        ranked_candidates ordered = ranked;
        bool const is_second_less_loaded =
            ordered.size() > 1 &&
            hints.load_per_slot(ordered[1].address, now) <
                hints.load_per_slot(ordered[0].address, now);
        if (is_second_less_loaded)
            std::swap(ordered[0], ordered[1]);
        return ordered;
    }
};

// ---- free_first ---------------------------------------------------------

// Load pattern: requests of one kind near full load and beyond, where most of
// the preferred targets are busy. Recent replies save the round trips to those
// and the entry's processor time: with a twentieth of a core, an entry cannot
// send five queries per connection at peak load.
//
// Load pattern: callers keep connections open and pause between requests. A
// target may have free slots although its open connections need all of them on
// average. Such targets come after the other free ones.
struct free_first
{
    static constexpr std::size_t max_busy_replies = 4;
    static constexpr std::size_t preferred_count = default_preferred_count;
    static constexpr bool uses_hints = true;

    ranked_candidates order(ranked_candidates const& ranked,
                            target_hints const& hints, time_point now) const
    {
        ranked_candidates ordered = ranked;
        auto const preferred_end = static_cast<std::ptrdiff_t>(
            std::min(ordered.size(), preferred_count));
        auto const free_end = std::stable_partition(
            ordered.begin(), ordered.begin() + preferred_end,
            [&](placement_candidate const& candidate) {
                return !hints.is_reported_busy(candidate.address, now);
            });
        // Within each data centre: how many connections leave it was decided
        // with the loads of all targets.
        for (auto first = ordered.begin(); first != free_end;) {
            auto const last = std::find_if(
                first, free_end, [first](placement_candidate const& candidate) {
                    return candidate.is_elsewhere != first->is_elsewhere;
                });
            std::stable_partition(
                first, last, [&](placement_candidate const& candidate) {
                    return !hints.is_expected_busy(candidate.address, now);
                });
            first = last;
        }
        return ordered;
    }
};

static_assert(placement_policy<ranking_only>);
static_assert(placement_policy<probe_in_order>);
static_assert(placement_policy<two_choices>);
static_assert(placement_policy<free_first>);

}  // namespace lagoon
