// The callers of the soak. They open connections, send requests, retransmit
// lost packets, retry failed requests where that is safe, and report all
// results to the promise checker.
//
// Index
//   soak_route    a route and the requests that are sent to it
//   make_answer   expected answers, computed by callers and back ends alike
//   caller_pool   all callers of a run
#pragma once

#include "base/random.hpp"
#include "fake_requests.hpp"
#include "packet.hpp"
#include "promises.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::soak {

// ---- soak_route ---------------------------------------------------------

struct soak_route
{
    peer_address address = {};
    duration deadline = {};
    bool is_idempotent = true;
    std::size_t answer_size = 0;  // bytes
    std::uint32_t requests_per_connection = 1;
    double load_share = 1;  // of all requests, 0 to 1
    auto operator<=>(soak_route const&) const = default;
};

// ---- make_answer --------------------------------------------------------

constexpr std::string_view refusal_suffix = " not run\n";

// The answer contains the id of its request and its size, so that a truncated
// answer and the answer to another request are detected.
inline std::string make_answer(request_key const& key, std::size_t size)
{
    constexpr std::uint64_t letters = 26;
    std::string text = to_text(key) + " " + std::to_string(size) + "\n";
    std::uint64_t const seed = hash_bytes(to_text(key));
    for (std::size_t i = 0; i < size; ++i)
        text += static_cast<char>('a' + (seed + i * i) % letters);
    return text;
}

inline std::string make_refusal(request_key const& key)
{
    return to_text(key) + std::string{refusal_suffix};
}

// ---- caller_pool --------------------------------------------------------

class caller_pool
{
public:
    caller_pool(std::uint64_t seed, std::vector<peer_address> addresses,
                std::vector<soak_route> routes, promise_checker& checker)
        : random(seed), addresses(std::move(addresses)),
          routes(std::move(routes)), checker(checker)
    {
    }

    // Starts a request on a random route and returns the packets to send.
    soak_packets start_request(time_point now)
    {
        double fraction = random_fraction(this->random);
        std::size_t route = 0;
        while (route + 1 < this->routes.size() &&
               fraction >= this->routes[route].load_share)
            fraction -= this->routes[route++].load_share;
        return this->start_attempt({++this->last_request, route, now, 0}, now);
    }

    // Handles a packet from a machine to a caller; returns the packets to send.
    soak_packets handle_packet(soak_packet const& packet, std::size_t machine,
                               time_point now)
    {
        auto const found = this->connections.find(packet.endpoints);
        bool const is_process_reset =
            packet.is_reset && !packet.is_genuine && packet.data.empty();
        if (!packet.is_genuine && !is_process_reset) {
            this->checker.on_packet_altered(packet.endpoints, now);
            return {};
        }
        if (found == this->connections.end())
            return {};
        connection& record = found->second;
        if (packet.is_reset && !accepts_reset(record, packet))
            return {};
        if (is_process_reset)
            this->checker.on_connection_reset(packet.endpoints, machine, now);
        if (packet.is_reset)
            return this->end_attempt(
                packet.endpoints, record.current_stage == stage::opening, now);
        if (record.current_stage == stage::opening)
            return packet.is_opening && packet.has_acknowledgement
                       ? this->handle_accept(record, packet, now)
                       : soak_packets{};
        if (packet.is_opening)
            return {};
        return this->handle_data(record, packet, now);
    }

    // Sends the retransmissions and requests that are due and ends expired
    // attempts.
    soak_packets tick(time_point now)
    {
        soak_packets out;
        std::vector<connection_endpoints> expired;
        for (auto& [endpoints, one] : this->connections)
            if (this->has_expired(one, now))
                expired.push_back(endpoints);
            else if (now >= one.due_at)
                this->handle_due(one, now, out);
        for (connection_endpoints const& endpoints : expired) {
            bool const never_opened =
                this->connections.at(endpoints).current_stage == stage::opening;
            for (soak_packet const& one :
                 this->end_attempt(endpoints, never_opened, now))
                out.push_back(one);
        }
        return out;
    }

    std::size_t get_connection_count() const
    {
        return this->connections.size();
    }

private:
    enum class stage : std::uint8_t
    {
        opening,
        requesting,  // a request waits for its answer
        pausing,     // open, between two requests
        closing      // a finishing packet has been sent
    };

    struct request
    {
        std::uint64_t number = 0;
        std::size_t route = 0;
        time_point requested_at = {};
        std::uint32_t attempts = 0;
        auto operator<=>(request const&) const = default;
    };

    struct connection
    {
        connection_endpoints endpoints = {};
        stage current_stage = stage::opening;
        request current_request = {};
        time_point begun = {};
        time_point due_at = {};  // next retransmission, request or time-out
        duration retransmit_delay = {};
        std::uint32_t retransmission_count = 0;
        std::uint32_t requests_left = 0;      // after the current one
        std::uint32_t next_sequence = 0;      // of the caller
        std::uint32_t expected_sequence = 0;  // of the back end
        std::string unanswered = {};          // text of the current request
        std::string received = {};            // part of its answer so far
        auto operator<=>(connection const&) const = default;
    };

    static constexpr duration initial_retransmit_delay = 200ms;
    static constexpr duration second_retransmit_delay = 600ms;
    static constexpr duration opening_limit = 1400ms;
    static constexpr duration max_retransmit_delay = 1600ms;
    static constexpr duration closing_limit = 1s;
    static constexpr duration max_pause = 600ms;
    static constexpr std::uint32_t max_attempts = 3;
    static constexpr std::uint16_t first_port = 1024;

    // A reset outside the window is ignored, as the platform specifies. It may
    // answer a delayed copy of the opening packet of a connection that has
    // opened since.
    static bool accepts_reset(connection const& record,
                              soak_packet const& packet)
    {
        constexpr std::uint32_t window = 76'800;
        std::uint32_t const ahead = packet.sequence - record.expected_sequence;
        std::uint32_t const behind = record.expected_sequence - packet.sequence;
        return record.current_stage == stage::opening ||
               std::min(ahead, behind) <= window;
    }

    request_key make_request_key(request const& spec) const
    {
        return {spec.number, spec.attempts};
    }

    soak_packet make_packet(connection const& from) const
    {
        return {.endpoints = from.endpoints,
                .has_acknowledgement = true,
                .sequence = from.next_sequence,
                .acknowledgement = from.expected_sequence};
    }

    soak_packet make_opening_packet(connection const& from) const
    {
        return {.endpoints = from.endpoints,
                .is_opening = true,
                .sequence = from.next_sequence,
                .acknowledgement = from.retransmission_count};
    }

    soak_packets start_attempt(request const& spec, time_point now)
    {
        constexpr std::uint64_t ports = UINT16_MAX - first_port;
        soak_route const& route = this->routes[spec.route];
        if (spec.attempts >= max_attempts ||
            now >= spec.requested_at + route.deadline) {
            this->checker.on_request_ended(spec.requested_at, false);
            return {};
        }
        std::uint64_t const port_number = ++this->last_port;
        peer_address caller =
            this->addresses[port_number % this->addresses.size()];
        caller.port = static_cast<std::uint16_t>(
            first_port + port_number / this->addresses.size() % ports);
        connection opened{.endpoints = {caller, route.address},
                          .current_request = spec,
                          .begun = now,
                          .due_at = now + initial_retransmit_delay,
                          .requests_left = route.requests_per_connection - 1,
                          .next_sequence =
                              static_cast<std::uint32_t>(this->random())};
        ++opened.current_request.attempts;
        this->connections[opened.endpoints] = opened;
        return {this->make_opening_packet(opened)};
    }

    soak_packets handle_accept(connection& record, soak_packet const& packet,
                               time_point now)
    {
        soak_packets out;
        record.next_sequence += 1;
        record.expected_sequence = packet.sequence + 1;
        this->send_request(record, now, out);
        return out;
    }

    void send_request(connection& record, time_point now, soak_packets& out)
    {
        soak_route const& route = this->routes[record.current_request.route];
        record.current_stage = stage::requesting;
        record.received.clear();
        record.unanswered = platform::write(
            {to_text(this->make_request_key(record.current_request)),
             route.answer_size, route.is_idempotent});
        record.retransmit_delay = initial_retransmit_delay;
        record.due_at = now + record.retransmit_delay;
        out.push_back(this->make_packet(record));
        out.back().data = record.unanswered;
    }

    soak_packets handle_data(connection& record, soak_packet const& packet,
                             time_point now)
    {
        soak_packets out;
        bool const is_next = packet.sequence == record.expected_sequence;
        bool const has_more = !packet.data.empty() || packet.is_finishing;
        if (is_next && has_more) {
            record.expected_sequence +=
                static_cast<std::uint32_t>(packet.data.size()) +
                (packet.is_finishing ? 1 : 0);
            record.received += packet.data;
            this->handle_answer(record, now, out);
            if (!this->connections.contains(packet.endpoints))
                return out;
        }
        bool const was_requesting = record.current_stage == stage::requesting;
        if (has_more && out.empty())
            out.push_back(this->make_packet(record));
        if (!is_next || !packet.is_finishing)
            return out;
        if (was_requesting) {
            for (soak_packet const& one :
                 this->end_attempt(packet.endpoints, false, now))
                out.push_back(one);
            return out;
        }
        if (record.current_stage != stage::closing) {
            out.back().is_finishing = true;
            this->checker.on_connection_closed(record.endpoints);
        }
        this->connections.erase(packet.endpoints);
        return out;
    }

    // An answer is complete when it equals the text expected for its request.
    void handle_answer(connection& record, time_point now, soak_packets& out)
    {
        std::size_t const line = record.received.find('\n');
        if (record.current_stage != stage::requesting ||
            line == std::string::npos)
            return;
        request_key const key = this->make_request_key(record.current_request);
        if (record.received == make_refusal(key)) {
            this->checker.on_request_refused(key, now);
            out = this->end_attempt(record.endpoints, true, now);
            return;
        }
        std::string const expected = make_answer(
            key, this->routes[record.current_request.route].answer_size);
        bool const is_part = expected.starts_with(record.received);
        if (is_part && record.received.size() < expected.size())
            return;
        this->checker.on_request_answered(key, is_part, now);
        this->checker.on_request_ended(record.current_request.requested_at,
                                       is_part);
        record.next_sequence +=
            static_cast<std::uint32_t>(record.unanswered.size());
        record.unanswered.clear();
        record.received.clear();
        if (record.requests_left == 0) {
            this->close(record, now, out);
            return;
        }
        record.current_stage = stage::pausing;
        record.due_at =
            now +
            duration{static_cast<std::int64_t>(random_index(
                this->random, static_cast<std::size_t>(max_pause.count())))};
    }

    void close(connection& record, time_point now, soak_packets& out)
    {
        this->checker.on_connection_closed(record.endpoints);
        record.current_stage = stage::closing;
        record.due_at = now + closing_limit;
        out.push_back(this->make_packet(record));
        out.back().is_finishing = true;
    }

    // Ends a failed attempt. Retries the request when it has not run or is
    // idempotent.
    soak_packets end_attempt(connection_endpoints endpoints, bool has_not_run,
                             time_point now)
    {
        connection const ended = this->connections.at(endpoints);
        this->checker.on_connection_closed(endpoints);
        this->connections.erase(endpoints);
        if (ended.current_stage == stage::closing ||
            ended.current_stage == stage::pausing)
            return {};
        if (ended.current_stage == stage::opening)
            this->checker.on_request_refused(
                this->make_request_key(ended.current_request), now);
        if (has_not_run ||
            this->routes[ended.current_request.route].is_idempotent)
            return this->start_attempt(ended.current_request, now);
        this->checker.on_request_ended(ended.current_request.requested_at,
                                       false);
        return {};
    }

    void handle_due(connection& record, time_point now, soak_packets& out)
    {
        switch (record.current_stage) {
        case stage::opening:
            ++record.retransmission_count;
            record.due_at = record.begun + (record.retransmission_count == 1
                                                ? second_retransmit_delay
                                                : opening_limit);
            out.push_back(this->make_opening_packet(record));
            break;
        case stage::requesting:
            record.retransmit_delay =
                std::min(2 * record.retransmit_delay, max_retransmit_delay);
            record.due_at = now + record.retransmit_delay;
            out.push_back(this->make_packet(record));
            out.back().data = record.unanswered;
            break;
        case stage::pausing:
            --record.requests_left;
            record.current_request = {++this->last_request,
                                      record.current_request.route, now, 1};
            this->send_request(record, now, out);
            break;
        case stage::closing:
            break;
        }
    }

    bool has_expired(connection const& one, time_point now) const
    {
        time_point const deadline =
            one.current_request.requested_at +
            this->routes[one.current_request.route].deadline;
        if (one.current_stage == stage::opening)
            return now >= std::min(one.begun + opening_limit, deadline);
        if (one.current_stage == stage::requesting)
            return now >= deadline;
        return one.current_stage == stage::closing && now >= one.due_at;
    }

    seeded_random random;
    std::vector<peer_address> addresses;
    std::vector<soak_route> routes;
    promise_checker& checker;
    std::uint64_t last_request = 0;
    std::uint64_t last_port = 0;
    std::map<connection_endpoints, connection> connections = {};
};

}  // namespace lagoon::soak
