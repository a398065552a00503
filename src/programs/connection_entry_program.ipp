// Bodies of the templates that connection_entry_program.hpp declares.
#pragma once

namespace lagoon {

namespace detail {

// A stopping entry passes packets on until the routers have noticed that it
// isn't ready: they ask twice a second and give it up after two misses.
constexpr duration least_stop = std::chrono::milliseconds{1500};
constexpr duration quiet_before_stop = std::chrono::milliseconds{300};
constexpr duration longest_entry_stop = std::chrono::milliseconds{4500};

constexpr duration entry_tick = std::chrono::milliseconds{100};
constexpr std::size_t connection_read_buffer = 16U << 10U;  // bytes
constexpr std::uint32_t connection_descriptors = 256;

// How an entry keeps up with a platform whose answers are linearizable and
// whose changes must be in force within `limit`. Two watchers, so that one may
// fail unnoticed; the others read for themselves at two thirds of the limit.
inline membership_pace pace_for(duration limit)
{
    return {.exchange_interval = std::chrono::milliseconds{500},
            .news_fan_out = 8,
            .fetch_timeout = std::chrono::milliseconds{400},
            .read_timeout = std::chrono::milliseconds{600},
            .pause_gap = std::chrono::milliseconds{1000},
            .first_read_delay = duration{},
            .news_wait = std::chrono::milliseconds{1000},
            .reading = {.watchers = 2,
                        .news_lifetime = limit * 2 / 3,
                        .step = std::chrono::milliseconds{250},
                        .first_watch = limit / 2,
                        .other_watch = limit * 3,
                        .retry = std::chrono::milliseconds{120}},
            .platform_is_linearizable = true};
}

// Peers are named by their control addresses; ports are alike on all VMs.
inline std::vector<peer_address>
exchange_seeds(entry_process_settings const& settings)
{
    std::vector<peer_address> seeds;
    for (peer_address const& seed : settings.seeds)
        seeds.push_back({seed.ip, settings.exchange.port});
    return seeds;
}

inline connection_entry_settings
role_settings(entry_process_settings const& settings)
{
    connection_entry_settings role{};
    role.member = {.self = process_named(settings.name),
                   .data_centre = settings.data_centre,
                   .exchange = settings.exchange,
                   .seeds = exchange_seeds(settings),
                   .pace = pace_for(settings.change_limit)};
    return role;
}

}  // namespace detail

template <packet_format Format, platform_reader Reader>
connection_entry_program<Format, Reader>::connection_entry_program(
    entry_process_settings const& settings, Reader reader)
    : settings(settings), loop(*this, {{settings.ready, settings.metrics},
                                       detail::entry_tick,
                                       detail::connection_read_buffer,
                                       detail::connection_descriptors}),
      role(detail::role_settings(settings), seeded_random{random_word()},
           read_clock()),
      published(this->loop, settings.platform, std::move(reader))
{
    this->log.set_budget(settings.log.lines_per_second);
}

template <packet_format Format, platform_reader Reader>
bool connection_entry_program<Format, Reader>::open(failure& last)
{
    if (!this->loop.is_open()) {
        last = {step::read_settings, reason::unreachable, this->settings.ready,
                "a TCP address can't be bound"};
        return false;
    }
    std::optional<udp_socket> const callers =
        bind_udp(this->settings.packets, last);
    std::optional<udp_socket> const exchange =
        bind_udp(this->settings.exchange, last);
    if (!callers || !exchange)
        return false;
    this->loop.adopt(caller_lane, *callers);
    this->loop.adopt(peer_lane, *exchange);
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
    this->feed(connection_entry_event{clock_tick{}});
    this->loop.run();
    this->log.write(log_line{"stopped"}.with("packets", this->packets));
    flush_logs();
}

template <packet_format Format, platform_reader Reader>
bool connection_entry_program<Format, Reader>::was_cut_off() const
{
    return stop_signals() > 1;
}

template <packet_format Format, platform_reader Reader>
bool connection_entry_program<Format, Reader>::wants_to_stop() const
{
    if (!this->stopping_since)
        return false;
    time_point const now = read_clock();
    duration const stopping = now - *this->stopping_since;
    bool const is_quiet = stopping > detail::least_stop &&
                          now - this->last_packet > detail::quiet_before_stop;
    return this->was_cut_off() || is_quiet ||
           stopping > detail::longest_entry_stop;
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
    process_start const& start)
{
    this->watched.begin(start, read_clock());
}

// The log budget and the seeds change at once; addresses and bounds with the next start.
template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::reload(std::string const& text)
{
    auto const next = parse_changed(text, parse_entry_process,
                                    [this](note_failure const& problem) {
                                        this->perform(problem);
                                    });
    if (!next)
        return;
    this->log.set_budget(next->log.lines_per_second);
    if (next->seeds != this->settings.seeds)
        this->feed(connection_entry_event{
            seeds_changed{detail::exchange_seeds(*next)}});
    this->log.write(log_line{"reloaded"}.with("log_lines_per_second",
                                              next->log.lines_per_second));
    this->settings.log = next->log;
    this->settings.seeds = next->seeds;
}

// ---- events -------------------------------------------------------------

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::feed(
    connection_entry_event const& event)
{
    for (connection_entry_effect const& effect :
         this->role.on(event, read_clock()))
        std::visit(
            [this](auto const& one) {
                this->perform(one);
            },
            effect);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::feed(
    control_events const& events)
{
    for (control_event const& event : events)
        std::visit(
            [this](auto const& one) {
                if constexpr (requires { connection_entry_event{one}; })
                    this->feed(connection_entry_event{one});
                else
                    this->perform(one);
            },
            event);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_datagram(
    lane by, peer_address from, std::string_view bytes)
{
    if (by == peer_lane) {
        this->take_peer_packet(from, bytes);
        return;
    }
    ++this->packets;
    this->last_packet = read_clock();
    std::optional<connection_packet> packet = Format::parse_from_caller(bytes);
    if (packet)
        this->feed(
            connection_entry_event{packet_from_caller{std::move(*packet)}});
    else
        this->perform(note_failure{{step::decode_packet, reason::malformed,
                                    from, "not a packet of a caller"}});
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::take_peer_packet(
    peer_address from, std::string_view bytes)
{
    failure last;
    std::optional<datagram> packet = decode_packet(bytes, from, last);
    packet_fragment const* part =
        packet ? std::get_if<packet_fragment>(&*packet) : nullptr;
    if (part != nullptr) {
        std::optional<std::string> const whole =
            this->pieces.take(from, *part, read_clock());
        if (!whole)
            return;
        packet = decode_message(*whole, from, last);
    }
    if (packet)
        this->take_message(from, *packet);
    else
        this->perform(note_failure{last});
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::take_message(
    peer_address from, datagram const& packet)
{
    if (auto const* digest = std::get_if<peer_digest>(&packet))
        this->feed(connection_entry_event{digest_packet{from, *digest}});
    else if (auto const* news = std::get_if<peer_news>(&packet))
        this->feed(connection_entry_event{news_packet{from, *news}});
    else if (auto const* request = std::get_if<change_request>(&packet))
        this->feed(
            connection_entry_event{change_request_packet{from, *request}});
    else if (auto const* answer = std::get_if<offer_answer>(&packet))
        this->feed(connection_entry_event{answer_from_target{
            from, *answer, Format::parse_from_caller(answer->bytes)}});
    else
        this->perform(note_failure{
            {step::decode_packet, reason::unsupported, from, "wrong socket"}});
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_tick()
{
    time_point const now = read_clock();
    if (stop_signals() > 0 && !this->stopping_since) {
        this->log.write(log_line{"stopping"});
        this->stopping_since = now;
        this->feed(connection_entry_event{stop_asked{}});
    }
    this->feed(connection_entry_event{clock_tick{}});
    bool const is_ready = this->role.is_ready(now);
    if (is_ready != this->was_ready)
        this->log.write(log_line{is_ready ? "ready" : "not_ready"}.with(
            "platform_age_ms", this->role.platform_age(now)));
    this->was_ready = is_ready;
    if (std::optional<std::string> const text =
            this->watched.changed(reload_signals(), now))
        this->reload(*text);
    this->log.tick(now);
}

template <packet_format Format, platform_reader Reader>
http_reply
connection_entry_program<Format, Reader>::reply_to(http_request const& request)
{
    if (request.path == "/ready")
        return {this->role.is_ready(read_clock()) ? 200U : 503U, "text/plain",
                "", 0};
    if (request.path == "/metrics")
        return {200, "text/plain; version=0.0.4",
                this->metrics.text()
                    .gauge("lagoon_connections",
                           static_cast<double>(this->role.connection_count()))
                    .take(),
                0};
    return {404, "text/plain", "GET /ready or /metrics\n", 0};
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_http_request(
    exchange_id exchange, http_request const& request)
{
    this->loop.reply(exchange, this->reply_to(request));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_http_bytes(
    exchange_id exchange, std::string_view bytes)
{
    if (this->published.owns(exchange))
        this->published.take_bytes(exchange, bytes);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::on_http_end(
    exchange_id exchange, http_result const& result)
{
    if (this->published.owns(exchange))
        this->feed(this->published.ended(exchange, result));
}

// ---- effects ------------------------------------------------------------

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(send_offer const& effect)
{
    this->loop.send(peer_lane, effect.to, encode_packet(effect.offer));
}

// Callers take packets at the port at which the entries do.
template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    reset_caller const& effect)
{
    this->loop.send(
        caller_lane,
        {effect.packet.endpoints.caller.ip, this->settings.packets.port},
        Format::write_reset(effect.packet));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    send_digest const& effect)
{
    this->loop.send(peer_lane, effect.to, encode_packet(effect.what));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(send_news const& effect)
{
    for (std::string const& part :
         datagrams_of(encode_packet(effect.what), ++this->last_message))
        this->loop.send(peer_lane, effect.to, part);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    fetch_from_peer const& effect)
{
    this->loop.send(peer_lane, effect.exchange,
                    encode_packet(change_request{effect.since}));
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    read_platform const& effect)
{
    this->feed(this->published.read(effect));
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
    note_failure const& effect)
{
    this->metrics.count(effect);
    if (this->log.may_write(read_clock()))
        write_note(this->log, effect);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    placement_note const& effect)
{
    this->metrics.count(effect);
    if (this->log.may_write(read_clock()))
        write_note(this->log, effect);
}

template <packet_format Format, platform_reader Reader>
void connection_entry_program<Format, Reader>::perform(
    status_change_note const& effect)
{
    write_note(this->log, effect);
}

}  // namespace lagoon
