// Target for connections without tokens, as an event handler: translates
// between sockets, the back end and the decision code in `connection_target`.
// The packet format is a template parameter.
//
// Index
//   connection_target_program   connects the event loop and the target
#pragma once

#include "connection/format.hpp"
#include "loop/event_loop.hpp"
#include "loop/signals.hpp"
#include "programs/connection_settings.hpp"
#include "programs/connection_telemetry.hpp"
#include "programs/settings_watcher.hpp"
#include "target/connection_target.hpp"
#include "wire/codec.hpp"

namespace lagoon {

// ---- connection_target_program ------------------------------------------

template <packet_format Format>
class connection_target_program : public default_event_handler
{
public:
    explicit connection_target_program(target_process_settings const& settings);

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
    bool should_stop() const;
    std::optional<time_point> next_due() const;

private:
    using loop_type = event_loop<connection_target_program>;

    static constexpr socket_index entry_socket{0};
    static constexpr socket_index back_end_socket{1};

    void handle(connection_target_event const& event);
    void handle_entry_packet(peer_address from, std::string_view bytes);
    void handle_offer(peer_address from, packet_offer offer);
    void handle_back_end_packet(peer_address from, std::string_view bytes);
    void perform(send_to_back_end const& effect);
    void perform(forward_to_caller const& effect);
    void perform(reply_to_entry const& effect);
    void perform(answer_locate_query const& effect);
    void perform(reset_connection const& effect);
    void perform(tracking_note const& effect);
    void perform(report_failure const& effect);
    peer_address resolve_caller_address(peer_address caller) const;

    void reload(std::string const& text);

    target_process_settings settings;
    settings_watcher watcher = {};
    component_log log{"target"};
    loop_type loop;
    connection_target<> role;
    connection_metrics metrics = {};
    std::uint64_t packet_count = 0;
    bool is_stopping = false;
};

}  // namespace lagoon

#include "programs/connection_target_program.ipp"
