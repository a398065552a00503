// Definitions of the templates in event_loop.hpp.
#pragma once

#include <netinet/in.h>

namespace lagoon {

namespace detail {

constexpr std::size_t reply_chunk_size = 32U << 10U;  // bytes written at once
constexpr std::size_t max_reply_header_size = 1024;   // bytes
constexpr std::size_t max_datagrams_per_wakeup = 64;
constexpr std::size_t max_request_body_size = 4U << 20U;  // bytes of a body

inline std::string format_ip(peer_address address)
{
    std::string const text = to_text(address);
    return text.substr(0, text.find(':'));
}

// Lets the library's loop close a connection; it must not be closed inside a
// callback.
inline void schedule_close(lws* wsi)
{
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

inline std::string read_header(lws* wsi, lws_token_indexes which)
{
    int const length = lws_hdr_total_length(wsi, which);
    if (length <= 0)
        return {};
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    lws_hdr_copy(wsi, text.data(), length + 1, which);
    text.resize(static_cast<std::size_t>(length));
    return text;
}

// Returns a header that the library has no token for. The library keeps such
// names in lower case and with the colon.
inline std::string read_custom_header(lws* wsi, std::string name)
{
    if (name.empty())
        return {};
    std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z'
                   ? static_cast<char>(letter - 'A' + 'a')
                   : letter;
    });
    name += ':';
    int const name_size = static_cast<int>(name.size());
    int const length = lws_hdr_custom_length(wsi, name.c_str(), name_size);
    if (length <= 0)
        return {};
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    lws_hdr_custom_copy(wsi, text.data(), length + 1, name.c_str(), name_size);
    text.resize(static_cast<std::size_t>(length));
    return text;
}

// Returns the fields of a request's query in their order, joined by '&'.
inline std::string read_query(lws* wsi)
{
    std::string text;
    std::array<char, 512> field{};
    for (int i = 0;; ++i) {
        int const size = lws_hdr_copy_fragment(wsi, field.data(), field.size(),
                                               WSI_TOKEN_HTTP_URI_ARGS, i);
        if (size < 0)
            return text;
        text.append(field.data(), static_cast<std::size_t>(size));
        text += '&';
    }
}

}  // namespace detail

// ---- setup and main loop ------------------------------------------------

template <class P>
event_loop<P>::event_loop(P& handler, loop_settings settings)
    : handler(handler), settings(std::move(settings))
{
    // Checked here because a handler contains its loop, so that the type is
    // still incomplete where the class template is instantiated.
    static_assert(event_handler<P>);
    lws_set_log_level(0, nullptr);
    this->protocols = {{"http", &event_loop::on_server, 0, 0, 0, nullptr, 0},
                       {"udp", &event_loop::on_udp, 0, 0, 0, nullptr, 0},
                       {"client", &event_loop::on_client, 0, 0, 0, nullptr, 0},
                       {nullptr, nullptr, 0, 0, 0, nullptr, 0}};
    lws_context_creation_info info{};
    // Without DISABLE_IPV6 a listener is bound to every address of the VM.
    info.options =
        LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.user = this;
    info.pt_serv_buf_size =
        static_cast<unsigned int>(this->settings.read_buffer_size);
    info.fd_limit_per_thread = this->settings.max_descriptors;
    this->context = lws_create_context(&info);
    this->vhost = this->create_vhost({});
    for (peer_address const& listen : this->settings.listen)
        if (this->create_vhost(listen) == nullptr)
            this->has_all_listeners = false;
    this->timer.loop = this;
}

// A virtual host with port 0 doesn't listen.
template <class P> lws_vhost* event_loop<P>::create_vhost(peer_address listen)
{
    std::string const& ip =
        this->vhost_names.emplace_back(detail::format_ip(listen));
    std::string const& name = this->vhost_names.emplace_back(to_text(listen));
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    info.protocols = this->protocols.data();
    info.port = listen.port == 0 ? CONTEXT_PORT_NO_LISTEN_SERVER : listen.port;
    info.iface = listen.port == 0 ? nullptr : ip.c_str();
    info.vhost_name = name.c_str();
    info.user = &this->listen_addresses.emplace_back(listen);
    return lws_create_vhost(this->context, &info);
}

template <class P> event_loop<P>::~event_loop()
{
    this->is_closing = true;
    this->calls.clear();
    this->requests.clear();
    lws_context_destroy(this->context);
}

template <class P> bool event_loop<P>::is_listening() const
{
    return this->vhost != nullptr && this->has_all_listeners;
}

template <class P> event_loop<P>& event_loop<P>::get_loop(lws* wsi)
{
    return *static_cast<event_loop*>(lws_context_user(lws_get_context(wsi)));
}

template <class P> exchange_id event_loop<P>::get_exchange(lws* wsi)
{
    return {reinterpret_cast<std::uint64_t>(lws_get_opaque_user_data(wsi))};
}

template <class P> void event_loop<P>::run()
{
    while (!this->handler.should_stop()) {
        this->flush_datagrams();
        this->schedule_tick(read_clock());
        if (lws_service(this->context, 0) < 0)
            return;
    }
    this->flush_datagrams();
}

// Sets the timer to the next tick, which comes before the end of the interval
// when the handler asks for it. The timer is never postponed: it may be due
// already and not handled yet.
template <class P> void event_loop<P>::schedule_tick(time_point now)
{
    time_point at = now + this->settings.max_tick_interval;
    if constexpr (has_tick_deadline<P>)
        at = std::min(at, std::max(this->handler.next_due().value_or(at), now));
    bool const is_set = this->next_tick_at != time_point{};
    if (is_set && at >= this->next_tick_at)
        return;
    this->next_tick_at = at;
    lws_sul_schedule(this->context, 0, &this->timer.list, &on_timer,
                     std::max<lws_usec_t>((at - now).count(), 1));
}

template <class P> void event_loop<P>::on_timer(lws_sorted_usec_list_t* list)
{
    event_loop& loop = *reinterpret_cast<tick_timer*>(list)->loop;
    loop.next_tick_at = time_point{};
    loop.expire_calls(read_clock());
    loop.handler.on_tick();
    loop.flush_datagrams();
    // Schedule here, because the library may sleep before it returns to run().
    loop.schedule_tick(read_clock());
}

// ---- datagrams ----------------------------------------------------------

template <class P>
void event_loop<P>::add_socket(socket_index via, udp_socket const& socket)
{
    auto const old = this->sockets.find(via);
    if (old != this->sockets.end())
        detail::schedule_close(old->second.wsi);
    lws_sock_file_fd_type descriptor{};
    // Adopted as a file, so that the library only waits for the socket and the
    // datagrams are read here, in batches.
    descriptor.filefd = socket.descriptor;
    lws* wsi = lws_adopt_descriptor_vhost(this->vhost, LWS_ADOPT_RAW_FILE_DESC,
                                          descriptor, "udp", nullptr);
    lws_set_opaque_user_data(
        wsi, reinterpret_cast<void*>(std::uintptr_t{via.value}));
    this->sockets.insert_or_assign(via, socket_record{socket, wsi});
}

template <class P>
void event_loop<P>::send(socket_index via, peer_address to,
                         std::string_view bytes)
{
    auto const found = this->sockets.find(via);
    if (found != this->sockets.end())
        found->second.writer.add(found->second.socket.descriptor, to, bytes);
}

template <class P> void event_loop<P>::flush_datagrams()
{
    for (auto& [via, record] : this->sockets)
        record.writer.flush(record.socket.descriptor);
}

template <class P>
int event_loop<P>::on_udp(lws* wsi, lws_callback_reasons event, void*, void*,
                          size_t)
{
    if (event != LWS_CALLBACK_RAW_RX_FILE || get_loop(wsi).is_closing)
        return 0;
    return get_loop(wsi).receive_datagrams(wsi);
}

// Reads until no datagram is left, or up to a limit, so that the other sockets
// are served too.
template <class P> int event_loop<P>::receive_datagrams(lws* wsi)
{
    socket_index const via{static_cast<std::uint8_t>(get_exchange(wsi).value)};
    int const descriptor = static_cast<int>(lws_get_socket_fd(wsi));
    std::size_t received_count = 0;
    std::size_t count = 0;
    do {
        count = this->reader.read(descriptor);
        for (std::size_t i = 0; i < count; ++i) {
            datagram_view const datagram = this->reader.at(i);
            this->handler.on_datagram(via, datagram.from, datagram.bytes);
        }
        this->flush_datagrams();
        received_count += count;
    } while (count == datagram_reader::batch_size &&
             received_count < detail::max_datagrams_per_wakeup);
    return 0;
}

// ---- calls --------------------------------------------------------------

template <class P> exchange_id event_loop<P>::start_call(http_call const& call)
{
    exchange_id const id{++this->last_exchange};
    std::string const host = detail::format_ip(call.to);
    client_exchange& exchange = this->calls[id];
    exchange.call = call;
    exchange.deadline = read_clock() + call.timeout;
    lws_client_connect_info info{};
    info.context = this->context;
    info.vhost = this->vhost;
    info.address = host.c_str();
    info.host = host.c_str();
    info.origin = host.c_str();
    info.port = call.to.port;
    info.path = exchange.call.path.c_str();
    info.method = exchange.call.method.c_str();
    info.protocol = "client";
    info.local_protocol_name = "client";
    info.pwsi = &exchange.wsi;
    info.opaque_user_data = reinterpret_cast<void*>(id.value);
    // An immediate failure is reported by the next tick, because the handler
    // must not be called before this function returns the id.
    if (lws_client_connect_via_info(&info) == nullptr)
        exchange.deadline = time_point{};
    return id;
}

template <class P> void event_loop<P>::cancel_call(exchange_id exchange)
{
    auto const found = this->calls.find(exchange);
    if (found == this->calls.end())
        return;
    if (found->second.wsi != nullptr)
        detail::schedule_close(found->second.wsi);
    found->second.deadline = time_point{};
}

template <class P> void event_loop<P>::expire_calls(time_point now)
{
    std::vector<exchange_id> expired;
    for (auto const& [id, exchange] : this->calls)
        if (exchange.deadline <= now)
            expired.push_back(id);
    for (exchange_id const id : expired) {
        lws* wsi = this->calls[id].wsi;
        this->finish_call(id);
        if (wsi != nullptr)
            detail::schedule_close(wsi);
    }
}

template <class P> void event_loop<P>::finish_call(exchange_id exchange)
{
    auto const found = this->calls.find(exchange);
    if (found == this->calls.end())
        return;
    http_result const result = found->second.result;
    this->calls.erase(found);
    this->handler.on_http_complete(exchange, result);
    this->flush_datagrams();
}

template <class P>
int event_loop<P>::on_client(lws* wsi, lws_callback_reasons event, void*,
                             void* in, size_t size)
{
    event_loop& loop = get_loop(wsi);
    exchange_id const id = get_exchange(wsi);
    auto const found = loop.calls.find(id);
    if (loop.is_closing || found == loop.calls.end())
        return 0;
    client_exchange& exchange = found->second;
    switch (event) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        return loop.send_client_header(wsi, exchange, in, size);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return loop.send_client_body(wsi, exchange);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return loop.read_client_header(wsi, exchange);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return loop.read_client_body(wsi, id);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        loop.handler.on_http_data(id, {static_cast<char*>(in), size});
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        if (exchange.is_reading)
            exchange.has_ended = true;
        else
            loop.end_response(id, exchange.has_empty_response);
        // The library ignores the return value -1 after a response without a
        // body; the connection would stay open.
        detail::schedule_close(wsi);
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        exchange.wsi = nullptr;
        exchange.deadline = time_point{};
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        exchange.wsi = nullptr;
        loop.finish_call(id);
        return 0;
    default:
        return 0;
    }
}

template <class P>
int event_loop<P>::send_client_header(lws* wsi, client_exchange const& exchange,
                                      void* in, size_t size)
{
    // The server may receive the request from here on.
    client_exchange& sent = this->calls[get_exchange(wsi)];
    sent.result.outcome = http_outcome::incomplete;
    if (exchange.call.method != "POST")
        return 0;
    auto** at = static_cast<unsigned char**>(in);
    unsigned char* end = *at + size;
    std::string const length = std::to_string(exchange.call.body.size());
    int const failed = lws_add_http_header_by_token(
        wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH,
        reinterpret_cast<unsigned char const*>(length.c_str()),
        static_cast<int>(length.size()), at, end);
    if (failed != 0)
        return -1;
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
    return 0;
}

template <class P>
int event_loop<P>::send_client_body(lws* wsi, client_exchange& exchange)
{
    if (exchange.call.method != "POST" || exchange.is_body_sent)
        return 0;
    exchange.is_body_sent = true;
    std::string padded(LWS_PRE, '\0');
    padded += exchange.call.body;
    lws_client_http_body_pending(wsi, 0);
    int const written = lws_write(
        wsi, reinterpret_cast<unsigned char*>(padded.data()) + LWS_PRE,
        exchange.call.body.size(), LWS_WRITE_HTTP_FINAL);
    return written < 0 ? -1 : 0;
}

template <class P>
int event_loop<P>::read_client_header(lws* wsi, client_exchange& exchange)
{
    std::string const wait =
        detail::read_header(wsi, WSI_TOKEN_HTTP_RETRY_AFTER);
    long const seconds = std::strtol(wait.c_str(), nullptr, 10);
    exchange.result = {
        http_outcome::incomplete, lws_http_client_http_response(wsi),
        std::chrono::seconds{std::clamp(seconds, 0L, 3600L)},
        detail::read_custom_header(wsi, exchange.call.response_header)};
    exchange.has_empty_response =
        detail::read_header(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) == "0" ||
        exchange.result.status == HTTP_STATUS_NO_CONTENT ||
        exchange.result.status == HTTP_STATUS_NOT_MODIFIED;
    return 0;
}

template <class P>
void event_loop<P>::end_response(exchange_id exchange, bool is_whole)
{
    if (is_whole)
        this->calls.at(exchange).result.outcome = http_outcome::complete;
    this->finish_call(exchange);
}

// The library also reports the end of a response when its connection is closed
// before the last chunk, or without a declared length. Such an end is seen by a
// read that gets no bytes; nothing tells then whether the response is whole.
template <class P>
int event_loop<P>::read_client_body(lws* wsi, exchange_id exchange)
{
    std::vector<char> buffer(this->settings.read_buffer_size + LWS_PRE);
    char* const start = buffer.data() + LWS_PRE;
    char* at = start;
    int size = static_cast<int>(this->settings.read_buffer_size);
    this->calls.at(exchange).is_reading = true;
    int const result = lws_http_client_read(wsi, &at, &size);
    auto const found = this->calls.find(exchange);
    if (found != this->calls.end()) {
        found->second.is_reading = false;
        if (found->second.has_ended)
            this->end_response(exchange, at != start);
    }
    return result < 0 ? -1 : 0;
}

// ---- requests -----------------------------------------------------------

template <class P>
int event_loop<P>::on_server(lws* wsi, lws_callback_reasons event, void* user,
                             void* in, size_t size)
{
    event_loop& loop = get_loop(wsi);
    exchange_id const id = get_exchange(wsi);
    auto const found = loop.requests.find(id);
    bool const is_known = id != exchange_id{} && found != loop.requests.end();
    switch (event) {
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        loop.add_client(wsi);
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        loop.drop_client(wsi);
        return 0;
    case LWS_CALLBACK_HTTP:
        return loop.handle_request_header(wsi, {static_cast<char*>(in), size});
    case LWS_CALLBACK_HTTP_BODY:
        if (!is_known || found->second.request.body.size() + size >
                             detail::max_request_body_size)
            return -1;
        found->second.request.body.append(static_cast<char*>(in), size);
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (is_known)
            loop.handler.on_http_request(id, found->second.request);
        loop.flush_datagrams();
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return is_known ? loop.continue_reply(wsi, id) : 0;
    case LWS_CALLBACK_CLOSED_HTTP:
        if (is_known) {
            loop.requests.erase(found);
            loop.handler.on_http_disconnect(id);
        }
        return 0;
    default:
        return lws_callback_http_dummy(wsi, event, user, in, size);
    }
}

// Closes the oldest connection of a listening address that has its share, so that
// clients that keep connections can't take the descriptors of the others and of
// the process's own calls.
template <class P> void event_loop<P>::add_client(lws* wsi)
{
    std::deque<lws*>& connected = this->clients[lws_get_vhost(wsi)];
    std::size_t const max_clients = std::max<std::size_t>(
        this->settings.max_descriptors / 2 / this->settings.listen.size(), 1);
    if (connected.size() >= max_clients) {
        detail::schedule_close(connected.front());
        connected.pop_front();
    }
    connected.push_back(wsi);
}

template <class P> void event_loop<P>::drop_client(lws* wsi)
{
    if (!this->is_closing)
        std::erase(this->clients[lws_get_vhost(wsi)], wsi);
}

template <class P>
int event_loop<P>::handle_request_header(lws* wsi, std::string_view path)
{
    exchange_id const id{++this->last_exchange};
    lws_set_opaque_user_data(wsi, reinterpret_cast<void*>(id.value));
    bool const is_post = lws_hdr_total_length(wsi, WSI_TOKEN_POST_URI) > 0;
    http_request const request{
        is_post ? "POST" : "GET",
        std::string{path},
        detail::read_query(wsi),
        {},
        *static_cast<peer_address*>(lws_vhost_user(lws_get_vhost(wsi)))};
    this->requests[id] = server_exchange{request, wsi, {}, false, 0};
    if (!is_post)
        this->handler.on_http_request(id, request);
    this->flush_datagrams();
    return 0;
}

template <class P>
void event_loop<P>::reply(exchange_id exchange, http_reply const& reply)
{
    auto const found = this->requests.find(exchange);
    if (found == this->requests.end())
        return;
    found->second.reply = reply;
    lws_callback_on_writable(found->second.wsi);
}

template <class P> void event_loop<P>::abort_request(exchange_id exchange)
{
    auto const found = this->requests.find(exchange);
    if (found == this->requests.end())
        return;
    detail::schedule_close(found->second.wsi);
    this->requests.erase(found);
}

template <class P>
int event_loop<P>::write_reply_header(lws* wsi, server_exchange& exchange)
{
    std::vector<unsigned char> buffer(LWS_PRE + detail::max_reply_header_size);
    unsigned char* const start = buffer.data() + LWS_PRE;
    unsigned char* at = start;
    unsigned char* const end = start + detail::max_reply_header_size - 1;
    http_reply const& reply = exchange.reply;
    if (lws_add_http_common_headers(wsi, reply.status,
                                    reply.content_type.c_str(),
                                    reply.body.size(), &at, end) != 0)
        return -1;
    std::string const wait = std::to_string(reply.retry_after);
    if (reply.retry_after > 0 &&
        lws_add_http_header_by_token(
            wsi, WSI_TOKEN_HTTP_RETRY_AFTER,
            reinterpret_cast<unsigned char const*>(wait.c_str()),
            static_cast<int>(wait.size()), &at, end) != 0)
        return -1;
    if (!reply.header.name.empty() &&
        lws_add_http_header_by_name(
            wsi,
            reinterpret_cast<unsigned char const*>(
                (reply.header.name + ":").c_str()),
            reinterpret_cast<unsigned char const*>(reply.header.value.c_str()),
            static_cast<int>(reply.header.value.size()), &at, end) != 0)
        return -1;
    if (lws_finalize_write_http_header(wsi, start, &at, end) != 0)
        return -1;
    exchange.is_header_sent = true;
    return 0;
}

// Sends the next part of the reply. After the last one the exchange ends and
// the connection can be reused.
template <class P>
int event_loop<P>::continue_reply(lws* wsi, exchange_id exchange)
{
    server_exchange& current = this->requests[exchange];
    int const failed = current.is_header_sent
                           ? this->write_reply_part(wsi, current)
                           : this->write_reply_header(wsi, current);
    if (failed != 0)
        return -1;
    if (current.body_bytes_sent < current.reply.body.size()) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    this->requests.erase(exchange);
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

template <class P>
int event_loop<P>::write_reply_part(lws* wsi, server_exchange& exchange)
{
    std::string const& body = exchange.reply.body;
    std::string chunk(LWS_PRE, '\0');
    chunk += body.substr(exchange.body_bytes_sent, detail::reply_chunk_size);
    std::size_t const size = chunk.size() - LWS_PRE;
    exchange.body_bytes_sent += size;
    bool const is_last = exchange.body_bytes_sent >= body.size();
    int const written =
        lws_write(wsi, reinterpret_cast<unsigned char*>(chunk.data()) + LWS_PRE,
                  size, is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
    return written < 0 ? -1 : 0;
}

}  // namespace lagoon
