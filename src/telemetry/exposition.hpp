// Formats counters, gauges and latency histograms in the Prometheus exposition
// format.
//
// Index
//   labelled_count      one counter of a metric family
//   latency_histogram   histogram with fixed buckets, based on Boost.Histogram
//   exposition_writer   builds the text
#pragma once

#include "base/values.hpp"

#include <boost/histogram.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace lagoon {

// ---- labelled_count -----------------------------------------------------

struct labelled_count
{
    std::string label = {};
    std::uint64_t count = 0;
    auto operator<=>(labelled_count const&) const = default;
};

// ---- latency_histogram --------------------------------------------------

class latency_histogram
{
public:
    latency_histogram();

    void add(duration span);

    // Returns the count up to the upper edge of each bucket. The label is the
    // edge in seconds, "+Inf" for the last bucket.
    std::vector<labelled_count> cumulative_counts() const;
    double sum_seconds() const;

private:
    using axis = boost::histogram::axis::variable<double>;
    using histogram =
        decltype(boost::histogram::make_histogram(std::declval<axis>()));

    histogram counts;
    double sum = 0;  // seconds
};

// ---- exposition_writer --------------------------------------------------

class exposition_writer
{
public:
    // Each adds a metric family and returns the writer. `label` is the name of
    // a label; `counts` has one counter for each of its values.
    exposition_writer& add_counters(std::string_view family,
                                    std::string_view label,
                                    std::vector<labelled_count> const& counts);
    exposition_writer& add_gauge(std::string_view name, double value);

    // Adds a gauge of value 1 for each value of the label.
    exposition_writer& add_flags(std::string_view family,
                                 std::string_view label,
                                 std::vector<std::string> const& values);
    exposition_writer& add_histogram(std::string_view name,
                                     latency_histogram const& values);

    std::string get_text() const;

private:
    std::string text = {};
};

}  // namespace lagoon
