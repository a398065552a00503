// lagoon-sheet: from the planners' sheet to documents, and what the fleet
// makes of them.

#include "flow/ranking.hpp"
#include "loop/signals.hpp"
#include "programs/command_line.hpp"
#include "programs/status_query.hpp"
#include "sheet/folder.hpp"

#include <boost/program_options.hpp>

#include <iostream>
#include <sodium.h>
#include <thread>

namespace po = boost::program_options;

namespace lagoon {

namespace {

// ---- arguments ----------------------------------------------------------

constexpr duration wait_pause = std::chrono::milliseconds{200};

po::options_description describe()
{
    po::options_description options{
        "Usage: lagoon-sheet COMMAND [options]\n"
        "  check    --sheet FILE                    is the sheet good?\n"
        "  compile  --sheet FILE --documents DIR    write the next generation\n"
        "  diff     --sheet FILE --documents DIR    what would change\n"
        "  explain  --documents DIR --service S --caller C --flow HEX\n"
        "  status   --documents DIR                 ask every process\n"
        "  wait     --documents DIR [--timeout-s N] until it is in force\n"
        "\nOptions"};
    auto const word = [] {
        return po::value<std::string>();
    };
    options.add_options()("help", "print this text")(
        "version", "print the version")("command", word(),
                                        "command")("sheet", word(), "CSV file")(
        "documents", word(), "folder of documents")("service", word(), "name")(
        "caller", word(), "name")("flow", word(), "flow key, hexadecimal")(
        "timeout-s", po::value<unsigned>()->default_value(10),
        "how long to wait");
    return options;
}

std::string word(po::variables_map const& given, std::string const& option)
{
    if (given.count(option) == 0)
        throw po::required_option("--" + option);
    return given[option].as<std::string>();
}

std::optional<planned_sheet> read_sheet(std::string const& file)
{
    std::optional<std::string> const text = read_file(file);
    if (!text) {
        std::cerr << file << ": can't be read\n";
        return std::nullopt;
    }
    std::vector<sheet_problem> problems;
    std::optional<planned_sheet> const sheet = parse_sheet(*text, problems);
    for (sheet_problem const& problem : problems)
        std::cerr << to_text(problem, file) << '\n';
    return sheet;
}

std::optional<document_set> read_set(std::string const& folder)
{
    std::vector<json_problem> problems;
    std::optional<document_set> const set = read_documents(folder, problems);
    print_problems(problems);
    return set;
}

// ---- check, compile, diff -----------------------------------------------

int check(po::variables_map const& given)
{
    std::string const file = word(given, "sheet");
    if (!read_sheet(file))
        return exit_bad_input;
    std::cout << file << ": good\n";
    return exit_success;
}

int compile(po::variables_map const& given)
{
    std::string const folder = word(given, "documents");
    std::optional<planned_sheet> const sheet = read_sheet(word(given, "sheet"));
    std::optional<document_set> const before = read_set(folder);
    if (!sheet || !before)
        return exit_bad_input;
    document_set const after = compile_documents(*sheet, *before);
    std::uint64_t const number = after.head.version.number.value;
    if (after == *before) {
        std::cout << "generation " << number << " stays: no change\n";
        return exit_success;
    }
    failure last;
    if (!write_documents(folder, after, last)) {
        std::cerr << "lagoon-sheet: " << to_text(last) << '\n';
        return exit_failure;
    }
    std::cout << "generation " << number << " written to " << folder << '\n';
    return exit_success;
}

int diff(po::variables_map const& given)
{
    std::optional<planned_sheet> const sheet = read_sheet(word(given, "sheet"));
    std::optional<document_set> const before =
        read_set(word(given, "documents"));
    if (!sheet || !before)
        return exit_bad_input;
    for (std::string const& line :
         compare_documents(*before, compile_documents(*sheet, *before)))
        std::cout << line << '\n';
    return exit_success;
}

// ---- explain ------------------------------------------------------------

int explain(po::variables_map const& given)
{
    std::optional<document_set> const set = read_set(word(given, "documents"));
    if (!set)
        return exit_bad_input;
    std::string const service = word(given, "service");
    std::string const caller = word(given, "caller");
    flow_key const flow{
        std::strtoull(word(given, "flow").c_str(), nullptr, 16)};
    catalog const known = catalog_of(*set);
    service_part const* part = known.find_service(service_named(service));
    if (part == nullptr) {
        std::cout << "no service " << service << ": refused\n";
        return exit_failure;
    }
    if (!known.permits(part->id, caller_named(caller))) {
        std::cout << caller << " may not reach " << service << ": refused\n";
        return exit_failure;
    }
    std::size_t place = 0;
    for (target_record const* target : rank_targets(*part, flow))
        std::cout << ++place << ". " << target->name << " at "
                  << to_text(target->address) << ", " << target->slots
                  << " slots"
                  << (target->state == target_state::joining
                          ? ", joining: a quarter of its weight"
                          : "")
                  << '\n';
    std::cout << "The first takes the flow, or hands it to the second when "
                 "all its slots are busy.\n";
    return exit_success;
}

// ---- status, wait -------------------------------------------------------

void print_status(queried_process const& process)
{
    std::cout << process.name << ' ' << to_text(process.control) << ' ';
    if (!process.status) {
        std::cout << "no answer: " << to_text(process.why) << '\n';
        return;
    }
    process_status const& status = *process.status;
    std::cout << status.role << " generation " << status.version.number.value
              << ' ' << hex_of(status.version.content.value)
              << (status.ready ? " ready" : " not-ready")
              << (status.leaving ? " leaving" : "") << " flows " << status.flows
              << " requests " << status.requests << " packets "
              << status.packets << '\n';
    for (failure_count const& one : status.failures)
        std::cout << "    " << to_text(one.at) << ' ' << to_text(one.why) << ' '
                  << one.count << '\n';
}

int status(po::variables_map const& given)
{
    std::optional<document_set> const set = read_set(word(given, "documents"));
    if (!set)
        return exit_bad_input;
    int code = exit_success;
    for (queried_process const& process :
         status_query{list_processes(catalog_of(*set))}.ask()) {
        print_status(process);
        if (!process.status)
            code = exit_failure;
    }
    return code;
}

std::vector<queried_process> behind(document_set const& set)
{
    std::vector<queried_process> all =
        status_query{list_processes(catalog_of(set))}.ask();
    std::erase_if(all, [&set](queried_process const& one) {
        return one.status && one.status->version >= set.head.version;
    });
    return all;
}

int wait(po::variables_map const& given)
{
    std::optional<document_set> const set = read_set(word(given, "documents"));
    if (!set)
        return exit_bad_input;
    time_point const until =
        read_clock() + std::chrono::seconds{given["timeout-s"].as<unsigned>()};
    std::vector<queried_process> late = behind(*set);
    while (!late.empty() && read_clock() < until && stop_signals() == 0) {
        std::this_thread::sleep_for(wait_pause);
        late = behind(*set);
    }
    std::uint64_t const number = set->head.version.number.value;
    if (late.empty()) {
        std::cout << "generation " << number << " is in force everywhere\n";
        return exit_success;
    }
    std::cout << "generation " << number << " is not in force at:\n";
    for (queried_process const& one : late)
        print_status(one);
    return exit_failure;
}

int run(po::variables_map const& given)
{
    std::string const command = word(given, "command");
    if (command == "check")
        return check(given);
    if (command == "compile")
        return compile(given);
    if (command == "diff")
        return diff(given);
    if (command == "explain")
        return explain(given);
    if (command == "status")
        return status(given);
    if (command == "wait")
        return wait(given);
    std::cerr << "lagoon-sheet: no command " << command << '\n';
    return exit_bad_input;
}

}  // namespace

}  // namespace lagoon

int main(int count, char** arguments)
{
    using namespace lagoon;
    po::options_description const options = describe();
    po::positional_options_description positions;
    positions.add("command", 1);
    po::variables_map given;
    try {
        po::store(po::command_line_parser(count, arguments)
                      .options(options)
                      .positional(positions)
                      .run(),
                  given);
        if (given.count("help") != 0) {
            std::cout << options;
            return exit_success;
        }
        if (given.count("version") != 0) {
            std::cout << "lagoon-sheet " << program_version << '\n';
            return exit_success;
        }
        if (sodium_init() < 0)
            return exit_failure;
        catch_stop_signals();
        return run(given);
    } catch (po::error const& error) {
        std::cerr << "lagoon-sheet: " << error.what() << '\n';
        return exit_bad_input;
    }
}
