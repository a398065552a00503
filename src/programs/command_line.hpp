// Command line shared by the long-running programs.
//
// Index
//   exit codes             documented in docs/OPERATORS.md
//   program_info           name and default settings file of a program
//   command_line_options   parsed command line
//   read_command_line      parses it and reads the settings file
//   print_problems         prints errors of an input file
//   parse_file             reads and parses any other input file
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
constexpr int exit_failure = 1;      // failed at run time
constexpr int exit_bad_input = 2;    // invalid settings, sheet or arguments
constexpr int exit_forced_stop = 3;  // ended at once, by a second SIGINT

constexpr char const* program_version = "0.1.0";

// ---- program_info -------------------------------------------------------

struct program_info
{
    std::string name = {};
    std::string default_settings_path = {};  // empty: --settings is required
    auto operator<=>(program_info const&) const = default;
};

// ---- command_line_options -----------------------------------------------

struct command_line_options
{
    std::string settings_file = {};
    std::string settings_text = {};
    bool is_check_only = false;
    auto operator<=>(command_line_options const&) const = default;
};

// ---- read_command_line --------------------------------------------------

// Parses the command line and reads the settings file. Returns nothing and
// sets `exit_code` when the program should exit: after printing the help or the
// version, or after printing an error.
std::optional<command_line_options> read_command_line(int argc, char** argv,
                                                      program_info const& info,
                                                      int& exit_code);

// ---- print_problems -----------------------------------------------------

// Prints one line per problem to standard error.
void print_problems(std::vector<json_problem> const& problems);

// ---- parse_file ---------------------------------------------------------

// Reads and parses a file. Prints problems to standard error; returns nothing
// if the file cannot be read or is invalid. `program` prefixes the message.
template <class Parse>
auto parse_file(std::string const& program, std::string const& path,
                Parse parse)
    -> decltype(parse(std::declval<json_checker&>(), path))
{
    std::optional<std::string> const text = read_file(path);
    if (!text) {
        std::cerr << program << ": " << path << ": cannot read file\n";
        return std::nullopt;
    }
    json_checker checker{path};
    auto const value = parse(checker, *text);
    print_problems(checker.problems());
    return value;
}

}  // namespace lagoon
