// Definitions for connection_entry_program.hpp.
#pragma once

namespace lagoon {

namespace detail {

// A stopping entry keeps forwarding packets until the routers stop sending to
// it. They poll /ready twice a second and remove an entry after two failed
// polls, which takes up to 1.5 s.
constexpr duration min_stop_time = std::chrono::milliseconds{1500};
constexpr duration stop_idle_time = std::chrono::milliseconds{300};
constexpr duration max_entry_stop_time = std::chrono::milliseconds{4500};

constexpr duration entry_tick_interval = std::chrono::milliseconds{100};
constexpr std::size_t entry_read_buffer_size = 16U << 10U;  // bytes
constexpr std::uint32_t max_entry_descriptors = 256;

// Timing for a platform with linearizable reads whose changes must be in force
// within `limit`.
inline membership_timing make_membership_timing(duration limit)
{
    return {.exchange_interval = std::chrono::milliseconds{500},
            .update_fan_out = 8,
            .fetch_timeout = std::chrono::milliseconds{400},
            .read_timeout = std::chrono::milliseconds{600},
            .read_now_interval = std::chrono::milliseconds{100},
            .pause_threshold = std::chrono::milliseconds{1000},
            .first_read_delay = duration{},
            .catch_up_timeout = std::chrono::milliseconds{1000},
            .reading = make_read_timing(limit),
            .is_platform_linearizable = true};
}

// Seeds are control addresses of peers. Only the IPs are used, since all VMs
// use the same exchange port.
inline std::vector<peer_address>
make_seed_addresses(entry_process_settings const& settings)
{
    std::vector<peer_address> seeds;
    for (peer_address const& seed : settings.seeds)
        seeds.push_back({seed.ip, settings.exchange.port});
    return seeds;
}

inline connection_entry_settings
make_role_settings(entry_process_settings const& settings)
{
    connection_entry_settings role{};
    role.membership = {
        .self = make_process_id(settings.name),
        .data_centre = settings.data_centre,
        .exchange = settings.exchange,
        .seeds = make_seed_addresses(settings),
        .timing = make_membership_timing(compute_apply_limit(settings))};
    role.prefer_home_data_centre = settings.prefer_home_data_centre;
    role.reset_lost_connections = settings.reset_lost_connections;
    if (settings.max_connection_age > duration{})
        role.max_connection_age = settings.max_connection_age;
    return role;
}

}  // namespace detail

template <packet_format Format, platform_reader Reader>
connection_entry_program<Format, Reader>::connection_entry_program(
    entry_process_settings const& settings, Reader reader)
    : settings(settings), loop(*this, {{settings.ready, settings.metrics},
                                       detail::entry_tick_interval,
                                       detail::entry_read_buffer_size,
                                       detail::max_entry_descriptors}),
      role(detail::make_role_settings(settings), seeded_random{random_uint64()},
           read_clock()),
      platform(this->loop, settings.platform, std::move(reader))
{
    this->log.set_budget(settings.log.lines_per_second);
}

template <packet_format Format, platform_reader Reader>
bool connection_entry_program<Format, Reader>::open(failure& error)
{
    if (!this->loop.is_listening()) {
        error = {step::read_settings, reason::unreachable, this->settings.ready,
                 "cannot bind the TCP address for /ready or /metrics"};
        return false;
    }
    std::optional<udp_socket> const callers =
        bind_udp_socket(this->settings.packets, error);
    std::optional<udp_socket> const exchange =
        bind_udp_socket(this->settings.exchange, error);
    if (!callers || !exchange)
        return false;
    this->loop.add_socket(caller_socket, *callers);
    this->loop.add_socket(peer_socket, *exchange);
    return true;
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::run()
{
    this->log.write(log_line{"started"}
                        .with("role", "entry")
                        .with("packets", this->settings.packets)
                        .with("exchange", this->settings.exchange)
                        .with("platform", this->settings.platform));
    this->handle(connection_entry_event{clock_tick{}});
    this->loop.run();
    this->log.write(log_line{"stopped"}.with("packets", this->packet_count));
    flush_logs();
}

template <packet_format Format, platform_reader Reader>
bool connection_entry_program<Format, Reader>::is_stop_forced() const
{
    return is_immediate_stop_requested();
}

template <packet_format Format, platform_reader Reader>
bool connection_entry_program<Format, Reader>::should_stop() const
{
    if (!this->stop_requested_at)
        return false;
    time_point const now = read_clock();
    duration const stopping = now - *this->stop_requested_at;
    bool const is_idle =
        stopping > detail::min_stop_time &&
        now - this->last_caller_packet > detail::stop_idle_time;
    return this->is_stop_forced() || is_idle ||
           stopping > detail::max_entry_stop_time;
}

template <packet_format Format, platform_reader Reader>
std::optional<time_point>
connection_entry_program<Format, Reader>::next_due() const
{
    return this->role.next_due();
}

// ---- settings -----------------------------------------------------------

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::watch_settings(
    command_line_options const& options)
{
    this->watcher.start(options, read_clock());
}

// Applies the log budget and the seeds. Other settings need a restart.
template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::reload(std::string const& text)
{
    auto const next =
        parse_changed_settings(text, parse_entry_process_settings,
                               [this](report_failure const& problem) {
                                   this->perform(problem);
                               });
    if (!next)
        return;
    this->log.set_budget(next->log.lines_per_second);
    if (next->seeds != this->settings.seeds)
        this->handle(connection_entry_event{
            seeds_changed{detail::make_seed_addresses(*next)}});
    this->log.write(log_line{"reloaded"}.with("log_lines_per_second",
                                              next->log.lines_per_second));
    this->settings.log = next->log;
    this->settings.seeds = next->seeds;
}

// ---- events -------------------------------------------------------------

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::handle(
    connection_entry_event const& event)
{
    for (connection_entry_effect const& effect :
         this->role.on(event, read_clock()))
        std::visit(
            [this](auto const& alternative) {
                this->perform(alternative);
            },
            effect);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::handle(
    configuration_events const& events)
{
    for (configuration_event const& event : events)
        std::visit(
            [this](auto const& alternative) {
                if constexpr (requires { connection_entry_event{alternative}; })
                    this->handle(connection_entry_event{alternative});
                else
                    this->perform(alternative);
            },
            event);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_datagram(
    socket_index socket, peer_address from, std::string_view bytes)
{
    if (socket == peer_socket) {
        this->handle_peer_packet(from, bytes);
        return;
    }
    ++this->packet_count;
    this->last_caller_packet = read_clock();
    std::optional<connection_packet> packet = Format::parse_from_caller(bytes);
    if (packet)
        this->handle(
            connection_entry_event{packet_from_caller{std::move(*packet)}});
    else
        this->perform(report_failure{{step::decode_packet, reason::malformed,
                                      from, "invalid packet from a caller"}});
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::handle_peer_packet(
    peer_address from, std::string_view bytes)
{
    failure error;
    std::optional<datagram> packet = decode_packet(bytes, from, error);
    message_fragment const* part =
        packet ? std::get_if<message_fragment>(&*packet) : nullptr;
    if (part != nullptr) {
        std::optional<std::string> const message =
            this->fragments.add(from, *part, read_clock());
        if (!message)
            return;
        packet = decode_message(*message, from, error);
    }
    if (packet)
        this->handle_message(from, *packet);
    else
        this->perform(report_failure{error});
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::handle_message(
    peer_address from, datagram const& packet)
{
    if (auto const* digest = std::get_if<peer_digest>(&packet))
        this->handle(connection_entry_event{digest_packet{from, *digest}});
    else if (auto const* update = std::get_if<peer_update>(&packet))
        this->handle(connection_entry_event{update_packet{from, *update}});
    else if (auto const* request = std::get_if<change_request>(&packet))
        this->handle(
            connection_entry_event{change_request_packet{from, *request}});
    else if (auto const* answer = std::get_if<offer_reply>(&packet))
        this->handle(connection_entry_event{answer_from_target{
            from, *answer, Format::parse_from_caller(answer->bytes)}});
    else if (auto const* reply = std::get_if<locate_reply>(&packet))
        this->handle(connection_entry_event{locate_answer{from, *reply}});
    else
        this->perform(
            report_failure{{step::decode_packet, reason::unsupported, from,
                            "packet type not expected on this socket"}});
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_tick()
{
    time_point const now = read_clock();
    if (is_stop_requested() && !this->stop_requested_at) {
        this->log.write(log_line{"stopping"});
        this->stop_requested_at = now;
        this->handle(connection_entry_event{stop_requested{}});
    }
    this->handle(connection_entry_event{clock_tick{}});
    bool const is_ready = this->role.is_ready(now);
    if (is_ready != this->was_ready)
        this->log.write(log_line{is_ready ? "ready" : "not_ready"}.with(
            "platform_age_ms", this->role.platform_age(now)));
    this->was_ready = is_ready;
    if (std::optional<std::string> const text =
            this->watcher.poll(count_reload_signals(), now))
        this->reload(*text);
    this->log.on_tick(now);
}

template <packet_format Format, platform_reader Reader>
std::string connection_entry_program<Format, Reader>::make_metrics() const
{
    double largest = 0;
    for (service_departure const& one : this->role.departures())
        largest = std::max(largest, one.share);
    return this->metrics.make_exposition()
        .add_gauge("lagoon_connections",
                   static_cast<double>(this->role.connection_count()))
        .add_gauge("lagoon_departing_share", largest)
        .add_flags("lagoon_evacuated", "data_centre",
                   this->role.configuration().evacuations().data_centres)
        .get_text();
}

template <packet_format Format, platform_reader Reader>
http_reply connection_entry_program<Format, Reader>::make_reply(
    http_request const& request)
{
    if (request.path == "/ready")
        return {this->role.is_ready(read_clock()) ? 200U : 503U, "text/plain",
                "", 0};
    if (request.path == "/metrics")
        return {200, "text/plain; version=0.0.4", this->make_metrics(), 0};
    return {404, "text/plain", "unknown path; use GET /ready or GET /metrics\n",
            0};
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_http_request(
    exchange_id exchange, http_request const& request)
{
    this->loop.reply(exchange, this->make_reply(request));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_http_data(
    exchange_id exchange, std::string_view bytes)
{
    if (this->platform.owns(exchange))
        this->platform.append_body(exchange, bytes);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_http_complete(
    exchange_id exchange, http_result const& result)
{
    if (this->platform.owns(exchange))
        this->handle(this->platform.end_exchange(exchange, result));
}

// ---- effects ------------------------------------------------------------

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(send_offer const& effect)
{
    this->loop.send(peer_socket, effect.to, encode_packet(effect.offer));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    send_locate_query const& effect)
{
    locate_query query = effect.query;
    query.sent_at_ms = read_unix_milliseconds();
    this->loop.send(peer_socket, effect.to, encode_packet(query));
}

// Callers receive on the same port number as entries.
template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    reset_caller const& effect)
{
    this->loop.send(
        caller_socket,
        {effect.packet.endpoints.caller.ip, this->settings.packets.port},
        Format::write_reset(effect.packet));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    send_digest const& effect)
{
    this->loop.send(peer_socket, effect.to, encode_packet(effect.message));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    send_update const& effect)
{
    std::vector<std::string> const parts = split_into_datagrams(
        encode_packet(effect.message), ++this->last_message_number);
    if (parts.empty())
        this->perform(
            report_failure{{step::exchange_with_peer, reason::too_large,
                            effect.to, "update exceeds the message size"}});
    for (std::string const& part : parts)
        this->loop.send(peer_socket, effect.to, part);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    fetch_from_peer const& effect)
{
    this->loop.send(peer_socket, effect.exchange,
                    encode_packet(change_request{effect.since}));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    read_platform const& effect)
{
    this->handle(this->platform.read(effect));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    generation_adopted const& effect)
{
    this->log.write(log_line{"generation_in_force"}.with(
        "generation", effect.version.number.value));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    report_failure const& effect)
{
    this->metrics.record(effect);
    if (this->log.try_reserve_line(read_clock()))
        write_log_line(this->log, effect);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    placement_note const& effect)
{
    this->metrics.record(effect);
    if (this->log.try_reserve_line(read_clock()))
        write_log_line(this->log, effect);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    status_change_note const& effect)
{
    this->metrics.record(effect);
    write_log_line(this->log, effect);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    send_evacuation_notice const& effect)
{
    this->loop.send(peer_socket, effect.to, encode_packet(effect.notice));
}

}  // namespace lagoon
