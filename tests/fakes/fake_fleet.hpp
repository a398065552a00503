// Simulation of flows: the real entries, targets and sessions, driven by an
// event queue in virtual time. The network, the platform and the back ends are
// simulated and fail as a test requests. The simulation uses no sockets, system
// clock, threads or codec.
//
// Index
//   fake_run        a run recorded by a back end
//   fake_network    loss, duplication and delays; state of the platform
//   fake_fleet      the simulated fleet
//   helpers         records and requests for tests
#pragma once

#include "caller/session.hpp"
#include "entry/entry.hpp"
#include "target/target.hpp"

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lagoon::fakes {

using namespace std::chrono_literals;

// ---- fake_run -----------------------------------------------------------

struct fake_run
{
    std::string tag = {};  // first word of the request body
    service_id service = {};
    target_id target = {};
    request_key request = {};
    time_point started_at = {};
    auto operator<=>(fake_run const&) const = default;
};

// ---- fake_network -------------------------------------------------------

struct fake_network
{
    double loss_rate = 0;         // share of packets
    double duplication_rate = 0;  // share of packets
    duration min_delay = 500us;   // one way
    duration max_delay = 1500us;  // one way; a spread reorders packets
    auto operator<=>(fake_network const&) const = default;
};

enum class fake_platform_mode : std::uint8_t
{
    good,
    down,  // reads fail
    stale  // reads return `stale_copy`
};

// One direction between two sockets.
struct network_path
{
    peer_address from = {};
    peer_address to = {};
    auto operator<=>(network_path const&) const = default;
};

struct recorded_outcome
{
    std::string tag = {};
    request_outcome outcome = {};
    time_point recorded_at = {};
    auto operator<=>(recorded_outcome const&) const = default;
};

// ---- fake_fleet ---------------------------------------------------------

template <target_policy P = standard_policy> class fake_fleet
{
public:
    explicit fake_fleet(std::uint64_t seed) : random(seed) {}

    // -- configuration

    // Publishes a catalog, which processes receive from the platform or from
    // peers. `number` is its generation; the default is the next one.
    void publish(std::vector<service_part> const& parts,
                 std::optional<std::uint64_t> number = std::nullopt)
    {
        generation const next{
            number.value_or(this->published.version().number.value + 1)};
        std::vector<service_part> changed;
        for (service_part part : parts) {
            part.changed_at = next;
            std::sort(part.callers.begin(), part.callers.end());
            changed.push_back(part);
        }
        fleet_part fleet{next, {}};
        for (auto const& [name, node] : this->entries)
            fleet.entries.push_back(node.record);
        std::sort(fleet.entries.begin(), fleet.entries.end());
        this->published = make_catalog(next, changed, fleet);
    }

    // -- processes

    peer_address add_entry(std::string const& name)
    {
        auto const index = static_cast<std::uint32_t>(this->entries.size());
        peer_address const exchange{entry_ip + index, exchange_port};
        entry_record const record{make_process_id(name),
                                  name,
                                  "zg-a",
                                  exchange,
                                  {entry_ip + index, control_port}};
        this->entries[name] = {record, nullptr, false, {}};
        this->start_entry(name);
        return exchange;
    }

    void start_entry(std::string const& name)
    {
        entry_node& node = this->entries[name];
        node.core = std::make_unique<entry<seeded_random>>(
            membership_settings{node.record.id, node.record.data_centre,
                                node.record.exchange, node.record.control,
                                this->seeds()},
            seeded_random{this->random()}, this->time);
        node.is_paused = false;
        node.inbox.clear();
        this->schedule(this->time,
                       process_tick{name, ++this->last_incarnation});
        node.incarnation = this->last_incarnation;
    }

    target_record add_target(std::string const& name, std::uint32_t slots,
                             duration warm_up_time = {})
    {
        auto const index = static_cast<std::uint32_t>(this->targets.size());
        target_record const record{make_target_id(name),
                                   name,
                                   "zg-a",
                                   {target_ip + index, packet_port},
                                   {target_ip + index, control_port},
                                   slots,
                                   target_state::serving};
        this->targets[name] = {record, warm_up_time, nullptr, false, {}, {}, 0};
        this->start_target(name);
        return record;
    }

    void start_target(std::string const& name)
    {
        target_node& node = this->targets[name];
        token_key key{};
        key[0] = static_cast<std::uint8_t>(this->random());
        key[1] = static_cast<std::uint8_t>(this->random());
        node.core = std::make_unique<target<P>>(
            target_settings{
                .self = node.record.id,
                .address = node.record.address,
                .key = key,
                .own_epoch = {this->random()},
                .admission = {.slots = node.record.slots,
                              .max_queue_length = this->max_queue_length,
                              .ramp_up_time = node.warm_up_time},
                .flows = {}},
            membership_settings{make_process_id(name), "zg-a",
                                node.record.address, node.record.control,
                                this->seeds()},
            typename P::random{this->random()}, this->time);
        node.is_paused = false;
        node.inbox.clear();
        this->schedule(this->time,
                       process_tick{name, ++this->last_incarnation});
        node.incarnation = this->last_incarnation;
    }

    void kill(std::string const& name)
    {
        if (this->entries.contains(name))
            this->entries[name].core.reset();
        else
            this->targets[name].core.reset();
    }

    // A paused process handles no events; they are queued until it resumes.
    void pause(std::string const& name)
    {
        if (this->entries.contains(name))
            this->entries[name].is_paused = true;
        else
            this->targets[name].is_paused = true;
    }

    // Handles all queued events before the next clock tick.
    void resume(std::string const& name)
    {
        if (this->entries.contains(name))
            this->resume_node(this->entries[name], name);
        else
            this->resume_node(this->targets[name], name);
    }

    void stop(std::string const& name)
    {
        if (this->entries.contains(name))
            this->feed_entry(name, entry_event{stop_requested{}});
        else
            this->feed_target(name, target_event{stop_requested{}});
    }

    // -- callers

    // Adds a session with a port of its own and returns its index.
    std::size_t add_caller(std::string const& service,
                           std::string const& caller)
    {
        std::size_t const index = this->callers.size();
        this->callers.push_back(std::make_unique<caller_node>(
            session_settings{make_service_id(service), make_caller_id(caller)},
            seeded_random{this->random()}, this->budget, index));
        this->schedule(this->time, caller_tick{index});
        return index;
    }

    void start_request(std::size_t caller, request_spec const& spec)
    {
        caller_node& node = *this->callers[caller];
        node.tag = spec.body.substr(0, spec.body.find(' '));
        this->feed_caller(caller, session_event{begin_request{spec}});
    }

    bool is_busy(std::size_t caller) const
    {
        return this->callers[caller]->core.is_busy();
    }

    // -- time

    void run_for(duration span)
    {
        time_point const until = this->time + span;
        while (!this->queue.empty() && this->queue.top().at <= until)
            this->step();
        this->time = until;
    }

    // Runs until every request has its outcome. Returns false if some have none
    // after `max_duration`.
    bool run_until_idle(duration max_duration)
    {
        time_point const until = this->time + max_duration;
        while (this->is_any_caller_busy() && this->time < until)
            this->run_for(10ms);
        return !this->is_any_caller_busy();
    }

    time_point now() const
    {
        return this->time;
    }

    // -- results

    entry<seeded_random>& entry_core(std::string const& name)
    {
        return *this->entries.at(name).core;
    }

    target<P>& target_core(std::string const& name)
    {
        return *this->targets.at(name).core;
    }

    std::size_t count_runs(std::string const& tag) const
    {
        return static_cast<std::size_t>(std::count_if(
            this->runs.begin(), this->runs.end(), [&tag](auto const& one) {
                return one.tag == tag;
            }));
    }

    recorded_outcome const* outcome_of(std::string const& tag) const
    {
        for (recorded_outcome const& one : this->outcomes)
            if (one.tag == tag)
                return &one;
        return nullptr;
    }

    // Returns the number of running processes that use this version.
    std::size_t count_processes_at(catalog_version const& version) const
    {
        std::size_t count = 0;
        for (auto const& [name, node] : this->entries)
            count +=
                node.core && node.core->configuration().version() == version
                    ? 1U
                    : 0U;
        for (auto const& [name, node] : this->targets)
            count +=
                node.core && node.core->configuration().version() == version
                    ? 1U
                    : 0U;
        return count;
    }

    // Drops all packets in this direction from now on.
    void cut_path(peer_address from, peer_address to)
    {
        this->cut_paths.insert({from, to});
    }

    void heal_network()
    {
        this->cut_paths.clear();
        this->isolated_processes.clear();
    }

    // Partitions the network: the named processes reach only each other.
    void partition(std::set<std::string> const& names)
    {
        this->isolated_processes = names;
    }

    // Packets of callers are spread over all entries, including killed ones,
    // except over those named here.
    std::set<std::string> withdrawn = {};
    fake_network network = {};
    fake_platform_mode platform = fake_platform_mode::good;
    catalog published = {};
    catalog stale_copy = {};
    std::vector<fake_run> runs = {};
    std::vector<recorded_outcome> outcomes = {};
    std::vector<report_failure> failures = {};
    std::vector<request_settled> settled_requests = {};
    std::set<std::string> targets_losing_answers = {};
    std::map<std::string, double> slowdowns = {};     // factors, by target
    std::map<std::string, duration> busy_times = {};  // of slots, by target
    std::size_t platform_reads = 0;
    std::size_t control_packets = 0;
    std::size_t packets_sent = 0;
    std::size_t max_queue_length = 256;
    bool is_keeping_answers = true;  // false saves memory in long runs

private:
    // -- addresses

    static constexpr std::uint32_t entry_ip = 0x0A000001;   // from 10.0.0.1
    static constexpr std::uint32_t target_ip = 0x0A010001;  // from 10.1.0.1
    static constexpr std::uint32_t caller_ip = 0x0A020001;  // from 10.2.0.1
    static constexpr std::uint16_t caller_port = 1;
    static constexpr std::uint16_t exchange_port = 2;
    static constexpr std::uint16_t peer_socket_port = 3;  // first one
    static constexpr std::uint16_t packet_port = 10;
    static constexpr std::uint16_t control_port = 20;
    static constexpr duration tick_interval = 20ms;
    static constexpr duration control_delay = 3ms;

    // -- events

    struct process_tick
    {
        std::string name = {};
        std::uint64_t incarnation = 0;  // for which it is scheduled
    };

    struct caller_tick
    {
        std::size_t caller = 0;
    };

    struct entry_delivery
    {
        std::string name = {};
        entry_event event = {};
    };

    struct target_delivery
    {
        std::string name = {};
        target_event event = {};
    };

    struct caller_delivery
    {
        std::size_t caller = 0;
        std::uint16_t port = 0;
        answer_message message = {};
    };

    struct run_completion
    {
        std::string target = {};
        run_id run = {};
        std::uint64_t incarnation = 0;  // of the process that started it
        std::size_t size = 0;           // bytes of the answer
    };

    using action =
        std::variant<process_tick, caller_tick, entry_delivery, target_delivery,
                     caller_delivery, run_completion>;

    struct queued_action
    {
        time_point at = {};
        std::uint64_t order = 0;
        action scheduled = {};

        bool operator<(queued_action const& other) const
        {
            // The top of a priority_queue is its largest element; order by
            // time, earliest first.
            if (this->at != other.at)
                return this->at > other.at;
            return this->order > other.order;
        }
    };

    // -- nodes

    struct entry_node
    {
        entry_record record = {};
        std::unique_ptr<entry<seeded_random>> core = {};
        bool is_paused = false;
        std::vector<entry_event> inbox = {};
        std::uint64_t incarnation = 0;
    };

    struct target_node
    {
        target_record record = {};
        duration warm_up_time = {};
        std::unique_ptr<target<P>> core = {};
        bool is_paused = false;
        std::vector<target_event> inbox = {};
        std::set<run_id> running = {};  // at the back end
        std::uint64_t incarnation = 0;
    };

    struct caller_node
    {
        caller_node(session_settings settings, seeded_random random,
                    retry_budget& budget, std::size_t index)
            : core(settings, random, budget),
              address{caller_ip + static_cast<std::uint32_t>(index), 1000}
        {
        }

        session<seeded_random> core;
        peer_address address;
        std::string tag = {};
    };

    static catalog make_catalog(generation number,
                                std::vector<service_part> const& parts,
                                fleet_part const& fleet)
    {
        std::uint64_t sum = compute_digest(fleet).value;
        for (service_part const& part : parts)
            sum += compute_digest(part).value;
        catalog result;
        failure error;
        result.adopt({{}, number, {sum}, parts, {}, fleet}, error);
        return result;
    }

    std::vector<peer_address> seeds() const
    {
        std::vector<peer_address> all;
        for (auto const& [name, node] : this->entries)
            all.push_back(node.record.exchange);
        return all;
    }

    void schedule(time_point at, action const& next)
    {
        this->queue.push({at, ++this->order, next});
    }

    bool is_any_caller_busy() const
    {
        return std::any_of(this->callers.begin(), this->callers.end(),
                           [](auto const& one) {
                               return one->core.is_busy();
                           });
    }

    // -- the network

    double draw_fraction()
    {
        return random_fraction(this->random);
    }

    duration draw_delay()
    {
        std::int64_t const spread =
            (this->network.max_delay - this->network.min_delay).count();
        return this->network.min_delay +
               duration{static_cast<std::int64_t>(this->draw_fraction() *
                                                  static_cast<double>(spread))};
    }

    bool is_partitioned(std::string const& from, std::string const& to) const
    {
        return !this->isolated_processes.empty() &&
               this->isolated_processes.contains(from) !=
                   this->isolated_processes.contains(to);
    }

    void transmit(network_path const& path, action const& next)
    {
        ++this->packets_sent;
        if (this->cut_paths.contains(path) ||
            this->draw_fraction() < this->network.loss_rate)
            return;
        this->schedule(this->time + this->draw_delay(), next);
        if (this->draw_fraction() < this->network.duplication_rate)
            this->schedule(this->time + this->draw_delay() + 2ms, next);
    }

    std::optional<std::string> entry_at(std::uint32_t ip) const
    {
        for (auto const& [name, node] : this->entries)
            if (node.record.exchange.ip == ip)
                return name;
        return std::nullopt;
    }

    std::optional<std::string> target_at(peer_address address) const
    {
        for (auto const& [name, node] : this->targets)
            if (node.record.address == address)
                return name;
        return std::nullopt;
    }

    std::string name_at(peer_address address) const
    {
        if (auto const name = this->entry_at(address.ip))
            return *name;
        return this->target_at(address).value_or("");
    }

    // -- dispatch

    void step()
    {
        queued_action const next = this->queue.top();
        this->queue.pop();
        this->time = next.at;
        std::visit(
            [this](auto const& event) {
                this->handle(event);
            },
            next.scheduled);
    }

    void handle(process_tick const& due)
    {
        bool is_alive = false;
        if (this->entries.contains(due.name)) {
            entry_node const& node = this->entries[due.name];
            is_alive = node.core && node.incarnation == due.incarnation;
            if (is_alive && !node.is_paused)
                this->feed_entry(due.name, entry_event{clock_tick{}});
        } else {
            target_node const& node = this->targets[due.name];
            is_alive = node.core && node.incarnation == due.incarnation;
            if (is_alive && !node.is_paused)
                this->feed_target(due.name, target_event{clock_tick{}});
        }
        if (is_alive)
            this->schedule(this->time + tick_interval, due);
    }

    void handle(caller_tick const& due)
    {
        this->feed_caller(due.caller, session_event{timer_expired{}});
        this->schedule(this->time + 10ms, due);
    }

    void handle(entry_delivery const& due)
    {
        entry_node& node = this->entries[due.name];
        if (node.core && node.is_paused)
            node.inbox.push_back(due.event);
        else if (node.core)
            this->feed_entry(due.name, due.event);
    }

    void handle(target_delivery const& due)
    {
        target_node& node = this->targets[due.name];
        if (node.core && node.is_paused)
            node.inbox.push_back(due.event);
        else if (node.core)
            this->feed_target(due.name, due.event);
    }

    void handle(caller_delivery const& due)
    {
        caller_node const& node = *this->callers[due.caller];
        if (node.address.port == due.port)
            this->feed_caller(due.caller,
                              session_event{answer_received{due.message}});
    }

    void handle(run_completion const& due)
    {
        target_node& node = this->targets[due.target];
        node.running.erase(due.run);
        bool const is_same_incarnation =
            node.core && node.incarnation == due.incarnation;
        if (!is_same_incarnation)
            return;
        bool const is_answer_lost =
            this->targets_losing_answers.contains(due.target);
        back_end_outcome const outcome = is_answer_lost
                                             ? back_end_outcome::lost
                                             : back_end_outcome::completed;
        if (!is_answer_lost)
            this->handle(target_delivery{
                due.target,
                target_event{run_output{due.run, std::string(due.size, 'a')}}});
        this->handle(target_delivery{
            due.target, target_event{run_ended{due.run, outcome, {}}}});
    }

    template <class Node> void resume_node(Node& node, std::string const& name)
    {
        node.is_paused = false;
        auto const pending = std::move(node.inbox);
        node.inbox.clear();
        for (auto const& event : pending) {
            if constexpr (std::is_same_v<Node, entry_node>)
                this->feed_entry(name, event);
            else
                this->feed_target(name, event);
        }
    }

    // -- events of entries, targets and callers

    void feed_entry(std::string const& name, entry_event const& event)
    {
        entry_node& node = this->entries[name];
        for (entry_effect const& effect : node.core->on(event, this->time))
            std::visit(
                [this, &name](auto const& one) {
                    this->perform(name, one);
                },
                effect);
    }

    void feed_target(std::string const& name, target_event const& event)
    {
        target_node& node = this->targets[name];
        for (target_effect const& effect : node.core->on(event, this->time))
            std::visit(
                [this, &name](auto const& one) {
                    this->perform(name, one);
                },
                effect);
    }

    void feed_caller(std::size_t caller, session_event const& event)
    {
        caller_node& node = *this->callers[caller];
        for (session_effect const& effect : node.core.on(event, this->time))
            std::visit(
                [this, caller](auto const& one) {
                    this->perform(caller, one);
                },
                effect);
    }

    // -- effects of callers

    void perform(std::size_t caller, send_packet const& effect)
    {
        std::vector<std::string> reachable;
        for (auto const& [name, node] : this->entries)
            if (!this->withdrawn.contains(name))
                reachable.push_back(name);
        if (reachable.empty())
            return;
        std::string const& name =
            reachable[random_index(this->random, reachable.size())];
        peer_address const from = this->callers[caller]->address;
        peer_address const to{this->entries[name].record.exchange.ip,
                              caller_port};
        this->transmit({from, to},
                       entry_delivery{name, entry_event{caller_packet{
                                                from, effect.message}}});
    }

    void perform(std::size_t caller, rebind_port const&)
    {
        caller_node& node = *this->callers[caller];
        node.address = {node.address.ip,
                        static_cast<std::uint16_t>(node.address.port + 1)};
    }

    void perform(std::size_t, report_progress const&) {}

    void perform(std::size_t caller, request_outcome const& effect)
    {
        request_outcome recorded = effect;
        if (!this->is_keeping_answers)
            recorded.answer.clear();
        this->outcomes.push_back(
            {this->callers[caller]->tag, recorded, this->time});
    }

    // -- effects of entries

    void perform(std::string const& name, send_inbound const& effect)
    {
        std::optional<std::string> const to = this->target_at(effect.to);
        if (!to || this->is_partitioned(name, *to))
            return;
        peer_address const from{
            this->entries[name].record.exchange.ip,
            static_cast<std::uint16_t>(peer_socket_port + effect.via.value)};
        this->transmit({from, effect.to},
                       target_delivery{*to, target_event{inbound_received{
                                                from, effect.packet}}});
    }

    void perform(std::string const& name, send_to_caller const& effect)
    {
        std::size_t const caller = effect.to.ip - caller_ip;
        if (caller >= this->callers.size())
            return;
        peer_address const from{this->entries[name].record.exchange.ip,
                                caller_port};
        this->transmit({from, effect.to},
                       caller_delivery{caller, effect.to.port, effect.message});
    }

    // -- effects of targets

    void perform(std::string const& name, send_outbound const& effect)
    {
        std::optional<std::string> const to = this->entry_at(effect.to.ip);
        if (!to || this->is_partitioned(name, *to))
            return;
        peer_address const from = this->targets[name].record.address;
        this->transmit({from, effect.to},
                       entry_delivery{*to, entry_event{target_packet{
                                               from, effect.packet}}});
    }

    void perform(std::string const& name, forward_open const& effect)
    {
        std::optional<std::string> const to = this->target_at(effect.to);
        if (!to || this->is_partitioned(name, *to))
            return;
        peer_address const from = this->targets[name].record.address;
        this->transmit({from, effect.to},
                       target_delivery{*to, target_event{inbound_received{
                                                from, effect.packet}}});
    }

    static std::int64_t parse_field(std::string const& body,
                                    std::string const& name,
                                    std::int64_t default_value)
    {
        std::size_t const at = body.find(name + "=");
        return at == std::string::npos
                   ? default_value
                   : std::atoll(body.c_str() + at + name.size() + 1);
    }

    void perform(std::string const& name, start_run const& effect)
    {
        target_node& node = this->targets[name];
        if (node.running.size() >= node.record.slots) {
            this->schedule(
                this->time + 100us,
                target_delivery{
                    name, target_event{run_ended{
                              effect.run, back_end_outcome::shed, 100ms}}});
            return;
        }
        std::string const tag = effect.body.substr(0, effect.body.find(' '));
        this->runs.push_back(
            {tag, effect.service, node.record.id, effect.request, this->time});
        double const factor =
            this->slowdowns.contains(name) ? this->slowdowns[name] : 1.0;
        auto const run_time = duration{static_cast<std::int64_t>(
            factor *
            static_cast<double>(parse_field(effect.body, "us", 20'000)))};
        this->busy_times[name] += run_time;
        node.running.insert(effect.run);
        this->schedule(this->time + run_time,
                       run_completion{name, effect.run, node.incarnation,
                                      static_cast<std::size_t>(parse_field(
                                          effect.body, "bytes", 100))});
    }

    void perform(std::string const& name, cancel_run const& effect)
    {
        target_node& node = this->targets[name];
        if (node.running.erase(effect.run) > 0)
            this->schedule(
                this->time + 100us,
                target_delivery{name,
                                target_event{run_ended{
                                    effect.run, back_end_outcome::lost, {}}}});
    }

    void perform(std::string const&, request_settled const& effect)
    {
        this->settled_requests.push_back(effect);
    }

    // -- effects of entries and targets

    void deliver(std::string const& to, digest_packet const& packet)
    {
        if (this->entries.contains(to))
            this->handle(entry_delivery{to, entry_event{packet}});
        else
            this->handle(target_delivery{to, target_event{packet}});
    }

    peer_address exchange_address(std::string const& name) const
    {
        auto const found = this->entries.find(name);
        return found != this->entries.end()
                   ? found->second.record.exchange
                   : this->targets.at(name).record.address;
    }

    void perform(std::string const& name, send_digest const& effect)
    {
        this->send_to_peer<digest_packet>(name, effect);
    }

    void perform(std::string const& name, send_update const& effect)
    {
        this->send_to_peer<update_packet>(name, effect);
    }

    template <class Packet, class Effect>
    void send_to_peer(std::string const& name, Effect const& effect)
    {
        ++this->control_packets;
        std::string const to = this->name_at(effect.to);
        if (to.empty() || this->is_partitioned(name, to))
            return;
        Packet const packet{this->exchange_address(name), effect.message};
        if (this->entries.contains(to))
            this->transmit({packet.from, effect.to},
                           entry_delivery{to, entry_event{packet}});
        else
            this->transmit({packet.from, effect.to},
                           target_delivery{to, target_event{packet}});
    }

    template <class Event>
    void schedule_control_event(std::string const& name, Event event)
    {
        if (this->entries.contains(name))
            this->schedule(this->time + control_delay,
                           entry_delivery{name, entry_event{event}});
        else
            this->schedule(this->time + control_delay,
                           target_delivery{name, target_event{event}});
    }

    catalog const* catalog_at(peer_address control) const
    {
        for (auto const& [name, node] : this->entries)
            if (node.record.control == control && node.core && !node.is_paused)
                return &node.core->configuration();
        for (auto const& [name, node] : this->targets)
            if (node.record.control == control && node.core && !node.is_paused)
                return &node.core->configuration();
        return nullptr;
    }

    void perform(std::string const& name, fetch_from_peer const& effect)
    {
        catalog const* peer = this->catalog_at(effect.control);
        bool const is_reachable =
            peer != nullptr &&
            !this->is_partitioned(
                name, this->name_at({effect.control.ip, packet_port}));
        if (is_reachable)
            this->schedule_control_event(
                name, change_received{change_source::peer, effect.control,
                                      peer->changes_since(effect.since)});
        else
            this->schedule_control_event(
                name, change_unavailable{change_source::peer, {}});
    }

    void perform(std::string const& name, read_platform const& effect)
    {
        ++this->platform_reads;
        if (this->platform == fake_platform_mode::down) {
            this->schedule_control_event(
                name, change_unavailable{change_source::platform, {}});
            return;
        }
        catalog const& source = this->platform == fake_platform_mode::stale
                                    ? this->stale_copy
                                    : this->published;
        bool const is_newer = source.version().number > effect.since;
        std::optional<catalog_change> change;
        if (is_newer)
            change = source.changes_since(effect.since);
        this->schedule_control_event(
            name, change_received{change_source::platform, {}, change});
    }

    void perform(std::string const&, generation_adopted const&) {}

    void perform(std::string const&, report_failure const& effect)
    {
        this->failures.push_back(effect);
    }

    seeded_random random;
    time_point time{1s};
    std::uint64_t order = 0;
    std::uint64_t last_incarnation = 0;
    std::priority_queue<queued_action> queue = {};
    std::map<std::string, entry_node> entries = {};
    std::map<std::string, target_node> targets = {};
    std::vector<std::unique_ptr<caller_node>> callers = {};
    retry_budget budget{retry_budget_settings{}};
    std::set<network_path> cut_paths = {};
    std::set<std::string> isolated_processes = {};
};

// ---- helpers ------------------------------------------------------------

// Makes a service whose caller ids are derived from names.
inline service_part make_service(std::string const& name,
                                 std::vector<std::string> const& callers,
                                 std::vector<target_record> const& targets)
{
    std::vector<caller_id> ids;
    ids.reserve(callers.size());
    for (std::string const& caller : callers)
        ids.push_back(make_caller_id(caller));
    return {make_service_id(name), name, {}, ids, targets};
}

inline target_record with_state(target_record const& target, target_state state)
{
    target_record changed = target;
    changed.state = state;
    return changed;
}

// Makes a request whose body holds the tag, the running time in microseconds
// and the size of the answer, as the simulated back ends read it.
inline request_spec make_request_spec(std::string const& tag,
                                      bool is_idempotent,
                                      duration run_time = 20ms,
                                      std::size_t bytes = 100,
                                      duration deadline = 10s)
{
    return {is_idempotent ? "notice" : "renewal",
            tag + " us=" + std::to_string(run_time.count()) +
                " bytes=" + std::to_string(bytes),
            is_idempotent,
            deadline,
            {}};
}

}  // namespace lagoon::fakes
