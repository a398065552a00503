// Asks many processes for their status at once, for the operators' programs.
//
// Index
//   asked_process   one process and what it answered
//   ask_program     the adapter: runs until all have answered or failed
#pragma once

#include "control/rpc.hpp"
#include "loop/event_loop.hpp"
#include "telemetry/status.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- asked_process ------------------------------------------------------

struct asked_process
{
    std::string name = {};
    peer_address control = {};
    std::optional<process_status> status = {};
    failure why = {};  // when there is no status
    auto operator<=>(asked_process const& other) const
    {
        return this->control <=> other.control;
    }
    bool operator==(asked_process const&) const = default;
};

constexpr duration ask_timeout = std::chrono::seconds{2};
constexpr std::size_t asked_at_once = 64;  // connections

// ---- ask_program --------------------------------------------------------

class ask_program : public default_event_handler
{
public:
    explicit ask_program(std::vector<asked_process> processes);

    // Every process with its status, or with the reason why it has none.
    std::vector<asked_process> ask();

    void on_http_data(exchange_id exchange, std::string_view bytes);
    void on_http_complete(exchange_id exchange, http_result const& result);
    bool should_stop() const;

private:
    struct pending_ask
    {
        std::size_t index = 0;  // of the process
        std::string body = {};
    };

    void ask_more();
    void take(asked_process& process, std::string const& body,
              http_result const& result) const;

    std::vector<asked_process> processes;
    std::size_t next = 0;
    std::size_t answered = 0;
    std::map<exchange_id, pending_ask> pending = {};
    event_loop<ask_program> loop;
};

// The processes that a catalog names.
std::vector<asked_process> processes_of(catalog const& known);

}  // namespace lagoon
