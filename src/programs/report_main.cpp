// lagoon-report: how fast the objectives of routes burn their error budgets,
// from log lines. Exit codes: 0 no budget is used up, 1 one is, 2 bad input.

#include "programs/command_line.hpp"
#include "report/burn.hpp"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace lagoon {

namespace {

namespace po = boost::program_options;

po::options_description described()
{
    po::options_description options{
        "Usage: lagoon-report --settings FILE [--log FILE...]\n\nOptions"};
    options.add_options()("help", "print this text")("version",
                                                     "print the version")(
        "settings", po::value<std::string>()->required(),
        "objectives, JSON with comments")("check-settings",
                                          "check the settings file and exit")(
        "log", po::value<std::vector<std::string>>()->multitoken(),
        "log lines of entries and targets; else standard input");
    return options;
}

void read_lines(std::istream& from, outcome_reader& reader, burn_report& report)
{
    std::string line;
    while (std::getline(from, line))
        if (std::optional<logged_outcome> const one = reader.read(line))
            report.add(*one);
}

int print_report(report_settings const& settings, outcome_reader const& reader,
                 burn_report const& report)
{
    bool is_used_up = false;
    for (burn_row const& row : report.rows()) {
        std::cout << to_text(row, settings) << '\n';
        is_used_up = is_used_up || row.budget_used > 1;
    }
    std::cout << "lines left out by their processes: " << reader.left_out()
              << ", not read: " << reader.unreadable() << '\n';
    return is_used_up ? exit_failure : exit_success;
}

int run(po::variables_map const& given)
{
    std::optional<report_settings> const settings =
        parse_file("lagoon-report", given["settings"].as<std::string>(),
                   parse_report_settings);
    if (!settings)
        return exit_bad_input;
    if (given.count("check-settings") != 0)
        return exit_success;
    outcome_reader reader;
    burn_report report{*settings};
    if (given.count("log") == 0) {
        read_lines(std::cin, reader, report);
        return print_report(*settings, reader, report);
    }
    for (std::string const& path :
         given["log"].as<std::vector<std::string>>()) {
        std::ifstream file{path};
        if (!file) {
            std::cerr << "lagoon-report: " << path << ": can't be read\n";
            return exit_bad_input;
        }
        read_lines(file, reader, report);
    }
    return print_report(*settings, reader, report);
}

}  // namespace
}  // namespace lagoon

int main(int count, char** arguments)
{
    namespace po = boost::program_options;
    po::options_description const options = lagoon::described();
    po::variables_map given;
    try {
        po::store(po::parse_command_line(count, arguments, options), given);
        if (given.count("help") != 0) {
            std::cout << options;
            return lagoon::exit_success;
        }
        if (given.count("version") != 0) {
            std::cout << "lagoon-report " << lagoon::program_version << '\n';
            return lagoon::exit_success;
        }
        po::notify(given);
    } catch (po::error const& error) {
        std::cerr << "lagoon-report: " << error.what() << '\n';
        return lagoon::exit_bad_input;
    }
    return lagoon::run(given);
}
