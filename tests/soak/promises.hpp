// What callers and back ends are promised, judged from their own records
// alone. Bounds hold for machines in touch: those that nothing unplanned has
// struck for a while, as the users' rules say.
//
// Index
//   promise          each of them
//   promise_bounds   the users' figures
//   calm_record      when each machine and the store were last disturbed
//   route_history    what each version of the routes allows
//   promise_book     the judge
#pragma once

#include "connection/packet.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoon::soak {

using namespace std::chrono_literals;

// ---- promise ------------------------------------------------------------

enum class promise : std::uint8_t
{
    runs_once,               // of requests that may not be repeated
    refusals_are_true,       // what was told not to have run has not
    answers_are_whole,       // and belong to their request
    packets_are_unaltered,   // in both directions
    right_service,           // no packet opens at another one
    open_connections_stay,   // no reset of ours while the back end lives
    packets_find_their_own,  // of open connections
    leaving_admits_nothing,  // after the bound
    routes_in_force,         // after the bound
    routes_never_back,       // in one life of a process
    back_in_time,            // after everything was killed
    stops_in_time,
    stays_up,
    last  // none: how many there are
};

char const* to_text(promise value);

struct broken_promise
{
    promise what = promise::last;
    time_point at = {};
    std::string detail = {};
    auto operator<=>(broken_promise const&) const = default;
};

// ---- promise_bounds -----------------------------------------------------

// The usual figures of the users' settings.
struct promise_bounds
{
    duration contact = 4s;      // calm for this long: in touch
    duration leaving = 3s;      // until a leaving back end gets nothing new
    duration routes = 3s;       // until a version is in force
    duration rollback = 250ms;  // between two versions at one entry
    duration astray = 2s;       // packets of a connection that go elsewhere
    duration recovery = 12s;    // after everything was killed
    duration recovery_look = 4s;
    double recovered_share = 0.25;  // of requests, served
    duration stop = 6s;             // from the signal to the end
    duration longest_connection = 60s;
    auto operator<=>(promise_bounds const&) const = default;
};

// ---- calm_record --------------------------------------------------------

enum class disturbance : std::uint8_t
{
    planned,
    unplanned
};

class calm_record
{
public:
    explicit calm_record(duration contact) : contact(contact) {}

    void disturb(std::size_t machine, disturbance how, time_point upto);
    void disturb_store(time_point upto);

    bool is_calm(std::size_t machine, time_point at) const;
    // Planned work aside.
    bool is_unharmed(std::size_t machine, time_point at) const;
    bool is_store_calm(time_point at) const;

private:
    bool is_past(time_point upto, time_point at) const;

    duration contact;
    std::map<std::size_t, time_point> planned = {};
    std::map<std::size_t, time_point> unplanned = {};
    time_point store = {};
};

// ---- route_history ------------------------------------------------------

struct route_version
{
    time_point acked = {};
    std::map<peer_address, std::set<std::string>> services = {};  // of routes
    auto operator<=>(route_version const&) const = default;
};

class route_history
{
public:
    void add(route_version version);

    // The first version from `from` on that sends the route to the service.
    std::optional<std::size_t> first_that_allows(peer_address route,
                                                 std::string const& service,
                                                 std::size_t from) const;
    // The newest that was stored at this time; 0 before there was any.
    std::size_t newest_at(time_point time) const;
    // Whether the route was there in every version from that time on.
    bool kept(peer_address route, time_point since) const;

private:
    std::vector<route_version> versions = {};
};

// ---- promise_book -------------------------------------------------------

struct request_key
{
    std::uint64_t wish = 0;
    std::uint32_t attempt = 0;
    auto operator<=>(request_key const&) const = default;
};

std::string to_text(request_key const& key);
std::optional<request_key> parse_request_key(std::string const& text);

// One start of a back end.
struct back_end_life
{
    std::uint64_t value = 0;
    auto operator<=>(back_end_life const&) const = default;
};

class promise_book
{
public:
    explicit promise_book(promise_bounds bounds = {});

    // -- what was done to the system
    void disturb(std::size_t machine, disturbance how, time_point upto);
    void disturb_store(time_point upto);
    void process_started(std::size_t machine);
    void process_ended(std::size_t machine, std::string const& how,
                       time_point at);
    void process_stopped(std::size_t machine, duration took, time_point at);
    void killed_all(time_point back_at);
    // The soak itself stood still until now, and all that it stands in for.
    void stalled(std::size_t machines, time_point now);
    void routes_stored(route_version version);

    // -- back ends
    void back_end_started(back_end_life life, std::size_t machine,
                          std::string const& service);
    void back_end_leaves(back_end_life life, time_point acked);
    void back_end_gone(back_end_life life);

    // -- connections
    void sent(connection_endpoints const& endpoints, std::size_t entry,
              bool opens, time_point at);
    void accepted(connection_endpoints const& endpoints, back_end_life by,
                  time_point at);
    void opened(connection_endpoints const& endpoints, back_end_life by,
                time_point at);
    void reached(connection_endpoints const& endpoints, back_end_life by,
                 time_point at);
    void strayed(connection_endpoints const& endpoints, time_point at);
    void reset(connection_endpoints const& endpoints, std::size_t by,
               time_point at);
    void closed(connection_endpoints const& endpoints);
    void altered(connection_endpoints const& endpoints, time_point at);

    // -- requests
    void ran(request_key const& which, bool may_repeat, time_point at);
    void told_not_run(request_key const& which, time_point at);
    void answered(request_key const& which, bool is_whole, time_point at);
    void ended(time_point begun, bool is_served);

    // -- the verdict
    void finish(time_point at);
    std::vector<broken_promise> const& broken() const;
    std::size_t served() const;
    std::size_t failed() const;
    std::size_t cut() const;  // open connections, all that were reset

private:
    struct back_end_record
    {
        std::size_t machine = 0;
        std::string service = {};
        std::optional<time_point> leaves = {};
        bool lives = true;
        auto operator<=>(back_end_record const&) const = default;
    };

    struct connection_record
    {
        time_point first_sent = {};
        std::set<std::size_t> entries = {};  // that got opening packets
        std::size_t last_entry = 0;
        std::optional<back_end_life> holder = {};
        time_point opened_at = {};
        bool over = false;
        std::size_t strays = 0;  // since one found its own
        time_point astray_since = {};
        auto operator<=>(connection_record const&) const = default;
    };

    struct entry_record
    {
        std::size_t version = 0;  // the effect of which was seen
        time_point seen = {};
        auto operator<=>(entry_record const&) const = default;
    };

    struct wish_record
    {
        std::size_t runs = 0;
        std::set<std::uint32_t> ran = {};      // attempts
        std::set<std::uint32_t> refused = {};  // attempts
        auto operator<=>(wish_record const&) const = default;
    };

    void breaks(promise what, time_point at, std::string detail);
    void judge_routes(connection_endpoints const& endpoints,
                      connection_record const& connection,
                      std::string const& service, time_point at);
    void judge_versions(connection_endpoints const& endpoints,
                        connection_record const& connection,
                        std::string const& service, time_point at);
    void judge_leaving(connection_endpoints const& endpoints,
                       connection_record const& connection,
                       back_end_record const& by, time_point at);
    bool entries_calm(connection_record const& connection, time_point at) const;
    // The back end that holds an open connection, while it lives.
    back_end_record const* holder_of(connection_record const& connection) const;

    promise_bounds bounds;
    calm_record calm;
    route_history routes = {};
    std::map<back_end_life, back_end_record> back_ends = {};
    std::map<connection_endpoints, connection_record> connections = {};
    std::map<std::size_t, entry_record> entries = {};
    std::map<std::uint64_t, wish_record> wishes = {};
    std::optional<time_point> back_at = {};
    std::size_t look_served = 0;  // of requests begun in the look
    std::size_t look_begun = 0;
    std::size_t count_served = 0;
    std::size_t count_failed = 0;
    std::size_t count_cut = 0;
    std::vector<broken_promise> found = {};
};

}  // namespace lagoon::soak
