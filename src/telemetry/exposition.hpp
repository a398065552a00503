// Counters and latency histograms as text in the Prometheus exposition format.
//
// Index
//   named_count          one counter of a family
//   latency_histogram    fixed buckets, on Boost.Histogram
//   exposition           builds the text
#pragma once

#include "base/values.hpp"

#include <boost/histogram.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace lagoon {

// ---- named_count --------------------------------------------------------

struct named_count
{
    std::string label = {};
    std::uint64_t count = 0;
    auto operator<=>(named_count const&) const = default;
};

// ---- latency_histogram --------------------------------------------------

class latency_histogram
{
public:
    latency_histogram();

    void add(duration span);

    // Upper edge in seconds, and the count up to it; the last has no edge.
    std::vector<named_count> cumulative() const;
    double sum_seconds() const;

private:
    using axis = boost::histogram::axis::variable<double>;
    using histogram =
        decltype(boost::histogram::make_histogram(std::declval<axis>()));

    histogram counts;
    double sum = 0;  // seconds
};

// ---- exposition ---------------------------------------------------------

class exposition
{
public:
    exposition& counters(std::string_view family, std::string_view label,
                         std::vector<named_count> const& counts);
    exposition& gauge(std::string_view name, double value);
    exposition& histogram(std::string_view name,
                          latency_histogram const& values);

    std::string take() const;

private:
    std::string text = {};
};

}  // namespace lagoon
