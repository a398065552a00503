#include "telemetry/exposition.hpp"

#include <array>
#include <cstdio>

namespace lagoon {

namespace {

// Seconds, from a round trip within a data centre to the longest deadline.
constexpr std::array<double, 12> bucket_edges{
    0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0};

std::string format_number(double value)
{
    std::array<char, 32> digits{};
    int const size = std::snprintf(digits.data(), digits.size(), "%.6g", value);
    return {digits.data(), static_cast<std::size_t>(size)};
}

// Escapes the characters that end a label's value or its line.
std::string escape_label(std::string const& value)
{
    std::string escaped;
    for (char const character : value) {
        if (character == '\n') {
            escaped += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
            escaped += '\\';
        escaped += character;
    }
    return escaped;
}

}  // namespace

latency_histogram::latency_histogram()
    : counts(boost::histogram::make_histogram(
          axis(bucket_edges.begin(), bucket_edges.end())))
{
}

void latency_histogram::add(duration span)
{
    double const seconds = static_cast<double>(span.count()) / 1e6;
    this->counts(seconds);
    this->sum += seconds;
}

std::vector<labelled_count> latency_histogram::cumulative_counts() const
{
    std::vector<labelled_count> buckets;
    std::uint64_t total = 0;
    auto const bins = static_cast<int>(bucket_edges.size()) - 1;
    for (int i = 0; i < bins; ++i) {
        total += static_cast<std::uint64_t>(this->counts.at(i));
        buckets.push_back(
            {format_number(bucket_edges[static_cast<std::size_t>(i) + 1]),
             total});
    }
    buckets.push_back(
        {"+Inf", total + static_cast<std::uint64_t>(this->counts.at(bins))});
    return buckets;
}

double latency_histogram::sum_seconds() const
{
    return this->sum;
}

exposition_writer&
exposition_writer::add_counters(std::string_view family, std::string_view label,
                                std::vector<labelled_count> const& counts)
{
    this->text += "# TYPE " + std::string{family} + " counter\n";
    for (labelled_count const& counter : counts)
        this->text += std::string{family} + "{" + std::string{label} + "=\"" +
                      counter.label + "\"} " + std::to_string(counter.count) +
                      "\n";
    return *this;
}

exposition_writer& exposition_writer::add_gauge(std::string_view name,
                                                double value)
{
    this->text += "# TYPE " + std::string{name} + " gauge\n" +
                  std::string{name} + " " + format_number(value) + "\n";
    return *this;
}

exposition_writer&
exposition_writer::add_flags(std::string_view family, std::string_view label,
                             std::vector<std::string> const& values)
{
    this->text += "# TYPE " + std::string{family} + " gauge\n";
    for (std::string const& value : values)
        this->text += std::string{family} + "{" + std::string{label} + "=\"" +
                      escape_label(value) + "\"} 1\n";
    return *this;
}

exposition_writer&
exposition_writer::add_histogram(std::string_view name,
                                 latency_histogram const& values)
{
    std::string const family{name};
    std::vector<labelled_count> const buckets = values.cumulative_counts();
    this->text += "# TYPE " + family + " histogram\n";
    for (labelled_count const& bucket : buckets)
        this->text += family + "_bucket{le=\"" + bucket.label + "\"} " +
                      std::to_string(bucket.count) + "\n";
    this->text += family + "_sum " + format_number(values.sum_seconds()) + "\n";
    this->text +=
        family + "_count " + std::to_string(buckets.back().count) + "\n";
    return *this;
}

std::string exposition_writer::get_text() const
{
    return this->text;
}

}  // namespace lagoon
