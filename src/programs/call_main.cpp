// lagoon-call: one request, or a load of them, over the caller library.

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

constexpr std::uint32_t most_requests = 1'000'000;
constexpr std::int64_t longest_wait = 3'600'000;  // milliseconds

// Exit codes beside those of command_line.hpp.
constexpr int exit_not_run = 10;
constexpr int exit_unknown = 11;

po::options_description describe()
{
    po::options_description options{
        "Usage: lagoon-call --to IP:PORT --service NAME --caller NAME "
        "--path PATH [...]\n\nOptions"};
    auto const word = [] {
        return po::value<std::string>();
    };
    auto const count = [](std::int64_t usual) {
        return po::value<std::int64_t>()->default_value(usual);
    };
    options.add_options()("help", "print this text")(
        "version", "print the version")("to", word(),
                                        "address where entries are reached")(
        "from", word()->default_value("127.0.0.1:1"),
        "local IP to send from (its port is not used)")("service", word(),
                                                        "service to call")(
        "caller", word(), "name of this caller")("path", word(), "what to run")(
        "body", word()->default_value(""), "body of the request")(
        "idempotent", "the request may run more than once")(
        "mix", word(),
        "load: path:idempotent|once:share[:body],... in place of --path")(
        "requests", count(1), "load: requests in all")(
        "sessions", count(1), "load: sessions at once")(
        "pause-ms", count(0), "load: pause of a session between requests")(
        "deadline-ms", count(10'000), "until the outcome must be known")(
        "declared-ms", count(0), "running time that the caller expects")(
        "out", word(), "write the answer to this file")(
        "seed", count(0), "seed of the random numbers; 0 takes entropy");
    return options;
}

// Parses "path:idempotent:share:body".
std::optional<weighted_request> parse_kind(std::string const& text,
                                           duration deadline, duration declared)
{
    std::istringstream fields{text};
    std::string path;
    std::string mode;
    std::string share;
    std::string body;
    std::getline(fields, path, ':');
    std::getline(fields, mode, ':');
    std::getline(fields, share, ':');
    std::getline(fields, body);
    bool const known = mode == "idempotent" || mode == "once";
    int const parts = std::atoi(share.c_str());
    if (path.empty() || !known || parts < 1)
        return std::nullopt;
    return weighted_request{
        {path, body, mode == "idempotent", deadline, declared},
        static_cast<std::uint32_t>(parts)};
}

class plan_reader
{
public:
    explicit plan_reader(po::variables_map const& given) : given(given) {}

    call_options read()
    {
        call_options const plan{
            .to = this->address("to"),
            .local = this->address("from"),
            .service = service_named(this->word("service")),
            .caller = caller_named(this->word("caller")),
            .mix = this->mix(),
            .sessions = static_cast<std::uint32_t>(
                this->count("sessions", 1, max_sessions)),
            .requests = static_cast<std::uint32_t>(
                this->count("requests", 1, most_requests)),
            .pause = std::chrono::milliseconds{this->count("pause-ms", 0,
                                                           longest_wait)},
            .seed =
                static_cast<std::uint64_t>(this->count("seed", 0, INT64_MAX)),
            .shows_progress = this->given["requests"].as<std::int64_t>() == 1 &&
                              ::isatty(STDERR_FILENO) == 1,
        };
        return plan;
    }

    std::vector<json_problem> problems = {};

private:
    void problem(std::string const& option, std::string const& value,
                 std::string const& expected)
    {
        this->problems.push_back(
            {"lagoon-call", "--" + option, value, expected});
    }

    std::string word(std::string const& option)
    {
        if (this->given.count(option) != 0)
            return this->given[option].as<std::string>();
        this->problem(option, "nothing", "a value");
        return {};
    }

    peer_address address(std::string const& option)
    {
        std::string const text = this->word(option);
        std::optional<peer_address> const address = parse_address(text);
        if (!address)
            this->problem(option, text, "an address such as 127.0.0.1:9000");
        return address.value_or(peer_address{});
    }

    std::int64_t count(std::string const& option, std::int64_t least,
                       std::int64_t most)
    {
        std::int64_t const value = this->given[option].as<std::int64_t>();
        if (value < least || value > most)
            this->problem(option, std::to_string(value),
                          "a whole number from " + std::to_string(least) +
                              " to " + std::to_string(most));
        return std::clamp(value, least, most);
    }

    std::vector<weighted_request> mix()
    {
        duration const deadline = std::chrono::milliseconds{
            this->count("deadline-ms", 1, longest_wait)};
        duration const declared = std::chrono::milliseconds{
            this->count("declared-ms", 0, longest_wait)};
        if (this->given.count("mix") == 0)
            return {{{this->word("path"), this->word("body"),
                      this->given.count("idempotent") != 0, deadline, declared},
                     1}};
        std::vector<weighted_request> kinds;
        std::istringstream texts{this->word("mix")};
        std::string text;
        while (std::getline(texts, text, ',')) {
            std::optional<weighted_request> const kind =
                parse_kind(text, deadline, declared);
            if (kind)
                kinds.push_back(*kind);
            else
                this->problem("mix", text, "path:idempotent|once:share[:body]");
        }
        return kinds;
    }

    po::variables_map const& given;
};

char const* name_of(outcome_kind kind)
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

int exit_code_of(outcome_kind kind)
{
    switch (kind) {
    case outcome_kind::complete:
        return exit_success;
    case outcome_kind::not_run:
        return exit_not_run;
    case outcome_kind::unknown:
        return exit_unknown;
    }
    return exit_failure;
}

double milliseconds_of(duration span)
{
    return static_cast<double>(span.count()) / 1000.0;
}

int report_one(call_result const& record, po::variables_map const& given)
{
    request_outcome const& outcome = record.outcome;
    std::cerr << record.path << ": " << name_of(outcome.kind);
    if (outcome.why != reason::none)
        std::cerr << " (" << to_text(outcome.why) << ")";
    std::cerr << ", " << record.bytes << " bytes, "
              << milliseconds_of(outcome.took) << " ms, target "
              << hex_of(outcome.target.value) << ", tries "
              << outcome.flows_used << '\n';
    if (given.count("out") != 0) {
        std::ofstream file{given["out"].as<std::string>(), std::ios::binary};
        file << outcome.answer;
    } else if (outcome.kind == outcome_kind::complete &&
               ::isatty(STDOUT_FILENO) == 0) {
        std::cout << outcome.answer;
    }
    return exit_code_of(outcome.kind);
}

// One JSON object: counts, and latencies of the complete requests.
int report_load(std::vector<call_result> const& records)
{
    std::vector<double> took;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    for (call_result const& record : records) {
        if (record.outcome.kind != outcome_kind::complete)
            std::cerr << record.path << ": " << name_of(record.outcome.kind)
                      << " (" << to_text(record.outcome.why) << "), tries "
                      << record.outcome.flows_used << '\n';
        not_run += record.outcome.kind == outcome_kind::not_run ? 1U : 0U;
        unknown += record.outcome.kind == outcome_kind::unknown ? 1U : 0U;
        if (record.outcome.kind == outcome_kind::complete)
            took.push_back(milliseconds_of(record.outcome.took));
    }
    std::sort(took.begin(), took.end());
    auto const quantile = [&took](double share) {
        if (took.empty())
            return 0.0;
        auto const last = static_cast<double>(took.size() - 1);
        return took[static_cast<std::size_t>(share * last)];
    };
    std::cout << "{\"requests\": " << records.size()
              << ", \"complete\": " << took.size()
              << ", \"not_run\": " << not_run << ", \"unknown\": " << unknown
              << ", \"p50_ms\": " << quantile(0.5)
              << ", \"p99_ms\": " << quantile(0.99)
              << ", \"max_ms\": " << quantile(1.0) << "}\n";
    return not_run + unknown == 0 ? exit_success : exit_failure;
}

int run(call_options const& plan, po::variables_map const& given)
{
    catch_stop_signals();
    call_program program{plan};
    failure last;
    if (!program.open(last)) {
        std::cerr << "lagoon-call: " << to_text(last) << '\n';
        return exit_failure;
    }
    program.run();
    if (program.records().empty())
        return exit_forced_stop;
    if (plan.requests == 1)
        return report_one(program.records().front(), given);
    return report_load(program.records());
}

}  // namespace

}  // namespace lagoon

int main(int count, char** arguments)
{
    using namespace lagoon;
    po::options_description const options = describe();
    po::variables_map given;
    try {
        po::store(po::parse_command_line(count, arguments, options), given);
        po::notify(given);
    } catch (po::error const& error) {
        std::cerr << "lagoon-call: " << error.what() << '\n';
        return exit_bad_input;
    }
    if (given.count("help") != 0) {
        std::cout << options;
        return exit_success;
    }
    if (given.count("version") != 0) {
        std::cout << "lagoon-call " << program_version << '\n';
        return exit_success;
    }
    plan_reader reader{given};
    call_options const plan = reader.read();
    if (!reader.problems.empty()) {
        print_problems(reader.problems);
        return exit_bad_input;
    }
    if (sodium_init() < 0)
        return exit_failure;
    return run(plan, given);
}
