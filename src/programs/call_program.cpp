#include "programs/call_program.hpp"

#include "base/entropy.hpp"
#include "loop/signals.hpp"

#include <iostream>

namespace lagoon {

namespace {

constexpr duration call_tick = std::chrono::milliseconds{10};
constexpr duration progress_interval = std::chrono::milliseconds{100};

}  // namespace

call_program::call_program(call_options plan)
    : plan(std::move(plan)),
      random(this->plan.seed != 0 ? this->plan.seed : random_word()),
      budget(retry_allowance{}), loop(*this, {{}, call_tick})
{
}

bool call_program::rebind(lane which, failure& last)
{
    std::optional<udp_socket> const socket =
        bind_udp({this->plan.local.ip, 0}, last);
    if (!socket)
        return false;
    this->loop.adopt(which, *socket);
    return true;
}

bool call_program::open(failure& last)
{
    for (std::uint32_t i = 0; i < this->plan.sessions; ++i) {
        lane const which{static_cast<std::uint8_t>(i)};
        session_settings const settings{this->plan.service, this->plan.caller};
        this->lines.emplace(
            which, line{{settings, seeded_random{this->random()}, this->budget},
                        {},
                        {}});
        if (!this->rebind(which, last))
            return false;
    }
    return true;
}

void call_program::run()
{
    this->loop.run();
}

std::vector<call_result> const& call_program::records() const
{
    return this->done;
}

bool call_program::wants_to_stop() const
{
    return stop_signals() > 0 || this->done.size() >= this->plan.requests;
}

// ---- events -------------------------------------------------------------

request_wish const& call_program::pick_wish()
{
    std::uint32_t sum = 0;
    for (weighted_request const& one : this->plan.mix)
        sum += one.share;
    auto left = static_cast<std::uint32_t>(pick_below(this->random, sum));
    for (weighted_request const& one : this->plan.mix) {
        if (left < one.share)
            return one.wish;
        left -= one.share;
    }
    return this->plan.mix.back().wish;
}

void call_program::begin_if_due(lane which, line& one, time_point now)
{
    bool const due = !one.talk.is_busy() && now >= one.next_begin &&
                     this->begun < this->plan.requests;
    if (!due)
        return;
    ++this->begun;
    request_wish const& wish = this->pick_wish();
    one.path = wish.path;
    this->feed(which, session_event{begin_request{wish}});
}

void call_program::feed(lane which, session_event const& event)
{
    auto const found = this->lines.find(which);
    if (found == this->lines.end())
        return;
    for (session_effect const& effect :
         found->second.talk.on(event, read_clock()))
        std::visit(
            [this, which](auto const& one) {
                this->perform(which, one);
            },
            effect);
}

void call_program::on_datagram(lane by, peer_address from,
                               std::string_view bytes)
{
    failure last;
    std::optional<datagram> const packet = decode_packet(bytes, from, last);
    if (!packet)
        return;
    if (auto const* message = std::get_if<answer_message>(&*packet))
        this->feed(by, session_event{answer_arrived{*message}});
}

void call_program::on_tick()
{
    time_point const now = read_clock();
    for (auto& [which, one] : this->lines) {
        this->feed(which, session_event{time_passed{}});
        this->begin_if_due(which, one, now);
    }
}

// ---- effects ------------------------------------------------------------

void call_program::perform(lane which, send_packet const& effect)
{
    this->loop.send(which, this->plan.to, encode_packet(effect.message));
}

void call_program::perform(lane which, rebind_port const&)
{
    failure last;
    if (!this->rebind(which, last))
        std::cerr << "lagoon-call: " << to_text(last) << '\n';
}

void call_program::perform(lane, report_progress const& effect)
{
    time_point const now = read_clock();
    if (!this->plan.shows_progress || now < this->next_progress)
        return;
    this->next_progress = now + progress_interval;
    std::cerr << '\r' << effect.received / 1000 << " kB";
    if (effect.total > 0)
        std::cerr << " of " << effect.total / 1000 << " kB";
    std::cerr << std::flush;
}

void call_program::perform(lane which, request_outcome const& effect)
{
    if (this->plan.shows_progress)
        std::cerr << '\r' << std::string(40, ' ') << '\r';
    line& one = this->lines.at(which);
    one.next_begin = read_clock() + this->plan.pause;
    request_outcome kept = effect;
    if (this->plan.requests > 1)
        kept.answer.clear();
    this->done.push_back({one.path, kept, effect.answer.size()});
}

}  // namespace lagoon
