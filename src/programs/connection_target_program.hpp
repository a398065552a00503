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
#include "programs/connection_settings.hpp"
#include "programs/connection_telemetry.hpp"
#include "programs/settings_watcher.hpp"
#include "target/connection_target.hpp"
#include "wire/codec.hpp"

namespace lagoon {

// ---- connection_target_program ------------------------------------------

template <packet_format Format>
class connection_target_program : public quiet_program
{
public:
    explicit connection_target_program(target_process_settings const& settings);

    // Takes up what changes in the settings file while the process runs.
    void watch_settings(command_line_options const& start);

    // Binds the sockets; false when one can't be had.
    bool open(failure& last);
    void run();
    bool is_stop_forced() const;

    void on_datagram(lane by, peer_address from, std::string_view bytes);
    void on_tick();
    void on_http_request(exchange_id exchange, http_request const& request);
    bool wants_to_stop() const;
    std::optional<time_point> next_due() const;

private:
    using loop_type = event_loop<connection_target_program>;

    static constexpr lane entry_lane{0};
    static constexpr lane back_end_lane{1};

    void feed(connection_target_event const& event);
    void take_offer(peer_address from, std::string_view bytes);
    void take_from_back_end(peer_address from, std::string_view bytes);
    void perform(send_to_back_end const& effect);
    void perform(pass_to_caller const& effect);
    void perform(answer_entry const& effect);
    void perform(reset_connection const& effect);
    void perform(tracking_note const& effect);
    void perform(note_failure const& effect);
    peer_address caller_address(peer_address caller) const;

    void reload(std::string const& text);

    target_process_settings settings;
    settings_watcher watched = {};
    part_log log{"target"};
    loop_type loop;
    connection_target<> role;
    connection_metrics metrics = {};
    std::uint64_t packets = 0;
    bool stopping = false;
};

}  // namespace lagoon

#include "programs/connection_target_program.ipp"
