#include "programs/entry_program.hpp"

#include "base/entropy.hpp"
#include "loop/signals.hpp"

namespace lagoon {

namespace {

// What is in the hands of a stopping entry goes out within this.
constexpr duration entry_linger = std::chrono::milliseconds{500};

membership_settings peers_of(token_entry_settings const& settings)
{
    return {process_named(settings.process.name), settings.process.data_centre,
            settings.exchange, settings.process.control,
            settings.process.seeds};
}

}  // namespace

entry_program::entry_program(token_entry_settings const& settings)
    : settings(settings), started(read_clock()),
      loop(*this, {{settings.process.control}, std::chrono::milliseconds{100}}),
      role(peers_of(settings), seeded_random{random_word()}, this->started),
      control(this->loop, settings.process.platform),
      rpc({this,
           [](void* self) {
               return write_status(static_cast<entry_program*>(self)->status());
           },
           [](void* self, unsigned long long since) {
               return write_document(static_cast<entry_program*>(self)
                                         ->role.configuration()
                                         .changes_since({since}));
           }})
{
}

bool entry_program::open(failure& last)
{
    if (!this->loop.is_open()) {
        last = {step::read_settings, reason::unreachable,
                this->settings.process.control, "control can't be bound"};
        return false;
    }
    std::optional<udp_socket> const callers =
        bind_udp(this->settings.callers, last);
    std::optional<udp_socket> const exchange =
        bind_udp(this->settings.exchange, last);
    if (!callers || !exchange)
        return false;
    this->loop.adopt(caller_lane, *callers);
    this->loop.adopt(exchange_lane, *exchange);
    for (std::uint8_t i = 0; i < lane_count; ++i) {
        std::optional<udp_socket> const socket =
            bind_udp({this->settings.callers.ip, 0}, last);
        if (!socket)
            return false;
        this->loop.adopt({i}, *socket);
    }
    return true;
}

void entry_program::run()
{
    this->log.info("takes packets at " + to_text(this->settings.callers));
    this->loop.run();
    this->log.info("stopped");
    flush_logs();
}

bool entry_program::is_stop_forced() const
{
    return stop_signals() > 1;
}

bool entry_program::wants_to_stop() const
{
    return this->is_stop_forced() ||
           (this->stopping && read_clock() >= this->stop_at);
}

// ---- events -------------------------------------------------------------

void entry_program::feed(entry_event const& event)
{
    for (entry_effect const& effect : this->role.on(event, read_clock()))
        std::visit(
            [this](auto const& one) {
                this->perform(one);
            },
            effect);
}

void entry_program::feed(configuration_events const& events)
{
    for (configuration_event const& event : events)
        std::visit(
            [this](auto const& one) {
                if constexpr (requires { entry_event{one}; })
                    this->feed(entry_event{one});
                else
                    this->perform(one);
            },
            event);
}

// A packet means something only on the socket that such packets come to.
std::optional<entry_event>
entry_program::event_for(lane by, peer_address from,
                         datagram const& packet) const
{
    if (by == caller_lane) {
        if (auto const* message = std::get_if<caller_message>(&packet))
            return caller_packet{from, *message};
    } else if (by == exchange_lane) {
        if (auto const* what = std::get_if<peer_digest>(&packet))
            return digest_packet{from, *what};
        if (auto const* news = std::get_if<peer_news>(&packet))
            return news_packet{from, *news};
    } else if (auto const* outward = std::get_if<outward_packet>(&packet)) {
        return target_packet{from, *outward};
    }
    return std::nullopt;
}

void entry_program::on_datagram(lane by, peer_address from,
                                std::string_view bytes)
{
    ++this->packets;
    failure last;
    std::optional<datagram> const packet = decode_packet(bytes, from, last);
    std::optional<entry_event> const event =
        packet ? this->event_for(by, from, *packet) : std::nullopt;
    if (event)
        this->feed(*event);
    else if (packet)
        this->perform(note_failure{
            {step::decode_packet, reason::unsupported, from, "wrong socket"}});
    else
        this->perform(note_failure{last});
}

void entry_program::on_tick()
{
    if (stop_signals() > 0 && !this->stopping) {
        this->log.info("stops after what is in hand");
        this->stopping = true;
        this->stop_at = read_clock() + entry_linger;
        this->feed(entry_event{stop_asked{}});
    }
    this->feed(entry_event{clock_tick{}});
    this->log.tick(read_clock());
}

void entry_program::on_http_request(exchange_id exchange,
                                    http_request const& request)
{
    this->loop.reply(exchange, answer_rpc(this->rpc, request));
}

void entry_program::on_http_gone(exchange_id) {}

void entry_program::on_http_bytes(exchange_id exchange, std::string_view bytes)
{
    if (this->control.owns(exchange))
        this->control.take_bytes(exchange, bytes);
}

void entry_program::on_http_end(exchange_id exchange, http_result const& result)
{
    if (this->control.owns(exchange))
        this->feed(this->control.ended(exchange, result));
}

// ---- effects ------------------------------------------------------------

void entry_program::perform(send_inward const& effect)
{
    this->loop.send(effect.by, effect.to, encode_packet(effect.packet));
}

void entry_program::perform(send_to_caller const& effect)
{
    this->loop.send(caller_lane, effect.to, encode_packet(effect.message));
}

void entry_program::perform(send_digest const& effect)
{
    this->loop.send(exchange_lane, effect.to, encode_packet(effect.what));
}

// Peers pull what changed over JSON-RPC.
void entry_program::perform(send_news const& effect)
{
    this->loop.send(exchange_lane, effect.to,
                    encode_packet(effect.what.digest));
}

void entry_program::perform(fetch_from_peer const& effect)
{
    this->control.fetch(effect);
}

void entry_program::perform(read_platform const& effect)
{
    this->feed(this->control.read(effect));
}

void entry_program::perform(generation_adopted const& effect)
{
    this->log.info("generation " + std::to_string(effect.version.number.value) +
                   " is in force");
}

void entry_program::perform(note_failure const& effect)
{
    this->metrics.failed(effect.what);
    this->log.debug(to_text(effect.what));
}

process_status entry_program::status() const
{
    time_point const now = read_clock();
    return {.name = this->settings.process.name,
            .role = "entry",
            .data_centre = this->settings.process.data_centre,
            .version = this->role.configuration().version(),
            .ready = this->role.is_ready(now),
            .leaving = this->stopping,
            .platform_age = this->role.platform_age(now),
            .up = now - this->started,
            .packets = this->packets,
            .services = this->metrics.services(),
            .failures = this->metrics.failures()};
}

}  // namespace lagoon
