// Watches the settings file of a running process. The file is read again on
// SIGHUP and at a fixed interval, since it may change without a signal.
//
// Index
//   settings_watcher         detects changes of the file
//   parse_changed_settings   parses the new text, reports errors as failures
#pragma once

#include "membership/adoption.hpp"
#include "programs/command_line.hpp"

#include <optional>
#include <string>

namespace lagoon {

// Interval of reads without a signal. No setting needs to apply sooner.
constexpr duration settings_poll_interval = std::chrono::seconds{5};

// ---- settings_watcher ---------------------------------------------------

class settings_watcher
{
public:
    // Starts from the text that the process was started with.
    void start(command_line_options const& options, time_point now);

    // Returns the text of the file if it has changed since the last call, else
    // nothing. `reload_signals` is the number of SIGHUPs so far. A file that
    // cannot be read counts as unchanged, since it may be being replaced.
    std::optional<std::string> poll(int reload_signals, time_point now);

private:
    std::string path = {};
    std::string text = {};
    int seen_signal_count = 0;
    time_point last_read_at = {};
};

// ---- parse_changed_settings ---------------------------------------------

// Calls `report` with a report_failure for each problem. Returns nothing if the
// text is invalid.
template <class Parse, class Report>
auto parse_changed_settings(std::string const& text, Parse parse, Report report)
    -> decltype(parse(std::declval<json_checker&>(), text))
{
    json_checker checker{"settings"};
    auto const next = parse(checker, text);
    for (json_problem const& problem : checker.problems())
        report(report_failure{
            {step::read_settings, reason::malformed, {}, to_text(problem)}});
    return next;
}

}  // namespace lagoon
