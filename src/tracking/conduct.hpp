// Whether a back end that accepts connections does the work, too: seen from
// its answers that say that they failed, connections that it breaks off in the
// midst of a request, and requests that it never answers.
//
// Load pattern: one back end of many fails fast what it is given, so it always
// seems free, and draws work from those that do it. What it is given is then
// thinned out. Nobody is shut out for good: a back end that is unwell counts as
// so much fuller, so that where all are unwell none is worse off.
//
// Index
//   run_outcome        how a request ended
//   conduct_limits     what counts as unwell
//   back_end_conduct   the aggregate
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace lagoon {

// ---- run_outcome --------------------------------------------------------

enum class run_outcome : std::uint8_t
{
    answered,
    failed
};

// ---- conduct_limits -----------------------------------------------------

struct conduct_limits
{
    // Of the latest requests: two failures in a row could be one caller's own
    // doing, and one request in twenty fails with many a healthy service.
    std::size_t considered = 8;
    std::size_t least_failed = 2;
    double failed_share = 0.3;

    // Older outcomes say nothing: a back end that was restarted is another.
    duration memory = std::chrono::seconds{2};

    // While unwell it is given a request this often, so that it can show that
    // it is well. Callers repeat what may be repeated; another one is tried
    // only where there is nothing else to try.
    duration trial_interval = std::chrono::milliseconds{250};
    duration other_trial_interval = std::chrono::seconds{2};
    std::size_t answered_in_a_row = 3;

    auto operator<=>(conduct_limits const&) const = default;
};

// ---- back_end_conduct ---------------------------------------------------

class back_end_conduct
{
public:
    explicit back_end_conduct(conduct_limits limits = {}) : limits(limits) {}

    // A request ended. Says whether that changed how it is.
    bool ended(run_outcome how, time_point now);

    bool is_unwell() const;

    // Whether an unwell back end may be given a request.
    bool may_try(bool may_repeat, time_point now) const;
    void tried(time_point now);

private:
    struct ended_run
    {
        time_point at = {};
        run_outcome how = run_outcome::answered;
        auto operator<=>(ended_run const&) const = default;
    };

    bool seems_unwell() const;
    bool seems_well() const;

    conduct_limits limits;
    std::deque<ended_run> latest = {};
    bool unwell = false;
    time_point last_tried = {};
};

}  // namespace lagoon
