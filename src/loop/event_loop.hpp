// The event loop of a process, on one thread: UDP sockets, HTTP client and
// server, and a periodic tick, based on libwebsockets. The loop sleeps until
// there is work.
//
// Index
//   event_handler   concept of the object that handles the events
//   loop_settings   addresses and limits
//   event_loop      the loop
#pragma once

#include "channel/channels.hpp"
#include "loop/clock.hpp"
#include "loop/http.hpp"
#include "loop/udp.hpp"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstring>
#include <deque>
#include <libwebsockets.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoon {

// ---- event_handler ------------------------------------------------------

// on_datagram          a datagram arrived at the socket `via`
// on_tick              called at least once every max_tick_interval
// on_http_request      a request was received completely; to be replied to
// on_http_disconnect   the client of a request closed the connection
// on_http_data         a part of the response to a call
// on_http_complete     a call ended
// should_stop          ends run() when it returns true
template <class P>
concept event_handler = requires(P handler, socket_index via, peer_address from,
                                 std::string_view bytes, exchange_id exchange,
                                 http_request request, http_result result)
{
    handler.on_datagram(via, from, bytes);
    handler.on_tick();
    handler.on_http_request(exchange, request);
    handler.on_http_disconnect(exchange);
    handler.on_http_data(exchange, bytes);
    handler.on_http_complete(exchange, result);
    {
        handler.should_stop()
        } -> std::same_as<bool>;
};

// A handler with next_due() gets a tick at that time, even before the regular
// interval ends.
template <class P>
concept has_tick_deadline = requires(P const& handler)
{
    {
        handler.next_due()
        } -> std::same_as<std::optional<time_point>>;
};

// Base of handlers that ignore some of the events.
struct default_event_handler
{
    void on_datagram(socket_index, peer_address, std::string_view) {}

    void on_tick() {}

    void on_http_request(exchange_id, http_request const&) {}

    void on_http_disconnect(exchange_id) {}

    void on_http_data(exchange_id, std::string_view) {}

    void on_http_complete(exchange_id, http_result const&) {}
};

// ---- loop_settings ------------------------------------------------------

struct loop_settings
{
    std::vector<peer_address> listen = {};  // TCP, for HTTP
    duration max_tick_interval = std::chrono::milliseconds{20};
    std::size_t read_buffer_size = 64U << 10U;  // bytes
    // At most half of them are used by clients; see event_loop::add_client.
    std::uint32_t max_descriptors = 2048;
    auto operator<=>(loop_settings const&) const = default;
};

// ---- event_loop ---------------------------------------------------------

template <class P> class event_loop
{
public:
    event_loop(P& handler, loop_settings settings);
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    // Returns whether all listening addresses were bound.
    bool is_listening() const;

    // Takes over a socket and identifies it by `via`. A socket that was added
    // with the same identifier before is closed.
    void add_socket(socket_index via, udp_socket const& socket);

    // Queues a datagram, which is sent after the current event was handled,
    // together with others.
    void send(socket_index via, peer_address to, std::string_view bytes);

    // Sends an HTTP request. The result arrives in on_http_complete.
    exchange_id start_call(http_call const& call);

    // Ends a call early; on_http_complete still follows.
    void cancel_call(exchange_id exchange);

    // Replies to a request that was passed to on_http_request.
    void reply(exchange_id exchange, http_reply const& reply);

    // Closes the connection of a request instead of replying.
    void abort_request(exchange_id exchange);

    // Runs until the handler's should_stop() returns true.
    void run();

private:
    struct socket_record
    {
        udp_socket socket = {};
        lws* wsi = nullptr;
        datagram_writer writer = {};
    };

    struct client_exchange
    {
        http_call call = {};
        lws* wsi = nullptr;
        http_result result = {http_outcome::not_sent, 0, {}, {}};
        bool is_body_sent = false;
        bool has_empty_response = false;  // the header says so
        bool is_reading = false;          // in the library's read function
        bool has_ended = false;           // the library has said so meanwhile
        time_point deadline = {};
    };

    struct server_exchange
    {
        http_request request = {};
        lws* wsi = nullptr;
        http_reply reply = {};
        bool is_header_sent = false;
        std::size_t body_bytes_sent = 0;
    };

    // on_timer casts the address of `list` to this struct, so `list` must be
    // the first member.
    struct tick_timer
    {
        lws_sorted_usec_list_t list = {};
        event_loop* loop = nullptr;
    };

    static event_loop& get_loop(lws* wsi);
    static exchange_id get_exchange(lws* wsi);
    static int on_udp(lws* wsi, lws_callback_reasons event, void* user,
                      void* in, size_t size);
    static int on_client(lws* wsi, lws_callback_reasons event, void* user,
                         void* in, size_t size);
    static int on_server(lws* wsi, lws_callback_reasons event, void* user,
                         void* in, size_t size);
    static void on_timer(lws_sorted_usec_list_t* list);

    lws_vhost* create_vhost(peer_address listen);
    void schedule_tick(time_point now);
    int receive_datagrams(lws* wsi);
    void flush_datagrams();
    int send_client_header(lws* wsi, client_exchange const& exchange, void* in,
                           size_t size);
    int send_client_body(lws* wsi, client_exchange& exchange);
    int read_client_header(lws* wsi, client_exchange& exchange);
    int read_client_body(lws* wsi, exchange_id exchange);
    void end_response(exchange_id exchange, bool is_whole);
    void finish_call(exchange_id exchange);
    void expire_calls(time_point now);
    int handle_request_header(lws* wsi, std::string_view path);
    void add_client(lws* wsi);
    void drop_client(lws* wsi);
    int continue_reply(lws* wsi, exchange_id exchange);
    int write_reply_part(lws* wsi, server_exchange& exchange);
    int write_reply_header(lws* wsi, server_exchange& exchange);

    P& handler;
    loop_settings settings;
    std::vector<lws_protocols> protocols;
    // The library keeps pointers to the elements of the next two.
    std::deque<std::string> vhost_names = {};
    std::deque<peer_address> listen_addresses = {};
    lws_context* context = nullptr;
    lws_vhost* vhost = nullptr;  // for sockets and calls; doesn't listen
    bool has_all_listeners = true;
    tick_timer timer = {};
    time_point next_tick_at = {};  // 0 while the timer isn't set
    datagram_reader reader = {};
    std::map<socket_index, socket_record> sockets = {};
    std::map<exchange_id, client_exchange> calls = {};
    std::map<exchange_id, server_exchange> requests = {};
    std::map<lws_vhost*, std::deque<lws*>> clients = {};  // oldest first
    std::uint64_t last_exchange = 0;
    bool is_closing = false;  // the handler gets no more events
};

}  // namespace lagoon

#include "loop/event_loop.ipp"
