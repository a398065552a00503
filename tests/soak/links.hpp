// Faults that the proxy injects into the datagrams that it forwards.
//
// Index
//   caller_side   machine index that stands for all callers
//   link_faults   active faults of links and their effect on a datagram
#pragma once

#include "plan.hpp"

namespace lagoon::soak {

// ---- caller_side --------------------------------------------------------

constexpr std::size_t caller_side = SIZE_MAX;

// ---- link_faults --------------------------------------------------------

class link_faults
{
public:
    explicit link_faults(std::uint64_t seed) : random(seed) {}

    static bool is_link_fault(fault_kind kind)
    {
        return kind >= fault_kind::cut_in && kind <= fault_kind::repeat;
    }

    void start_fault(fault const& spec, time_point now)
    {
        this->active.push_back({spec, now + spec.span});
    }

    // Returns the delay of each copy of a datagram that arrives; empty when it
    // is dropped.
    std::vector<duration> compute_arrivals(std::size_t from, std::size_t to,
                                           time_point now)
    {
        std::erase_if(this->active, [now](active_fault const& one) {
            return one.until <= now;
        });
        duration delay{};
        std::size_t count = 1;
        for (active_fault const& one : this->active) {
            bool const is_to = one.spec.machine == to;
            bool const is_from = one.spec.machine == from;
            if ((one.spec.kind == fault_kind::cut_in && is_to) ||
                (one.spec.kind == fault_kind::cut_out && is_from))
                return {};
            if (!is_to && !is_from)
                continue;
            bool const is_affected = this->draw_fraction() < one.spec.share;
            if (one.spec.kind == fault_kind::lose && is_affected)
                return {};
            if (one.spec.kind == fault_kind::repeat && is_affected)
                count = 2;
            if (one.spec.kind == fault_kind::hold_up)
                delay += duration{static_cast<std::int64_t>(
                    this->draw_fraction() *
                    static_cast<double>(max_delay.count()))};
        }
        std::vector<duration> arrivals;
        for (std::size_t i = 0; i < count; ++i)
            arrivals.push_back(delay + i * duplicate_delay);
        return arrivals;
    }

private:
    // More than the round trips of the callers, so that datagrams arrive out
    // of order.
    static constexpr duration max_delay = std::chrono::milliseconds{80};
    static constexpr duration duplicate_delay = std::chrono::milliseconds{5};

    struct active_fault
    {
        fault spec = {};
        time_point until = {};
        auto operator<=>(active_fault const&) const = default;
    };

    double draw_fraction()
    {
        return random_fraction(this->random);
    }

    seeded_random random;
    std::vector<active_fault> active = {};
};

}  // namespace lagoon::soak
