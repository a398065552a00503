// Entry for connections without tokens, as an event handler: translates between
// sockets and the decision code in `connection_entry`. The packet format and
// the platform reader are template parameters.
//
// Index
//   connection_entry_program   connects the event loop and the entry
#pragma once

#include "base/entropy.hpp"
#include "connection/format.hpp"
#include "entry/connection_entry.hpp"
#include "loop/event_loop.hpp"
#include "loop/signals.hpp"
#include "programs/connection_settings.hpp"
#include "programs/connection_telemetry.hpp"
#include "programs/platform_client.hpp"
#include "programs/settings_watcher.hpp"
#include "wire/codec.hpp"

namespace lagoon {

// ---- connection_entry_program -------------------------------------------

template <packet_format Format, platform_reader Reader>
class connection_entry_program
{
public:
    connection_entry_program(entry_process_settings const& settings,
                             Reader reader);

    // Starts watching the settings file for changes while the process runs.
    void watch_settings(command_line_options const& options);

    // Binds the sockets. Returns false and sets `error` on failure.
    bool open(failure& error);
    void run();
    bool is_stop_forced() const;

    void on_datagram(socket_index socket, peer_address from,
                     std::string_view bytes);
    void on_tick();
    void on_http_request(exchange_id exchange, http_request const& request);
    void on_http_disconnect(exchange_id) {}
    void on_http_data(exchange_id exchange, std::string_view bytes);
    void on_http_complete(exchange_id exchange, http_result const& result);
    bool should_stop() const;
    std::optional<time_point> next_due() const;

private:
    using loop_type = event_loop<connection_entry_program>;

    static constexpr socket_index caller_socket{0};
    static constexpr socket_index peer_socket{1};

    void handle(connection_entry_event const& event);
    void handle(configuration_events const& events);
    void handle_peer_packet(peer_address from, std::string_view bytes);
    void handle_message(peer_address from, datagram const& packet);
    void perform(send_offer const& effect);
    void perform(send_locate_query const& effect);
    void perform(reset_caller const& effect);
    void perform(send_digest const& effect);
    void perform(send_update const& effect);
    void perform(fetch_from_peer const& effect);
    void perform(read_platform const& effect);
    void perform(generation_adopted const& effect);
    void perform(report_failure const& effect);
    void perform(placement_note const& effect);
    void perform(status_change_note const& effect);
    void perform(send_evacuation_notice const& effect);
    std::string make_metrics() const;
    http_reply make_reply(http_request const& request);

    void reload(std::string const& text);

    entry_process_settings settings;
    settings_watcher watcher = {};
    component_log log{"entry"};
    loop_type loop;
    connection_entry<seeded_random> role;
    platform_client<loop_type, Reader> platform;
    connection_metrics metrics = {};
    fragment_reassembler fragments = {};
    std::uint32_t last_message_number = 0;  // of fragmented messages
    std::uint64_t packet_count = 0;
    time_point last_caller_packet = {};  // arrival time
    std::optional<time_point> stop_requested_at = {};
    bool was_ready = false;
};

}  // namespace lagoon

#include "programs/connection_entry_program.ipp"
