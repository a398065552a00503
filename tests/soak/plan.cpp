#include "plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace lagoon::soak {

namespace {

using namespace std::chrono_literals;

struct kind_traits
{
    char const* name = "";
    bool is_planned = false;
    bool applies_to_entries = true;   // may be injected at an entry
    bool applies_to_targets = false;  // may be injected at a target
    unsigned weight = 1;              // relative frequency
};

// In the order of fault_kind.
constexpr std::array<kind_traits, static_cast<std::size_t>(fault_kind::last)>
    traits{{{"freeze", false, true, true, 3},
            {"kill", false, true, true, 3},
            {"stop", true, true, true, 3},
            {"reread", true, true, true, 1},
            {"change_settings", true, true, true, 1},
            {"spoil_settings", true, true, true, 1},
            {"cut_in", false, true, true, 2},
            {"cut_out", false, true, true, 2},
            {"lose", false, true, true, 2},
            {"hold_up", false, true, true, 2},
            {"repeat", false, true, true, 2},
            {"crash_back_end", false, false, true, 2},
            {"replace_target", true, false, true, 3},
            {"store_down", false, true, false, 1},
            {"store_silent", false, true, false, 1},
            {"store_breaks", false, true, false, 1},
            {"store_slow", false, true, false, 1},
            {"store_stale", false, true, false, 1},
            {"store_refuses", false, true, false, 2},
            {"store_forgets", false, true, false, 2},
            {"store_returns_older", false, true, false, 2},
            {"change_routes", true, true, false, 3},
            {"evacuate", true, true, false, 3},
            {"kill_all", false, true, false, 0}}};

// Faults overlap: with 24 processes one begins each second on average and
// lasts for two seconds.
constexpr double process_seconds_per_fault = 24;
constexpr std::uint64_t max_span_us = 4'000'000;
constexpr double max_share = 0.3;

// More than the evacuation limit of 3 s, since only what arrives after the
// limit is checked.
constexpr duration min_evacuation_span = 4s;

// Covers the recovery limit and the window in which recovery is measured.
constexpr duration kill_all_span = 17s;

kind_traits const& get_traits(fault_kind kind)
{
    return traits.at(static_cast<std::size_t>(kind));
}

std::optional<fault_kind> find_kind(std::string const& name)
{
    for (std::size_t i = 0; i < traits.size(); ++i)
        if (name == traits.at(i).name)
            return static_cast<fault_kind>(i);
    return std::nullopt;
}

class plan_generator
{
public:
    explicit plan_generator(std::uint64_t seed) : random(seed) {}

    fault_kind choose_kind()
    {
        unsigned sum = 0;
        for (kind_traits const& one : traits)
            sum += one.weight;
        std::size_t left = random_index(this->random, sum);
        std::size_t i = 0;
        while (left >= traits.at(i).weight)
            left -= traits.at(i++).weight;
        return static_cast<fault_kind>(i);
    }

    fault generate_fault(duration at, soak_plan const& plan)
    {
        fault one{.at = at, .kind = this->choose_kind()};
        kind_traits const& kind = get_traits(one.kind);
        std::size_t const first = kind.applies_to_entries ? 0 : plan.entries;
        std::size_t const end = kind.applies_to_targets
                                    ? plan.entries + plan.targets
                                    : plan.entries;
        one.machine = first + random_index(this->random, end - first);
        one.span = duration{static_cast<std::int64_t>(
            100'000 + random_index(this->random, max_span_us))};
        if (one.kind == fault_kind::evacuate)
            one.span += min_evacuation_span;
        one.share = this->draw_fraction() * max_share;
        return one;
    }

    duration choose_interval(std::size_t processes)
    {
        double const mean =
            process_seconds_per_fault / static_cast<double>(processes);
        double const seconds = -std::log(1 - this->draw_fraction()) * mean;
        return duration{static_cast<std::int64_t>(seconds * 1e6)};
    }

    double draw_fraction()
    {
        return random_fraction(this->random);
    }

private:
    seeded_random random;
};

// Removes the faults that would overlap with the recovery.
void add_kill_all(soak_plan& plan, duration at)
{
    std::erase_if(plan.faults, [at](fault const& one) {
        return one.at + one.span > at && one.at < at + kill_all_span;
    });
    plan.faults.push_back(
        {.at = at, .span = kill_all_span, .kind = fault_kind::kill_all});
    std::sort(plan.faults.begin(), plan.faults.end());
}

fault read_fault(json_checker& checker, json_node const& place)
{
    constexpr double per_mille_scale = 1000;
    checker.check_keys(place,
                       {"at_ms", "span_ms", "kind", "machine", "per_mille"});
    std::optional<fault_kind> const kind =
        find_kind(checker.read_text(place, "kind"));
    if (!kind)
        checker.add_problem(place, "a kind of fault");
    return {
        .at = std::chrono::milliseconds{checker.read_number(place, "at_ms")},
        .span =
            std::chrono::milliseconds{checker.read_number(place, "span_ms")},
        .kind = kind.value_or(fault_kind::freeze),
        .machine = checker.read_number(place, "machine"),
        .share = static_cast<double>(
                     checker.read_number_or(place, "per_mille", 0, {0, 1000})) /
                 per_mille_scale};
}

soak_plan read_plan(json_checker& checker, json_node const& place)
{
    checker.check_keys(place,
                       {"seed", "length_ms", "entries", "targets", "faults"});
    soak_plan plan{.seed = checker.read_number(place, "seed"),
                   .length = std::chrono::milliseconds{checker.read_number(
                       place, "length_ms")},
                   .entries = checker.read_number(place, "entries", {1, 250}),
                   .targets = checker.read_number(place, "targets", {1, 250})};
    for (json_node const& one : checker.read_list(place, "faults"))
        plan.faults.push_back(read_fault(checker, one));
    for (fault const& one : plan.faults)
        if (one.machine >= plan.entries + plan.targets)
            checker.add_problem(place,
                                "faults of machines below entries + targets");
    return plan;
}

std::string to_milliseconds_text(duration span)
{
    return std::to_string(span / 1ms);
}

}  // namespace

char const* to_text(fault_kind value)
{
    return get_traits(value).name;
}

bool is_planned(fault_kind value)
{
    return get_traits(value).is_planned;
}

soak_plan generate_plan(std::uint64_t seed, duration length,
                        std::size_t processes)
{
    plan_generator drawer{seed};
    std::size_t const entries = std::max<std::size_t>(2, processes / 4);
    std::size_t const targets = std::max<std::size_t>(3, processes - entries);
    soak_plan plan{seed, length, entries, targets, {}};
    for (duration at = fault_free_start + drawer.choose_interval(processes);
         at < length - fault_free_end; at += drawer.choose_interval(processes))
        plan.faults.push_back(drawer.generate_fault(at, plan));
    duration const room =
        length - fault_free_start - fault_free_end - kill_all_span;
    if (room > duration{})
        add_kill_all(plan, fault_free_start +
                               duration{static_cast<std::int64_t>(
                                   drawer.draw_fraction() *
                                   static_cast<double>(room.count()))});
    return plan;
}

std::optional<soak_plan> parse_plan(json_checker& checker,
                                    std::string const& text)
{
    return parse_checked(checker, text, read_plan);
}

std::string write_plan(soak_plan const& plan)
{
    std::string text =
        "{\n  \"seed\": " + std::to_string(plan.seed) +
        ",\n  \"length_ms\": " + to_milliseconds_text(plan.length) +
        ",\n  \"entries\": " + std::to_string(plan.entries) +
        ",\n  \"targets\": " + std::to_string(plan.targets) +
        ",\n  \"faults\": [";
    for (fault const& one : plan.faults)
        text += std::string{&one == plan.faults.data() ? "" : ","} +
                "\n    {\"at_ms\": " + to_milliseconds_text(one.at) +
                ", \"span_ms\": " + to_milliseconds_text(one.span) +
                ", \"kind\": \"" + to_text(one.kind) +
                "\", \"machine\": " + std::to_string(one.machine) +
                ", \"per_mille\": " +
                std::to_string(std::lround(one.share * 1000)) + "}";
    return text + "\n  ]\n}\n";
}

std::vector<soak_plan> make_reduced_plans(soak_plan const& plan)
{
    std::size_t const count = plan.faults.size();
    std::vector<soak_plan> parts;
    auto const add_part = [&](std::size_t from, std::size_t end, bool keep) {
        soak_plan part = plan;
        part.faults.clear();
        for (std::size_t i = 0; i < count; ++i)
            if ((i >= from && i < end) == keep)
                part.faults.push_back(plan.faults[i]);
        if (part.faults.size() < count)
            parts.push_back(part);
    };
    if (count < 2)
        return parts;
    add_part(0, count / 2, true);
    add_part(count / 2, count, true);
    if (count >= 4)
        for (std::size_t i = 0; i < 4; ++i)
            add_part(count * i / 4, count * (i + 1) / 4, false);
    return parts;
}

}  // namespace lagoon::soak
