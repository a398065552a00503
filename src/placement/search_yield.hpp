// Share of the recent searches for owners that found one.
//
// Index
//   search_yield   the aggregate
#pragma once

#include "base/values.hpp"

namespace lagoon {

// ---- search_yield -------------------------------------------------------

// Load pattern: all VMs lose power, and nearly all searches are for connections
// that no target owns. Searching along the ranking first then only delays the
// answer of all targets.
class search_yield
{
public:
    void record(bool is_found, time_point now)
    {
        this->age(now);
        (is_found ? this->found : this->failed) += 1;
    }

    // Whether nearly all recent searches have failed.
    bool is_low(time_point now)
    {
        constexpr double min_failed = 8;
        constexpr double max_found_share = 0.2;
        this->age(now);
        return this->failed >= min_failed &&
               this->found <= max_found_share * (this->found + this->failed);
    }

private:
    // The counts are halved each second.
    void age(time_point now)
    {
        constexpr duration half_life = std::chrono::seconds{1};
        for (;
             now - this->aged_at >= half_life && this->found + this->failed > 0;
             this->aged_at += half_life) {
            this->found = this->found < 1 ? 0 : this->found / 2;
            this->failed = this->failed < 1 ? 0 : this->failed / 2;
        }
        if (this->found + this->failed == 0)
            this->aged_at = now;
    }

    double found = 0;
    double failed = 0;
    time_point aged_at = {};
};

}  // namespace lagoon
