// Stand-ins for one small deployment on loopback addresses: the store, the
// routers, requesters and endpoints, each as the pages describe them, and the
// project's own processes as children.
//
// Index
//   event_queue   timers and descriptors of the single thread
//   packet        a datagram between requesters and endpoints
//   store         the platform's store, over HTTP
//   process       a child process of the project
//   endpoint      a server, with its flows and its entry in the store
//   router        selects a front machine for each packet of a requester
//   requester     one requester address with many flows
//   world         all of these
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

struct address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(address const&) const = default;
};

std::string to_text(address value);
address make_address(std::string const& ip, std::uint16_t port);

// ---- event_queue --------------------------------------------------------

// Seconds since the start of the run.
double now();

class event_queue
{
public:
    void at(double time, std::function<void()> action);
    void after(double delay, std::function<void()> action);
    void watch(int descriptor, bool for_writing, std::function<void()> action);
    void unwatch(int descriptor);
    void run(double until);
    bool is_stopped = false;

private:
    struct watched
    {
        bool for_writing = false;
        std::function<void()> action = {};
    };

    std::multimap<double, std::function<void()>> timers = {};
    std::map<int, watched> descriptors = {};
};

// ---- packet -------------------------------------------------------------

enum flag : unsigned
{
    fin = 1,
    rst = 2,
    syn = 32,
    bounced = 64,
    acked = 128
};

constexpr std::size_t head_size = 32;
constexpr std::size_t max_data = 1200;
constexpr std::uint32_t reset_window = 76'800;

struct packet
{
    address source = {};
    address destination = {};
    unsigned flags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t sum = 0;
    std::string data = {};
};

std::string write_packet(packet const& from);  // computes the sum
std::optional<packet> read_packet(std::string const& bytes);
bool has_valid_sum(std::string const& bytes);

// Whether `sequence` is close enough to what a requester acknowledged last.
bool is_in_window(std::uint32_t sequence, std::uint32_t acknowledged);

// ---- udp ----------------------------------------------------------------

int bind_udp(address local);
void send_udp(int descriptor, address to, std::string const& bytes);
std::optional<std::string> receive_udp(int descriptor);

// ---- store --------------------------------------------------------------

class store
{
public:
    store(event_queue& events, address listen);
    std::uint64_t put(std::string const& key, std::string const& value);
    void remove(std::string const& key);

    // Drops the history: a watch from an earlier revision gets 410.
    void compact();

    // A drill: `save` keeps a copy, `restore` goes back to it and begins an era.
    void save();
    void restore();

    // While set, connections get no answer.
    bool is_silent = false;
    double answer_delay = 0.004;  // seconds
    std::size_t page_size = 500;  // items
    std::uint64_t read_count = 0;
    std::uint64_t revision = 100;
    std::uint64_t era = 0;

private:
    struct item
    {
        std::string value = {};
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct change
    {
        std::string key = {};
        std::uint64_t revision = 0;
        std::optional<item> now = {};
    };

    struct connection
    {
        std::string input = {};
        std::string output = {};
        bool is_waiting = false;  // for a change
        bool is_answered = false;
        std::uint64_t after = 0;
        std::string prefix = {};
    };

    void accept();
    void read(int descriptor);
    void handle(int descriptor);
    void answer(int descriptor, int status, std::string const& body);
    void flush(int descriptor);
    void close(int descriptor);
    void notify();
    void cut_watches();
    std::string write_item(std::string const& key, item const& one) const;
    std::string write_changes(std::string const& prefix,
                              std::uint64_t after) const;
    std::string write_range(std::string const& prefix,
                            std::string const& after) const;

    event_queue& events;
    int listener = -1;
    std::map<std::string, item> items = {};
    std::deque<change> history = {};
    std::uint64_t oldest = 0;  // revision from which the history is whole
    std::map<std::string, item> saved_items = {};
    std::uint64_t saved_revision = 0;
    std::map<int, std::shared_ptr<connection>> connections = {};
};

// ---- process ------------------------------------------------------------

class process
{
public:
    process(std::string program, std::string settings_path,
            std::string log_path);
    ~process();
    void start();
    void signal(int number);
    bool is_running();
    void kill_and_wait();

private:
    std::string program;
    std::string settings_path;
    std::string log_path;
    pid_t id = 0;
};

// ---- endpoint -----------------------------------------------------------

struct run_record
{
    double at = 0;
    std::string id = {};
    std::string service = {};
    std::string endpoint = {};
    address flow_source = {};
};

struct endpoint_settings
{
    std::string id = {};
    std::string service = {};
    address app = {};
    address outbound = {};  // of the target process beside it
    std::string zone = {};
    unsigned slots = 2;
    unsigned queue_length = 8;
    double work = 0.013;  // seconds
    std::size_t answer_size = 2000;
    double heartbeat = 1.2;
    // A share of the requests takes longer, up to a limit in seconds.
    double tail_share = 0;
    double tail_factor = 1;
    double longest_work = 1;
    // After a start during traffic the work takes longer for a while.
    double cold_time = 0;  // seconds
    double cold_factor = 1;
};

class endpoint
{
public:
    endpoint(event_queue& events, store& entries, endpoint_settings settings);

    // A boot: no flows; registers.
    void start(bool is_cold = false);
    void crash();
    void register_now();

    endpoint_settings settings;
    bool is_alive = false;
    bool is_draining = false;
    std::vector<run_record> runs = {};
    std::uint64_t opening_count = 0;
    std::uint64_t bounce_count = 0;
    std::uint64_t altered_count = 0;  // packets with a wrong sum
    std::uint64_t reset_count = 0;    // that this endpoint sent
    std::function<void(address source, address route, bool is_open)>
        on_opening = {};

    // For each packet of a flow that is not an opening one.
    std::function<void(address source, address route, bool is_held)> on_packet =
        {};

    bool holds_open(address source, address destination) const;

private:
    struct flow
    {
        bool is_open = false;
        bool is_ended = false;
        std::uint32_t sequence = 0;  // next to send
        std::uint32_t expected = 0;  // next of the requester
        std::uint32_t acknowledged = 0;
        std::string input = {};
        std::map<std::uint32_t, std::string> early = {};
        std::string output = {};  // from `acknowledged` on
        std::uint32_t sent_to = 0;
        bool is_finishing = false;
        bool has_sent_fin = false;
        bool is_caller_finished = false;
        bool is_busy = false;
        int retries = 0;
        std::uint64_t timer = 0;
        unsigned unacknowledged_packets = 0;
        std::uint32_t first_sequence = 0;
    };

    using flow_key = std::pair<address, address>;

    void receive();
    void bounce(std::string const& bytes);
    void open(flow_key const& key, packet const& from);
    void handle(flow_key const& key, flow& one, packet const& from);
    void take_requests(flow_key const& key, flow& one);
    void run_next();
    void send(flow_key const& key, unsigned flags, std::uint32_t sequence,
              std::uint32_t acknowledgement, std::string const& data);
    void send_output(flow_key const& key, flow& one);
    void arm(flow_key const& key, flow& one, double delay);
    void retransmit(flow_key const& key, std::uint64_t timer);
    void beat(std::uint64_t boot);

    event_queue& events;
    store& entries;
    int socket = -1;
    std::map<flow_key, flow> flows = {};
    std::deque<std::pair<flow_key, std::string>> waiting = {};
    unsigned running = 0;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
    std::uint64_t last_timer = 0;
    std::uint64_t born = 0;
    double warm_at = 0;
    std::mt19937 random;
};

// ---- router -------------------------------------------------------------

class router
{
public:
    router(event_queue& events, std::vector<address> ready,
           std::vector<address> packets);
    std::optional<address> choose(packet const& from) const;
    std::size_t count_ready() const;

private:
    struct node
    {
        address ready = {};
        address packets = {};
        bool is_in = false;
        int misses = 0;
    };

    void poll(std::size_t index);
    void record(std::size_t index, bool is_ready);

    event_queue& events;
    std::vector<node> nodes = {};
};

// ---- requester ----------------------------------------------------------

struct attempt
{
    std::string id = {};
    address route = {};
    address source = {};
    double sent_at = 0;
    std::string outcome = "open";  // answered, reset, no flow, time budget
};

struct reset_record
{
    double at = 0;
    address source = {};
    address route = {};
    bool is_open = false;  // the requester had opened the flow
    bool is_in_window = false;
    bool is_request_waiting = false;
};

class requester
{
public:
    requester(event_queue& events, router const& routes, address local);

    // Opens a flow, sends `request_count` requests with pauses between them, and
    // closes the flow.
    void start_flow(address route, unsigned request_count, double pause,
                    double budget);

    address local;
    std::vector<attempt> attempts = {};
    std::vector<reset_record> resets = {};   // of the system
    std::uint64_t altered_count = 0;         // neither valid nor a reset
    std::uint64_t endpoint_reset_count = 0;  // sent by an endpoint
    std::function<void(reset_record const&)> on_reset = {};
    std::size_t count_open() const;

private:
    struct flow
    {
        address source = {};
        address route = {};
        std::uint64_t number = 0;
        bool is_open = false;
        bool is_closed = false;
        std::uint32_t sequence = 0;
        std::uint32_t expected = 0;
        std::uint32_t acknowledged = 0;
        std::string output = {};
        std::uint32_t sent_to = 0;
        std::string input = {};
        std::map<std::uint32_t, std::string> early = {};
        unsigned requests_left = 0;
        double pause = 0;
        double budget = 0;
        std::optional<std::size_t> waiting = {};  // index of the attempt
        int retries = 0;
        std::uint64_t timer = 0;
        unsigned unacknowledged_packets = 0;
        bool has_sent_fin = false;
    };

    void receive();
    void handle(flow& one, packet const& from);
    void handle_reset(flow& one, packet const& from);
    void send(flow const& one, unsigned flags, std::uint32_t sequence,
              std::uint32_t acknowledgement, std::string const& data);
    void send_opening(std::uint16_t port, std::uint64_t number, unsigned copy);
    void send_request(flow& one);
    void send_output(flow& one);
    void arm(flow& one, double delay);
    void retransmit(std::uint16_t port, std::uint64_t timer);
    void take_answers(flow& one);
    void end(flow& one, std::string const& outcome);

    event_queue& events;
    router const& routes;
    int socket = -1;
    std::uint16_t next_port = 20'000;
    std::uint64_t last_number = 0;
    std::uint64_t last_timer = 0;
    std::map<std::uint16_t, flow> flows = {};
    std::mt19937 random;
};

// ---- world --------------------------------------------------------------

struct route_settings
{
    address at = {};
    std::string type = "safe";
    unsigned timeout_ms = 1000;
    unsigned objective_ms = 100;
    unsigned priority = 2;
    std::vector<std::pair<std::string, unsigned>> services =
        {};  // with weights
};

struct configuration
{
    unsigned version = 1;
    std::vector<route_settings> routes = {};
    std::vector<std::string> services = {};
    unsigned idle_timeout_ms = 15'000;
};

std::string to_text(configuration const& value);

struct side
{
    std::unique_ptr<process> target = {};
    std::unique_ptr<endpoint> server = {};
};

struct world_settings
{
    unsigned front_count = 2;
    unsigned config_apply_ms = 3000;
    unsigned max_flow_s = 60;
    unsigned grace_s = 6;
};

class world
{
public:
    world(std::string folder, world_settings settings);
    ~world();

    void add_front(bool starts_now = true);
    side& add_side(endpoint_settings const& server, bool is_first_start = true);
    void start_routers();
    requester& add_requester();
    void apply(configuration const& next);

    // Writes one line to the record.
    void note(std::string const& line);

    // Writes what was sent, answered and run.
    void note_requests();

    event_queue events = {};
    std::unique_ptr<store> platform = {};
    std::unique_ptr<router> routes = {};
    std::vector<std::unique_ptr<process>> fronts = {};
    std::vector<std::unique_ptr<side>> sides = {};
    std::vector<std::unique_ptr<requester>> requesters = {};
    address make(unsigned group, unsigned index, unsigned port_index) const;
    address make_route(std::uint16_t port) const;

private:
    std::string write_settings(std::string const& name,
                               std::string const& text) const;

    std::string folder;
    world_settings settings;
    std::uint16_t first_port = 0;
    unsigned side_count = 0;
    std::FILE* record = nullptr;
    std::string temporary = {};
    std::string log_folder = {};  // REVIEW_LOGS, or the temporary one
};

// The body of a case's main function. The folder for record.txt is the first
// argument; TROUBLE=0 leaves out the disruption. Returns 0 if the rule held, 1 if
// it was broken, 2 if the case could not run.
int run_case(int argc, char** argv,
             int (*run)(std::string const& folder, bool has_trouble));

}  // namespace review
