// Predicts the running time of a request from the time that its caller
// declared and from the times of earlier requests of the same kind.
//
// Index
//   running_time_predictor       the concept
//   declared_time_predictor      the baseline: the declared time
//   recent_ratio_predictor       declared time multiplied by the largest of
//                                the last five ratios of actual to declared
//                                time, by caller and path (Klusacek and
//                                Soysal, Walltime Prediction, formula 2)
//   max_path_time_predictor      largest of the last five times of a path
//   median_path_time_predictor   median of the last five times of a path
#pragma once

#include "base/values.hpp"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace lagoon {

// ---- running_time_predictor ---------------------------------------------

struct request_class
{
    caller_id caller = {};
    std::uint64_t path_hash = 0;
    duration declared_time = {};
    auto operator<=>(request_class const&) const = default;
};

template <class P>
concept running_time_predictor = requires(P predictor, P const& const_predictor,
                                          request_class kind, duration actual)
{
    {
        const_predictor.predict(kind)
        } -> std::same_as<duration>;
    predictor.observe(kind, actual);
};

// For a request without a declared time.
constexpr duration default_running_time = std::chrono::milliseconds{20};

// ---- declared_time_predictor --------------------------------------------

class declared_time_predictor
{
public:
    duration predict(request_class const& kind) const
    {
        return kind.declared_time > duration{} ? kind.declared_time
                                               : default_running_time;
    }

    void observe(request_class const&, duration) {}
};

// ---- recent_ratio_predictor ---------------------------------------------

namespace detail {

constexpr std::size_t max_recent_values = 5;  // observations per kind
constexpr std::size_t max_kinds = 4096;       // entries of a table

struct recent_values
{
    std::array<double, max_recent_values> values = {};
    std::size_t observed_count = 0;
    auto operator<=>(recent_values const&) const = default;

    double largest() const
    {
        std::size_t const count =
            std::min(this->observed_count, max_recent_values);
        return *std::max_element(this->values.begin(),
                                 this->values.begin() +
                                     static_cast<std::ptrdiff_t>(count));
    }

    double median() const
    {
        std::array<double, max_recent_values> sorted = this->values;
        auto const count = static_cast<std::ptrdiff_t>(
            std::min(this->observed_count, max_recent_values));
        std::sort(sorted.begin(), sorted.begin() + count);
        return sorted[static_cast<std::size_t>(count) / 2];
    }

    recent_values with_value(double value) const
    {
        recent_values next = *this;
        next.values[next.observed_count % max_recent_values] = value;
        ++next.observed_count;
        return next;
    }
};

class recent_table
{
public:
    recent_values const* find(std::uint64_t key) const
    {
        auto const found = this->kinds.find(key);
        return found == this->kinds.end() ? nullptr : &found->second;
    }

    void observe(std::uint64_t key, double value)
    {
        if (this->kinds.size() >= max_kinds && !this->kinds.contains(key))
            this->kinds.erase(this->kinds.begin());
        recent_values& recent = this->kinds[key];
        recent = recent.with_value(value);
    }

private:
    std::unordered_map<std::uint64_t, recent_values> kinds = {};
};

}  // namespace detail

class recent_ratio_predictor
{
public:
    duration predict(request_class const& kind) const
    {
        duration const declared_time = declared_time_predictor{}.predict(kind);
        detail::recent_values const* recent = this->table.find(make_key(kind));
        if (recent == nullptr)
            return declared_time;
        double const predicted_time =
            static_cast<double>(declared_time.count()) * recent->largest();
        return duration{static_cast<std::int64_t>(predicted_time)};
    }

    void observe(request_class const& kind, duration actual)
    {
        duration const declared_time = declared_time_predictor{}.predict(kind);
        this->table.observe(make_key(kind),
                            static_cast<double>(actual.count()) /
                                static_cast<double>(declared_time.count()));
    }

private:
    static std::uint64_t make_key(request_class const& kind)
    {
        return hash_pair(kind.caller.value, kind.path_hash);
    }

    detail::recent_table table = {};
};

// ---- max_path_time_predictor, median_path_time_predictor ----------------

namespace detail {

// Predicts a statistic of the recent running times of the path.
template <double (recent_values::*Statistic)() const> class path_time_predictor
{
public:
    duration predict(request_class const& kind) const
    {
        recent_values const* recent = this->table.find(kind.path_hash);
        if (recent == nullptr)
            return declared_time_predictor{}.predict(kind);
        return duration{static_cast<std::int64_t>((recent->*Statistic)())};
    }

    void observe(request_class const& kind, duration actual)
    {
        this->table.observe(kind.path_hash,
                            static_cast<double>(actual.count()));
    }

private:
    recent_table table = {};
};

}  // namespace detail

using max_path_time_predictor =
    detail::path_time_predictor<&detail::recent_values::largest>;
using median_path_time_predictor =
    detail::path_time_predictor<&detail::recent_values::median>;

static_assert(running_time_predictor<declared_time_predictor>);
static_assert(running_time_predictor<recent_ratio_predictor>);
static_assert(running_time_predictor<max_path_time_predictor>);
static_assert(running_time_predictor<median_path_time_predictor>);

}  // namespace lagoon
