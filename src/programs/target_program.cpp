#include "programs/target_program.hpp"

#include "base/entropy.hpp"
#include "loop/signals.hpp"

namespace lagoon {

namespace {

// Time that a stopping target keeps answering after its last request, so that
// callers with open flows are redirected instead of timing out.
constexpr duration target_stop_delay = std::chrono::seconds{5};

// HTTP timeout of a request without a deadline.
constexpr duration max_run_time = std::chrono::minutes{10};

constexpr socket_index packet_socket{0};

target_settings make_role_settings(token_target_settings const& settings)
{
    return {.self = make_target_id(settings.process.name),
            .address = settings.packets,
            .key = random_bytes<token_key_size>(),
            .own_epoch = {random_uint64()},
            .admission = {.slots = settings.slots,
                          .ramp_up_time = settings.ramp_up_time},
            .flows = {},
            .max_answer_bytes = settings.max_answer_bytes};
}

membership_settings
make_membership_settings(token_target_settings const& settings)
{
    return {make_process_id(settings.process.name),
            settings.process.data_centre, settings.packets,
            settings.process.control, settings.process.seeds};
}

}  // namespace

target_program::target_program(token_target_settings const& settings)
    : settings(settings), started_at(read_clock()),
      loop(*this, {{settings.process.control}, std::chrono::milliseconds{20}}),
      role(make_role_settings(settings), make_membership_settings(settings),
           seeded_random{random_uint64()}, this->started_at),
      configuration(this->loop, settings.process.platform),
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

bool target_program::open(failure& error)
{
    if (!this->loop.is_listening()) {
        error = {step::read_settings, reason::unreachable,
                 this->settings.process.control,
                 "cannot bind the control address"};
        return false;
    }
    std::optional<udp_socket> const socket =
        bind_udp_socket(this->settings.packets, error);
    if (!socket)
        return false;
    this->loop.add_socket(packet_socket, *socket);
    return true;
}

void target_program::run()
{
    this->log.info("receiving packets on " + to_text(this->settings.packets));
    this->loop.run();
    this->log.info("stopped");
    flush_logs();
}

bool target_program::is_stop_forced() const
{
    return is_immediate_stop_requested();
}

bool target_program::should_stop() const
{
    bool const is_finished =
        this->role.is_idle() && read_clock() >= this->stop_at;
    return this->is_stop_forced() || (this->is_stopping && is_finished);
}

// ---- events -------------------------------------------------------------

void target_program::handle(target_event const& event)
{
    for (target_effect const& effect : this->role.on(event, read_clock()))
        std::visit(
            [this](auto const& alternative) {
                this->perform(alternative);
            },
            effect);
}

void target_program::handle(configuration_events const& events)
{
    for (configuration_event const& event : events)
        std::visit(
            [this](auto const& alternative) {
                if constexpr (requires { target_event{alternative}; })
                    this->handle(target_event{alternative});
                else
                    this->perform(alternative);
            },
            event);
}

void target_program::on_datagram(socket_index, peer_address from,
                                 std::string_view bytes)
{
    ++this->packet_count;
    failure error;
    std::optional<datagram> const packet = decode_packet(bytes, from, error);
    if (!packet)
        this->perform(report_failure{error});
    else if (auto const* inbound = std::get_if<inbound_packet>(&*packet))
        this->handle(target_event{inbound_received{from, *inbound}});
    else if (auto const* digest = std::get_if<peer_digest>(&*packet))
        this->handle(target_event{digest_packet{from, *digest}});
    else if (auto const* update = std::get_if<peer_update>(&*packet))
        this->handle(target_event{update_packet{from, *update}});
    else
        this->perform(
            report_failure{{step::decode_packet, reason::unsupported, from,
                            "packet type not expected on this socket"}});
}

void target_program::on_tick()
{
    if (is_stop_requested() && !this->is_stopping) {
        this->log.info("stopping; finishing accepted requests");
        this->is_stopping = true;
        this->stop_at = read_clock() + target_stop_delay;
        this->handle(target_event{stop_requested{}});
    }
    if (this->is_stopping && !this->role.is_idle())
        this->stop_at = read_clock() + target_stop_delay;
    this->handle(target_event{clock_tick{}});
    this->log.on_tick(read_clock());
}

void target_program::on_http_request(exchange_id exchange,
                                     http_request const& request)
{
    this->loop.reply(exchange, answer_rpc(this->rpc, request));
}

void target_program::on_http_disconnect(exchange_id) {}

void target_program::on_http_data(exchange_id exchange, std::string_view bytes)
{
    if (this->configuration.owns(exchange)) {
        this->configuration.append_body(exchange, bytes);
        return;
    }
    auto const run = this->runs.find(exchange);
    if (run != this->runs.end())
        this->handle(target_event{run_output{run->second, std::string{bytes}}});
}

void target_program::on_http_complete(exchange_id exchange,
                                      http_result const& result)
{
    if (this->configuration.owns(exchange)) {
        this->handle(this->configuration.end_exchange(exchange, result));
        return;
    }
    auto const found = this->runs.find(exchange);
    if (found == this->runs.end())
        return;
    run_id const run = found->second;
    this->runs.erase(found);
    this->exchanges.erase(run);
    constexpr std::uint32_t http_unavailable = 503;
    bool const is_complete = result.outcome == http_outcome::complete;
    back_end_outcome const outcome =
        result.outcome == http_outcome::not_sent ? back_end_outcome::unreachable
        : is_complete && result.status == 200    ? back_end_outcome::completed
        : is_complete && result.status == http_unavailable
            ? back_end_outcome::shed
            : back_end_outcome::lost;
    this->handle(target_event{run_ended{run, outcome, result.retry_after}});
}

// ---- effects ------------------------------------------------------------

void target_program::perform(send_outbound const& effect)
{
    this->loop.send(packet_socket, effect.to, encode_packet(effect.packet));
}

void target_program::perform(forward_open const& effect)
{
    this->loop.send(packet_socket, effect.to, encode_packet(effect.packet));
}

http_call target_program::make_back_end_call(start_run const& effect) const
{
    service_part const* part =
        this->role.configuration().find_service(effect.service);
    std::string const service = part != nullptr ? part->name : "unknown";
    bool const has_deadline = effect.time_left > duration{};
    duration const timeout = has_deadline ? effect.time_left : max_run_time;
    std::string const query =
        "?flow=" + to_hex(effect.request.flow.value) +
        "&number=" + std::to_string(effect.request.number.value) +
        "&deadline_ms=" +
        std::to_string(timeout / std::chrono::milliseconds{1});
    return {this->settings.back_end, "POST",
            "/run/" + service + "/" + effect.path + query, effect.body,
            timeout};
}

void target_program::perform(start_run const& effect)
{
    exchange_id const exchange =
        this->loop.start_call(this->make_back_end_call(effect));
    this->runs[exchange] = effect.run;
    this->exchanges[effect.run] = exchange;
}

void target_program::perform(cancel_run const& effect)
{
    auto const found = this->exchanges.find(effect.run);
    if (found != this->exchanges.end())
        this->loop.cancel_call(found->second);
}

void target_program::perform(request_settled const& effect)
{
    this->metrics.record_request(effect.service, effect.state, effect.wait_time,
                                 effect.total_time);
}

void target_program::perform(send_digest const& effect)
{
    this->loop.send(packet_socket, effect.to, encode_packet(effect.message));
}

// Sends only the digest: peers fetch the changes over JSON-RPC.
void target_program::perform(send_update const& effect)
{
    this->loop.send(packet_socket, effect.to,
                    encode_packet(effect.message.digest));
}

void target_program::perform(fetch_from_peer const& effect)
{
    this->configuration.fetch(effect);
}

void target_program::perform(read_platform const& effect)
{
    this->handle(this->configuration.read(effect));
}

void target_program::perform(generation_adopted const& effect)
{
    this->log.info("generation " + std::to_string(effect.version.number.value) +
                   " is in force");
}

void target_program::perform(report_failure const& effect)
{
    this->metrics.record_failure(effect.error);
    this->log.debug(to_text(effect.error));
}

process_status target_program::status() const
{
    time_point const now = read_clock();
    return {.name = this->settings.process.name,
            .role = "target",
            .data_centre = this->settings.process.data_centre,
            .version = this->role.configuration().version(),
            .is_ready = this->role.is_ready(now),
            .is_leaving = this->role.is_stopping(),
            .platform_age = this->role.platform_age(now),
            .uptime = now - this->started_at,
            .flow_count = this->role.open_flow_count(),
            .request_count = this->role.request_count(),
            .packet_count = this->packet_count,
            .services = this->metrics.services(),
            .failures = this->metrics.failures()};
}

}  // namespace lagoon
