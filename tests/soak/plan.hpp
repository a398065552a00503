// What goes wrong in a run of the soak, when and where. A plan is drawn from
// a seed or read from a file; the same plan is the same run, as far as
// processes on one machine allow.
//
// Index
//   fault_kind   what can go wrong
//   fault        one of them
//   soak_plan    all of a run
#pragma once

#include "base/random.hpp"
#include "base/values.hpp"
#include "documents/checked_json.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoon::soak {

// ---- fault_kind ---------------------------------------------------------

enum class fault_kind : std::uint8_t
{
    // Of one process.
    freeze,           // stopped and continued
    kill,             // without warning; started again
    stop,             // asked to end; started again
    reread,           // SIGHUP
    change_settings,  // a new file, without a signal
    spoil_settings,   // a file that can't be used, then the old one
    // Of its links, at the proxy.
    cut_in,
    cut_out,
    lose,     // a share of the datagrams
    hold_up,  // each of them, for a while
    repeat,   // a share of them
    // Of back ends.
    crash_back_end,  // and another one starts in its place
    replace_target,  // leaves, ends, its address goes to another service
    // Of the store.
    store_down,     // answers 503
    store_silent,   // answers nothing
    store_breaks,   // breaks connections off
    store_slow,     // answers late
    store_stale,    // answers as of when this began
    store_refuses,  // one of the entries
    store_forgets,  // its history
    // Of the whole.
    change_routes,  // several versions in a row
    kill_all,
    last  // none: how many there are
};

char const* to_text(fault_kind value);

// Whether the fault is work that someone planned; connections outlive it.
bool is_planned(fault_kind value);

// ---- fault --------------------------------------------------------------

struct fault
{
    duration at = {};  // since the run began
    duration span = {};
    fault_kind kind = fault_kind::freeze;
    std::size_t machine = 0;  // entries come before targets
    double share = 0;         // of datagrams
    auto operator<=>(fault const&) const = default;
};

// ---- soak_plan ----------------------------------------------------------

struct soak_plan
{
    std::uint64_t seed = 0;
    duration length = {};
    std::size_t entries = 0;
    std::size_t targets = 0;
    std::vector<fault> faults = {};  // by time
    auto operator<=>(soak_plan const&) const = default;
};

// The first seconds are calm, so that everything has started, and the last
// ones, so that what goes wrong late has time to show.
constexpr duration fault_free_start = std::chrono::seconds{6};
constexpr duration fault_free_end = std::chrono::seconds{6};

// A quarter of the processes are entries.
soak_plan generate_plan(std::uint64_t seed, duration length,
                        std::size_t processes);

std::optional<soak_plan> parse_plan(json_checker& checker,
                                    std::string const& text);
std::string write_plan(soak_plan const& plan);

// Parts of a plan that may still fail, the shortest first: its halves, then
// all but one quarter.
std::vector<soak_plan> make_reduced_plans(soak_plan const& plan);

}  // namespace lagoon::soak
