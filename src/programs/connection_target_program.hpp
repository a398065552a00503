// A target for connections without tokens as a loop program: translates
// between sockets, the back end and the role. How packets look is a template
// parameter.
//
// Index
//   connection_target_program   the adapter
#pragma once

#include "connection/format.hpp"
#include "loop/event_loop.hpp"
#include "loop/signals.hpp"
#include "programs/connection_log.hpp"
#include "programs/connection_settings.hpp"
#include "programs/settings_watch.hpp"
#include "target/connection_target.hpp"
#include "wire/codec.hpp"

namespace lagoon {

// ---- connection_target_program ------------------------------------------

template <packet_format Format>
class connection_target_program : public default_event_handler
{
public:
    explicit connection_target_program(target_process_settings const& settings);

    // Takes up what changes in the settings file while the process runs.
    void watch_settings(process_start const& start);

    // Binds the sockets; false when one can't be had.
    bool open(failure& last);
    void run();
    bool was_cut_off() const;

    void on_datagram(socket_index by, peer_address from,
                     std::string_view bytes);
    void on_tick();
    void on_http_request(exchange_id exchange, http_request const& request);
    bool should_stop() const;
    std::optional<time_point> next_due() const;

private:
    using loop_type = event_loop<connection_target_program>;

    static constexpr socket_index entry_lane{0};
    static constexpr socket_index back_end_lane{1};

    void feed(connection_target_event const& event);
    void take_offer(peer_address from, std::string_view bytes);
    void take_from_back_end(peer_address from, std::string_view bytes);
    void perform(send_to_back_end const& effect);
    void perform(forward_to_caller const& effect);
    void perform(reply_to_entry const& effect);
    void perform(reset_connection const& effect);
    void perform(tracking_note const& effect);
    void perform(report_failure const& effect);
    peer_address caller_address(peer_address caller) const;

    void reload(std::string const& text);

    target_process_settings settings;
    settings_watch watched = {};
    component_log log{"target"};
    loop_type loop;
    connection_target<> role;
    connection_metrics metrics = {};
    std::uint64_t packets = 0;
    bool stopping = false;
};

}  // namespace lagoon

#include "programs/connection_target_program.ipp"
