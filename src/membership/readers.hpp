// Who reads the platform, decided by each process alone. The platform's call
// rate is for the whole fleet, so a few processes of a data centre watch and
// the rest learn from peers.
//
// Index
//   read_schedule         what a process of some rank does
//   compute_reader_rank   a process's rank within its data centre
#pragma once

#include "catalog/catalog.hpp"

#include <cstddef>

namespace lagoon {

// ---- read_schedule ------------------------------------------------------

struct read_timing
{
    std::size_t watcher_count = 3;  // of a data centre, or of all known peers

    // A process that doesn't watch reads once its news of the platform is
    // older than this; of rank r it then reads at most every (r + 1) steps.
    // With a step of a second the sum over a data centre of n processes stays
    // below ln(n) + 1 reads a second, however long the watchers are gone.
    duration max_platform_age = std::chrono::seconds{20};
    duration interval_step = std::chrono::seconds{1};

    // How long a watch waits. The first watcher's short one shows that it
    // still reaches the platform; those behind it are there for its end.
    duration first_watch_duration = std::chrono::seconds{2};
    duration other_watch_duration = std::chrono::seconds{2};

    // A process without any configuration tries again this soon.
    duration retry_interval = std::chrono::seconds{1};

    auto operator<=>(read_timing const&) const = default;
};

struct read_schedule
{
    bool is_watcher = false;       // holds a waiting watch all the time
    duration min_interval = {};    // least time between two reads
    duration watch_duration = {};  // how long a watch waits
    auto operator<=>(read_schedule const&) const = default;
};

read_schedule make_read_schedule(std::size_t rank, read_timing const& timing);

// ---- compute_reader_rank ------------------------------------------------

// The place of `self` among the entries of its data centre; a process that
// isn't in the fleet (yet), or a target, ranks behind all of them.
std::size_t compute_reader_rank(fleet_part const& fleet, process_id self,
                                std::string const& data_centre);

}  // namespace lagoon
