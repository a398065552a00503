// One loop on one thread: UDP sockets, HTTP in both directions, and a tick,
// all on libwebsockets. The loop sleeps until there is work.
//
// Index
//   loop_program   the concept: what a process does with what happens
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

// ---- loop_program -------------------------------------------------------

template <class P>
concept loop_program = requires(P program, socket_index by, peer_address from,
                                std::string_view bytes, exchange_id exchange,
                                http_request request, http_result result)
{
    program.on_datagram(by, from, bytes);
    program.on_tick();
    program.on_http_request(exchange, request);
    program.on_http_gone(exchange);
    program.on_http_bytes(exchange, bytes);
    program.on_http_end(exchange, result);
    {
        program.wants_to_stop()
        } -> std::same_as<bool>;
};

// A program that says when its next tick is due is not left to the interval.
template <class P>
concept has_due_ticks = requires(P const& program)
{
    {
        program.next_due()
        } -> std::same_as<std::optional<time_point>>;
};

// What a program without some of these inherits: it takes no notice of them.
struct quiet_program
{
    void on_datagram(socket_index, peer_address, std::string_view) {}

    void on_tick() {}

    void on_http_request(exchange_id, http_request const&) {}

    void on_http_gone(exchange_id) {}

    void on_http_bytes(exchange_id, std::string_view) {}

    void on_http_end(exchange_id, http_result const&) {}
};

// ---- loop_settings ------------------------------------------------------

struct loop_settings
{
    std::vector<peer_address> listen = {};          // TCP, for HTTP
    duration tick = std::chrono::milliseconds{20};  // at the latest
    std::size_t read_buffer = 64U << 10U;           // bytes read at once
    std::uint32_t most_descriptors = 2048;
    auto operator<=>(loop_settings const&) const = default;
};

// ---- event_loop ---------------------------------------------------------

template <class P> class event_loop
{
public:
    event_loop(P& program, loop_settings settings);
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    // Whether every listening address could be bound.
    bool is_open() const;

    // Adopts a socket under a lane of its own; replacing one closes it.
    void adopt(socket_index as, udp_socket const& socket);
    // What the program sends while it handles one thing goes out together.
    void send(socket_index by, peer_address to, std::string_view bytes);

    // A call of this process to another one.
    exchange_id call(http_call const& what);
    void cancel(exchange_id exchange);

    // The reply to a request that on_http_request was told of.
    void reply(exchange_id exchange, http_reply const& what);

    // Breaks its connection off instead.
    void break_off(exchange_id exchange);

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
        http_call what = {};
        lws* wsi = nullptr;
        http_result result = {http_end::not_sent, 0, {}};
        bool body_sent = false;
        time_point ends_at = {};
    };

    struct server_exchange
    {
        http_request request = {};
        lws* wsi = nullptr;
        http_reply reply = {};
        bool head_sent = false;
        std::size_t body_sent = 0;  // bytes
    };

    // The timer comes first, so that its address is this struct's.
    struct tick_timer
    {
        lws_sorted_usec_list_t list = {};
        event_loop* loop = nullptr;
    };

    static event_loop& of(lws* wsi);
    static exchange_id exchange_of(lws* wsi);
    static int on_udp(lws* wsi, lws_callback_reasons why, void* user, void* in,
                      size_t size);
    static int on_client(lws* wsi, lws_callback_reasons why, void* user,
                         void* in, size_t size);
    static int on_server(lws* wsi, lws_callback_reasons why, void* user,
                         void* in, size_t size);
    static void on_timer(lws_sorted_usec_list_t* list);

    lws_vhost* make_vhost(peer_address listen);
    void schedule_tick(time_point now);
    int receive_datagrams(lws* wsi);
    void flush_datagrams();
    int send_client_head(lws* wsi, client_exchange const& exchange, void* in,
                         size_t size);
    int send_client_body(lws* wsi, client_exchange& exchange);
    int read_client_head(lws* wsi, client_exchange& exchange);
    int read_client_body(lws* wsi);
    void end_client(exchange_id exchange);
    void expire_calls(time_point now);
    int take_request_head(lws* wsi, std::string_view path);
    int continue_reply(lws* wsi, exchange_id exchange);
    int write_reply_part(lws* wsi, server_exchange& exchange);
    int write_reply_head(lws* wsi, server_exchange& exchange);

    P& program;
    loop_settings settings;
    std::vector<lws_protocols> protocols;
    std::deque<std::string> names = {};  // the library keeps pointers to them
    std::deque<peer_address> listeners = {};  // and to these
    lws_context* context = nullptr;
    lws_vhost* vhost = nullptr;  // of sockets and calls; listens nowhere
    bool is_listening = true;    // on every address
    tick_timer timer = {};
    time_point tick_at = {};  // when the timer is due
    datagram_reader reader = {};
    std::map<socket_index, adopted_socket> sockets = {};
    std::map<exchange_id, client_exchange> calls = {};
    std::map<exchange_id, server_exchange> requests = {};
    std::uint64_t last_exchange = 0;
    bool closing = false;  // the program is going: it is told nothing more
};

}  // namespace lagoon

#include "loop/event_loop.ipp"
