// lagoon-entry as an event handler: translates between sockets and the decision
// code in `entry`.
//
// Index
//   sockets         indices of the sockets of an entry
//   entry_program   connects the event loop and the entry
#pragma once

#include "entry/entry.hpp"
#include "loop/event_loop.hpp"
#include "programs/configuration_client.hpp"
#include "programs/settings.hpp"
#include "telemetry/logging.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/status.hpp"
#include "wire/codec.hpp"

namespace lagoon {

// ---- sockets ------------------------------------------------------------

// Indices below peer_socket_count belong to the sockets towards targets.
constexpr socket_index caller_socket{peer_socket_count};
constexpr socket_index exchange_socket{peer_socket_count + 1};

// ---- entry_program ------------------------------------------------------

class entry_program
{
public:
    explicit entry_program(token_entry_settings const& settings);

    // Binds the sockets. Returns false and sets `error` on failure.
    bool open(failure& error);
    void run();
    bool is_stop_forced() const;

    void on_datagram(socket_index socket, peer_address from,
                     std::string_view bytes);
    void on_tick();
    void on_http_request(exchange_id exchange, http_request const& request);
    void on_http_disconnect(exchange_id exchange);
    void on_http_data(exchange_id exchange, std::string_view bytes);
    void on_http_complete(exchange_id exchange, http_result const& result);
    bool should_stop() const;

private:
    using loop_type = event_loop<entry_program>;

    void handle(entry_event const& event);
    void handle(configuration_events const& events);
    void perform(send_inbound const& effect);
    void perform(send_to_caller const& effect);
    void perform(send_digest const& effect);
    void perform(send_update const& effect);
    void perform(fetch_from_peer const& effect);
    void perform(read_platform const& effect);
    void perform(generation_adopted const& effect);
    void perform(report_failure const& effect);
    std::optional<entry_event> make_event(socket_index socket,
                                          peer_address from,
                                          datagram const& packet) const;
    process_status status() const;

    token_entry_settings settings;
    component_log log{"entry"};
    time_point started_at;
    loop_type loop;
    entry<seeded_random> role;
    configuration_client<loop_type> configuration;
    rpc_server rpc;
    process_metrics metrics = {};
    std::uint64_t packet_count = 0;
    bool is_stopping = false;
    time_point stop_at = {};
};

}  // namespace lagoon
