// Bodies of the templates that connection_target_program.hpp declares.
#pragma once

namespace lagoon {

namespace detail {

constexpr duration target_tick = std::chrono::milliseconds{100};
constexpr std::size_t target_read_buffer = 4096;  // bytes
constexpr std::uint32_t target_descriptors = 64;

// What a process needs to end by itself before it is killed.
constexpr duration stop_margin = std::chrono::seconds{1};

// Requests given to the back end beyond its slots, so that none of them is
// idle while a caller's handshake is under way: that takes about as long as a
// short request.
constexpr std::uint32_t started_ahead = 2;

// An opening packet may wait for half of the time that its caller has.
constexpr double open_waiting_share = 0.5;

// Three one-way trips between callers and back ends, of 3 to 4 ms each: the
// acceptance, the request and the answer.
constexpr duration caller_trips = std::chrono::milliseconds{12};

inline connection_target_settings
role_settings(target_process_settings const& settings)
{
    connection_target_settings role{};
    role.service = service_named(settings.service);
    role.admission = {.slots = 1,
                      .ahead = started_ahead,
                      .on_the_way = caller_trips,
                      .most_waiting_share = open_waiting_share};
    role.knows_all = settings.first_start;
    role.longest_connection = settings.longest_connection;
    role.longest_stop = std::max(settings.stop_limit - stop_margin, duration{});
    return role;
}

}  // namespace detail

template <packet_format Format>
connection_target_program<Format>::connection_target_program(
    target_process_settings const& settings)
    : settings(settings), loop(*this, {{settings.ready, settings.metrics},
                                       detail::target_tick,
                                       detail::target_read_buffer,
                                       detail::target_descriptors}),
      role(detail::role_settings(settings), read_clock())
{
    this->log.set_budget(settings.log.lines_per_second);
}

template <packet_format Format>
bool connection_target_program<Format>::open(failure& last)
{
    if (!this->loop.is_open()) {
        last = {step::read_settings, reason::unreachable, this->settings.ready,
                "a TCP address can't be bound"};
        return false;
    }
    std::optional<udp_socket> const entries =
        bind_udp(this->settings.packets, last);
    std::optional<udp_socket> const outbound =
        bind_udp(this->settings.outbound, last);
    if (!entries || !outbound)
        return false;
    this->loop.adopt(entry_lane, *entries);
    this->loop.adopt(back_end_lane, *outbound);
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
    this->log.write(log_line{"stopped"}.with("packets", this->packets));
    flush_logs();
}

template <packet_format Format>
bool connection_target_program<Format>::was_cut_off() const
{
    return stop_signals() > 1;
}

template <packet_format Format>
bool connection_target_program<Format>::wants_to_stop() const
{
    return this->was_cut_off() ||
           (this->stopping && this->role.may_stop(read_clock()));
}

template <packet_format Format>
std::optional<time_point> connection_target_program<Format>::next_due() const
{
    return this->role.next_due(read_clock());
}

// ---- settings -----------------------------------------------------------

template <packet_format Format>
void connection_target_program<Format>::watch_settings(
    process_start const& start)
{
    this->watched.begin(start, read_clock());
}

// The log budget changes at once; addresses and bounds with the next start.
template <packet_format Format>
void connection_target_program<Format>::reload(std::string const& text)
{
    auto const next = parse_changed(text, parse_target_process,
                                    [this](note_failure const& problem) {
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
void connection_target_program<Format>::feed(
    connection_target_event const& event)
{
    for (connection_target_effect const& effect :
         this->role.on(event, read_clock()))
        std::visit(
            [this](auto const& one) {
                this->perform(one);
            },
            effect);
}

template <packet_format Format>
void connection_target_program<Format>::on_datagram(lane by, peer_address from,
                                                    std::string_view bytes)
{
    ++this->packets;
    if (by == entry_lane)
        this->take_offer(from, bytes);
    else
        this->take_from_back_end(from, bytes);
}

template <packet_format Format>
void connection_target_program<Format>::take_offer(peer_address from,
                                                   std::string_view bytes)
{
    failure last;
    std::optional<datagram> packet = decode_packet(bytes, from, last);
    packet_offer* offer =
        packet ? std::get_if<packet_offer>(&*packet) : nullptr;
    if (offer == nullptr) {
        this->perform(
            note_failure{packet ? failure{step::decode_packet,
                                          reason::unsupported, from, "no offer"}
                                : last});
        return;
    }
    std::optional<connection_packet> inner =
        Format::parse_from_caller(offer->bytes);
    if (!inner) {
        this->perform(note_failure{{step::decode_packet, reason::malformed,
                                    from, "offer without a packet"}});
        return;
    }
    this->feed(connection_target_event{
        offer_from_entry{from, std::move(*offer), std::move(*inner)}});
}

template <packet_format Format>
void connection_target_program<Format>::take_from_back_end(
    peer_address from, std::string_view bytes)
{
    std::optional<back_end_packet> packet = Format::parse_from_back_end(bytes);
    if (!packet)
        this->perform(note_failure{{step::decode_packet, reason::malformed,
                                    from, "not a packet of the back end"}});
    else if (packet->is_returned)
        this->feed(connection_target_event{
            packet_returned{std::move(packet->packet)}});
    else
        this->feed(connection_target_event{
            packet_from_back_end{std::move(packet->packet), packet->report}});
}

template <packet_format Format>
void connection_target_program<Format>::on_tick()
{
    if (stop_signals() > 0 && !this->stopping) {
        this->log.write(
            log_line{"stopping"}.with("connections", this->role.connections()));
        this->stopping = true;
        this->feed(connection_target_event{stop_asked{}});
    }
    this->feed(connection_target_event{clock_tick{}});
    time_point const now = read_clock();
    if (std::optional<std::string> const text =
            this->watched.changed(reload_signals(), now))
        this->reload(*text);
    this->log.tick(now);
}

template <packet_format Format>
void connection_target_program<Format>::on_http_request(
    exchange_id exchange, http_request const& request)
{
    http_reply reply{404, "text/plain", "GET /ready or /metrics\n", 0};
    if (request.path == "/ready")
        reply = {this->stopping ? 503U : 200U, "text/plain", "", 0};
    if (request.path == "/metrics")
        reply = {
            200, "text/plain; version=0.0.4",
            this->metrics.text()
                .gauge("lagoon_connections",
                       static_cast<double>(this->role.connections()))
                .gauge("lagoon_load", static_cast<double>(this->role.load()))
                .take(),
            0};
    this->loop.reply(exchange, reply);
}

// ---- effects ------------------------------------------------------------

// Callers take packets at the port at which the entries do.
template <packet_format Format>
peer_address
connection_target_program<Format>::caller_address(peer_address caller) const
{
    return {caller.ip, this->settings.packets.port};
}

template <packet_format Format>
void connection_target_program<Format>::perform(send_to_back_end const& effect)
{
    this->loop.send(back_end_lane, this->settings.back_end, effect.bytes);
}

template <packet_format Format>
void connection_target_program<Format>::perform(pass_to_caller const& effect)
{
    this->loop.send(entry_lane, this->caller_address(effect.caller),
                    effect.bytes);
}

template <packet_format Format>
void connection_target_program<Format>::perform(answer_entry const& effect)
{
    this->loop.send(entry_lane, effect.to, encode_packet(effect.answer));
}

template <packet_format Format>
void connection_target_program<Format>::perform(reset_connection const& effect)
{
    this->loop.send(entry_lane,
                    this->caller_address(effect.packet.endpoints.caller),
                    Format::write_reset(effect.packet));
}

template <packet_format Format>
void connection_target_program<Format>::perform(tracking_note const& effect)
{
    this->metrics.count(effect);
    if (this->log.may_write(read_clock()))
        write_note(this->log, effect, Format::request_id(effect.bytes));
}

template <packet_format Format>
void connection_target_program<Format>::perform(note_failure const& effect)
{
    this->metrics.count(effect);
    if (this->log.may_write(read_clock()))
        write_note(this->log, effect);
}

}  // namespace lagoon
