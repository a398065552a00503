// Benchmark of connections without tokens in an entry and a target: time per
// request, and memory per open connection (counter bytes_each).
//
// Index
//   entry_fixture    an entry with a catalog of 51 targets
//   target_fixture   a target
//   benchmarks       with 1000 and 100,000 connections already open

#include "entry/connection_entry.hpp"
#include "target/connection_target.hpp"
#include "wire/codec.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace lagoon {

namespace {

constexpr std::uint32_t target_count = 51;
constexpr peer_address route{0xC6120001, 443};
constexpr peer_address entry_address{0x0A010001, 7000};
constexpr std::uint32_t ports_per_address = 60'000;

connection_packet make_packet(std::uint64_t number, bool is_opening)
{
    connection_packet packet{};
    packet.endpoints = {
        {static_cast<std::uint32_t>(0x64400001 + number / ports_per_address),
         static_cast<std::uint16_t>(1024 + number % ports_per_address)},
        route};
    packet.is_opening = is_opening;
    packet.data_size = is_opening ? 0 : 100;
    packet.acknowledgement = is_opening ? 0 : 1;
    packet.bytes = std::string(32, 'x');
    return packet;
}

// ---- entry_fixture ------------------------------------------------------

struct entry_fixture
{
    time_point now{std::chrono::seconds{100}};
    connection_entry<seeded_random> role{settings(), seeded_random{1}, now};

    static connection_entry_settings settings()
    {
        connection_entry_settings values{};
        values.membership.self = {7};
        values.membership.timing.is_platform_linearizable = true;
        values.membership.timing.first_read_delay = {};
        return values;
    }

    entry_fixture()
    {
        generation const next{1};
        service_part part{make_service_id("members"), "members", next, {}, {}};
        for (std::uint32_t i = 0; i < target_count; ++i) {
            std::string const name = "t" + std::to_string(i);
            peer_address const address{0x0A020001 + i, 8000};
            part.targets.push_back({make_target_id(name), name, "z", address,
                                    address, 2, target_state::serving});
        }
        std::sort(part.targets.begin(), part.targets.end());
        routes_part const routes{next,
                                 {{route,
                                   {{part.id, 1}},
                                   std::chrono::milliseconds{100},
                                   std::chrono::seconds{1},
                                   2,
                                   true}},
                                 std::chrono::seconds{15}};
        catalog_change change{{}, next};
        change.parts = {part};
        change.routes = routes;
        change.result_digest = {compute_digest(fleet_part{}).value +
                                compute_digest(part).value +
                                compute_digest(routes).value};
        this->role.on(clock_tick{}, this->now);
        this->role.on(change_received{change_source::platform, {}, change},
                      this->now);
    }

    // Handles an opening packet, the target's answer and the request.
    void open_connection(std::uint64_t number)
    {
        for (connection_entry_effect const& effect : this->role.on(
                 packet_from_caller{make_packet(number, true)}, this->now))
            if (auto const* offer = std::get_if<send_offer>(&effect))
                this->accept_offer(*offer);
        benchmark::DoNotOptimize(this->role.on(
            packet_from_caller{make_packet(number, false)}, this->now));
    }

    void accept_offer(send_offer const& offer)
    {
        benchmark::DoNotOptimize(encode_packet(offer.offer));
        this->role.on(
            answer_from_target{
                offer.to,
                {offer.offer.query, offer_verdict::taken, 1, 2, {}},
                std::nullopt},
            this->now);
    }
};

// ---- target_fixture -----------------------------------------------------

struct target_fixture
{
    time_point now{std::chrono::seconds{100}};
    service_id members = make_service_id("members");
    connection_target<> role{{.service = make_service_id("members"),
                              .admission = {.slots = 2, .extra_starts = 2},
                              .is_table_complete = true},
                             now};

    // Handles an offer with the opening packet, the back end's acceptance, the
    // request and the back end's answer.
    void serve_request(std::uint64_t number)
    {
        connection_packet const opening = make_packet(number, true);
        connection_packet accepted{};
        accepted.endpoints = opening.endpoints;
        accepted.is_accepting = true;
        connection_packet answered{};
        answered.endpoints = opening.endpoints;
        answered.sequence = 1;
        answered.data_size = 1000;
        this->role.on(entry_offer{entry_address,
                                  {{1}, this->members, 2, true, {}, {}},
                                  opening},
                      this->now);
        this->role.on(packet_from_back_end{accepted}, this->now);
        this->role.on(entry_offer{entry_address,
                                  {{}, this->members, 0, false, {}, {}},
                                  make_packet(number, false)},
                      this->now);
        benchmark::DoNotOptimize(
            this->role.on(packet_from_back_end{answered}, this->now));
    }
};

// ---- benchmarks ---------------------------------------------------------

// Heap memory in use by this process, in bytes.
double memory_in_use()
{
    struct mallinfo2 const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

template <class Role, void (Role::*Request)(std::uint64_t)>
void measure_request(benchmark::State& state)
{
    Role role;
    double const before = memory_in_use();
    std::uint64_t number = 0;
    auto const open_count = static_cast<std::uint64_t>(state.range(0));
    while (number < open_count)
        (role.*Request)(number++);
    state.counters["bytes_each"] =
        (memory_in_use() - before) / static_cast<double>(open_count);
    for (auto _ : state) {
        role.now += std::chrono::microseconds{100};
        (role.*Request)(number++);
    }
}

BENCHMARK(measure_request<entry_fixture, &entry_fixture::open_connection>)
    ->Name("entry_request")
    ->Arg(1000)
    ->Arg(100'000)
    ->Iterations(50'000);
BENCHMARK(measure_request<target_fixture, &target_fixture::serve_request>)
    ->Name("target_request")
    ->Arg(1000)
    ->Arg(100'000)
    ->Iterations(50'000);

}  // namespace
}  // namespace lagoon

BENCHMARK_MAIN();
