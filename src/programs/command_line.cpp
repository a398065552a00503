#include "programs/command_line.hpp"

#include <boost/program_options.hpp>

#include <iostream>

namespace lagoon {

namespace po = boost::program_options;

void print_problems(std::vector<json_problem> const& problems)
{
    for (json_problem const& problem : problems)
        std::cerr << to_text(problem) << '\n';
}

std::optional<command_line_options> read_command_line(int argc, char** argv,
                                                      program_info const& info,
                                                      int& exit_code)
{
    std::string const& program = info.name;
    po::options_description options{"Usage: " + program +
                                    " --settings FILE\n\nOptions"};
    options.add_options()("help", "print this text")(
        "version", "print the version")("settings", po::value<std::string>(),
                                        "settings file (JSON with comments)")(
        "check-settings", "check the settings file, then exit");
    exit_code = exit_bad_input;
    po::variables_map arguments;
    try {
        po::store(po::parse_command_line(argc, argv, options), arguments);
    } catch (po::error const& error) {
        std::cerr << program << ": " << error.what() << '\n';
        return std::nullopt;
    }
    if (arguments.count("help") != 0 || arguments.count("version") != 0) {
        exit_code = exit_success;
        if (arguments.count("help") != 0)
            std::cout << options;
        else
            std::cout << program << ' ' << program_version << '\n';
        return std::nullopt;
    }
    std::string const path = arguments.count("settings") != 0
                                 ? arguments["settings"].as<std::string>()
                                 : info.default_settings_path;
    if (path.empty()) {
        std::cerr << program << ": missing option --settings FILE\n";
        return std::nullopt;
    }
    std::optional<std::string> const text = read_file(path);
    if (!text) {
        std::cerr << program << ": " << path << ": cannot read file\n";
        return std::nullopt;
    }
    return command_line_options{path, *text,
                                arguments.count("check-settings") != 0};
}

}  // namespace lagoon
