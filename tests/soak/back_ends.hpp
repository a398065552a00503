// A back end of the soak: takes connections, runs requests in a few slots,
// repeats what is lost, and notes what it has seen.
//
// Index
//   back_end_settings   how much it can do
//   soak_back_end       the aggregate
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
    std::uint32_t queue = 8;  // beyond the slots; more is shed
    duration work = 12ms;     // mean running time
    duration cold = 2s;       // slower for this long after its start
    double cold_factor = 1.6;
    // Wrong on purpose, to show that it is noticed.
    std::uint32_t runs_each = 1;
    bool refuses_what_ran = false;
    auto operator<=>(back_end_settings const&) const = default;
};

// ---- soak_back_end ------------------------------------------------------

class soak_back_end
{
public:
    soak_back_end(back_end_life life, std::uint64_t seed,
                  back_end_settings settings, promise_book& book,
                  time_point now)
        : life(life), random(seed), settings(settings), book(book),
          cold_until(now + settings.cold)
    {
    }

    // A packet from the process beside it.
    soak_packets take(soak_packet const& packet, time_point now)
    {
        if (!packet.is_genuine) {
            this->book.altered(packet.endpoints, now);
            return {};
        }
        auto const found = this->connections.find(packet.endpoints);
        if (packet.opens)
            return found == this->connections.end() || !found->second.is_open
                       ? this->open(packet, now)
                       : soak_packets{};
        if (found == this->connections.end())
            return this->refuse(packet, now);
        connection& on = found->second;
        if (!on.is_open && packet.acknowledged != on.base + 1)
            return this->refuse(packet, now);
        if (!on.is_open) {
            on.is_open = true;
            ++on.base;
            this->book.opened(on.endpoints, this->life, now);
        }
        this->book.reached(on.endpoints, this->life, now);
        return this->take_in(on, packet, now);
    }

    // What is due: ends of runs, repeats.
    soak_packets tick(time_point now)
    {
        soak_packets out;
        std::vector<run> over;
        std::erase_if(this->running, [&over, now](run const& one) {
            if (one.ends <= now)
                over.push_back(one);
            return one.ends <= now;
        });
        for (run const& one : over) {
            auto const found = this->connections.find(one.what.of);
            if (found != this->connections.end())
                this->answer(
                    found->second,
                    this->settings.refuses_what_ran
                        ? refusal_text(one.what.key)
                        : answer_text(one.what.key, one.what.answer_size),
                    now, out);
        }
        while (this->running.size() < this->settings.slots &&
               !this->waiting.empty()) {
            this->begin(this->waiting.front(), now);
            this->waiting.pop_front();
        }
        std::vector<connection_endpoints> given_up;
        for (auto& [endpoints, one] : this->connections) {
            if (one.out.empty() || one.repeat_at > now)
                continue;
            if (++one.repeats > most_repeats)
                given_up.push_back(endpoints);
            one.interval = std::min(2 * one.interval, longest_repeat);
            one.repeat_at = now + one.interval;
            this->transmit(one, 0, out);
        }
        for (connection_endpoints const& endpoints : given_up)
            this->end(endpoints);
        return out;
    }

    // From now on each connection ends with its next answer.
    void leave()
    {
        this->leaves = true;
    }

    back_end_life const life;

private:
    struct connection
    {
        connection_endpoints endpoints = {};
        bool is_open = false;
        std::uint32_t expected = 0;  // the next sequence number of the caller
        std::uint32_t base = 0;      // of the first byte of `out`
        std::string in = {};         // of a request, so far
        std::string out = {};        // not acknowledged yet
        bool ends_after = false;     // with what `out` holds
        time_point repeat_at = {};
        duration interval = {};
        std::uint32_t repeats = 0;
        auto operator<=>(connection const&) const = default;
    };

    struct request
    {
        connection_endpoints of = {};
        request_key key = {};
        bool may_repeat = true;
        std::size_t answer_size = 0;
        auto operator<=>(request const&) const = default;
    };

    struct run
    {
        time_point ends = {};
        request what = {};
        auto operator<=>(run const&) const = default;
    };

    static constexpr std::size_t packet_data = 1200;  // bytes
    static constexpr std::size_t window = 16;         // packets
    static constexpr duration first_repeat = 200ms;
    static constexpr duration longest_repeat = 1600ms;
    static constexpr std::uint32_t most_repeats = 8;

    soak_packet packet_of(connection const& from) const
    {
        return {.endpoints = from.endpoints,
                .by_caller = false,
                .acknowledges = true,
                .sequence = from.base,
                .acknowledged = from.expected};
    }

    soak_packets open(soak_packet const& packet, time_point now)
    {
        if (this->ended.contains(packet.endpoints))
            return {};
        auto const [found, is_new] =
            this->connections.try_emplace(packet.endpoints);
        connection& on = found->second;
        if (is_new) {
            on.endpoints = packet.endpoints;
            on.base = static_cast<std::uint32_t>(this->random());
            on.expected = packet.sequence + 1;
            this->book.accepted(packet.endpoints, this->life, now);
        }
        soak_packet accepts = this->packet_of(on);
        accepts.opens = true;
        return {accepts};
    }

    // What isn't held here goes back as it came; what has ended here is answered.
    soak_packets refuse(soak_packet const& packet, time_point now)
    {
        if (!this->ended.contains(packet.endpoints)) {
            this->book.strayed(packet.endpoints, now);
            soak_packet returned = packet;
            returned.is_returned = true;
            return {returned};
        }
        soak_packet answer{.endpoints = packet.endpoints,
                           .by_caller = false,
                           .acknowledges = true,
                           .resets = !packet.data.empty(),
                           .sequence = packet.acknowledged,
                           .acknowledged = packet.sequence + 1};
        return {answer};
    }

    soak_packets take_in(connection& on, soak_packet const& packet,
                         time_point now)
    {
        soak_packets out;
        this->take_acknowledged(on, packet.acknowledged, now);
        bool const is_next = packet.sequence == on.expected;
        if (is_next && !packet.data.empty()) {
            on.expected += static_cast<std::uint32_t>(packet.data.size());
            on.in += packet.data;
            out.push_back(this->packet_of(on));
            this->take_request(on, now, out);
        } else if (!packet.data.empty()) {
            out.push_back(this->packet_of(on));
        }
        if (packet.finishes && is_next) {
            ++on.expected;
            soak_packet last = this->packet_of(on);
            last.finishes = true;
            out.push_back(last);
            this->end(on.endpoints);
        }
        return out;
    }

    void take_acknowledged(connection& on, std::uint32_t upto, time_point now)
    {
        std::uint32_t const taken = upto - on.base;
        bool const ends = on.ends_after && taken == on.out.size() + 1;
        if (taken == 0 || (taken > on.out.size() && !ends))
            return;
        on.base = upto;
        on.out.erase(0, taken);
        on.interval = first_repeat;
        on.repeat_at = now + on.interval;
        on.repeats = 0;
    }

    void take_request(connection& on, time_point now, soak_packets& out)
    {
        std::optional<platform::fake_request> const asked =
            platform::parse(on.in);
        if (!asked)
            return;
        on.in.clear();
        std::optional<request_key> const key = parse_request_key(asked->id);
        if (!key) {
            this->book.altered(on.endpoints, now);
            return;
        }
        request const what{on.endpoints, *key, asked->may_repeat,
                           asked->answer_size};
        if (this->running.size() < this->settings.slots)
            this->begin(what, now);
        else if (this->waiting.size() < this->settings.queue)
            this->waiting.push_back(what);
        else
            this->answer(on, refusal_text(*key), now, out);
    }

    void begin(request const& what, time_point now)
    {
        for (std::uint32_t i = 0; i < this->settings.runs_each; ++i)
            this->book.ran(what.key, what.may_repeat, now);
        double const unit = random_fraction(this->random);
        double time = -std::log(1 - unit) *
                      static_cast<double>(this->settings.work.count());
        if (now < this->cold_until)
            time *= this->settings.cold_factor;
        this->running.push_back(
            {now + duration{static_cast<std::int64_t>(time)}, what});
    }

    void answer(connection& on, std::string const& text, time_point now,
                soak_packets& out)
    {
        bool const was_idle = on.out.empty();
        on.out += text;
        on.ends_after = on.ends_after || this->leaves;
        if (!was_idle)
            return;
        on.interval = first_repeat;
        on.repeat_at = now + on.interval;
        on.repeats = 0;
        this->transmit(on, 0, out);
    }

    // As much of what isn't acknowledged as the window holds, from an offset.
    void transmit(connection const& on, std::size_t from, soak_packets& out)
    {
        std::size_t const upto = std::min(on.out.size(), packet_data * window);
        for (std::size_t at = from; at < upto; at += packet_data) {
            soak_packet one = this->packet_of(on);
            one.sequence = on.base + static_cast<std::uint32_t>(at);
            one.data = on.out.substr(at, std::min(packet_data, upto - at));
            one.finishes =
                on.ends_after && at + one.data.size() == on.out.size();
            out.push_back(one);
        }
    }

    void end(connection_endpoints endpoints)
    {
        this->ended.insert(endpoints);
        this->connections.erase(endpoints);
        std::erase_if(this->waiting, [&endpoints](request const& one) {
            return one.of == endpoints;
        });
    }

    seeded_random random;
    back_end_settings settings;
    promise_book& book;
    time_point cold_until;
    bool leaves = false;
    std::map<connection_endpoints, connection> connections = {};
    std::set<connection_endpoints> ended = {};
    std::vector<run> running = {};
    std::deque<request> waiting = {};
};

}  // namespace lagoon::soak
