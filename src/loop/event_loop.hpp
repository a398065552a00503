// One loop on one thread: UDP sockets, HTTP in both directions, and a tick,
// all on libwebsockets. The loop sleeps until there is work.
//
// Index
//   event_handler   the concept: what a process does with what happens
//   loop_settings  addresses and intervals
//   event_loop     the adapter
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

template <class P>
concept event_handler = requires(P handler, lane via, peer_address from,
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

// A program that says when its next tick is due is not left to the interval.
template <class P>
concept has_tick_deadline = requires(P const& handler)
{
    {
        handler.next_due()
        } -> std::same_as<std::optional<time_point>>;
};

// What a program without some of these inherits: it takes no notice of them.
struct default_event_handler
{
    void on_datagram(lane, peer_address, std::string_view) {}

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
    duration max_tick_interval =
        std::chrono::milliseconds{20};          // at the latest
    std::size_t read_buffer_size = 64U << 10U;  // bytes read at once
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

    // Whether every listening address could be bound.
    bool is_listening() const;

    // Adopts a socket under a lane of its own; replacing one closes it.
    void add_socket(lane via, udp_socket const& socket);
    // What the program sends while it handles one thing goes out together.
    void send(lane via, peer_address to, std::string_view bytes);

    // A call of this process to another one.
    exchange_id start_call(http_call const& call);
    void cancel_call(exchange_id exchange);

    // The reply to a request that on_http_request was told of.
    void reply(exchange_id exchange, http_reply const& reply);

    // Breaks its connection off instead.
    void abort_request(exchange_id exchange);

    // Runs until the program wants to stop.
    void run();

private:
    struct adopted_socket
    {
        udp_socket socket = {};
        lws* wsi = nullptr;
        datagram_writer writer = {};
    };

    struct client_exchange
    {
        http_call call = {};
        lws* wsi = nullptr;
        http_result result = {http_outcome::not_sent, 0, {}};
        bool is_body_sent = false;
        time_point deadline = {};
    };

    struct server_exchange
    {
        http_request request = {};
        lws* wsi = nullptr;
        http_reply reply = {};
        bool is_head_sent = false;
        std::size_t body_bytes_sent = 0;  // bytes
    };

    // The timer comes first, so that its address is this struct's.
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
    int send_client_head(lws* wsi, client_exchange const& exchange, void* in,
                         size_t size);
    int send_client_body(lws* wsi, client_exchange& exchange);
    int read_client_head(lws* wsi, client_exchange& exchange);
    int read_client_body(lws* wsi);
    void finish_call(exchange_id exchange);
    void expire_calls(time_point now);
    int handle_request_head(lws* wsi, std::string_view path);
    int continue_reply(lws* wsi, exchange_id exchange);
    int write_reply_part(lws* wsi, server_exchange& exchange);
    int write_reply_head(lws* wsi, server_exchange& exchange);

    P& handler;
    loop_settings settings;
    std::vector<lws_protocols> protocols;
    std::deque<std::string> vhost_names =
        {};  // the library keeps pointers to them
    std::deque<peer_address> listen_addresses = {};  // and to these
    lws_context* context = nullptr;
    lws_vhost* vhost = nullptr;     // of sockets and calls; listens nowhere
    bool has_all_listeners = true;  // on every address
    tick_timer timer = {};
    time_point next_tick_at = {};  // when the timer is due
    datagram_reader reader = {};
    std::map<lane, adopted_socket> sockets = {};
    std::map<exchange_id, client_exchange> calls = {};
    std::map<exchange_id, server_exchange> requests = {};
    std::uint64_t last_exchange = 0;
    bool is_closing = false;  // the program is going: it is told nothing more
};

}  // namespace lagoon

#include "loop/event_loop.ipp"
