#include "telemetry/metrics.hpp"

#include <boost/histogram.hpp>

namespace lagoon {

namespace bh = boost::histogram;

namespace {

// Nine buckets a decade keep a quantile's error below 30%.
constexpr unsigned inner_buckets = latency_bucket_count - 2;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram =
    decltype(bh::make_histogram(std::declval<latency_axis>()));

latency_axis make_axis()
{
    return {inner_buckets, shortest_latency, longest_latency};
}

double milliseconds_of(duration span)
{
    return static_cast<double>(span.count()) / 1000.0;
}

// Underflow first, overflow last.
latency_counts counts_of(latency_histogram const& histogram)
{
    latency_counts counts{};
    for (std::size_t i = 0; i < latency_bucket_count; ++i)
        counts[i] =
            static_cast<std::uint64_t>(histogram.at(static_cast<int>(i) - 1));
    return counts;
}

}  // namespace

double latency_bucket_end(std::size_t bucket)
{
    return make_axis().bin(static_cast<int>(bucket) - 1).upper();
}

struct process_metrics::histograms
{
    std::uint64_t finished = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    latency_histogram total = bh::make_histogram(make_axis());
    latency_histogram waited = bh::make_histogram(make_axis());
};

process_metrics::process_metrics() = default;
process_metrics::~process_metrics() = default;

void process_metrics::settled(service_id service, request_state state,
                              duration waited, duration total)
{
    histograms& known = this->by_service[service];
    if (state == request_state::not_run) {
        ++known.not_run;
        return;
    }
    if (state != request_state::finished) {
        ++known.unknown;
        return;
    }
    ++known.finished;
    known.total(milliseconds_of(total));
    known.waited(milliseconds_of(waited));
}

void process_metrics::failed(failure const& what)
{
    ++this->by_failure[what.failed_step][what.cause];
}

std::vector<service_metrics> process_metrics::services() const
{
    std::vector<service_metrics> all;
    for (auto const& [service, known] : this->by_service)
        all.push_back({service, known.finished, known.not_run, known.unknown,
                       counts_of(known.total), counts_of(known.waited)});
    return all;
}

std::vector<failure_count> process_metrics::failures() const
{
    std::vector<failure_count> all;
    for (auto const& [at, reasons] : this->by_failure)
        for (auto const& [why, count] : reasons)
            all.push_back({at, why, count});
    return all;
}

}  // namespace lagoon
