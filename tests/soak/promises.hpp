// The promises to callers and back ends, checked only by what callers and back
// ends of the soak observe. Time limits apply to machines that no unplanned
// fault has affected for the settling time, as the users' rules specify.
//
// Index
//   promise              promises that are checked
//   promise_bounds       time limits of the promises
//   disturbance_record   latest disturbances of each machine and the store
//   route_history        services that each version of the routes allows
//   request_key          id of one attempt of a request
//   promise_checker      receives the observations and checks them
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
    runs_once,               // requests that are not idempotent
    refusals_are_true,       // a request that was refused has not run
    answers_are_whole,       // and answer their own request
    packets_are_unaltered,   // in both directions
    right_service,           // connections open only at a service of the route
    open_connections_stay,   // no process resets one while its back end runs
    packets_find_their_own,  // reach the back end of their open connection
    leaving_admits_nothing,  // no connection opens there after the limit
    evacuated_admits_nothing,  // data centre, after the limit
    routes_in_force,           // a stored version, after the limit
    routes_never_back,         // no older version until the process restarts
    back_in_time,              // requests are served after all were killed
    stops_in_time,             // after a request to stop
    stays_up,                  // no process exits by itself
    last                       // number of promises; also stands for no promise
};

char const* to_text(promise value);

struct broken_promise
{
    promise kind = promise::last;
    time_point at = {};
    std::string detail = {};
    auto operator<=>(broken_promise const&) const = default;
};

// ---- promise_bounds -----------------------------------------------------

// The defaults match the default settings of the programs.
struct promise_bounds
{
    duration settling_time = 4s;  // without disturbance, before limits apply
    duration leaving_limit = 3s;  // until a leaving back end gets no connection
    duration routes_limit = 3s;   // until a stored version is in force
    duration evacuation_limit = 3s;    // until an evacuation is in force
    duration version_overlap = 250ms;  // of two versions at one entry
    duration misrouted_limit = 2s;     // span of consecutive misrouted packets
    duration recovery_limit = 12s;     // after all processes were killed
    duration recovery_window = 4s;
    double min_served_share = 0.25;  // of the requests in the window
    duration stop_limit = 6s;        // from the signal to the exit
    duration max_connection_age = 60s;
    auto operator<=>(promise_bounds const&) const = default;
};

// ---- disturbance_record -------------------------------------------------

enum class disturbance : std::uint8_t
{
    planned,
    unplanned,
    store_refused  // unplanned, but the entry still reaches its peers
};

class disturbance_record
{
public:
    explicit disturbance_record(duration settling_time)
        : settling_time(settling_time)
    {
    }

    void record_disturbance(std::size_t machine, disturbance kind,
                            time_point until);
    void record_store_disturbance(time_point until);

    bool is_undisturbed(std::size_t machine, time_point at) const;
    // Like is_undisturbed, but ignores planned disturbances.
    bool is_free_of_faults(std::size_t machine, time_point at) const;
    // Like is_undisturbed, but ignores that the store refused the calls of this
    // entry.
    bool is_in_contact(std::size_t machine, time_point at) const;
    bool is_store_undisturbed(time_point at) const;

private:
    using until_times = std::map<std::size_t, time_point>;

    bool has_settled(time_point until, time_point at) const;
    bool has_settled(until_times const& times, std::size_t machine,
                     time_point at) const;

    duration settling_time;
    until_times planned_until = {};
    until_times unplanned_until = {};
    until_times store_refused_until = {};
    time_point store_disturbed_until = {};
};

// ---- route_history ------------------------------------------------------

struct route_version
{
    time_point stored_at = {};
    std::map<peer_address, std::set<std::string>> services = {};  // by route
    auto operator<=>(route_version const&) const = default;
};

class route_history
{
public:
    void add(route_version version);

    // Returns the first version, starting at `from`, in which the route leads
    // to the service.
    std::optional<std::size_t> find_version_allowing(peer_address route,
                                                     std::string const& service,
                                                     std::size_t from) const;
    // Returns the newest version stored by this time; 0 before the first.
    std::size_t find_newest_at(time_point time) const;
    // Whether every version since that time has the route.
    bool is_present_since(peer_address route, time_point since) const;

private:
    std::vector<route_version> versions = {};
};

// ---- request_key --------------------------------------------------------

struct request_key
{
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    auto operator<=>(request_key const&) const = default;
};

std::string to_text(request_key const& key);
std::optional<request_key> parse_request_key(std::string const& text);

// ---- promise_checker ----------------------------------------------------

// Identifies one start of a back end.
struct back_end_incarnation
{
    std::uint64_t value = 0;
    auto operator<=>(back_end_incarnation const&) const = default;
};

class promise_checker
{
public:
    explicit promise_checker(promise_bounds bounds = {});

    // -- disturbances, processes and routes
    void record_disturbance(std::size_t machine, disturbance kind,
                            time_point until);
    void record_store_disturbance(time_point until);
    void on_process_started(std::size_t machine);
    void on_process_exited(std::size_t machine, std::string const& exit_text,
                           time_point at);
    void on_process_stopped(std::size_t machine, duration stop_time,
                            time_point at);
    // All processes were killed; their restart begins at the given time.
    void on_all_killed(time_point restarted_at);
    // The soak itself was suspended until now, and with it the store, callers
    // and back ends that it simulates.
    void on_stall(std::size_t machine_count, time_point now);
    void on_routes_stored(route_version version);
    void on_evacuation_stored(std::string const& data_centre, time_point at);
    void on_evacuation_removed(std::string const& data_centre);

    // -- back ends
    void on_back_end_started(back_end_incarnation incarnation,
                             std::size_t machine, std::string const& service,
                             std::string const& data_centre);
    void on_back_end_leaving(back_end_incarnation incarnation,
                             time_point stored_at);
    void on_back_end_ended(back_end_incarnation incarnation);

    // -- connections
    void on_packet_sent(connection_endpoints const& endpoints,
                        std::size_t entry, bool is_opening, time_point at);
    void on_connection_accepted(connection_endpoints const& endpoints,
                                back_end_incarnation incarnation,
                                time_point at);
    void on_connection_opened(connection_endpoints const& endpoints,
                              back_end_incarnation incarnation, time_point at);
    void on_packet_delivered(connection_endpoints const& endpoints,
                             back_end_incarnation incarnation, time_point at);
    void on_packet_misrouted(connection_endpoints const& endpoints,
                             time_point at);
    void on_connection_reset(connection_endpoints const& endpoints,
                             std::size_t machine, time_point at);
    void on_connection_closed(connection_endpoints const& endpoints);
    void on_packet_altered(connection_endpoints const& endpoints,
                           time_point at);

    // -- requests
    void on_request_run(request_key const& key, bool is_idempotent,
                        time_point at);
    void on_request_refused(request_key const& key, time_point at);
    void on_request_answered(request_key const& key, bool is_complete,
                             time_point at);
    void on_request_ended(time_point requested_at, bool is_served);

    // -- results
    void finish(time_point at);
    std::vector<broken_promise> const& broken_promises() const;
    std::size_t get_served_count() const;
    std::size_t get_failed_count() const;
    // Open connections that were reset, whether or not a promise allows it.
    std::size_t get_reset_count() const;

private:
    struct back_end_record
    {
        std::size_t machine = 0;
        std::string service = {};
        std::string data_centre = {};
        std::optional<time_point> leaving_at = {};
        bool is_alive = true;
        auto operator<=>(back_end_record const&) const = default;
    };

    struct connection_record
    {
        time_point first_sent = {};
        std::set<std::size_t> entries = {};  // that received opening packets
        std::size_t last_entry = 0;
        std::optional<back_end_incarnation> holder = {};
        time_point opened_at = {};
        bool is_closed = false;
        std::size_t misrouted_count = 0;  // since the last delivered packet
        time_point misrouted_since = {};
        auto operator<=>(connection_record const&) const = default;
    };

    struct entry_record
    {
        std::size_t version = 0;  // newest version observed
        time_point seen_at = {};
        auto operator<=>(entry_record const&) const = default;
    };

    struct request_record
    {
        std::size_t run_count = 0;
        std::set<std::uint32_t> run_attempts = {};
        std::set<std::uint32_t> refused_attempts = {};
        auto operator<=>(request_record const&) const = default;
    };

    void report_broken(promise kind, time_point at, std::string detail);
    void check_routes(connection_endpoints const& endpoints,
                      connection_record const& connection,
                      std::string const& service, time_point at);
    void check_versions(connection_endpoints const& endpoints,
                        connection_record const& connection,
                        std::string const& service, time_point at);
    void check_leaving(connection_endpoints const& endpoints,
                       connection_record const& connection,
                       back_end_record const& back_end, time_point at);
    void check_evacuation(connection_endpoints const& endpoints,
                          connection_record const& connection,
                          back_end_record const& back_end, time_point at);
    // Whether the entry reached the store or a peer that did.
    bool can_read_changes(std::size_t entry, time_point at) const;
    bool are_entries_undisturbed(connection_record const& connection,
                                 time_point at) const;
    // Returns the running back end of an open connection, else null.
    back_end_record const*
    find_holder(connection_record const& connection) const;

    promise_bounds bounds;
    disturbance_record disturbances;
    route_history routes = {};
    std::map<std::string, time_point> evacuated_since = {};  // by data centre
    std::set<std::size_t> known_entries = {};  // that callers sent packets to
    std::map<back_end_incarnation, back_end_record> back_ends = {};
    std::map<connection_endpoints, connection_record> connections = {};
    std::map<std::size_t, entry_record> entries = {};
    std::map<std::uint64_t, request_record> requests = {};
    std::optional<time_point> restarted_at = {};
    std::size_t window_served_count = 0;  // of the recovery window
    std::size_t window_request_count = 0;
    std::size_t served_count = 0;
    std::size_t failed_count = 0;
    std::size_t reset_count = 0;
    std::vector<broken_promise> broken = {};
};

}  // namespace lagoon::soak
