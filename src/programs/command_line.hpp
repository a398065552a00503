// The command line that the long-running programs share.
//
// Index
//   exit codes      documented in docs/OPERATORS.md
//   program_about   the program's name and where its settings are
//   process_start   what the command line asks for
//   read_command_line
//   read_checked      a document that another option names
#pragma once

#include "documents/checked_json.hpp"
#include "documents/files.hpp"

#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- exit codes ---------------------------------------------------------

constexpr int exit_good = 0;
constexpr int exit_failed = 1;     // it ran and couldn't do its work
constexpr int exit_bad_input = 2;  // settings, sheet or arguments are wrong
constexpr int exit_cut_off = 3;    // stopped at once, by a second signal

constexpr char const* program_version = "0.1.0";

// ---- program_about ------------------------------------------------------

struct program_about
{
    std::string name = {};
    std::string usual_settings = {};  // a file; empty: must be given
    auto operator<=>(program_about const&) const = default;
};

// ---- process_start ------------------------------------------------------

struct process_start
{
    std::string settings_file = {};
    std::string settings_text = {};
    bool only_check = false;
    auto operator<=>(process_start const&) const = default;
};

// ---- read_command_line --------------------------------------------------

// Prints help, the version or what is wrong; then `exit_code` is set and
// nothing is returned.
std::optional<process_start> read_command_line(int count, char** arguments,
                                               program_about const& about,
                                               int& exit_code);

// One line each on standard error.
void print_problems(std::vector<json_problem> const& problems);

// ---- read_checked -------------------------------------------------------

// Reads a file and parses it; says on standard error what is wrong.
template <class Parse>
auto read_checked(std::string const& program, std::string const& path,
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
