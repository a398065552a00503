// lagoon-sheet: compiles the planners' sheet into documents and shows which
// generation of the documents each process of the fleet uses.

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

constexpr duration status_poll_interval = std::chrono::milliseconds{200};

po::options_description describe_options()
{
    po::options_description options{
        "Usage: lagoon-sheet COMMAND [options]\n"
        "  check    --sheet FILE                    check the sheet for "
        "errors\n"
        "  compile  --sheet FILE --documents DIR    write the next generation\n"
        "  diff     --sheet FILE --documents DIR    show what would change\n"
        "  explain  --documents DIR --service S --caller C --flow HEX\n"
        "  status   --documents DIR                 show the status of all "
        "processes\n"
        "  wait     --documents DIR [--timeout-s N] wait until it is in force "
        "everywhere\n"
        "\nOptions"};
    auto const text_option = [] {
        return po::value<std::string>();
    };
    options.add_options()("help", "print this text")(
        "version", "print the version")("command", text_option(), "command")(
        "sheet", text_option(), "CSV file")("documents", text_option(),
                                            "directory of the documents")(
        "service", text_option(), "name")("caller", text_option(), "name")(
        "flow", text_option(), "flow key, hexadecimal")(
        "timeout-s", po::value<unsigned>()->default_value(10),
        "time limit of wait");
    return options;
}

std::string get_required(po::variables_map const& arguments,
                         std::string const& option)
{
    if (arguments.count(option) == 0)
        throw po::required_option("--" + option);
    return arguments[option].as<std::string>();
}

std::optional<parsed_sheet> read_sheet(std::string const& file)
{
    std::optional<std::string> const text = read_file(file);
    if (!text) {
        std::cerr << file << ": cannot read file\n";
        return std::nullopt;
    }
    std::vector<sheet_problem> problems;
    std::optional<parsed_sheet> const sheet = parse_sheet(*text, problems);
    for (sheet_problem const& problem : problems)
        std::cerr << to_text(problem, file) << '\n';
    return sheet;
}

std::optional<document_set> load_documents(std::string const& folder)
{
    std::vector<json_problem> problems;
    std::optional<document_set> const set = read_documents(folder, problems);
    print_problems(problems);
    return set;
}

// ---- check, compile, diff -----------------------------------------------

int check(po::variables_map const& arguments)
{
    std::string const file = get_required(arguments, "sheet");
    if (!read_sheet(file))
        return exit_bad_input;
    std::cout << file << ": valid\n";
    return exit_success;
}

int compile(po::variables_map const& arguments)
{
    std::string const folder = get_required(arguments, "documents");
    std::optional<parsed_sheet> const sheet =
        read_sheet(get_required(arguments, "sheet"));
    std::optional<document_set> const before = load_documents(folder);
    if (!sheet || !before)
        return exit_bad_input;
    document_set const after = compile_documents(*sheet, *before);
    std::uint64_t const number = after.head.version.number.value;
    if (after == *before) {
        std::cout << "generation " << number << " unchanged\n";
        return exit_success;
    }
    failure error;
    if (!write_documents(folder, after, error)) {
        std::cerr << "lagoon-sheet: " << to_text(error) << '\n';
        return exit_failure;
    }
    std::cout << "generation " << number << " written to " << folder << '\n';
    return exit_success;
}

int diff(po::variables_map const& arguments)
{
    std::optional<parsed_sheet> const sheet =
        read_sheet(get_required(arguments, "sheet"));
    std::optional<document_set> const before =
        load_documents(get_required(arguments, "documents"));
    if (!sheet || !before)
        return exit_bad_input;
    for (std::string const& line :
         compare_documents(*before, compile_documents(*sheet, *before)))
        std::cout << line << '\n';
    return exit_success;
}

// ---- explain ------------------------------------------------------------

int explain(po::variables_map const& arguments)
{
    std::optional<document_set> const set =
        load_documents(get_required(arguments, "documents"));
    if (!set)
        return exit_bad_input;
    std::string const service = get_required(arguments, "service");
    std::string const caller = get_required(arguments, "caller");
    flow_key const flow{
        std::strtoull(get_required(arguments, "flow").c_str(), nullptr, 16)};
    catalog const fleet_catalog = build_catalog(*set);
    service_part const* part =
        fleet_catalog.find_service(make_service_id(service));
    if (part == nullptr) {
        std::cout << "unknown service " << service << ": refused\n";
        return exit_failure;
    }
    if (!fleet_catalog.is_permitted(part->id, make_caller_id(caller))) {
        std::cout << caller << " is not permitted to call " << service
                  << ": refused\n";
        return exit_failure;
    }
    std::size_t rank = 0;
    for (target_record const* target : rank_targets(*part, flow))
        std::cout << ++rank << ". " << target->name << " at "
                  << to_text(target->address) << ", " << target->slots
                  << " slots"
                  << (target->state == target_state::joining
                          ? ", joining: a quarter of its weight"
                          : "")
                  << '\n';
    std::cout << "The flow goes to the first target, or to the second when "
                 "all slots of the first are busy.\n";
    return exit_success;
}

// ---- status, wait -------------------------------------------------------

void print_status(queried_process const& process)
{
    std::cout << process.name << ' ' << to_text(process.control) << ' ';
    if (!process.status) {
        std::cout << "no status: " << to_text(process.error) << '\n';
        return;
    }
    process_status const& status = *process.status;
    std::cout << status.role << " generation " << status.version.number.value
              << ' ' << to_hex(status.version.content.value)
              << (status.is_ready ? " ready" : " not-ready")
              << (status.is_leaving ? " leaving" : "") << " flows "
              << status.flow_count << " requests " << status.request_count
              << " packets " << status.packet_count << '\n';
    for (failure_count const& failures : status.failures)
        std::cout << "    " << to_text(failures.failed_step) << ' '
                  << to_text(failures.cause) << ' ' << failures.count << '\n';
}

int status(po::variables_map const& arguments)
{
    std::optional<document_set> const set =
        load_documents(get_required(arguments, "documents"));
    if (!set)
        return exit_bad_input;
    int code = exit_success;
    for (queried_process const& process :
         status_query{list_processes(build_catalog(*set))}.query_all()) {
        print_status(process);
        if (!process.status)
            code = exit_failure;
    }
    return code;
}

std::vector<queried_process> find_outdated(document_set const& set)
{
    std::vector<queried_process> processes =
        status_query{list_processes(build_catalog(set))}.query_all();
    std::erase_if(processes, [&set](queried_process const& process) {
        return process.status && process.status->version >= set.head.version;
    });
    return processes;
}

int wait(po::variables_map const& arguments)
{
    std::optional<document_set> const set =
        load_documents(get_required(arguments, "documents"));
    if (!set)
        return exit_bad_input;
    time_point const until =
        read_clock() +
        std::chrono::seconds{arguments["timeout-s"].as<unsigned>()};
    std::vector<queried_process> outdated = find_outdated(*set);
    while (!outdated.empty() && read_clock() < until && !is_stop_requested()) {
        std::this_thread::sleep_for(status_poll_interval);
        outdated = find_outdated(*set);
    }
    std::uint64_t const number = set->head.version.number.value;
    if (outdated.empty()) {
        std::cout << "generation " << number << " is in force everywhere\n";
        return exit_success;
    }
    std::cout << "generation " << number << " is not in force at:\n";
    for (queried_process const& process : outdated)
        print_status(process);
    return exit_failure;
}

int run(po::variables_map const& arguments)
{
    std::string const command = get_required(arguments, "command");
    if (command == "check")
        return check(arguments);
    if (command == "compile")
        return compile(arguments);
    if (command == "diff")
        return diff(arguments);
    if (command == "explain")
        return explain(arguments);
    if (command == "status")
        return status(arguments);
    if (command == "wait")
        return wait(arguments);
    std::cerr << "lagoon-sheet: unknown command " << command << '\n';
    return exit_bad_input;
}

}  // namespace

}  // namespace lagoon

int main(int argc, char** argv)
{
    using namespace lagoon;
    po::options_description const options = describe_options();
    po::positional_options_description positions;
    positions.add("command", 1);
    po::variables_map arguments;
    try {
        po::store(po::command_line_parser(argc, argv)
                      .options(options)
                      .positional(positions)
                      .run(),
                  arguments);
        if (arguments.count("help") != 0) {
            std::cout << options;
            return exit_success;
        }
        if (arguments.count("version") != 0) {
            std::cout << "lagoon-sheet " << program_version << '\n';
            return exit_success;
        }
        if (sodium_init() < 0)
            return exit_failure;
        install_stop_handlers();
        return run(arguments);
    } catch (po::error const& error) {
        std::cerr << "lagoon-sheet: " << error.what() << '\n';
        return exit_bad_input;
    }
}
