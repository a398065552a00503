// An entry for connections without tokens as a loop program: translates
// between sockets and the role. How packets look and how the platform is read
// are template parameters.
//
// Index
//   connection_entry_program   the adapter
#pragma once

#include "base/entropy.hpp"
#include "connection/format.hpp"
#include "entry/connection_entry.hpp"
#include "loop/event_loop.hpp"
#include "loop/signals.hpp"
#include "programs/connection_log.hpp"
#include "programs/connection_settings.hpp"
#include "programs/platform_link.hpp"
#include "programs/settings_watch.hpp"
#include "wire/codec.hpp"

namespace lagoon {

// ---- connection_entry_program -------------------------------------------

template <packet_format Format, platform_reader Reader>
class connection_entry_program
{
public:
    connection_entry_program(entry_process_settings const& settings,
                             Reader reader);

    // Takes up what changes in the settings file while the process runs.
    void watch_settings(process_start const& start);

    // Binds the sockets; false when one can't be had.
    bool open(failure& last);
    void run();
    bool was_cut_off() const;

    void on_datagram(lane by, peer_address from, std::string_view bytes);
    void on_tick();
    void on_http_request(exchange_id exchange, http_request const& request);
    void on_http_gone(exchange_id) {}
    void on_http_bytes(exchange_id exchange, std::string_view bytes);
    void on_http_end(exchange_id exchange, http_result const& result);
    bool wants_to_stop() const;
    std::optional<time_point> next_due() const;

private:
    using loop_type = event_loop<connection_entry_program>;

    static constexpr lane caller_lane{0};
    static constexpr lane peer_lane{1};

    void feed(connection_entry_event const& event);
    void feed(control_events const& events);
    void take_peer_packet(peer_address from, std::string_view bytes);
    void take_message(peer_address from, datagram const& packet);
    void perform(send_offer const& effect);
    void perform(reset_caller const& effect);
    void perform(send_digest const& effect);
    void perform(send_news const& effect);
    void perform(fetch_from_peer const& effect);
    void perform(read_platform const& effect);
    void perform(generation_adopted const& effect);
    void perform(note_failure const& effect);
    void perform(placement_note const& effect);
    void perform(status_change_note const& effect);
    http_reply reply_to(http_request const& request);

    void reload(std::string const& text);

    entry_process_settings settings;
    settings_watch watched = {};
    part_log log{"entry"};
    loop_type loop;
    connection_entry<seeded_random> role;
    platform_link<loop_type, Reader> published;
    connection_metrics metrics = {};
    reassembly pieces = {};
    std::uint32_t last_message = 0;  // number of the latest large message
    std::uint64_t packets = 0;
    time_point last_packet = {};  // of a caller
    std::optional<time_point> stopping_since = {};
    bool was_ready = false;
};

}  // namespace lagoon

#include "programs/connection_entry_program.ipp"
