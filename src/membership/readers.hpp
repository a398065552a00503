// Who reads the platform, decided by each process alone. The platform's call
// rate is for the whole fleet, so a few processes of a data centre watch and
// the rest learn from peers.
//
// Index
//   reading_plan   what a process of some rank does
//   reader_rank    a process's rank within its data centre
#pragma once

#include "catalog/catalog.hpp"

#include <cstddef>

namespace lagoon {

// ---- reading_plan -------------------------------------------------------

struct reading_pace
{
    std::size_t watchers = 3;  // of a data centre, or of all known peers

    // A process that doesn't watch reads once its news of the platform is
    // older than this; of rank r it then reads at most every (r + 1) steps.
    // With a step of a second the sum over a data centre of n processes stays
    // below ln(n) + 1 reads a second, however long the watchers are gone.
    duration news_lifetime = std::chrono::seconds{20};
    duration step = std::chrono::seconds{1};

    // How long a watch waits. The first watcher's short one shows that it
    // still reaches the platform; those behind it are there for its end.
    duration first_watch = std::chrono::seconds{2};
    duration other_watch = std::chrono::seconds{2};

    // A process without any configuration tries again this soon.
    duration retry = std::chrono::seconds{1};

    auto operator<=>(reading_pace const&) const = default;
};

struct reading_plan
{
    bool watches = false;    // holds a waiting watch all the time
    duration interval = {};  // least time between two reads
    duration watch = {};     // how long a watch waits
    auto operator<=>(reading_plan const&) const = default;
};

reading_plan plan_for_rank(std::size_t rank, reading_pace const& pace);

// ---- reader_rank --------------------------------------------------------

// The place of `self` among the entries of its data centre; a process that
// isn't in the fleet (yet), or a target, ranks behind all of them.
std::size_t reader_rank(fleet_part const& fleet, process_id self,
                        std::string const& data_centre);

}  // namespace lagoon
