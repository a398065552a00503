#include "placement/target_hints.hpp"

#include <algorithm>

namespace lagoon {

namespace {

constexpr duration hint_lifetime = std::chrono::seconds{60};  // after last use
constexpr std::uint32_t max_doublings = 4;  // min_ to max_avoidance

// A target is queried some ten times a second. A single report is 0 or full.
constexpr double mean_load_weight = 0.2;
constexpr duration mean_load_lifetime = std::chrono::seconds{1};

// Returns how long a reported load is used.
duration compute_load_lifetime(target_hint const& hint)
{
    if (hint.load <= hint.slots)
        return load_lifetime;
    duration const waiting =
        lifetime_per_waiting_request * (hint.load - hint.slots);
    return std::min(load_lifetime + waiting, max_load_lifetime);
}

}  // namespace

void target_hints::record_load(peer_address target, std::uint32_t load,
                               std::uint32_t slots, time_point now,
                               std::uint32_t expected_load,
                               std::uint32_t placed)
{
    target_hint const before = this->hints[target];
    bool const is_first =
        before.slots == 0 || now - before.reported_at > mean_load_lifetime;
    double const found = load - std::min(load, placed);
    double const mean =
        is_first
            ? found
            : before.mean_load + mean_load_weight * (found - before.mean_load);
    // An expected load that connections in use explain is as short-lived as the
    // momentary one.
    std::uint32_t const lasting = expected_load > load ? expected_load : 0;
    this->hints.insert_or_assign(
        target, target_hint{load, slots, lasting, now, 0, {}, mean});
}

void target_hints::record_timeout(peer_address target, time_point now)
{
    target_hint& hint = this->hints[target];
    std::uint32_t const doublings = std::min(hint.timeout_count, max_doublings);
    hint.timeout_count += 1;
    hint.avoided_until =
        now + std::min(min_avoidance * (1U << doublings), max_avoidance);
}

void target_hints::avoid(peer_address target, duration span, time_point now)
{
    target_hint& hint = this->hints[target];
    hint.avoided_until = std::max(hint.avoided_until, now + span);
}

bool target_hints::is_avoided(peer_address target, time_point now) const
{
    auto const found = this->hints.find(target);
    return found != this->hints.end() && now < found->second.avoided_until;
}

bool target_hints::is_reported_busy(peer_address target, time_point now) const
{
    return this->load_per_slot(target, now) >= 1.0;
}

bool target_hints::is_expected_busy(peer_address target, time_point now) const
{
    auto const found = this->hints.find(target);
    return found != this->hints.end() && found->second.slots > 0 &&
           now - found->second.reported_at <= expected_load_lifetime &&
           found->second.expected_load >= found->second.slots;
}

std::uint32_t target_hints::load_to_compare(peer_address target) const
{
    auto const found = this->hints.find(target);
    return found == this->hints.end()
               ? 0
               : std::max(found->second.load, found->second.expected_load);
}

void target_hints::record_placement(peer_address target)
{
    auto const found = this->hints.find(target);
    if (found != this->hints.end())
        found->second.load += 1;
}

std::uint32_t target_hints::load(peer_address target) const
{
    auto const found = this->hints.find(target);
    return found == this->hints.end() ? 0 : found->second.load;
}

double target_hints::load_per_slot(peer_address target, time_point now) const
{
    auto const found = this->hints.find(target);
    if (found == this->hints.end() || found->second.slots == 0 ||
        now - found->second.reported_at > compute_load_lifetime(found->second))
        return 0;
    return static_cast<double>(found->second.load) / found->second.slots;
}

std::optional<target_hint> target_hints::find(peer_address target) const
{
    auto const found = this->hints.find(target);
    return found == this->hints.end() ? std::nullopt
                                      : std::optional{found->second};
}

void target_hints::sweep(time_point now)
{
    std::erase_if(this->hints, [now](auto const& hint) {
        time_point const last_used =
            std::max(hint.second.reported_at, hint.second.avoided_until);
        return now - last_used > hint_lifetime;
    });
}

}  // namespace lagoon
