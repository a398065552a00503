// One run of the soak: real entries and targets as processes on loopback;
// requesters, back ends, routers, the store and a proxy in this one, on one
// loop. Faults come as planned, and promises are judged all the while.
//
// Index
//   run_options   where it runs, and which promise is broken on purpose
//   soak_run      the program of the loop
#pragma once

#include "back_ends.hpp"
#include "callers.hpp"
#include "catalog/published.hpp"
#include "children.hpp"
#include "fleet.hpp"
#include "links.hpp"
#include "loop/event_loop.hpp"
#include "plan.hpp"
#include "promises.hpp"
#include "store_front.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace lagoon::soak {

// ---- run_options --------------------------------------------------------

struct run_options
{
    std::string programs = {};  // the folder of the binaries
    std::string folder = {};    // for settings and logs of this run
    std::uint32_t net = 0;      // 127.NET.0.0
    // What the soak does wrong itself, to show that it is noticed.
    promise broken_on_purpose = promise::last;
    auto operator<=>(run_options const&) const = default;
};

// ---- soak_run -----------------------------------------------------------

template <soak_format Format, stored_documents Store>
class soak_run : public quiet_program
{
public:
    soak_run(soak_plan plan, run_options options);

    bool open(failure& last);
    void run();

    promise_book const& verdict() const;
    time_point begun() const;

    // What the loop asks for.
    void on_datagram(lane by, peer_address from, std::string_view bytes);
    void on_tick();
    void on_http_request(exchange_id exchange, http_request const& request);
    void on_http_gone(exchange_id exchange);
    void on_http_end(exchange_id exchange, http_result const& result);
    bool wants_to_stop() const;

private:
    static constexpr duration tick_interval = 5ms;
    static constexpr duration restart_delay = 300ms;
    static constexpr duration address_rest = 2s;  // before it is used again
    static constexpr duration listed_after_crash = 3600ms;  // three heartbeats
    static constexpr duration serves_while_leaving = 4s;
    static constexpr duration probe_interval = 500ms;
    static constexpr std::uint32_t misses_allowed = 2;
    static constexpr std::size_t caller_count = 8;
    static constexpr double requests_per_target = 6;  // a second
    static constexpr std::uint64_t log_lines = 400;   // a second
    static constexpr lane router_lane{0};
    static constexpr lane back_end_lane{1};
    static constexpr std::uint8_t first_caller_lane = 2;
    static constexpr std::uint8_t first_machine_lane =
        first_caller_lane + caller_count;

    struct timed_work
    {
        time_point at = {};
        std::uint64_t order = 0;
        std::function<void()> what = {};

        bool operator<(timed_work const& other) const
        {
            if (this->at != other.at)
                return this->at > other.at;
            return this->order > other.order;
        }
    };

    struct back_end_node
    {
        std::string service = {};
        std::unique_ptr<soak_back_end> back_end = {};
        bool is_replaced = false;  // work on it is under way
    };

    struct entry_node
    {
        std::uint32_t misses = misses_allowed;  // probes without an answer
        std::optional<exchange_id> probe = {};
    };

    struct waiting_call
    {
        http_request request = {};
        std::size_t entry = 0;
        time_point asked = {};
        auto operator<=>(waiting_call const&) const = default;
    };

    // -- time
    void after(duration delay, std::function<void()> what);
    bool breaks(promise what) const;

    // -- machines
    std::size_t machines() const;
    bool is_entry(std::size_t machine) const;
    std::string key_of(std::size_t machine) const;
    void write_settings(std::size_t machine, std::string const& text);
    std::string settings_of(std::size_t machine, std::uint64_t lines) const;
    void start_process(std::size_t machine);
    void take_ended(ended_child const& ended);
    void start_back_end(std::size_t machine);
    void end_back_end(std::size_t machine);
    void publish(std::size_t machine, target_state state);
    soak_back_end* back_end_of(std::size_t machine);

    // -- faults
    void strike(fault const& what);
    void strike_process(fault const& what);
    void crash_back_end(std::size_t machine);
    void replace_target(std::size_t machine);
    void retire_target(std::size_t machine);
    void kill_all(bool with_back_ends);
    void change_routes(std::size_t count);
    void store_routes();
    void break_on_purpose();

    // -- packets
    void send_in(soak_packets const& packets);
    void pass_on(lane by, std::size_t from, std::string_view bytes);
    void take_for_caller(std::size_t from, std::string_view bytes);
    void take_for_back_end(std::size_t machine, std::string_view bytes);
    void send_outbound(std::size_t machine, soak_packets const& packets);
    std::size_t choose_entry(connection_ends const& ends) const;

    // -- the store, and probes
    bool serve(exchange_id exchange, waiting_call const& call);
    void probe_entries();

    soak_plan plan;
    run_options options;
    fleet_addresses at;
    std::vector<std::string> services = {"archive", "renewals", "members"};
    promise_book book = promise_book{};
    seeded_random random;
    link_faults links;
    store_front<Store> store;
    caller_crowd crowd;
    child_group children = {};
    std::map<std::size_t, back_end_node> back_ends = {};  // by machine
    std::vector<entry_node> entries = {};
    std::map<exchange_id, waiting_call> waiting = {};
    std::priority_queue<timed_work> work = {};
    std::uint64_t last_order = 0;
    std::uint64_t last_life = 0;
    std::uint64_t version = 0;
    bool first_start = true;
    bool stays_dark = false;
    time_point start;
    time_point next_request;
    time_point next_probe = {};
    event_loop<soak_run> loop;
};

}  // namespace lagoon::soak

#include "soak_run.ipp"
