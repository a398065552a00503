#include "programs/entry_program.hpp"

#include "base/entropy.hpp"
#include "loop/signals.hpp"

namespace lagoon {

namespace {

// Time that a stopping entry keeps forwarding packets already under way.
constexpr duration entry_stop_delay = std::chrono::milliseconds{500};

membership_settings
make_membership_settings(token_entry_settings const& settings)
{
    return {make_process_id(settings.process.name),
            settings.process.data_centre, settings.exchange,
            settings.process.control, settings.process.seeds};
}

}  // namespace

entry_program::entry_program(token_entry_settings const& settings)
    : settings(settings), started_at(read_clock()),
      loop(*this, {{settings.process.control}, std::chrono::milliseconds{100}}),
      role(make_membership_settings(settings), seeded_random{random_uint64()},
           this->started_at),
      configuration(this->loop, settings.process.platform),
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

bool entry_program::open(failure& error)
{
    if (!this->loop.is_listening()) {
        error = {step::read_settings, reason::unreachable,
                 this->settings.process.control,
                 "cannot bind the control address"};
        return false;
    }
    std::optional<udp_socket> const callers =
        bind_udp_socket(this->settings.callers, error);
    std::optional<udp_socket> const exchange =
        bind_udp_socket(this->settings.exchange, error);
    if (!callers || !exchange)
        return false;
    this->loop.add_socket(caller_socket, *callers);
    this->loop.add_socket(exchange_socket, *exchange);
    for (std::uint8_t i = 0; i < peer_socket_count; ++i) {
        std::optional<udp_socket> const socket =
            bind_udp_socket({this->settings.callers.ip, 0}, error);
        if (!socket)
            return false;
        this->loop.add_socket({i}, *socket);
    }
    return true;
}

void entry_program::run()
{
    this->log.info("receiving packets on " + to_text(this->settings.callers));
    this->loop.run();
    this->log.info("stopped");
    flush_logs();
}

bool entry_program::is_stop_forced() const
{
    return is_immediate_stop_requested();
}

bool entry_program::should_stop() const
{
    return this->is_stop_forced() ||
           (this->is_stopping && read_clock() >= this->stop_at);
}

// ---- events -------------------------------------------------------------

void entry_program::handle(entry_event const& event)
{
    for (entry_effect const& effect : this->role.on(event, read_clock()))
        std::visit(
            [this](auto const& alternative) {
                this->perform(alternative);
            },
            effect);
}

void entry_program::handle(configuration_events const& events)
{
    for (configuration_event const& event : events)
        std::visit(
            [this](auto const& alternative) {
                if constexpr (requires { entry_event{alternative}; })
                    this->handle(entry_event{alternative});
                else
                    this->perform(alternative);
            },
            event);
}

// Returns nothing for a packet type that is not valid on its socket.
std::optional<entry_event>
entry_program::make_event(socket_index socket, peer_address from,
                          datagram const& packet) const
{
    if (socket == caller_socket) {
        if (auto const* message = std::get_if<caller_message>(&packet))
            return caller_packet{from, *message};
    } else if (socket == exchange_socket) {
        if (auto const* digest = std::get_if<peer_digest>(&packet))
            return digest_packet{from, *digest};
        if (auto const* update = std::get_if<peer_update>(&packet))
            return update_packet{from, *update};
    } else if (auto const* outbound = std::get_if<outbound_packet>(&packet)) {
        return target_packet{from, *outbound};
    }
    return std::nullopt;
}

void entry_program::on_datagram(socket_index socket, peer_address from,
                                std::string_view bytes)
{
    ++this->packet_count;
    failure error;
    std::optional<datagram> const packet = decode_packet(bytes, from, error);
    std::optional<entry_event> const event =
        packet ? this->make_event(socket, from, *packet) : std::nullopt;
    if (event)
        this->handle(*event);
    else if (packet)
        this->perform(
            report_failure{{step::decode_packet, reason::unsupported, from,
                            "packet type not expected on this socket"}});
    else
        this->perform(report_failure{error});
}

void entry_program::on_tick()
{
    if (is_stop_requested() && !this->is_stopping) {
        this->log.info("stopping; forwarding packets under way");
        this->is_stopping = true;
        this->stop_at = read_clock() + entry_stop_delay;
        this->handle(entry_event{stop_requested{}});
    }
    this->handle(entry_event{clock_tick{}});
    this->log.on_tick(read_clock());
}

void entry_program::on_http_request(exchange_id exchange,
                                    http_request const& request)
{
    this->loop.reply(exchange, answer_rpc(this->rpc, request));
}

void entry_program::on_http_disconnect(exchange_id) {}

void entry_program::on_http_data(exchange_id exchange, std::string_view bytes)
{
    if (this->configuration.owns(exchange))
        this->configuration.append_body(exchange, bytes);
}

void entry_program::on_http_complete(exchange_id exchange,
                                     http_result const& result)
{
    if (this->configuration.owns(exchange))
        this->handle(this->configuration.end_exchange(exchange, result));
}

// ---- effects ------------------------------------------------------------

void entry_program::perform(send_inbound const& effect)
{
    this->loop.send(effect.via, effect.to, encode_packet(effect.packet));
}

void entry_program::perform(send_to_caller const& effect)
{
    this->loop.send(caller_socket, effect.to, encode_packet(effect.message));
}

void entry_program::perform(send_digest const& effect)
{
    this->loop.send(exchange_socket, effect.to, encode_packet(effect.message));
}

// Sends only the digest: peers fetch the changes over JSON-RPC.
void entry_program::perform(send_update const& effect)
{
    this->loop.send(exchange_socket, effect.to,
                    encode_packet(effect.message.digest));
}

void entry_program::perform(fetch_from_peer const& effect)
{
    this->configuration.fetch(effect);
}

void entry_program::perform(read_platform const& effect)
{
    this->handle(this->configuration.read(effect));
}

void entry_program::perform(generation_adopted const& effect)
{
    this->log.info("generation " + std::to_string(effect.version.number.value) +
                   " is in force");
}

void entry_program::perform(report_failure const& effect)
{
    this->metrics.record_failure(effect.error);
    this->log.debug(to_text(effect.error));
}

process_status entry_program::status() const
{
    time_point const now = read_clock();
    return {.name = this->settings.process.name,
            .role = "entry",
            .data_centre = this->settings.process.data_centre,
            .version = this->role.configuration().version(),
            .is_ready = this->role.is_ready(now),
            .is_leaving = this->is_stopping,
            .platform_age = this->role.platform_age(now),
            .uptime = now - this->started_at,
            .packet_count = this->packet_count,
            .services = this->metrics.services(),
            .failures = this->metrics.failures()};
}

}  // namespace lagoon
