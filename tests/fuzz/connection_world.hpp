// Two entries, four targets and their back ends, with callers and a network that
// the fuzz target `connections` controls message by message. Unlike the simulated
// fleet, nothing happens by itself until `recover`.
//
// Index
//   in_flight          a message that was sent and not delivered
//   world_caller       a caller with one connection at a time
//   connection_world   the cores, driven step by step, and the judge
#pragma once

#include "catalog/published.hpp"
#include "entry/connection_entry.hpp"
#include "fuzzing.hpp"
#include "target/connection_target.hpp"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace lagoon::fuzzing {

using namespace std::chrono_literals;

// ---- in_flight ----------------------------------------------------------

struct to_entry
{
    std::size_t entry = 0;
    connection_entry_event event = {};
};

struct to_target
{
    std::size_t target = 0;
    entry_offer offer = {};
};

struct to_caller
{
    connection_packet packet = {};
};

using in_flight = std::variant<to_entry, to_target, to_caller>;

// ---- world_caller -------------------------------------------------------

enum class caller_state : std::uint8_t
{
    opening,
    open
};

struct world_caller
{
    connection_endpoints endpoints = {};
    caller_state state = caller_state::opening;
    std::uint32_t attempts = 0;       // opening packets sent
    std::uint32_t acknowledged = 0;   // next sequence number of the back end
    std::uint32_t request_count = 1;  // of which the last is sent again
    auto operator<=>(world_caller const&) const = default;
};

// ---- connection_world ---------------------------------------------------

class connection_world
{
public:
    static constexpr std::size_t entry_count = 2;
    static constexpr std::size_t target_count = 4;
    static constexpr std::size_t caller_count = 8;

    connection_world()
    {
        this->publish();
        for (std::size_t i = 0; i < entry_count; ++i)
            this->start_entry(i);
        for (std::size_t i = 0; i < target_count; ++i)
            this->start_target(i, true);
        for (std::size_t i = 0; i < caller_count; ++i)
            this->callers.push_back({this->make_endpoints(i)});
    }

    // -- processes

    void start_entry(std::size_t index)
    {
        connection_entry_settings settings{};
        settings.membership.self = {index + 1};
        settings.membership.exchange = entry_address(index);
        settings.membership.seeds = {entry_address(1 - index)};
        settings.membership.timing.is_platform_linearizable = true;
        settings.membership.timing.first_read_delay = {};
        this->reads.erase(index);
        this->entries.at(index) =
            std::make_unique<connection_entry<seeded_random>>(
                settings, seeded_random{index}, this->now);
        this->feed_entry(index, clock_tick{});
    }

    void start_target(std::size_t index, bool is_first_start = false)
    {
        connection_target_settings settings{};
        settings.service = make_service_id(service_name(index));
        settings.is_table_complete = is_first_start;
        this->targets.at(index).core =
            std::make_unique<connection_target<>>(settings, this->now);
    }

    void stop_target(std::size_t index)
    {
        this->feed_target(index, stop_requested{});
    }

    void restart_back_end(std::size_t index)
    {
        this->targets.at(index).connections.clear();
        ++this->targets.at(index).boot;
    }

    // -- the platform

    void set_leaving(std::size_t index, bool is_leaving)
    {
        this->targets.at(index).is_leaving = is_leaving;
        this->publish();
    }

    void move_route()
    {
        this->is_moved = !this->is_moved;
        this->publish();
    }

    // Answers the read of an entry that waits for the store.
    void answer_read(std::size_t index, bool is_successful)
    {
        auto const found = this->reads.find(index);
        if (found == this->reads.end())
            return;
        read_platform const read = found->second;
        this->reads.erase(found);
        std::optional<catalog_change> change;
        if (this->stored.to > read.since)
            change = this->stored;
        if (is_successful)
            this->feed_entry(
                index, change_received{change_source::platform, {}, change});
        else
            this->feed_entry(index,
                             change_unavailable{change_source::platform, {}});
    }

    // -- callers

    // Sends the opening packet or the request of a caller through an entry.
    void send(std::size_t index, std::size_t entry)
    {
        world_caller& one = this->callers.at(index);
        connection_packet packet{.endpoints = one.endpoints};
        if (one.state == caller_state::opening) {
            packet.is_opening = true;
            packet.retransmission_count =
                static_cast<std::uint8_t>(std::min(one.attempts++, 2U));
        } else {
            packet.sequence = 1 + (one.request_count - 1) * request_size;
            packet.acknowledgement = one.acknowledged;
            packet.data_size = request_size;
        }
        this->put_in_flight(
            to_entry{entry, packet_from_caller{this->store(packet)}});
    }

    void begin_next_request(std::size_t index)
    {
        if (this->callers.at(index).state == caller_state::open)
            ++this->callers.at(index).request_count;
    }

    // Gives the connection up; the next one has another port.
    void give_up(std::size_t index)
    {
        this->callers.at(index) = {this->make_endpoints(index)};
    }

    // -- the network

    void deliver(std::size_t position)
    {
        if (this->network.empty())
            return;
        in_flight const message = this->take(position);
        std::visit(
            [this](auto const& one) {
                this->arrive(one);
            },
            message);
    }

    void repeat(std::size_t position)
    {
        if (!this->network.empty())
            this->put_in_flight(
                this->network.at(position % this->network.size()));
    }

    void lose(std::size_t position)
    {
        if (!this->network.empty())
            this->take(position);
    }

    // -- time

    void advance(duration span)
    {
        this->now += span;
        for (std::size_t i = 0; i < entry_count; ++i)
            this->tick_entry(i);
        for (std::size_t i = 0; i < target_count; ++i)
            this->tick_target(i);
    }

    // -- the judge

    // Once faults have ended, each caller is served within the limit.
    void recover()
    {
        this->network.clear();
        for (std::size_t i = 0; i < target_count; ++i) {
            this->start_target(i);
            this->targets.at(i).is_leaving = false;
        }
        this->publish();
        this->run_undisturbed(recovery_limit);
        for (std::size_t i = 0; i < caller_count; ++i)
            this->give_up(i);
        this->run_undisturbed(service_limit);
        for (world_caller const& one : this->callers)
            require(this->runs.contains(one.endpoints),
                    "callers are served again after a fault");
    }

private:
    static constexpr std::uint16_t request_size = 100;      // bytes
    static constexpr std::uint16_t answer_size = 1000;      // bytes
    static constexpr std::size_t max_in_flight = 256;       // messages
    static constexpr std::size_t max_effects = 512;         // of one event
    static constexpr std::size_t max_step_messages = 4096;  // in one step
    static constexpr duration recovery_limit = 12s;
    static constexpr duration service_limit = 3s;
    static constexpr duration step_time = 20ms;
    // Further apart than the sequence numbers of one connection.
    static constexpr std::uint32_t sequence_distance = 1'000'000;

    struct back_end_connection
    {
        std::uint32_t sequence = 0;  // initial
        std::set<std::uint32_t> requests = {};
        auto operator<=>(back_end_connection const&) const = default;
    };

    struct target_node
    {
        std::unique_ptr<connection_target<>> core = {};
        std::uint64_t boot = 1;  // of the back end
        bool is_leaving = false;
        std::map<connection_endpoints, back_end_connection> connections = {};
    };

    static peer_address entry_address(std::size_t index)
    {
        return {0x0A010001 + static_cast<std::uint32_t>(index), 7280};
    }

    static peer_address target_address(std::size_t index)
    {
        return {0x0A020001 + static_cast<std::uint32_t>(index), 8392};
    }

    static std::string service_name(std::size_t target)
    {
        return target < 2 ? "members" : "archive";
    }

    connection_endpoints make_endpoints(std::size_t caller)
    {
        return {{0x64400001 + static_cast<std::uint32_t>(caller),
                 ++this->last_port},
                {0xC6120001, static_cast<std::uint16_t>(443 + caller % 2)}};
    }

    connection_packet store(connection_packet packet)
    {
        packet.bytes = std::to_string(this->packets.size());
        this->packets.push_back(packet);
        return packet;
    }

    connection_packet const& packet_of(std::string const& bytes) const
    {
        return this->packets.at(std::stoul(bytes));
    }

    void put_in_flight(in_flight const& message)
    {
        if (this->network.size() < max_in_flight)
            this->network.push_back(message);
    }

    in_flight take(std::size_t position)
    {
        auto const at =
            this->network.begin() +
            static_cast<std::ptrdiff_t>(position % this->network.size());
        in_flight const message = *at;
        this->network.erase(at);
        return message;
    }

    // The route of odd callers stays; that of the others may move.
    void publish()
    {
        published_update update{{++this->revision}, true, {}, {}};
        for (std::size_t i = 0; i < target_count; ++i)
            update.keys.push_back(
                {"t" + std::to_string(i),
                 published_target{service_name(i),
                                  "z",
                                  target_address(i),
                                  target_address(i),
                                  2,
                                  this->targets.at(i).boot,
                                  {1},
                                  this->targets.at(i).is_leaving
                                      ? target_state::leaving
                                      : target_state::serving}});
        std::string const first = this->is_moved ? "archive" : "members";
        update.routes = published_routes{this->revision,
                                         {{{0xC6120001, 443},
                                           {{make_service_id(first), 1}},
                                           100ms,
                                           1s,
                                           2,
                                           true},
                                          {{0xC6120001, 444},
                                           {{make_service_id("archive"), 1}},
                                           100ms,
                                           1s,
                                           1,
                                           false}},
                                         15s};
        published_catalog listing;
        this->stored = *listing.apply(update, {});
    }

    // -- entries

    void feed_entry(std::size_t index, connection_entry_event const& event)
    {
        connection_entry_effects const effects =
            this->entries.at(index)->on(event, this->now);
        require(effects.size() <= max_effects, "an event has few effects");
        for (connection_entry_effect const& effect : effects)
            std::visit(
                [this, index](auto const& one) {
                    this->perform_entry(index, one);
                },
                effect);
    }

    void tick_entry(std::size_t index)
    {
        this->feed_entry(index, clock_tick{});
        std::optional<time_point> const due =
            this->entries.at(index)->next_due();
        require(!due || *due > this->now, "a tick leaves nothing due");
    }

    void perform_entry(std::size_t index, send_offer const& effect)
    {
        std::size_t const target = effect.to.ip - target_address(0).ip;
        if (target < target_count)
            this->put_in_flight(
                to_target{target,
                          {entry_address(index), effect.offer,
                           this->packet_of(effect.offer.bytes)}});
    }

    void perform_entry(std::size_t, reset_caller const& effect)
    {
        this->judge_reset(effect.packet);
    }

    template <class Event, class Message>
    void send_to_peer(std::size_t from, peer_address to, Message const& message)
    {
        std::size_t const index = to.ip - entry_address(0).ip;
        if (index < entry_count)
            this->put_in_flight(
                to_entry{index, Event{entry_address(from), message}});
    }

    void perform_entry(std::size_t index, send_digest const& effect)
    {
        this->send_to_peer<digest_packet>(index, effect.to, effect.message);
    }

    void perform_entry(std::size_t index, send_update const& effect)
    {
        this->send_to_peer<update_packet>(index, effect.to, effect.message);
    }

    void perform_entry(std::size_t index, fetch_from_peer const& effect)
    {
        this->send_to_peer<change_request_packet>(index, effect.exchange,
                                                  change_request{effect.since});
    }

    void perform_entry(std::size_t index, read_platform const& effect)
    {
        this->reads[index] = effect;
    }

    void perform_entry(std::size_t, generation_adopted const&) {}
    void perform_entry(std::size_t, report_failure const&) {}
    void perform_entry(std::size_t, placement_note const&) {}
    void perform_entry(std::size_t, status_change_note const&) {}
    void perform_entry(std::size_t, send_evacuation_notice const&) {}
    void perform_entry(std::size_t, send_locate_query const&) {}

    // -- targets

    void feed_target(std::size_t index, connection_target_event const& event)
    {
        connection_target_effects const effects =
            this->targets.at(index).core->on(event, this->now);
        require(effects.size() <= max_effects, "an event has few effects");
        for (connection_target_effect const& effect : effects)
            std::visit(
                [this, index](auto const& one) {
                    this->perform_target(index, one);
                },
                effect);
    }

    void tick_target(std::size_t index)
    {
        this->feed_target(index, clock_tick{});
        std::optional<time_point> const due =
            this->targets.at(index).core->next_due(this->now);
        require(!due || *due > this->now, "a tick leaves nothing due");
    }

    void perform_target(std::size_t index, reply_to_entry const& effect)
    {
        std::size_t const entry = effect.to.ip - entry_address(0).ip;
        if (entry >= entry_count)
            return;
        std::optional<connection_packet> returned;
        if (!effect.answer.bytes.empty())
            returned = this->packet_of(effect.answer.bytes);
        this->put_in_flight(
            to_entry{entry, answer_from_target{target_address(index),
                                               effect.answer, returned}});
    }

    void perform_target(std::size_t, forward_to_caller const& effect)
    {
        this->put_in_flight(to_caller{this->packet_of(effect.bytes)});
    }

    void perform_target(std::size_t, reset_connection const& effect)
    {
        this->judge_reset(effect.packet);
    }

    void perform_target(std::size_t, tracking_note const&) {}
    void perform_target(std::size_t, answer_locate_query const&) {}

    // -- back ends, which are on the VM of their target

    void perform_target(std::size_t index, send_to_back_end const& effect)
    {
        connection_packet const packet = this->packet_of(effect.bytes);
        target_node& node = this->targets.at(index);
        if (packet.is_opening) {
            this->judge_opening(index, packet);
            auto const [connection, is_new] = node.connections.emplace(
                packet.endpoints, back_end_connection{});
            if (is_new)
                connection->second.sequence =
                    ++this->accepted_count * sequence_distance;
            this->answer(index, {.endpoints = packet.endpoints,
                                 .is_accepting = true,
                                 .sequence = connection->second.sequence});
            return;
        }
        auto const found = node.connections.find(packet.endpoints);
        bool const is_held = found != node.connections.end() &&
                             packet.acknowledgement / sequence_distance ==
                                 found->second.sequence / sequence_distance;
        if (!is_held) {
            this->pending_returns.push_back({index, packet});
            return;
        }
        this->judge_run(index, packet, found->second);
        found->second.requests.insert(packet.sequence);
        this->answer(index,
                     {.endpoints = packet.endpoints,
                      .sequence = found->second.sequence + 1 +
                                  packet.sequence / request_size * answer_size,
                      .data_size = answer_size});
    }

    void answer(std::size_t index, connection_packet const& packet)
    {
        this->pending_answers.push_back({index, this->store(packet)});
    }

    // Passes on what back ends have sent, after the event that made them send.
    void drain_back_ends()
    {
        while (!this->pending_answers.empty() ||
               !this->pending_returns.empty()) {
            std::vector<from_back_end> const answers =
                std::exchange(this->pending_answers, {});
            std::vector<from_back_end> const returns =
                std::exchange(this->pending_returns, {});
            for (from_back_end const& one : answers)
                this->feed_target(one.target, packet_from_back_end{one.packet});
            for (from_back_end const& one : returns)
                this->feed_target(one.target, packet_returned{one.packet});
        }
    }

    // -- arrivals

    void arrive(to_entry const& message)
    {
        this->feed_entry(message.entry, message.event);
    }

    void arrive(to_target const& message)
    {
        this->feed_target(message.target, message.offer);
        this->drain_back_ends();
    }

    void arrive(to_caller const& message)
    {
        connection_packet const& packet = message.packet;
        for (world_caller& one : this->callers) {
            bool const is_accepted = one.endpoints == packet.endpoints &&
                                     one.state == caller_state::opening &&
                                     packet.is_accepting;
            if (!is_accepted)
                continue;
            one.state = caller_state::open;
            one.acknowledged = packet.sequence + 1;
        }
    }

    // -- the judge

    // Resets that reply to opening packets don't close an open connection.
    void judge_reset(connection_packet const& packet)
    {
        for (world_caller& one : this->callers) {
            if (one.endpoints != packet.endpoints)
                continue;
            if (one.state == caller_state::open && !packet.is_opening)
                require(!this->is_held(one),
                        "a connection that its back end holds is not reset");
            if (one.state == caller_state::opening || !packet.is_opening)
                one = {this->make_endpoints(static_cast<std::size_t>(
                    one.endpoints.caller.ip - 0x64400001U))};
        }
    }

    bool is_held(world_caller const& caller) const
    {
        for (target_node const& node : this->targets) {
            auto const found = node.connections.find(caller.endpoints);
            if (found != node.connections.end() &&
                found->second.sequence + 1 == caller.acknowledged)
                return true;
        }
        return false;
    }

    void judge_opening(std::size_t index, connection_packet const& packet) const
    {
        bool const is_permitted = packet.endpoints.service.port == 443 ||
                                  service_name(index) == "archive";
        require(is_permitted, "a connection opens at a service of its route");
    }

    void judge_run(std::size_t index, connection_packet const& packet,
                   back_end_connection const& connection)
    {
        if (connection.requests.contains(packet.sequence))
            return;
        auto const [run, is_first] = this->runs.emplace(
            packet.endpoints, std::pair{index, this->targets.at(index).boot});
        require(is_first || run->second ==
                                std::pair{index, this->targets.at(index).boot},
                "all requests of a connection run at one back end");
    }

    // Runs with a network that loses nothing, and with callers that send again.
    void run_undisturbed(duration span)
    {
        time_point const until = this->now + span;
        for (std::size_t step = 0; this->now < until; ++step) {
            this->advance(step_time);
            if (step % 10 == 0)
                for (std::size_t i = 0; i < caller_count; ++i)
                    this->send(i, (step / 10 + i) % entry_count);
            for (std::size_t i = 0; i < entry_count; ++i)
                if (this->is_answer_due(i))
                    this->answer_read(i, true);
            std::size_t count = 0;
            while (!this->network.empty()) {
                require(++count < max_step_messages,
                        "messages don't cause others without end");
                this->deliver(0);
            }
        }
    }

    // A watch waits for news; a read doesn't.
    bool is_answer_due(std::size_t index) const
    {
        auto const found = this->reads.find(index);
        return found != this->reads.end() &&
               (!found->second.is_watch ||
                this->stored.to > found->second.since);
    }

    struct from_back_end
    {
        std::size_t target = 0;
        connection_packet packet = {};
    };

    time_point now{100s};
    std::array<std::unique_ptr<connection_entry<seeded_random>>, entry_count>
        entries = {};
    std::array<target_node, target_count> targets = {};
    std::vector<world_caller> callers = {};
    std::deque<in_flight> network = {};
    std::vector<connection_packet> packets = {};
    std::vector<from_back_end> pending_answers = {};
    std::vector<from_back_end> pending_returns = {};
    std::map<std::size_t, read_platform> reads = {};  // by entry
    std::map<connection_endpoints, std::pair<std::size_t, std::uint64_t>> runs =
        {};  // target and boot of the back end at which requests ran
    catalog_change stored = {};
    std::uint64_t revision = 0;
    std::uint32_t accepted_count = 0;
    std::uint16_t last_port = 1024;
    bool is_moved = false;
};

}  // namespace lagoon::fuzzing
