// The plan of a soak run: which faults are injected, when and where. A plan is
// generated from a seed or read from a file. Running the same plan again
// injects the same faults at the same times; the scheduling of the processes
// still varies.
//
// Index
//   fault_kind                kinds of faults that can be injected
//   fault                     one fault of a plan
//   soak_plan                 size, length and faults of a run
//   plan generation           plans from a seed
//   plan files                plans as JSON
//   plan reduction            shorter plans made from one that failed
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
    // Faults of one process.
    freeze,           // SIGSTOP, then SIGCONT
    kill,             // SIGKILL; the process is restarted
    stop,             // SIGTERM twice; the process is restarted
    reread,           // SIGHUP, which reloads the settings
    change_settings,  // a new settings file, without a signal
    spoil_settings,   // an invalid file, then the old one again
    // Faults of the links of one process, injected by the proxy.
    cut_in,   // drops all datagrams to the process
    cut_out,  // drops all datagrams from the process
    lose,     // drops a share of the datagrams
    hold_up,  // delays each datagram
    repeat,   // duplicates a share of the datagrams
    // Faults of back ends.
    crash_back_end,  // a new back end starts at the same address
    replace_target,  // leaves and ends; another service gets its address
    // Faults of the store.
    store_down,     // answers with status 503
    store_silent,   // never answers
    store_breaks,   // aborts connections
    store_slow,     // delays its answers
    store_stale,    // answers with the state at the start of the fault
    store_refuses,  // fails for one entry only
    store_forgets,  // discards its change history
    // Ends with a return to the copy from the start of the fault; what was
    // written in between is lost until it is written again.
    store_returns_older,
    // Faults of the whole system.
    change_routes,  // stores 1 + machine % 5 versions in a row
    evacuate,       // one data centre, or two if the share is 0.15 or more
    kill_all,       // restarts all processes; if share > 0, also back ends
    last            // number of kinds; not a fault
};

char const* to_text(fault_kind value);

// Whether the fault stands for planned maintenance, during which open
// connections must stay open.
bool is_planned(fault_kind value);

// ---- fault --------------------------------------------------------------

struct fault
{
    duration at = {};  // since the start of the run
    duration span = {};
    fault_kind kind = fault_kind::freeze;
    std::size_t machine = 0;  // index; entries come before targets
    // 0 to 1: the share of datagrams that a link fault affects; selects a
    // variant of kill_all, of store_refuses and of evacuate.
    double share = 0;
    auto operator<=>(fault const&) const = default;
};

// ---- soak_plan ----------------------------------------------------------

struct soak_plan
{
    std::uint64_t seed = 0;
    duration length = {};
    std::size_t entries = 0;
    std::size_t targets = 0;
    std::vector<fault> faults = {};  // in order of time
    auto operator<=>(soak_plan const&) const = default;
};

// No fault begins in the first seconds, so that all processes have started,
// nor in the last ones, so that the effects of late faults are still observed.
constexpr duration fault_free_start = std::chrono::seconds{6};
constexpr duration fault_free_end = std::chrono::seconds{6};

// ---- plan generation ----------------------------------------------------

// A quarter of the processes, but at least two, are entries; at least three
// are targets.
soak_plan generate_plan(std::uint64_t seed, duration length,
                        std::size_t processes);

// ---- plan files ---------------------------------------------------------

std::optional<soak_plan> parse_plan(json_checker& checker,
                                    std::string const& text);
std::string write_plan(soak_plan const& plan);

// ---- plan reduction -----------------------------------------------------

// Candidates for a shorter plan that still fails, the shortest first: the two
// halves of the faults, then all faults but one quarter.
std::vector<soak_plan> make_reduced_plans(soak_plan const& plan);

}  // namespace lagoon::soak
