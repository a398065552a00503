// The settings file of a process that runs: read again on SIGHUP, and now and
// then, since it may change without a signal.
//
// Index
//   settings_watcher   the file, as last read
//   parse_changed_settings    its settings, or what is wrong with them
#pragma once

#include "membership/adoption.hpp"
#include "programs/command_line.hpp"

#include <optional>
#include <string>

namespace lagoon {

// How often the file is looked at unasked. Nothing in it is urgent.
constexpr duration settings_poll_interval = std::chrono::seconds{5};

// ---- settings_watcher -----------------------------------------------------

class settings_watcher
{
public:
    // Begins with what the process has started with.
    void begin(command_line_options const& start, time_point now);

    // The file's text, when it is another than before. A file that can't be
    // read counts as unchanged: it is being replaced.
    std::optional<std::string> changed(int reload_signals, time_point now);

private:
    std::string path = {};
    std::string text = {};
    int signals_seen = 0;
    time_point looked_at = {};
};

// ---- parse_changed_settings ------------------------------------------------------

// Each problem goes to `report`, as a note_failure.
template <class Parse, class Report>
auto parse_changed_settings(std::string const& text, Parse parse, Report report)
    -> decltype(parse(std::declval<json_checker&>(), text))
{
    json_checker checker{"settings"};
    auto const next = parse(checker, text);
    for (json_problem const& problem : checker.problems())
        report(note_failure{
            {step::read_settings, reason::malformed, {}, to_text(problem)}});
    return next;
}

}  // namespace lagoon
