#include "telemetry/metrics.hpp"

#include <boost/histogram.hpp>

namespace lagoon {

namespace bh = boost::histogram;

namespace {

// Nine buckets per decade keep the error of a quantile below 30%.
constexpr unsigned bounded_bucket_count = latency_bucket_count - 2;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using log_histogram =
    decltype(bh::make_histogram(std::declval<latency_axis>()));

latency_axis make_axis()
{
    return {bounded_bucket_count, min_latency_ms, max_latency_ms};
}

double to_milliseconds(duration span)
{
    return static_cast<double>(span.count()) / 1000.0;
}

// Copies the counts, with the underflow bucket first and the overflow bucket
// last.
latency_counts to_counts(log_histogram const& histogram)
{
    latency_counts counts{};
    for (std::size_t i = 0; i < latency_bucket_count; ++i)
        counts[i] =
            static_cast<std::uint64_t>(histogram.at(static_cast<int>(i) - 1));
    return counts;
}

}  // namespace

double latency_bucket_upper_edge(std::size_t bucket)
{
    return make_axis().bin(static_cast<int>(bucket) - 1).upper();
}

struct process_metrics::service_record
{
    std::uint64_t finished = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    log_histogram total_time = bh::make_histogram(make_axis());
    log_histogram wait_time = bh::make_histogram(make_axis());
};

process_metrics::process_metrics() = default;
process_metrics::~process_metrics() = default;

void process_metrics::record_request(service_id service, request_state state,
                                     duration wait_time, duration total_time)
{
    service_record& record = this->by_service[service];
    if (state == request_state::not_run) {
        ++record.not_run;
        return;
    }
    if (state != request_state::finished) {
        ++record.unknown;
        return;
    }
    ++record.finished;
    record.total_time(to_milliseconds(total_time));
    record.wait_time(to_milliseconds(wait_time));
}

void process_metrics::record_failure(failure const& error)
{
    ++this->by_failure[error.failed_step][error.cause];
}

std::vector<service_metrics> process_metrics::services() const
{
    std::vector<service_metrics> services;
    for (auto const& [service, record] : this->by_service)
        services.push_back({service, record.finished, record.not_run,
                            record.unknown, to_counts(record.total_time),
                            to_counts(record.wait_time)});
    return services;
}

std::vector<failure_count> process_metrics::failures() const
{
    std::vector<failure_count> failures;
    for (auto const& [failed_step, causes] : this->by_failure)
        for (auto const& [cause, count] : causes)
            failures.push_back({failed_step, cause, count});
    return failures;
}

}  // namespace lagoon
