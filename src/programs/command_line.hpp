// The command line that the long-running programs share.
//
// Index
//   exit codes      documented in docs/OPERATORS.md
//   program_info   the program's name and where its settings are
//   command_line_options   what the command line asks for
//   read_command_line
//   parse_file      a document that another option names
#pragma once

#include "documents/checked_json.hpp"
#include "documents/files.hpp"

#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- exit codes ---------------------------------------------------------

constexpr int exit_success = 0;
constexpr int exit_failure = 1;      // it ran and couldn't do its work
constexpr int exit_bad_input = 2;    // settings, sheet or arguments are wrong
constexpr int exit_forced_stop = 3;  // stopped at once, by a second signal

constexpr char const* program_version = "0.1.0";

// ---- program_info ------------------------------------------------------

struct program_info
{
    std::string name = {};
    std::string default_settings_path = {};  // a file; empty: must be given
    auto operator<=>(program_info const&) const = default;
};

// ---- command_line_options ------------------------------------------------------

struct command_line_options
{
    std::string settings_file = {};
    std::string settings_text = {};
    bool is_check_only = false;
    auto operator<=>(command_line_options const&) const = default;
};

// ---- read_command_line --------------------------------------------------

// Prints help, the version or what is wrong; then `exit_code` is set and
// nothing is returned.
std::optional<command_line_options> read_command_line(int count,
                                                      char** arguments,
                                                      program_info const& about,
                                                      int& exit_code);

// One line each on standard error.
void print_problems(std::vector<json_problem> const& problems);

// ---- parse_file -------------------------------------------------------

// Reads a file and parses it; says on standard error what is wrong.
template <class Parse>
auto parse_file(std::string const& program, std::string const& path,
                Parse parse)
    -> decltype(parse(std::declval<json_checker&>(), path))
{
    std::optional<std::string> const text = read_file(path);
    if (!text) {
        std::cerr << program << ": " << path << ": can't be read\n";
        return std::nullopt;
    }
    json_checker checker{path};
    auto const value = parse(checker, *text);
    print_problems(checker.problems());
    return value;
}

}  // namespace lagoon
