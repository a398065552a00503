// Shared body of the processes' main functions.
//
// Index
//   run_process   parses the settings, runs the program and exits
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

namespace detail {

// Returns an exit code of command_line.hpp.
template <class Parse, class Make>
int run_program(int argc, char** argv, program_info const& info, Parse parse,
                Make make)
{
    int exit_code = exit_success;
    std::optional<command_line_options> const options =
        read_command_line(argc, argv, info, exit_code);
    if (!options)
        return exit_code;
    json_checker checker{options->settings_file};
    auto const settings = parse(checker, options->settings_text);
    if (!settings) {
        print_problems(checker.problems());
        return exit_bad_input;
    }
    if (options->is_check_only) {
        std::cout << options->settings_file << ": valid\n";
        return exit_success;
    }
    if (sodium_init() < 0)
        return exit_failure;
    log_identity const identity = make_log_identity(*settings);
    start_logging(identity.level, identity.process);
    install_stop_handlers();
    auto program = make(*settings);
    if constexpr (requires { program.watch_settings(*options); }) {
        install_reload_handler();
        program.watch_settings(*options);
    }
    failure error;
    if (!program.open(error)) {
        std::cerr << info.name << ": " << to_text(error) << '\n';
        return exit_failure;
    }
    program.run();
    return program.is_stop_forced() ? exit_forced_stop : exit_success;
}

}  // namespace detail

// `parse` turns the text of a settings file into settings, reporting errors to
// a json_checker; `make` constructs the program from them.
//
// Does not return. Exits without running static destructors: libraries that
// join threads in theirs kept a stopped process alive until it was killed.
template <class Parse, class Make>
[[noreturn]] void run_process(int argc, char** argv, program_info const& info,
                              Parse parse, Make make)
{
    int const code = detail::run_program(argc, argv, info, parse, make);
    std::cout.flush();
    flush_logs();
    std::quick_exit(code);
}

}  // namespace lagoon
