#include "programs/call_program.hpp"

#include "base/entropy.hpp"
#include "loop/signals.hpp"

#include <iostream>

namespace lagoon {

namespace {

constexpr duration call_tick_interval = std::chrono::milliseconds{10};
constexpr duration progress_interval = std::chrono::milliseconds{100};

}  // namespace

call_program::call_program(call_options options)
    : options(std::move(options)),
      random(this->options.seed != 0 ? this->options.seed : random_uint64()),
      budget(retry_budget_settings{}), loop(*this, {{}, call_tick_interval})
{
}

bool call_program::rebind(socket_index socket, failure& error)
{
    std::optional<udp_socket> const bound =
        bind_udp_socket({this->options.local_address.ip, 0}, error);
    if (!bound)
        return false;
    this->loop.add_socket(socket, *bound);
    return true;
}

bool call_program::open(failure& error)
{
    for (std::uint32_t i = 0; i < this->options.session_count; ++i) {
        socket_index const socket{static_cast<std::uint8_t>(i)};
        session_settings const settings{this->options.service,
                                        this->options.caller};
        this->sessions.emplace(
            socket, call_session{
                        {settings, seeded_random{this->random()}, this->budget},
                        {},
                        {}});
        if (!this->rebind(socket, error))
            return false;
    }
    return true;
}

void call_program::run()
{
    this->loop.run();
}

std::vector<call_result> const& call_program::results() const
{
    return this->finished;
}

bool call_program::should_stop() const
{
    return is_stop_requested() ||
           this->finished.size() >= this->options.request_count;
}

// ---- events -------------------------------------------------------------

request_spec const& call_program::pick_request_spec()
{
    std::uint32_t sum = 0;
    for (weighted_request const& kind : this->options.request_mix)
        sum += kind.weight;
    auto remaining =
        static_cast<std::uint32_t>(random_index(this->random, sum));
    for (weighted_request const& kind : this->options.request_mix) {
        if (remaining < kind.weight)
            return kind.spec;
        remaining -= kind.weight;
    }
    return this->options.request_mix.back().spec;
}

void call_program::start_request_if_due(socket_index socket,
                                        call_session& session, time_point now)
{
    bool const is_due = !session.caller_session.is_busy() &&
                        now >= session.next_start &&
                        this->started_count < this->options.request_count;
    if (!is_due)
        return;
    ++this->started_count;
    request_spec const& spec = this->pick_request_spec();
    session.path = spec.path;
    this->handle(socket, session_event{begin_request{spec}});
}

void call_program::handle(socket_index socket, session_event const& event)
{
    auto const found = this->sessions.find(socket);
    if (found == this->sessions.end())
        return;
    for (session_effect const& effect :
         found->second.caller_session.on(event, read_clock()))
        std::visit(
            [this, socket](auto const& alternative) {
                this->perform(socket, alternative);
            },
            effect);
}

void call_program::on_datagram(socket_index socket, peer_address from,
                               std::string_view bytes)
{
    failure error;
    std::optional<datagram> const packet = decode_packet(bytes, from, error);
    if (!packet)
        return;
    if (auto const* message = std::get_if<answer_message>(&*packet))
        this->handle(socket, session_event{answer_received{*message}});
}

void call_program::on_tick()
{
    time_point const now = read_clock();
    for (auto& [socket, session] : this->sessions) {
        this->handle(socket, session_event{timer_expired{}});
        this->start_request_if_due(socket, session, now);
    }
}

// ---- effects ------------------------------------------------------------

void call_program::perform(socket_index socket, send_packet const& effect)
{
    this->loop.send(socket, this->options.entry_address,
                    encode_packet(effect.message));
}

void call_program::perform(socket_index socket, rebind_port const&)
{
    failure error;
    if (!this->rebind(socket, error))
        std::cerr << "lagoon-call: " << to_text(error) << '\n';
}

void call_program::perform(socket_index, report_progress const& effect)
{
    time_point const now = read_clock();
    if (!this->options.shows_progress || now < this->next_progress)
        return;
    this->next_progress = now + progress_interval;
    std::cerr << '\r' << effect.received / 1000 << " kB";
    if (effect.total > 0)
        std::cerr << " of " << effect.total / 1000 << " kB";
    std::cerr << std::flush;
}

void call_program::perform(socket_index socket, request_outcome const& effect)
{
    if (this->options.shows_progress)
        std::cerr << '\r' << std::string(40, ' ') << '\r';
    call_session& session = this->sessions.at(socket);
    session.next_start = read_clock() + this->options.session_pause;
    request_outcome result = effect;
    if (this->options.request_count > 1)
        result.answer.clear();
    this->finished.push_back({session.path, result, effect.answer.size()});
}

}  // namespace lagoon
