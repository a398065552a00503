// The short main that all processes share.
//
// Index
//   run_process   parse, check, open, run; ends with the exit code
#pragma once

#include "base/failure.hpp"
#include "loop/signals.hpp"
#include "programs/command_line.hpp"
#include "programs/settings.hpp"
#include "telemetry/logging.hpp"

#include <cstdlib>
#include <iostream>
#include <sodium.h>

namespace lagoon {

// ---- run_process --------------------------------------------------------

// `about` names the program and where its settings are looked for. `parse`
// makes settings of a text, `make` a program of settings.
namespace detail {

template <class Parse, class Make>
int run_to_end(int count, char** arguments, program_info const& about,
               Parse parse, Make make)
{
    int exit_code = exit_success;
    std::optional<command_line_options> const start =
        read_command_line(count, arguments, about, exit_code);
    if (!start)
        return exit_code;
    json_checker checker{start->settings_file};
    auto const settings = parse(checker, start->settings_text);
    if (!settings) {
        print_problems(checker.problems());
        return exit_bad_input;
    }
    if (start->is_check_only) {
        std::cout << start->settings_file << ": good\n";
        return exit_success;
    }
    if (sodium_init() < 0)
        return exit_failure;
    log_identity const identity = make_log_identity(*settings);
    start_logging(identity.level, identity.process);
    catch_stop_signals();
    auto program = make(*settings);
    if constexpr (requires { program.watch_settings(*start); }) {
        catch_reload_signal();
        program.watch_settings(*start);
    }
    failure last;
    if (!program.open(last)) {
        std::cerr << about.name << ": " << to_text(last) << '\n';
        return exit_failure;
    }
    program.run();
    return program.is_stop_forced() ? exit_forced_stop : exit_success;
}

}  // namespace detail

// Doesn't return. Libraries that wait for threads at their static end have
// kept a stopped process alive until it was killed, so that end is left out.
template <class Parse, class Make>
[[noreturn]] void run_process(int count, char** arguments,
                              program_info const& about, Parse parse, Make make)
{
    int const code = detail::run_to_end(count, arguments, about, parse, make);
    std::cout.flush();
    flush_logs();
    std::quick_exit(code);
}

}  // namespace lagoon
