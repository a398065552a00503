// Metrics of a process: outcomes and latencies of requests by service, and
// failures by step and reason. Histograms are based on Boost.Histogram.
//
// Index
//   latency_buckets   the buckets that all latency histograms share
//   service_metrics   metrics of one service
//   failure_count     failures of one kind
//   process_metrics   collects the metrics
#pragma once

#include "base/failure.hpp"
#include "protocol/messages.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace lagoon {

// ---- latency_buckets ----------------------------------------------------

constexpr std::size_t latency_bucket_count = 56;  // with under- and overflow
constexpr double min_latency_ms = 0.1;
constexpr double max_latency_ms = 100'000.0;

// Returns the upper edge of a bucket in milliseconds, infinity for the last.
double latency_bucket_upper_edge(std::size_t bucket);

using latency_counts = std::array<std::uint64_t, latency_bucket_count>;

// ---- service_metrics ----------------------------------------------------

struct service_metrics
{
    service_id service = {};
    std::uint64_t finished = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    latency_counts total_time = {};  // arrival to end of finished requests
    latency_counts wait_time = {};   // arrival to start of finished requests
    auto operator<=>(service_metrics const&) const = default;
};

// ---- failure_count ------------------------------------------------------

struct failure_count
{
    step failed_step = step::none;
    reason cause = reason::none;
    std::uint64_t count = 0;
    auto operator<=>(failure_count const&) const = default;
};

// ---- process_metrics ----------------------------------------------------

class process_metrics
{
public:
    process_metrics();
    ~process_metrics();

    void record_request(service_id service, request_state state,
                        duration wait_time, duration total_time);
    void record_failure(failure const& error);

    std::vector<service_metrics> services() const;
    std::vector<failure_count> failures() const;

private:
    struct service_record;
    std::map<service_id, service_record> by_service;
    std::map<step, std::map<reason, std::uint64_t>> by_failure = {};
};

}  // namespace lagoon
