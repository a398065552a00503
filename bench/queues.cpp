// Benchmark of queue policies for connections of several kinds of requests, in
// virtual time: real entries and targets on the fake network. Each seed gives
// the same arrivals for every policy. Prints one table row: the mean over the
// seeds, with the smallest value.
//
//   bench-queues SCENARIO POLICY SEEDS
//
// Index
//   workload       rates of the kinds in a scenario
//   measured_run   results of one run
//   run            one run of one seed
//   main           all seeds of one policy

#include "admission/fair_objective_queue.hpp"
#include "admission/objective_queue.hpp"
#include "fakes/fake_connections.hpp"

#include <cstdio>
#include <iostream>
#include <sodium.h>

namespace lagoon {

namespace {

using namespace fakes;

// ---- workload -----------------------------------------------------------

// Requests per second. The slots serve about 520 requests of the first two
// kinds in their normal proportion.
struct workload
{
    double reads = 300;     // priority 2
    double writes = 80;     // priority 1, twice the value
    double downloads = 25;  // priority 2, with a longer objective
    double burst = 1;       // factor on the writes from 3 to 8 s
    double heavy = 0;       // reads of one caller from 3 to 8 s
    bool has_outage = false;
    auto operator<=>(workload const&) const = default;
};

std::optional<workload> make_workload(std::string const& name)
{
    if (name == "steady")
        return workload{};
    if (name == "burst")
        return workload{350, 110, 30, 1.7, 0, false};
    if (name == "overload")
        return workload{600, 180, 50, 1.7, 0, false};
    if (name == "one-caller")
        return workload{200, 60, 20, 1, 500, false};
    if (name == "outage")
        return workload{300, 80, 25, 1, 0, true};
    return std::nullopt;
}

// ---- measured_run -------------------------------------------------------

// Shares of the requests made from 3 to 8 s that were answered in time, and of
// their value that was earned.
struct measured_run
{
    double earned = 0;
    double reads = 0;
    double writes = 0;
    double downloads = 0;
    double heavy = 0;
    double all_earned = 0;  // over the whole run
    auto operator<=>(measured_run const&) const = default;
};

// ---- run ----------------------------------------------------------------

template <class Fleet>
double share_in_time(Fleet const& fleet, std::size_t kind, time_point from,
                     time_point until)
{
    std::size_t all = 0;
    std::size_t in_time = 0;
    for (simulated_request const& one : fleet.requests) {
        if (one.kind != kind || one.requested_at < from ||
            one.requested_at >= until)
            continue;
        ++all;
        in_time += one.status == completion_status::in_time;
    }
    return all > 0 ? static_cast<double>(in_time) / static_cast<double>(all)
                   : 1;
}

template <queue_policy Q>
measured_run run(workload const& work, std::uint64_t seed)
{
    constexpr int data_centres = 4;
    constexpr std::uint32_t address = 0xC6120001;
    fake_connections<free_first, Q> fleet{seed};
    std::size_t const reads = fleet.add_kind(
        {{address, 443}, "members", 22ms, 200ms, 1500ms, 2, true, 1, 0.3});
    std::size_t const writes = fleet.add_kind(
        {{address, 444}, "members", 29ms, 250ms, 2s, 1, false, 2, 0.3});
    std::size_t const downloads = fleet.add_kind(
        {{address, 445}, "members", 5ms, 800ms, 6s, 2, true, 1, 0.3});
    std::size_t const heavy = fleet.add_kind(
        {{address, 446}, "members", 22ms, 200ms, 1500ms, 2, true, 1, 0.3, 1});
    for (int i = 0; i < 5; ++i)
        fleet.add_entry(i % data_centres);
    for (int i = 0; i < 7; ++i)
        fleet.add_target("members", i % data_centres);
    fleet.publish();
    fleet.run_for(2s);
    time_point const start = fleet.now();
    fleet.add_load(reads, work.reads, 11s, data_centres);
    fleet.add_load(writes, work.writes, 11s, data_centres);
    fleet.add_load(downloads, work.downloads, 11s, data_centres);
    fleet.run_for(3s);
    if (work.burst > 1)
        fleet.add_load(writes, work.writes * (work.burst - 1), 5s,
                       data_centres);
    if (work.heavy > 0)
        fleet.add_load(heavy, work.heavy, 5s, 1);
    if (work.has_outage)
        fleet.power_off_all(1s);
    fleet.run_for(16s);
    time_point const from = start + 3s;
    time_point const until = start + 8s;
    return {fleet.earned_share(from, until),
            share_in_time(fleet, reads, from, until),
            share_in_time(fleet, writes, from, until),
            share_in_time(fleet, downloads, from, until),
            share_in_time(fleet, heavy, from, until),
            fleet.earned_share(start, start + 11s)};
}

// ---- main ---------------------------------------------------------------

template <queue_policy Q>
int measure(std::string const& label, workload const& work,
            std::uint64_t seed_count)
{
    std::vector<measured_run> runs;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
        runs.push_back(run<Q>(work, seed));
    std::printf("| %s", label.c_str());
    for (double measured_run::*field :
         {&measured_run::earned, &measured_run::all_earned,
          &measured_run::reads, &measured_run::writes, &measured_run::downloads,
          &measured_run::heavy}) {
        double sum = 0;
        double smallest = 1;
        for (measured_run const& one : runs) {
            sum += one.*field;
            smallest = std::min(smallest, one.*field);
        }
        std::printf(" | %.4f (%.4f)", sum / static_cast<double>(runs.size()),
                    smallest);
    }
    std::printf(" |\n");
    return 0;
}

int measure_by_name(std::string const& policy, std::string const& label,
                    workload const& work, std::uint64_t seed_count)
{
    if (policy == "fifo")
        return measure<fifo_queue>(label, work, seed_count);
    if (policy == "objective")
        return measure<objective_queue>(label, work, seed_count);
    if (policy == "caller-share")
        return measure<caller_share_queue>(label, work, seed_count);
    if (policy == "bounded-priority")
        return measure<bounded_priority_queue>(label, work, seed_count);
    if (policy == "fair-share")
        return measure<fair_share_queue>(label, work, seed_count);
    std::cerr << "unknown policy: " << policy << '\n';
    return 2;
}

}  // namespace

}  // namespace lagoon

int main(int count, char** arguments)
{
    using namespace lagoon;
    std::vector<std::string> const args(arguments + 1, arguments + count);
    std::optional<workload> const work =
        args.size() == 3 ? make_workload(args[0]) : std::nullopt;
    if (!work || sodium_init() < 0) {
        std::cerr << "usage: bench-queues SCENARIO POLICY SEEDS\n";
        return 2;
    }
    return measure_by_name(args[1], args[0] + " | " + args[1], *work,
                           std::strtoull(args[2].c_str(), nullptr, 10));
}
