#include "callers.hpp"

#include <algorithm>
#include <charconv>

namespace lagoon::soak {

namespace {

constexpr std::string_view refused = " not run\n";

}  // namespace

// ---- texts --------------------------------------------------------------

std::string answer_text(request_key const& key, std::size_t size)
{
    constexpr std::uint64_t letters = 26;
    std::string text = to_text(key) + " " + std::to_string(size) + "\n";
    std::uint64_t const seed = hash_bytes(to_text(key));
    for (std::size_t i = 0; i < size; ++i)
        text += static_cast<char>('a' + (seed + i * i) % letters);
    return text;
}

std::string refusal_text(request_key const& key)
{
    return to_text(key) + std::string{refused};
}

std::string request_text(request_key const& key, std::size_t answer_size,
                         bool may_repeat)
{
    return std::string{may_repeat ? "GET" : "POST"} + " /" +
           std::to_string(answer_size) +
           " HTTP/1.1\r\nX-Request-Id: " + to_text(key) + "\r\n\r\n";
}

// ---- caller_crowd -------------------------------------------------------

caller_crowd::caller_crowd(std::uint64_t seed,
                           std::vector<peer_address> addresses,
                           std::vector<soak_route> routes, promise_book& book)
    : random(seed), addresses(std::move(addresses)), routes(std::move(routes)),
      book(book)
{
}

request_key caller_crowd::key_of(wish const& asked) const
{
    return {asked.number, asked.attempts};
}

soak_packet caller_crowd::packet_of(connection const& from) const
{
    return {.ends = from.ends,
            .acknowledges = true,
            .sequence = from.sent,
            .acknowledged = from.expected};
}

soak_packet caller_crowd::opening_packet(connection const& from) const
{
    return {.ends = from.ends,
            .opens = true,
            .sequence = from.sent,
            .acknowledged = from.copies};
}

soak_packets caller_crowd::begin(time_point now)
{
    double at = std::uniform_real_distribution<double>{0, 1}(this->random);
    std::size_t route = 0;
    while (route + 1 < this->routes.size() && at >= this->routes[route].share)
        at -= this->routes[route++].share;
    return this->begin_attempt({++this->last_wish, route, now, 0}, now);
}

soak_packets caller_crowd::begin_attempt(wish const& asked, time_point now)
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
    connection made{.ends = {caller, route.address},
                    .asked = asked,
                    .begun = now,
                    .due = now + first_copy,
                    .left = route.in_a_row - 1,
                    .sent = static_cast<std::uint32_t>(this->random())};
    ++made.asked.attempts;
    this->connections[made.ends] = made;
    return {this->opening_packet(made)};
}

soak_packets caller_crowd::take(soak_packet const& packet, std::size_t by,
                                time_point now)
{
    auto const found = this->connections.find(packet.ends);
    if (packet.resets && !packet.is_genuine && packet.data.empty()) {
        this->book.reset(packet.ends, by, now);
    } else if (!packet.is_genuine) {
        this->book.altered(packet.ends, now);
        return {};
    }
    if (found == this->connections.end())
        return {};
    connection& on = found->second;
    if (packet.resets)
        return this->fail(packet.ends, on.at == stage::opening, now);
    if (on.at == stage::opening)
        return packet.opens && packet.acknowledges
                   ? this->accept(on, packet, now)
                   : soak_packets{};
    if (packet.opens)
        return {};
    return this->take_data(on, packet, now);
}

soak_packets caller_crowd::accept(connection& on, soak_packet const& packet,
                                  time_point now)
{
    soak_packets out;
    on.sent += 1;
    on.expected = packet.sequence + 1;
    this->ask(on, now, out);
    return out;
}

void caller_crowd::ask(connection& on, time_point now, soak_packets& out)
{
    soak_route const& route = this->routes[on.asked.route];
    on.at = stage::asking;
    on.got.clear();
    on.unanswered = request_text(this->key_of(on.asked), route.answer_size,
                                 route.may_repeat);
    on.interval = first_copy;
    on.due = now + on.interval;
    out.push_back(this->packet_of(on));
    out.back().data = on.unanswered;
}

soak_packets caller_crowd::take_data(connection& on, soak_packet const& packet,
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
        if (!this->connections.contains(packet.ends))
            return out;
    }
    bool const was_asking = on.at == stage::asking;
    if (has_more && out.empty())
        out.push_back(this->packet_of(on));
    if (!is_next || !packet.finishes)
        return out;
    if (was_asking) {
        for (soak_packet const& one : this->fail(packet.ends, false, now))
            out.push_back(one);
        return out;
    }
    if (on.at != stage::closing) {
        out.back().finishes = true;
        this->book.closed(on.ends);
    }
    this->connections.erase(packet.ends);
    return out;
}

// An answer is whole when its first line says so of what follows.
void caller_crowd::take_answer(connection& on, time_point now,
                               soak_packets& out)
{
    std::size_t const line = on.got.find('\n');
    if (on.at != stage::asking || line == std::string::npos)
        return;
    request_key const key = this->key_of(on.asked);
    if (on.got == refusal_text(key)) {
        this->book.told_not_run(key, now);
        out = this->fail(on.ends, true, now);
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
    on.due =
        now +
        duration{static_cast<std::int64_t>(pick_below(
            this->random, static_cast<std::size_t>(longest_pause.count())))};
}

void caller_crowd::close(connection& on, time_point now, soak_packets& out)
{
    this->book.closed(on.ends);
    on.at = stage::closing;
    on.due = now + closing_limit;
    out.push_back(this->packet_of(on));
    out.back().finishes = true;
}

soak_packets caller_crowd::fail(connection_ends ends, bool has_not_run,
                                time_point now)
{
    connection const over = this->connections.at(ends);
    this->book.closed(ends);
    this->connections.erase(ends);
    if (over.at == stage::closing || over.at == stage::pausing)
        return {};
    if (over.at == stage::opening)
        this->book.told_not_run(this->key_of(over.asked), now);
    if (has_not_run || this->routes[over.asked.route].may_repeat)
        return this->begin_attempt(over.asked, now);
    this->book.ended(over.asked.begun, false);
    return {};
}

void caller_crowd::repeat(connection& on, time_point now, soak_packets& out)
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

bool caller_crowd::is_over(connection const& one, time_point now) const
{
    time_point const deadline =
        one.asked.begun + this->routes[one.asked.route].deadline;
    if (one.at == stage::opening)
        return now >= std::min(one.begun + opening_limit, deadline);
    if (one.at == stage::asking)
        return now >= deadline;
    return one.at == stage::closing && now >= one.due;
}

soak_packets caller_crowd::tick(time_point now)
{
    soak_packets out;
    std::vector<connection_ends> over;
    for (auto& [ends, one] : this->connections)
        if (this->is_over(one, now))
            over.push_back(ends);
        else if (now >= one.due)
            this->repeat(one, now, out);
    for (connection_ends const& ends : over) {
        bool const never_opened =
            this->connections.at(ends).at == stage::opening;
        for (soak_packet const& one : this->fail(ends, never_opened, now))
            out.push_back(one);
    }
    return out;
}

std::size_t caller_crowd::open() const
{
    return this->connections.size();
}

}  // namespace lagoon::soak
