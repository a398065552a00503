// lagoon-call: sends one request or a load of requests, using the caller
// library.

#include "documents/checked_json.hpp"
#include "loop/signals.hpp"
#include "programs/call_program.hpp"
#include "programs/command_line.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sodium.h>
#include <sstream>
#include <unistd.h>

namespace po = boost::program_options;

namespace lagoon {

namespace {

constexpr std::uint32_t max_requests = 1'000'000;
constexpr std::int64_t max_wait_ms = 3'600'000;

// Exit codes in addition to those in command_line.hpp.
constexpr int exit_not_run = 10;
constexpr int exit_outcome_unknown = 11;

po::options_description describe_options()
{
    po::options_description options{
        "Usage: lagoon-call --to IP:PORT --service NAME --caller NAME "
        "--path PATH [...]\n\nOptions"};
    auto const text_option = [] {
        return po::value<std::string>();
    };
    auto const count_option = [](std::int64_t default_value) {
        return po::value<std::int64_t>()->default_value(default_value);
    };
    options.add_options()("help", "print this text")(
        "version", "print the version")("to", text_option(),
                                        "address of the entries")(
        "from", text_option()->default_value("127.0.0.1:1"),
        "local IP to send from (its port is not used)")(
        "service", text_option(), "service to call")(
        "caller", text_option(), "name of this caller")("path", text_option(),
                                                        "path of the request")(
        "body", text_option()->default_value(""), "body of the request")(
        "idempotent", "the request may be executed more than once")(
        "mix", text_option(),
        "load: path:idempotent|once:share[:body],... instead of --path")(
        "requests", count_option(1), "load: total number of requests")(
        "sessions", count_option(1), "load: number of concurrent sessions")(
        "pause-ms", count_option(0),
        "load: pause between two requests of a session")(
        "deadline-ms", count_option(10'000), "time limit of a request")(
        "declared-ms", count_option(0), "expected running time of a request")(
        "out", text_option(), "write the answer to this file")(
        "seed", count_option(0),
        "seed of the random numbers; 0: system entropy");
    return options;
}

// Parses "path:mode:share:body"; the mode is "idempotent" or "once".
std::optional<weighted_request> parse_weighted_request(std::string const& text,
                                                       duration deadline,
                                                       duration declared_time)
{
    std::istringstream fields{text};
    std::string path;
    std::string mode;
    std::string weight;
    std::string body;
    std::getline(fields, path, ':');
    std::getline(fields, mode, ':');
    std::getline(fields, weight, ':');
    std::getline(fields, body);
    bool const is_mode_valid = mode == "idempotent" || mode == "once";
    int const weight_value = std::atoi(weight.c_str());
    if (path.empty() || !is_mode_valid || weight_value < 1)
        return std::nullopt;
    return weighted_request{
        {path, body, mode == "idempotent", deadline, declared_time},
        static_cast<std::uint32_t>(weight_value)};
}

class call_options_reader
{
public:
    explicit call_options_reader(po::variables_map const& arguments)
        : arguments(arguments)
    {
    }

    call_options read()
    {
        call_options const options{
            .entry_address = this->get_address("to"),
            .local_address = this->get_address("from"),
            .service = make_service_id(this->get_text("service")),
            .caller = make_caller_id(this->get_text("caller")),
            .request_mix = this->read_request_mix(),
            .session_count = static_cast<std::uint32_t>(
                this->get_count("sessions", 1, max_sessions)),
            .request_count = static_cast<std::uint32_t>(
                this->get_count("requests", 1, max_requests)),
            .session_pause = std::chrono::milliseconds{this->get_count(
                "pause-ms", 0, max_wait_ms)},
            .seed = static_cast<std::uint64_t>(
                this->get_count("seed", 0, INT64_MAX)),
            .shows_progress =
                this->arguments["requests"].as<std::int64_t>() == 1 &&
                ::isatty(STDERR_FILENO) == 1,
        };
        return options;
    }

    std::vector<json_problem> problems = {};

private:
    void add_problem(std::string const& option, std::string const& value,
                     std::string const& expected)
    {
        this->problems.push_back(
            {"lagoon-call", "--" + option, value, expected});
    }

    std::string get_text(std::string const& option)
    {
        if (this->arguments.count(option) != 0)
            return this->arguments[option].as<std::string>();
        this->add_problem(option, "nothing", "a value");
        return {};
    }

    peer_address get_address(std::string const& option)
    {
        std::string const text = this->get_text(option);
        std::optional<peer_address> const address = parse_address(text);
        if (!address)
            this->add_problem(option, text,
                              "an address such as 127.0.0.1:9000");
        return address.value_or(peer_address{});
    }

    std::int64_t get_count(std::string const& option, std::int64_t min,
                           std::int64_t max)
    {
        std::int64_t const value = this->arguments[option].as<std::int64_t>();
        if (value < min || value > max)
            this->add_problem(option, std::to_string(value),
                              "an integer from " + std::to_string(min) +
                                  " to " + std::to_string(max));
        return std::clamp(value, min, max);
    }

    std::vector<weighted_request> read_request_mix()
    {
        duration const deadline = std::chrono::milliseconds{
            this->get_count("deadline-ms", 1, max_wait_ms)};
        duration const declared_time = std::chrono::milliseconds{
            this->get_count("declared-ms", 0, max_wait_ms)};
        if (this->arguments.count("mix") == 0)
            return {{{this->get_text("path"), this->get_text("body"),
                      this->arguments.count("idempotent") != 0, deadline,
                      declared_time},
                     1}};
        std::vector<weighted_request> kinds;
        std::istringstream texts{this->get_text("mix")};
        std::string text;
        while (std::getline(texts, text, ',')) {
            std::optional<weighted_request> const kind =
                parse_weighted_request(text, deadline, declared_time);
            if (kind)
                kinds.push_back(*kind);
            else
                this->add_problem("mix", text,
                                  "path:idempotent|once:share[:body]");
        }
        return kinds;
    }

    po::variables_map const& arguments;
};

char const* get_outcome_name(outcome_kind kind)
{
    switch (kind) {
    case outcome_kind::complete:
        return "complete";
    case outcome_kind::not_run:
        return "not run";
    case outcome_kind::unknown:
        return "outcome unknown";
    }
    return "?";
}

int get_exit_code(outcome_kind kind)
{
    switch (kind) {
    case outcome_kind::complete:
        return exit_success;
    case outcome_kind::not_run:
        return exit_not_run;
    case outcome_kind::unknown:
        return exit_outcome_unknown;
    }
    return exit_failure;
}

double to_milliseconds(duration span)
{
    return static_cast<double>(span.count()) / 1000.0;
}

int report_one(call_result const& result, po::variables_map const& arguments)
{
    request_outcome const& outcome = result.outcome;
    std::cerr << result.path << ": " << get_outcome_name(outcome.kind);
    if (outcome.cause != reason::none)
        std::cerr << " (" << to_text(outcome.cause) << ")";
    std::cerr << ", " << result.answer_size << " bytes, "
              << to_milliseconds(outcome.elapsed) << " ms, target "
              << to_hex(outcome.target.value) << ", tries "
              << outcome.flows_used << '\n';
    if (arguments.count("out") != 0) {
        std::ofstream file{arguments["out"].as<std::string>(),
                           std::ios::binary};
        file << outcome.answer;
    } else if (outcome.kind == outcome_kind::complete &&
               ::isatty(STDOUT_FILENO) == 0) {
        std::cout << outcome.answer;
    }
    return get_exit_code(outcome.kind);
}

// Prints one JSON object with counts and the latencies of complete requests.
int report_load(std::vector<call_result> const& results)
{
    std::vector<double> latencies_ms;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    for (call_result const& result : results) {
        if (result.outcome.kind != outcome_kind::complete)
            std::cerr << result.path << ": "
                      << get_outcome_name(result.outcome.kind) << " ("
                      << to_text(result.outcome.cause) << "), tries "
                      << result.outcome.flows_used << '\n';
        not_run += result.outcome.kind == outcome_kind::not_run ? 1U : 0U;
        unknown += result.outcome.kind == outcome_kind::unknown ? 1U : 0U;
        if (result.outcome.kind == outcome_kind::complete)
            latencies_ms.push_back(to_milliseconds(result.outcome.elapsed));
    }
    std::sort(latencies_ms.begin(), latencies_ms.end());
    auto const quantile = [&latencies_ms](double share) {
        if (latencies_ms.empty())
            return 0.0;
        auto const max_index = static_cast<double>(latencies_ms.size() - 1);
        return latencies_ms[static_cast<std::size_t>(share * max_index)];
    };
    std::cout << "{\"requests\": " << results.size()
              << ", \"complete\": " << latencies_ms.size()
              << ", \"not_run\": " << not_run << ", \"unknown\": " << unknown
              << ", \"p50_ms\": " << quantile(0.5)
              << ", \"p99_ms\": " << quantile(0.99)
              << ", \"max_ms\": " << quantile(1.0) << "}\n";
    return not_run + unknown == 0 ? exit_success : exit_failure;
}

int run(call_options const& options, po::variables_map const& arguments)
{
    install_stop_handlers();
    call_program program{options};
    failure error;
    if (!program.open(error)) {
        std::cerr << "lagoon-call: " << to_text(error) << '\n';
        return exit_failure;
    }
    program.run();
    if (program.results().empty())
        return exit_forced_stop;
    if (options.request_count == 1)
        return report_one(program.results().front(), arguments);
    return report_load(program.results());
}

}  // namespace

}  // namespace lagoon

int main(int argc, char** argv)
{
    using namespace lagoon;
    po::options_description const descriptions = describe_options();
    po::variables_map arguments;
    try {
        po::store(po::parse_command_line(argc, argv, descriptions), arguments);
        po::notify(arguments);
    } catch (po::error const& error) {
        std::cerr << "lagoon-call: " << error.what() << '\n';
        return exit_bad_input;
    }
    if (arguments.count("help") != 0) {
        std::cout << descriptions;
        return exit_success;
    }
    if (arguments.count("version") != 0) {
        std::cout << "lagoon-call " << program_version << '\n';
        return exit_success;
    }
    call_options_reader reader{arguments};
    call_options const options = reader.read();
    if (!reader.problems.empty()) {
        print_problems(reader.problems);
        return exit_bad_input;
    }
    if (sodium_init() < 0)
        return exit_failure;
    return run(options, arguments);
}
