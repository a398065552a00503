// lagoon-target as an event handler: translates between sockets, the back end
// and the decision code in `target`.
//
// Index
//   target_program   connects the event loop and the target
#pragma once

#include "loop/event_loop.hpp"
#include "programs/configuration_client.hpp"
#include "programs/settings.hpp"
#include "target/target.hpp"
#include "telemetry/logging.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/status.hpp"
#include "wire/codec.hpp"

#include <map>

namespace lagoon {

// ---- target_program -----------------------------------------------------

class target_program
{
public:
    explicit target_program(token_target_settings const& settings);

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
    using loop_type = event_loop<target_program>;

    void handle(target_event const& event);
    void handle(configuration_events const& events);
    void perform(send_outbound const& effect);
    void perform(forward_open const& effect);
    void perform(start_run const& effect);
    void perform(cancel_run const& effect);
    void perform(request_settled const& effect);
    void perform(send_digest const& effect);
    void perform(send_update const& effect);
    void perform(fetch_from_peer const& effect);
    void perform(read_platform const& effect);
    void perform(generation_adopted const& effect);
    void perform(report_failure const& effect);
    http_call make_back_end_call(start_run const& effect) const;
    process_status status() const;

    token_target_settings settings;
    component_log log{"target"};
    time_point started_at;
    loop_type loop;
    target<standard_policy> role;
    configuration_client<loop_type> configuration;
    rpc_server rpc;
    process_metrics metrics = {};
    std::map<exchange_id, run_id> runs = {};
    std::map<run_id, exchange_id> exchanges = {};
    std::uint64_t packet_count = 0;
    bool is_stopping = false;
    time_point stop_at = {};  // earliest end of a stopping process
};

}  // namespace lagoon
