#include "programs/target_program.hpp"

#include "base/entropy.hpp"
#include "loop/signals.hpp"

namespace lagoon {

namespace {

// A stopping target still answers this long after its last request, so that
// callers with open flows are told to go elsewhere instead of hearing nothing.
constexpr duration target_linger = std::chrono::seconds{5};

// Of a run with no deadline.
constexpr duration longest_run = std::chrono::minutes{10};

constexpr lane packet_lane{0};

target_settings role_settings(token_target_settings const& settings)
{
    return {.self = target_named(settings.process.name),
            .address = settings.packets,
            .key = random_bytes<token_key_size>(),
            .started = {random_word()},
            .admission = {.slots = settings.slots, .cold_span = settings.cold},
            .flows = {},
            .answer_memory = settings.answer_memory};
}

membership_settings peers_of(token_target_settings const& settings)
{
    return {process_named(settings.process.name), settings.process.data_centre,
            settings.packets, settings.process.control, settings.process.seeds};
}

}  // namespace

target_program::target_program(token_target_settings const& settings)
    : settings(settings), started(read_clock()),
      loop(*this, {{settings.process.control}, std::chrono::milliseconds{20}}),
      role(role_settings(settings), peers_of(settings),
           seeded_random{random_word()}, this->started),
      control(this->loop, settings.process.platform),
      rpc({this,
           [](void* self) {
               return write_status(
                   static_cast<target_program*>(self)->status());
           },
           [](void* self, unsigned long long since) {
               return write_document(static_cast<target_program*>(self)
                                         ->role.configuration()
                                         .changes_since({since}));
           }})
{
}

bool target_program::open(failure& last)
{
    if (!this->loop.is_open()) {
        last = {step::read_settings, reason::unreachable,
                this->settings.process.control, "control can't be bound"};
        return false;
    }
    std::optional<udp_socket> const socket =
        bind_udp(this->settings.packets, last);
    if (!socket)
        return false;
    this->loop.adopt(packet_lane, *socket);
    return true;
}

void target_program::run()
{
    this->log.info("takes packets at " + to_text(this->settings.packets));
    this->loop.run();
    this->log.info("stopped");
    flush_logs();
}

bool target_program::is_stop_forced() const
{
    return stop_signals() > 1;
}

bool target_program::wants_to_stop() const
{
    bool const done = this->role.is_idle() && read_clock() >= this->busy_until;
    return this->is_stop_forced() || (this->stopping && done);
}

// ---- events -------------------------------------------------------------

void target_program::feed(target_event const& event)
{
    for (target_effect const& effect : this->role.on(event, read_clock()))
        std::visit(
            [this](auto const& one) {
                this->perform(one);
            },
            effect);
}

void target_program::feed(configuration_events const& events)
{
    for (configuration_event const& event : events)
        std::visit(
            [this](auto const& one) {
                if constexpr (requires { target_event{one}; })
                    this->feed(target_event{one});
                else
                    this->perform(one);
            },
            event);
}

void target_program::on_datagram(lane, peer_address from,
                                 std::string_view bytes)
{
    ++this->packets;
    failure last;
    std::optional<datagram> const packet = decode_packet(bytes, from, last);
    if (!packet)
        this->perform(note_failure{last});
    else if (auto const* inward = std::get_if<inward_packet>(&*packet))
        this->feed(target_event{inward_arrived{from, *inward}});
    else if (auto const* what = std::get_if<peer_digest>(&*packet))
        this->feed(target_event{digest_packet{from, *what}});
    else if (auto const* news = std::get_if<peer_news>(&*packet))
        this->feed(target_event{news_packet{from, *news}});
    else
        this->perform(note_failure{
            {step::decode_packet, reason::unsupported, from, "wrong socket"}});
}

void target_program::on_tick()
{
    if (stop_signals() > 0 && !this->stopping) {
        this->log.info("stops after what it owns");
        this->stopping = true;
        this->busy_until = read_clock() + target_linger;
        this->feed(target_event{stop_asked{}});
    }
    if (this->stopping && !this->role.is_idle())
        this->busy_until = read_clock() + target_linger;
    this->feed(target_event{clock_tick{}});
    this->log.tick(read_clock());
}

void target_program::on_http_request(exchange_id exchange,
                                     http_request const& request)
{
    this->loop.reply(exchange, answer_rpc(this->rpc, request));
}

void target_program::on_http_gone(exchange_id) {}

void target_program::on_http_bytes(exchange_id exchange, std::string_view bytes)
{
    if (this->control.owns(exchange)) {
        this->control.take_bytes(exchange, bytes);
        return;
    }
    auto const run = this->runs.find(exchange);
    if (run != this->runs.end())
        this->feed(target_event{run_bytes{run->second, std::string{bytes}}});
}

void target_program::on_http_end(exchange_id exchange,
                                 http_result const& result)
{
    if (this->control.owns(exchange)) {
        this->feed(this->control.ended(exchange, result));
        return;
    }
    auto const found = this->runs.find(exchange);
    if (found == this->runs.end())
        return;
    run_id const run = found->second;
    this->runs.erase(found);
    this->exchanges.erase(run);
    constexpr std::uint32_t http_unavailable = 503;
    bool const whole = result.end == http_end::whole;
    run_outcome const outcome =
        result.end == http_end::not_sent             ? run_outcome::unreachable
        : whole && result.status == 200              ? run_outcome::completed
        : whole && result.status == http_unavailable ? run_outcome::shed
                                                     : run_outcome::lost;
    this->feed(target_event{run_ended{run, outcome, result.retry_after}});
}

// ---- effects ------------------------------------------------------------

void target_program::perform(send_outward const& effect)
{
    this->loop.send(packet_lane, effect.to, encode_packet(effect.packet));
}

void target_program::perform(hand_over const& effect)
{
    this->loop.send(packet_lane, effect.to, encode_packet(effect.packet));
}

http_call target_program::call_for(start_run const& effect) const
{
    service_part const* part =
        this->role.configuration().find_service(effect.service);
    std::string const service = part != nullptr ? part->name : "unknown";
    bool const bounded = effect.time_left > duration{};
    duration const timeout = bounded ? effect.time_left : longest_run;
    std::string const query =
        "?flow=" + hex_of(effect.request.flow.value) +
        "&number=" + std::to_string(effect.request.number.value) +
        "&deadline_ms=" +
        std::to_string(timeout / std::chrono::milliseconds{1});
    return {this->settings.back_end, "POST",
            "/run/" + service + "/" + effect.path + query, effect.body,
            timeout};
}

void target_program::perform(start_run const& effect)
{
    exchange_id const exchange = this->loop.call(this->call_for(effect));
    this->runs[exchange] = effect.run;
    this->exchanges[effect.run] = exchange;
}

void target_program::perform(cancel_run const& effect)
{
    auto const found = this->exchanges.find(effect.run);
    if (found != this->exchanges.end())
        this->loop.cancel(found->second);
}

void target_program::perform(request_settled const& effect)
{
    this->metrics.settled(effect.service, effect.state, effect.waited,
                          effect.total);
}

void target_program::perform(send_digest const& effect)
{
    this->loop.send(packet_lane, effect.to, encode_packet(effect.what));
}

// Peers pull what changed over JSON-RPC.
void target_program::perform(send_news const& effect)
{
    this->loop.send(packet_lane, effect.to, encode_packet(effect.what.digest));
}

void target_program::perform(fetch_from_peer const& effect)
{
    this->control.fetch(effect);
}

void target_program::perform(read_platform const& effect)
{
    this->feed(this->control.read(effect));
}

void target_program::perform(generation_adopted const& effect)
{
    this->log.info("generation " + std::to_string(effect.version.number.value) +
                   " is in force");
}

void target_program::perform(note_failure const& effect)
{
    this->metrics.failed(effect.what);
    this->log.debug(to_text(effect.what));
}

process_status target_program::status() const
{
    time_point const now = read_clock();
    return {.name = this->settings.process.name,
            .role = "target",
            .data_centre = this->settings.process.data_centre,
            .version = this->role.configuration().version(),
            .ready = this->role.is_ready(now),
            .leaving = this->role.is_leaving(),
            .platform_age = this->role.platform_age(now),
            .up = now - this->started,
            .flows = this->role.open_flows(),
            .requests = this->role.held_requests(),
            .packets = this->packets,
            .services = this->metrics.services(),
            .failures = this->metrics.failures()};
}

}  // namespace lagoon
