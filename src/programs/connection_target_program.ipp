// Definitions for connection_target_program.hpp.
#pragma once

namespace lagoon {

namespace detail {

constexpr duration target_tick_interval = std::chrono::milliseconds{100};
constexpr std::size_t target_read_buffer_size = 4096;  // bytes
constexpr std::uint32_t max_target_descriptors = 64;

// Time reserved for exiting cleanly before the platform kills the process.
constexpr duration stop_margin = std::chrono::seconds{1};

// Requests admitted beyond the slots of the back end, so that no slot is idle
// during a caller's handshake, which takes about as long as a short request.
constexpr std::uint32_t max_requests_ahead = 2;

// Share of the request's deadline that an opening packet may spend queued.
constexpr double max_open_wait_share = 0.5;

// Network time of a request: three one-way trips of 3 to 4 ms between caller
// and back end (acceptance, request, answer).
constexpr duration caller_trip_time = std::chrono::milliseconds{12};

inline connection_target_settings
make_role_settings(target_process_settings const& settings)
{
    connection_target_settings role{};
    role.service = make_service_id(settings.service);
    role.admission = {.slots = 1,
                      .extra_starts = max_requests_ahead,
                      .transit_time = caller_trip_time,
                      .max_wait_share = max_open_wait_share};
    role.is_table_complete = settings.is_first_start;
    role.max_connection_age = settings.max_connection_age;
    role.process_started_at_ms = read_unix_milliseconds();
    role.max_stop_time =
        std::max(settings.stop_limit - stop_margin, duration{});
    return role;
}

}  // namespace detail

template <packet_format Format>
connection_target_program<Format>::connection_target_program(
    target_process_settings const& settings)
    : settings(settings), loop(*this, {{settings.ready, settings.metrics},
                                       detail::target_tick_interval,
                                       detail::target_read_buffer_size,
                                       detail::max_target_descriptors}),
      role(detail::make_role_settings(settings), read_clock())
{
    this->log.set_budget(settings.log.lines_per_second);
}

template <packet_format Format>
bool connection_target_program<Format>::open(failure& error)
{
    if (!this->loop.is_listening()) {
        error = {step::read_settings, reason::unreachable, this->settings.ready,
                 "cannot bind the TCP address for /ready or /metrics"};
        return false;
    }
    std::optional<udp_socket> const entries =
        bind_udp_socket(this->settings.packets, error);
    std::optional<udp_socket> const outbound =
        bind_udp_socket(this->settings.outbound, error);
    if (!entries || !outbound)
        return false;
    this->loop.add_socket(entry_socket, *entries);
    this->loop.add_socket(back_end_socket, *outbound);
    return true;
}

template <packet_format Format> void connection_target_program<Format>::run()
{
    this->log.write(log_line{"started"}
                        .with("role", "target")
                        .with("service", this->settings.service)
                        .with("packets", this->settings.packets)
                        .with("back_end", this->settings.back_end));
    this->loop.run();
    this->log.write(log_line{"stopped"}.with("packets", this->packet_count));
    flush_logs();
}

template <packet_format Format>
bool connection_target_program<Format>::is_stop_forced() const
{
    return is_immediate_stop_requested();
}

template <packet_format Format>
bool connection_target_program<Format>::should_stop() const
{
    return this->is_stop_forced() ||
           (this->is_stopping && this->role.can_stop(read_clock()));
}

template <packet_format Format>
std::optional<time_point> connection_target_program<Format>::next_due() const
{
    return this->role.next_due(read_clock());
}

// ---- settings -----------------------------------------------------------

template <packet_format Format>
void connection_target_program<Format>::watch_settings(
    command_line_options const& options)
{
    this->watcher.start(options, read_clock());
}

// Applies the log budget. Other settings need a restart.
template <packet_format Format>
void connection_target_program<Format>::reload(std::string const& text)
{
    auto const next =
        parse_changed_settings(text, parse_target_process_settings,
                               [this](report_failure const& problem) {
                                   this->perform(problem);
                               });
    if (!next)
        return;
    this->log.set_budget(next->log.lines_per_second);
    this->log.write(log_line{"reloaded"}.with("log_lines_per_second",
                                              next->log.lines_per_second));
    this->settings.log = next->log;
}

// ---- events -------------------------------------------------------------

template <packet_format Format>
void connection_target_program<Format>::handle(
    connection_target_event const& event)
{
    for (connection_target_effect const& effect :
         this->role.on(event, read_clock()))
        std::visit(
            [this](auto const& alternative) {
                this->perform(alternative);
            },
            effect);
}

template <packet_format Format>
void connection_target_program<Format>::on_datagram(socket_index socket,
                                                    peer_address from,
                                                    std::string_view bytes)
{
    ++this->packet_count;
    if (socket == entry_socket)
        this->handle_entry_packet(from, bytes);
    else
        this->handle_back_end_packet(from, bytes);
}

template <packet_format Format>
void connection_target_program<Format>::handle_entry_packet(
    peer_address from, std::string_view bytes)
{
    failure error;
    std::optional<datagram> packet = decode_packet(bytes, from, error);
    if (!packet)
        this->perform(report_failure{error});
    else if (auto* offer = std::get_if<packet_offer>(&*packet))
        this->handle_offer(from, std::move(*offer));
    else if (auto* query = std::get_if<locate_query>(&*packet))
        this->handle(connection_target_event{
            locate_request{from, std::move(*query), read_unix_milliseconds()}});
    else if (auto const* notice = std::get_if<evacuation_notice>(&*packet))
        this->handle(connection_target_event{notice_from_entry{*notice}});
    else
        this->perform(
            report_failure{{step::decode_packet, reason::unsupported, from,
                            "packet type not expected on this socket"}});
}

template <packet_format Format>
void connection_target_program<Format>::handle_offer(peer_address from,
                                                     packet_offer offer)
{
    std::optional<connection_packet> inner =
        Format::parse_from_caller(offer.bytes);
    if (!inner) {
        this->perform(report_failure{{step::decode_packet, reason::malformed,
                                      from, "offer contains no valid packet"}});
        return;
    }
    this->handle(connection_target_event{
        entry_offer{from, std::move(offer), std::move(*inner)}});
}

template <packet_format Format>
void connection_target_program<Format>::handle_back_end_packet(
    peer_address from, std::string_view bytes)
{
    std::optional<back_end_packet> packet = Format::parse_from_back_end(bytes);
    if (!packet)
        this->perform(
            report_failure{{step::decode_packet, reason::malformed, from,
                            "invalid packet from the back end"}});
    else if (packet->is_returned)
        this->handle(connection_target_event{
            packet_returned{std::move(packet->packet)}});
    else
        this->handle(connection_target_event{
            packet_from_back_end{std::move(packet->packet), packet->report}});
}

template <packet_format Format>
void connection_target_program<Format>::on_tick()
{
    if (is_stop_requested() && !this->is_stopping) {
        this->log.write(log_line{"stopping"}.with(
            "connections", this->role.connection_count()));
        this->is_stopping = true;
        this->handle(connection_target_event{stop_requested{}});
    }
    this->handle(connection_target_event{clock_tick{}});
    time_point const now = read_clock();
    if (std::optional<std::string> const text =
            this->watcher.poll(count_reload_signals(), now))
        this->reload(*text);
    this->log.on_tick(now);
}

template <packet_format Format>
void connection_target_program<Format>::on_http_request(
    exchange_id exchange, http_request const& request)
{
    http_reply reply{404, "text/plain",
                     "unknown path; use GET /ready or GET /metrics\n", 0};
    if (request.path == "/ready")
        reply = {this->is_stopping ? 503U : 200U, "text/plain", "", 0};
    if (request.path == "/metrics")
        reply = {
            200, "text/plain; version=0.0.4",
            this->metrics.make_exposition()
                .add_gauge("lagoon_connections",
                           static_cast<double>(this->role.connection_count()))
                .add_gauge("lagoon_load",
                           static_cast<double>(this->role.load()))
                .get_text(),
            0};
    this->loop.reply(exchange, reply);
}

// ---- effects ------------------------------------------------------------

// Callers receive on the same port number as entries.
template <packet_format Format>
peer_address connection_target_program<Format>::resolve_caller_address(
    peer_address caller) const
{
    return {caller.ip, this->settings.packets.port};
}

template <packet_format Format>
void connection_target_program<Format>::perform(send_to_back_end const& effect)
{
    this->loop.send(back_end_socket, this->settings.back_end, effect.bytes);
}

template <packet_format Format>
void connection_target_program<Format>::perform(forward_to_caller const& effect)
{
    this->loop.send(entry_socket, this->resolve_caller_address(effect.caller),
                    effect.bytes);
}

template <packet_format Format>
void connection_target_program<Format>::perform(reply_to_entry const& effect)
{
    this->loop.send(entry_socket, effect.to, encode_packet(effect.answer));
}

template <packet_format Format>
void connection_target_program<Format>::perform(
    answer_locate_query const& effect)
{
    this->loop.send(entry_socket, effect.to, encode_packet(effect.reply));
}

template <packet_format Format>
void connection_target_program<Format>::perform(reset_connection const& effect)
{
    this->loop.send(
        entry_socket,
        this->resolve_caller_address(effect.packet.endpoints.caller),
        Format::write_reset(effect.packet));
}

template <packet_format Format>
void connection_target_program<Format>::perform(tracking_note const& effect)
{
    this->metrics.record(effect);
    if (this->log.try_reserve_line(read_clock()))
        write_log_line(this->log, effect, Format::request_id(effect.bytes));
}

template <packet_format Format>
void connection_target_program<Format>::perform(report_failure const& effect)
{
    this->metrics.record(effect);
    if (this->log.try_reserve_line(read_clock()))
        write_log_line(this->log, effect);
}

}  // namespace lagoon
