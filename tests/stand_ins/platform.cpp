// Stand-in for the users' platform: serves a folder of documents to be read
// and watched, counts each call with a waiting watch as one, and can be down,
// stale or slow. Whoever runs a test switches modes with GET /mode?set=NAME.

#include "loop/event_loop.hpp"
#include "loop/signals.hpp"
#include "options.hpp"
#include "programs/command_line.hpp"

#include <deque>
#include <map>

namespace lagoon::stand_ins {

namespace {

constexpr duration rate_window = std::chrono::seconds{1};
constexpr duration slow_delay = std::chrono::milliseconds{800};

enum class platform_mode
{
    good,
    down,   // refuses every call
    stale,  // serves what it served when the mode began
    slow    // answers late
};

struct waiting_watch
{
    std::uint64_t after = 0;  // generation
    time_point until = {};
};

struct late_reply
{
    exchange_id exchange = {};
    time_point due = {};
    http_reply reply = {};
};

class platform_program : public default_event_handler
{
public:
    platform_program(peer_address listen, std::string folder, std::size_t rate)
        : folder(std::move(folder)), rate(rate),
          loop(*this, {{listen}, std::chrono::milliseconds{20}})
    {
        this->refresh();
    }

    void run()
    {
        this->loop.run();
    }

    bool should_stop() const
    {
        return count_stop_signals() > 0;
    }

    void on_tick()
    {
        time_point const now = read_clock();
        if (this->mode != platform_mode::stale)
            this->refresh();
        this->answer_watches(now);
        while (!this->late.empty() && this->late.front().due <= now) {
            this->loop.reply(this->late.front().exchange,
                             this->late.front().reply);
            this->late.pop_front();
        }
    }

    void on_http_request(exchange_id exchange, http_request const& request)
    {
        if (request.path == "/mode" || request.path == "/count") {
            this->loop.reply(exchange, this->steer(request));
            return;
        }
        time_point const now = read_clock();
        ++this->calls;
        if (this->is_over_rate(now) || this->mode == platform_mode::down) {
            this->loop.reply(exchange, {503, "text/plain", "", 1});
            return;
        }
        if (request.path == "/v1/watch")
            this->begin_watch(exchange, request, now);
        else
            this->reply(exchange, this->read(request.path), now);
    }

    void on_http_disconnect(exchange_id exchange)
    {
        this->watches.erase(exchange);
    }

private:
    http_reply steer(http_request const& request)
    {
        std::string const name = find_query_field(request.query, "set");
        if (name == "good" || name == "down" || name == "stale" ||
            name == "slow")
            this->mode = name == "good"   ? platform_mode::good
                         : name == "down" ? platform_mode::down
                         : name == "slow" ? platform_mode::slow
                                          : platform_mode::stale;
        return {200, "text/plain", std::to_string(this->calls) + "\n", 0};
    }

    bool is_over_rate(time_point now)
    {
        while (!this->recent.empty() &&
               now - this->recent.front() > rate_window)
            this->recent.pop_front();
        if (this->recent.size() + this->watches.size() >= this->rate)
            return true;
        this->recent.push_back(now);
        return false;
    }

    // Keeps the texts of one moment together: the head is read last time's.
    void refresh()
    {
        std::optional<std::string> const head =
            read_file(this->folder + "/head.json");
        if (!head || *head == this->head)
            return;
        this->head = *head;
        json_checker checker{"head"};
        std::optional<Json::Value> const root = checker.parse(*head);
        if (root && root->isObject())
            this->generation = (*root)["generation"].asUInt64();
        this->texts.clear();
    }

    http_reply read(std::string const& path)
    {
        if (path == "/v1/head" && !this->head.empty())
            return {200, "application/json", this->head, 0};
        bool const plain =
            path.starts_with("/v1/") && path.find("..") == std::string::npos;
        if (!plain)
            return {404, "text/plain", "no such key\n", 0};
        std::string const file = this->folder + path.substr(3) + ".json";
        auto known = this->texts.find(file);
        if (known == this->texts.end()) {
            std::optional<std::string> const text = read_file(file);
            if (!text)
                return {404, "text/plain", "no such key\n", 0};
            known = this->texts.emplace(file, *text).first;
        }
        return {200, "application/json", known->second, 0};
    }

    void reply(exchange_id exchange, http_reply const& what, time_point now)
    {
        if (this->mode == platform_mode::slow)
            this->late.push_back({exchange, now + slow_delay, what});
        else
            this->loop.reply(exchange, what);
    }

    void begin_watch(exchange_id exchange, http_request const& request,
                     time_point now)
    {
        std::uint64_t const after = std::strtoull(
            find_query_field(request.query, "after").c_str(), nullptr, 10);
        std::int64_t const wait = std::strtoll(
            find_query_field(request.query, "wait_ms").c_str(), nullptr, 10);
        this->watches[exchange] = {after,
                                   now + std::chrono::milliseconds{wait}};
        this->answer_watches(now);
    }

    void answer_watches(time_point now)
    {
        std::vector<exchange_id> due;
        for (auto const& [exchange, watch] : this->watches)
            if (this->generation > watch.after || now >= watch.until)
                due.push_back(exchange);
        for (exchange_id const exchange : due) {
            this->watches.erase(exchange);
            this->reply(exchange, this->read("/v1/head"), now);
        }
    }

    std::string folder;
    std::size_t rate;  // calls a second
    platform_mode mode = platform_mode::good;
    std::uint64_t calls = 0;
    std::uint64_t generation = 0;
    std::string head = {};
    std::map<std::string, std::string> texts = {};
    std::deque<time_point> recent = {};
    std::map<exchange_id, waiting_watch> watches = {};
    std::deque<late_reply> late = {};
    event_loop<platform_program> loop;
};

}  // namespace

}  // namespace lagoon::stand_ins

int main(int count, char** arguments)
{
    using namespace lagoon;
    using namespace lagoon::stand_ins;
    po::options_description options{"stand-in for the platform"};
    options.add_options()("listen", po::value<std::string>()->required(),
                          "address")(
        "folder", po::value<std::string>()->required(),
        "documents")("rate", po::value<std::size_t>()->default_value(2000),
                     "calls a second");
    po::variables_map const given = read_options(count, arguments, options);
    install_stop_handlers();
    platform_program program{address_option(given, "listen"),
                             given["folder"].as<std::string>(),
                             given["rate"].as<std::size_t>()};
    program.run();
    return 0;
}
