// Logs: structured lines on standard output, one JSON object each. They are
// bounded by a budget of lines a second and never block: what a full pipe
// doesn't take is dropped and counted.
//
// Index
//   start_logging   once in a program
//   flush_logs      on every tick
//   component_log        the log of one part, with its budget
#pragma once

#include "telemetry/log_line.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace lagoon {

// ---- start_logging ------------------------------------------------------

// Levels: "debug", "info", "warn", "error". Returns false for another text.
// `process` stands in every line.
bool start_logging(std::string const& level, std::string const& process);

// ---- flush_logs ---------------------------------------------------------

// Writes what is buffered, as far as standard output takes it.
void flush_logs();

// ---- component_log ------------------------------------------------------

// Lines about single requests beyond this are left out and counted; those
// about what the process believes always go.
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

    // A line about the process itself.
    void write(log_line const& line) const;

    // Whether a line about a request may be written now. Asked first, so that
    // nothing is spent on a line that isn't written.
    bool try_reserve_line(time_point now);

    // Says what was left out; call it on every tick.
    void on_tick(time_point now);

private:
    std::string component;
    std::uint32_t lines_per_second_limit = default_lines_per_second;
    std::uint32_t remaining_lines = default_lines_per_second;  // in this second
    std::uint64_t suppressed_lines = 0;
    time_point second_started_at = {};
};

}  // namespace lagoon
