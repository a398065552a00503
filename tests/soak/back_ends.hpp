// A back end of the soak. It accepts connections, runs requests in a few
// slots, retransmits lost packets and reports what it observes to the promise
// checker.
//
// Index
//   back_end_settings   capacity, run times and deliberate faults
//   soak_back_end       connections and requests of one back end
#pragma once

#include "callers.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace lagoon::soak {

// ---- back_end_settings --------------------------------------------------

struct back_end_settings
{
    std::uint32_t slots = 2;
    std::uint32_t queue_size = 8;  // waiting requests; further ones are refused
    duration mean_run_time = 12ms;
    duration cold_time = 2s;  // after the start, in which requests run slower
    double cold_factor = 1.6;
    // Deliberate faults, to show that the checker detects them.
    std::uint32_t runs_per_request = 1;
    bool is_refusing_run_requests = false;
    auto operator<=>(back_end_settings const&) const = default;
};

// ---- soak_back_end ------------------------------------------------------

class soak_back_end
{
public:
    soak_back_end(back_end_incarnation incarnation, std::uint64_t seed,
                  back_end_settings settings, promise_checker& checker,
                  time_point now)
        : incarnation(incarnation), random(seed), settings(settings),
          checker(checker), cold_until(now + settings.cold_time)
    {
    }

    // Handles a packet from the target; returns the packets to send.
    soak_packets handle_packet(soak_packet const& packet, time_point now)
    {
        if (!packet.is_genuine) {
            this->checker.on_packet_altered(packet.endpoints, now);
            return {};
        }
        auto const found = this->connections.find(packet.endpoints);
        if (packet.is_opening)
            return found == this->connections.end() || !found->second.is_open
                       ? this->accept_connection(packet, now)
                       : soak_packets{};
        if (found == this->connections.end())
            return this->reject_packet(packet, now);
        connection& record = found->second;
        if (!record.is_open &&
            packet.acknowledgement != record.base_sequence + 1)
            return this->reject_packet(packet, now);
        if (!record.is_open) {
            record.is_open = true;
            ++record.base_sequence;
            this->checker.on_connection_opened(record.endpoints,
                                               this->incarnation, now);
        }
        this->checker.on_packet_delivered(record.endpoints, this->incarnation,
                                          now);
        return this->handle_data(record, packet, now);
    }

    // Finishes runs and sends the retransmissions that are due.
    soak_packets tick(time_point now)
    {
        soak_packets out;
        std::vector<run> finished;
        std::erase_if(this->running, [&finished, now](run const& one) {
            if (one.ends_at <= now)
                finished.push_back(one);
            return one.ends_at <= now;
        });
        for (run const& one : finished) {
            auto const found = this->connections.find(one.spec.endpoints);
            if (found != this->connections.end())
                this->send_answer(
                    found->second,
                    this->settings.is_refusing_run_requests
                        ? make_refusal(one.spec.key)
                        : make_answer(one.spec.key, one.spec.answer_size),
                    now, out);
        }
        while (this->running.size() < this->settings.slots &&
               !this->queued.empty()) {
            this->start_run(this->queued.front(), now);
            this->queued.pop_front();
        }
        std::vector<connection_endpoints> abandoned;
        for (auto& [endpoints, one] : this->connections) {
            if (one.unacknowledged.empty() || one.retransmit_at > now)
                continue;
            if (++one.retransmission_count > max_retransmissions)
                abandoned.push_back(endpoints);
            one.retransmit_delay =
                std::min(2 * one.retransmit_delay, max_retransmit_delay);
            one.retransmit_at = now + one.retransmit_delay;
            this->transmit(one, 0, out);
        }
        for (connection_endpoints const& endpoints : abandoned)
            this->close_connection(endpoints);
        return out;
    }

    // From now on, each connection is closed after its next answer.
    void start_leaving()
    {
        this->is_leaving = true;
    }

    back_end_incarnation const incarnation;

private:
    struct connection
    {
        connection_endpoints endpoints = {};
        bool is_open = false;
        std::uint32_t expected_sequence = 0;  // of the caller
        std::uint32_t base_sequence = 0;  // of the first unacknowledged byte
        std::string received = {};        // part of a request so far
        std::string unacknowledged = {};  // data sent or to be sent
        bool is_closing = false;          // after the unacknowledged data
        time_point retransmit_at = {};
        duration retransmit_delay = {};
        std::uint32_t retransmission_count = 0;
        auto operator<=>(connection const&) const = default;
    };

    struct request
    {
        connection_endpoints endpoints = {};
        request_key key = {};
        bool is_idempotent = true;
        std::size_t answer_size = 0;
        auto operator<=>(request const&) const = default;
    };

    struct run
    {
        time_point ends_at = {};
        request spec = {};
        auto operator<=>(run const&) const = default;
    };

    static constexpr std::size_t max_packet_data = 1200;  // bytes
    static constexpr std::size_t window_packets = 16;
    static constexpr duration initial_retransmit_delay = 200ms;
    static constexpr duration max_retransmit_delay = 1600ms;
    static constexpr std::uint32_t max_retransmissions = 8;

    soak_packet make_packet(connection const& from) const
    {
        return {.endpoints = from.endpoints,
                .is_from_caller = false,
                .has_acknowledgement = true,
                .sequence = from.base_sequence,
                .acknowledgement = from.expected_sequence};
    }

    soak_packets accept_connection(soak_packet const& packet, time_point now)
    {
        if (this->closed.contains(packet.endpoints))
            return {};
        auto const [found, is_new] =
            this->connections.try_emplace(packet.endpoints);
        connection& record = found->second;
        if (is_new) {
            record.endpoints = packet.endpoints;
            record.base_sequence = static_cast<std::uint32_t>(this->random());
            record.expected_sequence = packet.sequence + 1;
            this->checker.on_connection_accepted(packet.endpoints,
                                                 this->incarnation, now);
        }
        soak_packet accept_packet = this->make_packet(record);
        accept_packet.is_opening = true;
        return {accept_packet};
    }

    // Returns a packet of an unknown connection unaltered; answers one of a
    // closed connection.
    soak_packets reject_packet(soak_packet const& packet, time_point now)
    {
        if (!this->closed.contains(packet.endpoints)) {
            this->checker.on_packet_misrouted(packet.endpoints, now);
            soak_packet returned = packet;
            returned.is_returned = true;
            return {returned};
        }
        soak_packet answer{.endpoints = packet.endpoints,
                           .is_from_caller = false,
                           .has_acknowledgement = true,
                           .is_reset = !packet.data.empty(),
                           .sequence = packet.acknowledgement,
                           .acknowledgement = packet.sequence + 1};
        return {answer};
    }

    soak_packets handle_data(connection& record, soak_packet const& packet,
                             time_point now)
    {
        soak_packets out;
        this->handle_acknowledgement(record, packet.acknowledgement, now);
        bool const is_next = packet.sequence == record.expected_sequence;
        if (is_next && !packet.data.empty()) {
            record.expected_sequence +=
                static_cast<std::uint32_t>(packet.data.size());
            record.received += packet.data;
            out.push_back(this->make_packet(record));
            this->handle_request(record, now, out);
        } else if (!packet.data.empty()) {
            out.push_back(this->make_packet(record));
        }
        if (packet.is_finishing && is_next) {
            ++record.expected_sequence;
            soak_packet finishing_packet = this->make_packet(record);
            finishing_packet.is_finishing = true;
            out.push_back(finishing_packet);
            this->close_connection(record.endpoints);
        }
        return out;
    }

    void handle_acknowledgement(connection& record, std::uint32_t end,
                                time_point now)
    {
        std::uint32_t const acknowledged_size = end - record.base_sequence;
        bool const is_end_acknowledged =
            record.is_closing &&
            acknowledged_size == record.unacknowledged.size() + 1;
        if (acknowledged_size == 0 ||
            (acknowledged_size > record.unacknowledged.size() &&
             !is_end_acknowledged))
            return;
        record.base_sequence = end;
        record.unacknowledged.erase(0, acknowledged_size);
        record.retransmit_delay = initial_retransmit_delay;
        record.retransmit_at = now + record.retransmit_delay;
        record.retransmission_count = 0;
    }

    void handle_request(connection& record, time_point now, soak_packets& out)
    {
        std::optional<platform::fake_request> const parsed =
            platform::parse(record.received);
        if (!parsed)
            return;
        record.received.clear();
        std::optional<request_key> const key = parse_request_key(parsed->id);
        if (!key) {
            this->checker.on_packet_altered(record.endpoints, now);
            return;
        }
        request const spec{record.endpoints, *key, parsed->is_idempotent,
                           parsed->answer_size};
        if (this->running.size() < this->settings.slots)
            this->start_run(spec, now);
        else if (this->queued.size() < this->settings.queue_size)
            this->queued.push_back(spec);
        else
            this->send_answer(record, make_refusal(*key), now, out);
    }

    void start_run(request const& spec, time_point now)
    {
        for (std::uint32_t i = 0; i < this->settings.runs_per_request; ++i)
            this->checker.on_request_run(spec.key, spec.is_idempotent, now);
        double const unit = random_fraction(this->random);
        double time = -std::log(1 - unit) *
                      static_cast<double>(this->settings.mean_run_time.count());
        if (now < this->cold_until)
            time *= this->settings.cold_factor;
        this->running.push_back(
            {now + duration{static_cast<std::int64_t>(time)}, spec});
    }

    void send_answer(connection& record, std::string const& text,
                     time_point now, soak_packets& out)
    {
        bool const was_idle = record.unacknowledged.empty();
        record.unacknowledged += text;
        record.is_closing = record.is_closing || this->is_leaving;
        if (!was_idle)
            return;
        record.retransmit_delay = initial_retransmit_delay;
        record.retransmit_at = now + record.retransmit_delay;
        record.retransmission_count = 0;
        this->transmit(record, 0, out);
    }

    // Sends the unacknowledged data from an offset to the end of the window.
    void transmit(connection const& record, std::size_t from, soak_packets& out)
    {
        std::size_t const end = std::min(record.unacknowledged.size(),
                                         max_packet_data * window_packets);
        for (std::size_t at = from; at < end; at += max_packet_data) {
            soak_packet packet = this->make_packet(record);
            packet.sequence =
                record.base_sequence + static_cast<std::uint32_t>(at);
            packet.data = record.unacknowledged.substr(
                at, std::min(max_packet_data, end - at));
            packet.is_finishing =
                record.is_closing &&
                at + packet.data.size() == record.unacknowledged.size();
            out.push_back(packet);
        }
    }

    void close_connection(connection_endpoints endpoints)
    {
        this->closed.insert(endpoints);
        this->connections.erase(endpoints);
        std::erase_if(this->queued, [&endpoints](request const& one) {
            return one.endpoints == endpoints;
        });
    }

    seeded_random random;
    back_end_settings settings;
    promise_checker& checker;
    time_point cold_until;
    bool is_leaving = false;
    std::map<connection_endpoints, connection> connections = {};
    std::set<connection_endpoints> closed = {};
    std::vector<run> running = {};
    std::deque<request> queued = {};
};

}  // namespace lagoon::soak
