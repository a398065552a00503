// lagoon-report: computes from log lines how fast routes use up the error
// budgets of their objectives. Exit codes: 0 no budget is exceeded, 1 a budget
// is exceeded, 2 invalid input.

#include "programs/command_line.hpp"
#include "report/burn.hpp"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace lagoon {

namespace {

namespace po = boost::program_options;

po::options_description describe_options()
{
    po::options_description options{
        "Usage: lagoon-report --settings FILE [--log FILE...]\n\nOptions"};
    options.add_options()("help", "print this text")(
        "version", "print the version")("settings",
                                        po::value<std::string>()->required(),
                                        "objectives (JSON with comments)")(
        "check-settings", "check the settings file, then exit")(
        "log", po::value<std::vector<std::string>>()->multitoken(),
        "log files of entries and targets; default: standard input");
    return options;
}

void add_lines(std::istream& from, log_outcome_reader& reader,
               burn_rate_report& report)
{
    std::string line;
    while (std::getline(from, line))
        if (std::optional<logged_outcome> const outcome = reader.read(line))
            report.add(*outcome);
}

int print_report(report_settings const& settings,
                 log_outcome_reader const& reader,
                 burn_rate_report const& report)
{
    bool is_budget_exceeded = false;
    for (route_burn_rate const& row : report.build_rows()) {
        std::cout << to_text(row, settings) << '\n';
        is_budget_exceeded = is_budget_exceeded || row.budget_used_ratio > 1;
    }
    std::cout << "lines left out by their processes: "
              << reader.suppressed_lines()
              << ", not read: " << reader.unreadable_lines() << '\n';
    return is_budget_exceeded ? exit_failure : exit_success;
}

int run(po::variables_map const& arguments)
{
    std::optional<report_settings> const settings =
        parse_file("lagoon-report", arguments["settings"].as<std::string>(),
                   parse_report_settings);
    if (!settings)
        return exit_bad_input;
    if (arguments.count("check-settings") != 0)
        return exit_success;
    log_outcome_reader reader;
    burn_rate_report report{*settings};
    if (arguments.count("log") == 0) {
        add_lines(std::cin, reader, report);
        return print_report(*settings, reader, report);
    }
    for (std::string const& path :
         arguments["log"].as<std::vector<std::string>>()) {
        std::ifstream file{path};
        if (!file) {
            std::cerr << "lagoon-report: " << path << ": cannot read file\n";
            return exit_bad_input;
        }
        add_lines(file, reader, report);
    }
    return print_report(*settings, reader, report);
}

}  // namespace
}  // namespace lagoon

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description const options = lagoon::describe_options();
    po::variables_map arguments;
    try {
        po::store(po::parse_command_line(argc, argv, options), arguments);
        if (arguments.count("help") != 0) {
            std::cout << options;
            return lagoon::exit_success;
        }
        if (arguments.count("version") != 0) {
            std::cout << "lagoon-report " << lagoon::program_version << '\n';
            return lagoon::exit_success;
        }
        po::notify(arguments);
    } catch (po::error const& error) {
        std::cerr << "lagoon-report: " << error.what() << '\n';
        return lagoon::exit_bad_input;
    }
    return lagoon::run(arguments);
}
