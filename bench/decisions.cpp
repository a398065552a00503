// Benchmarks of single decisions and their growth with the number of endpoints
// or flows. docs/CAPACITY.md uses the results.
//
// Index
//   catalog of a given size   test records, read_heap_in_use
//   entry                     routing of opens and of packets with a token
//   target                    packets of a flow, opens, ticks
//   configuration             adoption, documents, digests, ticks of an entry
//   datagrams                 the codec

#include "documents/documents.hpp"
#include "fakes/fake_fleet.hpp"
#include "wire/codec.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <sodium.h>

namespace lagoon {

namespace {

// ---- catalog of a given size --------------------------------------------

constexpr std::size_t endpoints_per_service = 5;
constexpr std::size_t endpoints_per_entry = 7;

target_record make_test_target(std::size_t index)
{
    std::string const name = "target-" + std::to_string(index);
    auto const offset = static_cast<std::uint32_t>(index);
    return {make_target_id(name),
            name,
            "zg-a",
            {0x0A000000 + offset, 7000},
            {0x0A000000 + offset, 7001},
            2,
            target_state::serving};
}

service_part make_test_service(std::size_t index)
{
    std::string const name = "service-" + std::to_string(index);
    service_part part{make_service_id(name), name, {1}, {}, {}};
    part.callers = {make_caller_id("club"), make_caller_id("secretary")};
    std::sort(part.callers.begin(), part.callers.end());
    for (std::size_t i = 0; i < endpoints_per_service; ++i)
        part.targets.push_back(
            make_test_target(index * endpoints_per_service + i));
    return part;
}

fleet_part make_test_fleet(std::size_t count)
{
    fleet_part fleet{{1}, {}};
    for (std::size_t i = 0; i < count; ++i) {
        std::string const name = "entry-" + std::to_string(i);
        auto const offset = static_cast<std::uint32_t>(i);
        fleet.entries.push_back({make_process_id(name),
                                 name,
                                 "zg-a",
                                 {0x0B000000 + offset, 6000},
                                 {0x0B000000 + offset, 6001}});
    }
    std::sort(fleet.entries.begin(), fleet.entries.end());
    return fleet;
}

catalog_change make_full_change(std::size_t endpoints)
{
    std::vector<service_part> parts;
    for (std::size_t i = 0; i < endpoints / endpoints_per_service; ++i)
        parts.push_back(make_test_service(i));
    fleet_part const fleet =
        make_test_fleet(endpoints / endpoints_per_entry + 1);
    std::uint64_t sum = compute_digest(fleet).value;
    for (service_part const& part : parts)
        sum += compute_digest(part).value;
    return {{}, {1}, {sum}, parts, {}, fleet};
}

std::size_t read_heap_in_use()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

// ---- entry --------------------------------------------------------------

time_point const start{std::chrono::hours{1}};

entry<seeded_random> make_entry(std::size_t endpoints)
{
    entry<seeded_random> role{
        {make_process_id("entry-0"), "zg-a", {1, 1}, {1, 2}, {}},
        seeded_random{1},
        start};
    role.on(change_received{change_source::platform,
                            {},
                            make_full_change(endpoints)},
            start);
    for (int i = 0; i < 4; ++i)
        role.on(clock_tick{}, start + i * std::chrono::seconds{1});
    return role;
}

time_point const ready_time = start + std::chrono::seconds{3};

void entry_routes_by_token(benchmark::State& state)
{
    auto const endpoints = static_cast<std::size_t>(state.range(0));
    entry<seeded_random> role = make_entry(endpoints);
    std::vector<entry_event> events;
    for (std::size_t i = 0; i < 1024; ++i) {
        flow_token const token{make_service_id("service-0"),
                               make_test_target(i * 31 % endpoints).id,
                               {1},
                               {i},
                               1,
                               {}};
        events.push_back(caller_packet{
            {2, 2}, caller_message{pull_answer{token, {1}, 0, 1200}}});
    }
    std::size_t i = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(role.on(events[i++ & 1023U], ready_time));
}
BENCHMARK(entry_routes_by_token)->Arg(35)->Arg(1000)->Arg(10'000)->Arg(33'000);

void entry_routes_open(benchmark::State& state)
{
    auto const endpoints = static_cast<std::size_t>(state.range(0));
    entry<seeded_random> role = make_entry(endpoints);
    std::vector<entry_event> events;
    for (std::size_t i = 0; i < 1024; ++i)
        events.push_back(caller_packet{
            {2, 2},
            caller_message{open_request{
                make_test_service(i % (endpoints / endpoints_per_service)).id,
                make_caller_id("club"),
                {hash_pair(i, 7)},
                0,
                0,
                0,
                {}}}});
    std::size_t i = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(role.on(events[i++ & 1023U], ready_time));
}
BENCHMARK(entry_routes_open)->Arg(35)->Arg(1000)->Arg(10'000)->Arg(33'000);

// ---- target -------------------------------------------------------------

struct target_with_flows
{
    target<standard_policy> role;
    std::vector<flow_token> tokens = {};
};

service_part make_single_target_service()
{
    return {make_service_id("members"),
            "members",
            {1},
            {make_caller_id("club")},
            {make_test_target(0)}};
}

target_with_flows make_target_with_flows(std::size_t flows)
{
    token_key const key{1, 2, 3};
    target_with_flows result{
        {{.self = make_test_target(0).id,
          .address = make_test_target(0).address,
          .key = key,
          .own_epoch = {7},
          .admission = {.slots = 2},
          .flows = {.max_flows = 600'000}},
         {make_process_id("target-0"), "zg-a", {1, 1}, {1, 2}, {}},
         seeded_random{1},
         start}};
    fleet_part const fleet{{1}, {}};
    std::uint64_t const sum =
        compute_digest(fleet).value +
        compute_digest(make_single_target_service()).value;
    result.role.on(
        change_received{
            change_source::platform,
            {},
            catalog_change{
                {}, {1}, {sum}, {make_single_target_service()}, {}, fleet}},
        start);
    for (int i = 0; i < 4; ++i)
        result.role.on(clock_tick{}, start + i * std::chrono::seconds{1});
    result.tokens.reserve(flows);
    for (std::size_t i = 0; i < flows; ++i) {
        target_effects const effects = result.role.on(
            inbound_received{{3, 3},
                             {{2, 2},
                              {},
                              {},
                              open_request{make_service_id("members"),
                                           make_caller_id("club"),
                                           {hash_pair(i, 1)},
                                           2,
                                           0,
                                           0,
                                           {}}}},
            ready_time);
        result.tokens.push_back(
            std::get<open_reply>(
                std::get<send_outbound>(effects.back()).packet.message)
                .token);
    }
    return result;
}

void target_answers_packet(benchmark::State& state)
{
    std::size_t const before = read_heap_in_use();
    auto const flows = static_cast<std::size_t>(state.range(0));
    target_with_flows result = make_target_with_flows(flows);
    std::size_t const tokens = result.tokens.capacity() * sizeof(flow_token);
    state.counters["bytes_per_flow"] =
        static_cast<double>(read_heap_in_use() - before - tokens) /
        static_cast<double>(flows);
    std::vector<target_event> events;
    for (std::size_t i = 0; i < 1024; ++i)
        events.push_back(inbound_received{
            {3, 3},
            {{2, 2},
             {},
             {},
             pull_answer{result.tokens[i * 7919 % flows], {1}, 0, 1200}}});
    std::size_t i = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(
            result.role.on(events[i++ & 1023U], ready_time));
}
BENCHMARK(target_answers_packet)
    ->Arg(1000)
    ->Arg(10'000)
    ->Arg(100'000)
    ->Arg(500'000);

void target_opens_flow(benchmark::State& state)
{
    target_with_flows result = make_target_with_flows(1000);
    std::uint64_t i = 0;
    time_point now = ready_time;
    for (auto _ : state) {
        now += std::chrono::microseconds{10};
        benchmark::DoNotOptimize(result.role.on(
            inbound_received{{3, 3},
                             {{2, 2},
                              {},
                              {},
                              open_request{make_service_id("members"),
                                           make_caller_id("club"),
                                           {hash_pair(++i, 2)},
                                           2,
                                           0,
                                           0,
                                           {}}}},
            now));
    }
}
BENCHMARK(target_opens_flow)->Iterations(400'000);

void target_ticks(benchmark::State& state)
{
    target_with_flows result =
        make_target_with_flows(static_cast<std::size_t>(state.range(0)));
    time_point now = ready_time;
    for (auto _ : state) {
        now += std::chrono::milliseconds{20};
        benchmark::DoNotOptimize(result.role.on(clock_tick{}, now));
    }
}
BENCHMARK(target_ticks)->Arg(1000)->Arg(4000)->Arg(100'000);

// ---- configuration ------------------------------------------------------

// The change to the next generation, in which one part differs.
catalog_change make_one_part_change(catalog const& current)
{
    service_part part = *current.find_service(make_test_service(0).id);
    catalog_version const version = current.version();
    generation const next{version.number.value + 1};
    std::uint64_t const without =
        version.content.value - compute_digest(part).value;
    part.changed_at = next;
    return {version.number, next, {without + compute_digest(part).value},
            {part},         {},   {}};
}

void catalog_adopts_one_part(benchmark::State& state)
{
    std::size_t const before = read_heap_in_use();
    auto const endpoints = static_cast<std::size_t>(state.range(0));
    catalog current;
    failure error;
    {
        catalog_change const full = make_full_change(endpoints);
        current.adopt(full, error);
    }
    state.counters["bytes_per_endpoint"] =
        static_cast<double>(read_heap_in_use() - before) /
        static_cast<double>(endpoints);
    for (auto _ : state)
        if (!current.adopt(make_one_part_change(current), error))
            state.SkipWithError("catalog refused the change");
}
BENCHMARK(catalog_adopts_one_part)
    ->Arg(1000)
    ->Arg(10'000)
    ->Arg(33'000)
    ->Unit(benchmark::kMicrosecond);

void document_of_whole_catalog(benchmark::State& state)
{
    catalog_change const full =
        make_full_change(static_cast<std::size_t>(state.range(0)));
    std::string text;
    for (auto _ : state) {
        text = write_document(full);
        json_checker checker{"whole"};
        benchmark::DoNotOptimize(parse_change(checker, text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(document_of_whole_catalog)
    ->Arg(1000)
    ->Arg(33'000)
    ->Unit(benchmark::kMillisecond);

void document_of_one_change(benchmark::State& state)
{
    catalog current;
    failure error;
    current.adopt(make_full_change(1000), error);
    catalog_change const change = make_one_part_change(current);
    std::string text;
    for (auto _ : state) {
        text = write_document(change);
        json_checker checker{"change"};
        benchmark::DoNotOptimize(parse_change(checker, text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(document_of_one_change)->Unit(benchmark::kMicrosecond);

void entry_hears_digest(benchmark::State& state)
{
    entry<seeded_random> role =
        make_entry(static_cast<std::size_t>(state.range(0)));
    digest_packet const packet{{5, 5},
                               {make_process_id("e"),
                                role.configuration().version(),
                                {},
                                {5, 6},
                                true}};
    for (auto _ : state)
        benchmark::DoNotOptimize(role.on(packet, ready_time));
}
BENCHMARK(entry_hears_digest)->Arg(33'000);

void entry_ticks(benchmark::State& state)
{
    entry<seeded_random> role =
        make_entry(static_cast<std::size_t>(state.range(0)));
    time_point now = ready_time;
    for (auto _ : state) {
        now += std::chrono::milliseconds{100};
        benchmark::DoNotOptimize(role.on(clock_tick{}, now));
    }
}
BENCHMARK(entry_ticks)->Arg(1000)->Arg(33'000);

// ---- datagrams ----------------------------------------------------------

void codec_reads_and_writes(benchmark::State& state)
{
    inbound_packet const packet{
        {1, 2}, {}, {}, pull_answer{{{1}, {2}, {3}, {4}, 5, {}}, {1}, 0, 1200}};
    std::string const bytes = encode_packet(packet);
    failure error;
    for (auto _ : state) {
        benchmark::DoNotOptimize(decode_packet(bytes, {}, error));
        benchmark::DoNotOptimize(encode_packet(packet));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
    state.counters["digest_bytes"] =
        static_cast<double>(encode_packet(peer_digest{make_process_id("e"),
                                                      {{1'000'000}, {~0ULL}},
                                                      std::chrono::seconds{1},
                                                      {~0U, 60'000},
                                                      true})
                                .size());
}
BENCHMARK(codec_reads_and_writes);

}  // namespace

}  // namespace lagoon

int main(int count, char** arguments)
{
    if (sodium_init() < 0)
        return 1;
    benchmark::Initialize(&count, arguments);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
