// Expected number of requests that the open connections of a back end run at
// once. Connections without a current request do not show in the momentary
// load, although their callers will send requests again.
//
// Index
//   load_sample     the momentary state
//   expected_load   the aggregate
#pragma once

#include "base/values.hpp"

#include <cmath>
#include <cstddef>
#include <cstdint>

namespace lagoon {

// ---- load_sample --------------------------------------------------------

struct load_sample
{
    std::size_t running = 0;           // requests
    std::size_t open_connections = 0;  // that may carry further requests
    auto operator<=>(load_sample const&) const = default;
};

// ---- expected_load ------------------------------------------------------

// The mean covers the last complete period and the current one, that is one to
// two seconds.
constexpr duration load_period = std::chrono::seconds{1};

// Load pattern: callers keep their connections open and pause between
// requests. New connections are placed while most of the open ones pause.
//
// The mean number running per open connection, weighted by time, multiplied by
// the number of connections that are open now.
class expected_load
{
public:
    explicit expected_load(time_point now) : period_start(now), updated_at(now)
    {
    }

    // To be called after each change of the state with the new state.
    void record(load_sample const& sample, time_point now)
    {
        this->advance(now);
        this->sample = sample;
    }

    std::uint32_t estimate(time_point now) const
    {
        expected_load advanced = *this;
        advanced.advance(now);
        double const connection_time = advanced.previous.connection_time +
                                       advanced.current.connection_time;
        if (connection_time <= 0)
            return 0;
        double const running_time =
            advanced.previous.running_time + advanced.current.running_time;
        return static_cast<std::uint32_t>(
            std::lround(running_time / connection_time *
                        static_cast<double>(this->sample.open_connections)));
    }

private:
    // Integrals over time, in microseconds.
    struct load_integral
    {
        double running_time = 0;
        double connection_time = 0;
        auto operator<=>(load_integral const&) const = default;
    };

    void advance(time_point now)
    {
        if (now - this->period_start >= 2 * load_period) {
            // The state was constant for more than a period.
            this->previous = this->integrate(load_period);
            this->current = {};
            this->period_start = now;
            this->updated_at = now;
            return;
        }
        time_point const period_end = this->period_start + load_period;
        if (now >= period_end) {
            this->add(period_end - this->updated_at);
            this->previous = this->current;
            this->current = {};
            this->period_start = period_end;
            this->updated_at = period_end;
        }
        this->add(now - this->updated_at);
        this->updated_at = now;
    }

    void add(duration span)
    {
        load_integral const added = this->integrate(span);
        this->current.running_time += added.running_time;
        this->current.connection_time += added.connection_time;
    }

    load_integral integrate(duration span) const
    {
        auto const time = static_cast<double>(span.count());
        return {static_cast<double>(this->sample.running) * time,
                static_cast<double>(this->sample.open_connections) * time};
    }

    load_sample sample = {};
    load_integral previous = {};  // of the last complete period
    load_integral current = {};
    time_point period_start;
    time_point updated_at;
};

}  // namespace lagoon
