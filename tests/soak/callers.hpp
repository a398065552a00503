// The callers of the soak: they open connections, send requests, repeat
// what is lost, try again where that is allowed, and note what becomes of it.
//
// Index
//   soak_route     what is asked for, and what it is owed
//   answer_text    what a back end answers; callers know it in advance
//   caller_crowd   the aggregate
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
    bool may_repeat = true;
    std::size_t answer_size = 0;  // bytes
    std::uint32_t in_a_row = 1;   // requests on one connection
    double share = 1;             // of the load
    auto operator<=>(soak_route const&) const = default;
};

// ---- answer_text --------------------------------------------------------

// Names its request and its size, so that a part of it, or another's, shows.
constexpr std::string_view refused = " not run\n";

inline std::string answer_text(request_key const& key, std::size_t size)
{
    constexpr std::uint64_t letters = 26;
    std::string text = to_text(key) + " " + std::to_string(size) + "\n";
    std::uint64_t const seed = hash_bytes(to_text(key));
    for (std::size_t i = 0; i < size; ++i)
        text += static_cast<char>('a' + (seed + i * i) % letters);
    return text;
}

inline std::string refusal_text(request_key const& key)
{
    return to_text(key) + std::string{refused};
}

// ---- caller_crowd -------------------------------------------------------

class caller_crowd
{
public:
    caller_crowd(std::uint64_t seed, std::vector<peer_address> addresses,
                 std::vector<soak_route> routes, promise_book& book)
        : random(seed), addresses(std::move(addresses)),
          routes(std::move(routes)), book(book)
    {
    }

    // A new request, with the packets that it begins with.
    soak_packets begin(time_point now)
    {
        double at = random_fraction(this->random);
        std::size_t route = 0;
        while (route + 1 < this->routes.size() &&
               at >= this->routes[route].share)
            at -= this->routes[route++].share;
        return this->begin_attempt({++this->last_wish, route, now, 0}, now);
    }

    // A packet for a caller; `by` is the machine that it came from.
    soak_packets take(soak_packet const& packet, std::size_t by, time_point now)
    {
        auto const found = this->connections.find(packet.endpoints);
        bool const is_reset_of_ours =
            packet.resets && !packet.is_genuine && packet.data.empty();
        if (!packet.is_genuine && !is_reset_of_ours) {
            this->book.altered(packet.endpoints, now);
            return {};
        }
        if (found == this->connections.end())
            return {};
        connection& on = found->second;
        if (packet.resets && !takes_reset(on, packet))
            return {};
        if (is_reset_of_ours)
            this->book.reset(packet.endpoints, by, now);
        if (packet.resets)
            return this->fail(packet.endpoints, on.at == stage::opening, now);
        if (on.at == stage::opening)
            return packet.opens && packet.acknowledges
                       ? this->accept(on, packet, now)
                       : soak_packets{};
        if (packet.opens)
            return {};
        return this->take_data(on, packet, now);
    }

    // What is due: copies, repeats, requests after a pause, ends.
    soak_packets tick(time_point now)
    {
        soak_packets out;
        std::vector<connection_endpoints> over;
        for (auto& [endpoints, one] : this->connections)
            if (this->is_over(one, now))
                over.push_back(endpoints);
            else if (now >= one.due)
                this->repeat(one, now, out);
        for (connection_endpoints const& endpoints : over) {
            bool const never_opened =
                this->connections.at(endpoints).at == stage::opening;
            for (soak_packet const& one :
                 this->fail(endpoints, never_opened, now))
                out.push_back(one);
        }
        return out;
    }

    std::size_t open() const
    {
        return this->connections.size();
    }

private:
    enum class stage : std::uint8_t
    {
        opening,
        asking,   // a request is under way
        pausing,  // open, between two requests
        closing   // its end is sent
    };

    struct wish
    {
        std::uint64_t number = 0;
        std::size_t route = 0;
        time_point begun = {};
        std::uint32_t attempts = 0;
        auto operator<=>(wish const&) const = default;
    };

    struct connection
    {
        connection_endpoints endpoints = {};
        stage at = stage::opening;
        wish asked = {};
        time_point begun = {};
        time_point due = {};  // of the next repeat, request or end
        duration interval = {};
        std::uint32_t copies = 0;
        std::uint32_t left = 0;       // requests after this one
        std::uint32_t sent = 0;       // the next sequence number of ours
        std::uint32_t expected = 0;   // and of the other end's
        std::string unanswered = {};  // the request under way
        std::string got = {};         // of its answer
        auto operator<=>(connection const&) const = default;
    };

    static constexpr duration first_copy = 200ms;
    static constexpr duration second_copy = 600ms;
    static constexpr duration opening_limit = 1400ms;
    static constexpr duration longest_interval = 1600ms;
    static constexpr duration closing_limit = 1s;
    static constexpr duration longest_pause = 600ms;
    static constexpr std::uint32_t most_attempts = 3;
    static constexpr std::uint16_t first_port = 1024;

    // As the platform's pages say; one that answers a late copy of an opening
    // packet means nothing to a connection that has opened since.
    static bool takes_reset(connection const& on, soak_packet const& packet)
    {
        constexpr std::uint32_t window = 76'800;
        std::uint32_t const ahead = packet.sequence - on.expected;
        std::uint32_t const behind = on.expected - packet.sequence;
        return on.at == stage::opening || std::min(ahead, behind) <= window;
    }

    request_key key_of(wish const& asked) const
    {
        return {asked.number, asked.attempts};
    }

    soak_packet packet_of(connection const& from) const
    {
        return {.endpoints = from.endpoints,
                .acknowledges = true,
                .sequence = from.sent,
                .acknowledged = from.expected};
    }

    soak_packet opening_packet(connection const& from) const
    {
        return {.endpoints = from.endpoints,
                .opens = true,
                .sequence = from.sent,
                .acknowledged = from.copies};
    }

    soak_packets begin_attempt(wish const& asked, time_point now)
    {
        constexpr std::uint64_t ports = UINT16_MAX - first_port;
        soak_route const& route = this->routes[asked.route];
        if (asked.attempts >= most_attempts ||
            now >= asked.begun + route.deadline) {
            this->book.ended(asked.begun, false);
            return {};
        }
        std::uint64_t const turn = ++this->last_port;
        peer_address caller = this->addresses[turn % this->addresses.size()];
        caller.port = static_cast<std::uint16_t>(
            first_port + turn / this->addresses.size() % ports);
        connection made{.endpoints = {caller, route.address},
                        .asked = asked,
                        .begun = now,
                        .due = now + first_copy,
                        .left = route.in_a_row - 1,
                        .sent = static_cast<std::uint32_t>(this->random())};
        ++made.asked.attempts;
        this->connections[made.endpoints] = made;
        return {this->opening_packet(made)};
    }

    soak_packets accept(connection& on, soak_packet const& packet,
                        time_point now)
    {
        soak_packets out;
        on.sent += 1;
        on.expected = packet.sequence + 1;
        this->ask(on, now, out);
        return out;
    }

    void ask(connection& on, time_point now, soak_packets& out)
    {
        soak_route const& route = this->routes[on.asked.route];
        on.at = stage::asking;
        on.got.clear();
        on.unanswered = platform::write({to_text(this->key_of(on.asked)),
                                         route.answer_size, route.may_repeat});
        on.interval = first_copy;
        on.due = now + on.interval;
        out.push_back(this->packet_of(on));
        out.back().data = on.unanswered;
    }

    soak_packets take_data(connection& on, soak_packet const& packet,
                           time_point now)
    {
        soak_packets out;
        bool const is_next = packet.sequence == on.expected;
        bool const has_more = !packet.data.empty() || packet.finishes;
        if (is_next && has_more) {
            on.expected += static_cast<std::uint32_t>(packet.data.size()) +
                           (packet.finishes ? 1 : 0);
            on.got += packet.data;
            this->take_answer(on, now, out);
            if (!this->connections.contains(packet.endpoints))
                return out;
        }
        bool const was_asking = on.at == stage::asking;
        if (has_more && out.empty())
            out.push_back(this->packet_of(on));
        if (!is_next || !packet.finishes)
            return out;
        if (was_asking) {
            for (soak_packet const& one :
                 this->fail(packet.endpoints, false, now))
                out.push_back(one);
            return out;
        }
        if (on.at != stage::closing) {
            out.back().finishes = true;
            this->book.closed(on.endpoints);
        }
        this->connections.erase(packet.endpoints);
        return out;
    }

    // An answer is whole when its first line says so of what follows.
    void take_answer(connection& on, time_point now, soak_packets& out)
    {
        std::size_t const line = on.got.find('\n');
        if (on.at != stage::asking || line == std::string::npos)
            return;
        request_key const key = this->key_of(on.asked);
        if (on.got == refusal_text(key)) {
            this->book.told_not_run(key, now);
            out = this->fail(on.endpoints, true, now);
            return;
        }
        std::string const whole =
            answer_text(key, this->routes[on.asked.route].answer_size);
        bool const is_part = whole.starts_with(on.got);
        if (is_part && on.got.size() < whole.size())
            return;
        this->book.answered(key, is_part, now);
        this->book.ended(on.asked.begun, is_part);
        on.sent += static_cast<std::uint32_t>(on.unanswered.size());
        on.unanswered.clear();
        on.got.clear();
        if (on.left == 0) {
            this->close(on, now, out);
            return;
        }
        on.at = stage::pausing;
        on.due = now + duration{static_cast<std::int64_t>(random_index(
                           this->random,
                           static_cast<std::size_t>(longest_pause.count())))};
    }

    void close(connection& on, time_point now, soak_packets& out)
    {
        this->book.closed(on.endpoints);
        on.at = stage::closing;
        on.due = now + closing_limit;
        out.push_back(this->packet_of(on));
        out.back().finishes = true;
    }

    // The attempt has failed; it is made again where that is allowed.
    soak_packets fail(connection_endpoints endpoints, bool has_not_run,
                      time_point now)
    {
        connection const over = this->connections.at(endpoints);
        this->book.closed(endpoints);
        this->connections.erase(endpoints);
        if (over.at == stage::closing || over.at == stage::pausing)
            return {};
        if (over.at == stage::opening)
            this->book.told_not_run(this->key_of(over.asked), now);
        if (has_not_run || this->routes[over.asked.route].may_repeat)
            return this->begin_attempt(over.asked, now);
        this->book.ended(over.asked.begun, false);
        return {};
    }

    void repeat(connection& on, time_point now, soak_packets& out)
    {
        switch (on.at) {
        case stage::opening:
            ++on.copies;
            on.due = on.begun + (on.copies == 1 ? second_copy : opening_limit);
            out.push_back(this->opening_packet(on));
            break;
        case stage::asking:
            on.interval = std::min(2 * on.interval, longest_interval);
            on.due = now + on.interval;
            out.push_back(this->packet_of(on));
            out.back().data = on.unanswered;
            break;
        case stage::pausing:
            --on.left;
            on.asked = {++this->last_wish, on.asked.route, now, 1};
            this->ask(on, now, out);
            break;
        case stage::closing:
            break;
        }
    }

    bool is_over(connection const& one, time_point now) const
    {
        time_point const deadline =
            one.asked.begun + this->routes[one.asked.route].deadline;
        if (one.at == stage::opening)
            return now >= std::min(one.begun + opening_limit, deadline);
        if (one.at == stage::asking)
            return now >= deadline;
        return one.at == stage::closing && now >= one.due;
    }

    seeded_random random;
    std::vector<peer_address> addresses;
    std::vector<soak_route> routes;
    promise_book& book;
    std::uint64_t last_wish = 0;
    std::uint64_t last_port = 0;
    std::map<connection_endpoints, connection> connections = {};
};

}  // namespace lagoon::soak
