// Logging of JSON lines to standard output. Lines about requests are limited to
// a number per second. Logging never blocks: lines that a full pipe doesn't
// accept are dropped and counted.
//
// Index
//   start_logging   call once in every program
//   flush_logs      call on every tick
//   component_log   the log of one component, with a limit of lines per second
#pragma once

#include "telemetry/log_line.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoon {

// ---- start_logging ------------------------------------------------------

// Levels: "debug", "info", "warn", "error". Returns false for any other text.
// Every line contains the name in `process`.
bool start_logging(std::string const& level, std::string const& process);

// ---- flush_logs ---------------------------------------------------------

// Writes buffered lines as far as standard output accepts them.
void flush_logs();

// ---- component_log ------------------------------------------------------

// Lines about single requests are suppressed above this rate, and counted.
// Lines about the state of the process are not limited.
constexpr std::uint32_t default_lines_per_second = 150;

class component_log
{
public:
    explicit component_log(std::string_view component);  // such as "entry"

    void set_budget(std::uint32_t lines_per_second);

    void debug(std::string const& message) const;
    void info(std::string const& message) const;
    void warn(std::string const& message) const;
    void error(std::string const& message) const;

    // Writes a line whatever the limit is.
    void write(log_line const& line) const;

    // Returns whether a line about a request may be written now, and counts it.
    // Call it before the line is built, to save the cost of a suppressed line.
    bool try_reserve_line(time_point now);

    // Logs the number of suppressed lines once a second and flushes the logs.
    // Call it on every tick.
    void on_tick(time_point now);

private:
    std::string component;
    std::uint32_t lines_per_second_limit = default_lines_per_second;
    std::uint32_t remaining_lines = default_lines_per_second;  // in this second
    std::uint64_t suppressed_lines = 0;
    time_point second_started_at = {};
};

}  // namespace lagoon
