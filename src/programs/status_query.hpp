// Asks many processes for their status at once, for the operators' programs.
//
// Index
//   queried_process   one process and what it answered
//   status_query     the adapter: runs until all have answered or failed
#pragma once

#include "control/rpc.hpp"
#include "loop/event_loop.hpp"
#include "telemetry/status.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- queried_process ------------------------------------------------------

struct queried_process
{
    std::string name = {};
    peer_address control = {};
    std::optional<process_status> status = {};
    failure why = {};  // when there is no status
    auto operator<=>(queried_process const& other) const
    {
        return this->control <=> other.control;
    }
    bool operator==(queried_process const&) const = default;
};

constexpr duration status_query_timeout = std::chrono::seconds{2};
constexpr std::size_t max_concurrent_queries = 64;  // connections

// ---- status_query --------------------------------------------------------

class status_query : public quiet_program
{
public:
    explicit status_query(std::vector<queried_process> processes);

    // Every process with its status, or with the reason why it has none.
    std::vector<queried_process> ask();

    void on_http_bytes(exchange_id exchange, std::string_view bytes);
    void on_http_end(exchange_id exchange, http_result const& result);
    bool wants_to_stop() const;

private:
    struct pending_ask
    {
        std::size_t index = 0;  // of the process
        std::string body = {};
    };

    void ask_more();
    void take(queried_process& process, std::string const& body,
              http_result const& result) const;

    std::vector<queried_process> processes;
    std::size_t next = 0;
    std::size_t answered = 0;
    std::map<exchange_id, pending_ask> pending = {};
    event_loop<status_query> loop;
};

// The processes that a catalog names.
std::vector<queried_process> list_processes(catalog const& known);

}  // namespace lagoon
