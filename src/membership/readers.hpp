// Selection of the processes that read the platform. Each process decides for
// itself. The platform's limit on the call rate applies to the whole fleet, so
// a few processes per data centre watch it and the others get changes from
// peers.
//
// Index
//   read_schedule         how often a process of a given rank reads
//   compute_reader_rank   rank of a process within its data centre
#pragma once

#include "catalog/catalog.hpp"

#include <cstddef>

namespace lagoon {

// ---- read_schedule ------------------------------------------------------

struct read_timing
{
    std::size_t watcher_count = 3;  // per data centre, or of all known peers

    // A process that doesn't watch reads the platform once the latest known
    // contact with it is older than this, at most once per (rank + 1) interval
    // steps. With a step of 1 s, a data centre of n processes makes fewer than
    // ln(n) + 1 reads per second in total, however long the watchers are down.
    duration max_platform_age = std::chrono::seconds{20};
    duration interval_step = std::chrono::seconds{1};

    // Bounds the interval of processes with a high rank: those with a lower one
    // may have stopped.
    duration max_interval = std::chrono::hours{24};

    // Longest wait of a watch. The first watcher's wait can be short, to detect
    // early that the platform is unreachable; the others are stand-bys.
    duration first_watch_duration = std::chrono::seconds{2};
    duration other_watch_duration = std::chrono::seconds{2};

    // Delay between reads of a process without configuration.
    duration retry_interval = std::chrono::seconds{1};

    auto operator<=>(read_timing const&) const = default;
};

struct read_schedule
{
    bool is_watcher = false;       // keeps a watch open at all times
    duration min_interval = {};    // between two reads
    duration watch_duration = {};  // longest wait of a watch
    auto operator<=>(read_schedule const&) const = default;
};

read_schedule make_read_schedule(std::size_t rank, read_timing const& timing);

// Timing for changes that must be in force within `limit` although all other
// processes may stop at any time.
read_timing make_read_timing(duration limit);

// ---- compute_reader_rank ------------------------------------------------

// Returns the rank of `self` among the entries of its data centre. Targets, and
// entries that the fleet doesn't list yet, rank behind all of them.
std::size_t compute_reader_rank(fleet_part const& fleet, process_id self,
                                std::string const& data_centre);

}  // namespace lagoon
