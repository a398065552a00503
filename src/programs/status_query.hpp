// Queries the status of many processes concurrently over JSON-RPC, for the
// operators' programs.
//
// Index
//   queried_process   a process with its status, or with the error
//   status_query      runs the event loop until all queries have ended
#pragma once

#include "control/rpc.hpp"
#include "loop/event_loop.hpp"
#include "telemetry/status.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- queried_process ----------------------------------------------------

struct queried_process
{
    std::string name = {};
    peer_address control = {};
    std::optional<process_status> status = {};
    failure error = {};  // set when there is no status
    auto operator<=>(queried_process const& other) const
    {
        return this->control <=> other.control;
    }
    bool operator==(queried_process const&) const = default;
};

constexpr duration status_query_timeout = std::chrono::seconds{2};
constexpr std::size_t max_concurrent_queries = 64;  // connections

// ---- status_query -------------------------------------------------------

class status_query : public default_event_handler
{
public:
    explicit status_query(std::vector<queried_process> processes);

    // Blocks until every process has answered, failed or timed out. Returns
    // early on a stop signal; processes that have not answered by then have
    // neither a status nor an error.
    std::vector<queried_process> query_all();

    void on_http_data(exchange_id exchange, std::string_view bytes);
    void on_http_complete(exchange_id exchange, http_result const& result);
    bool should_stop() const;

private:
    struct pending_query
    {
        std::size_t index = 0;  // into `processes`
        std::string body = {};
    };

    void start_queries();
    void record_response(queried_process& process, std::string const& body,
                         http_result const& result) const;

    std::vector<queried_process> processes;
    std::size_t next_index = 0;
    std::size_t finished_count = 0;
    std::map<exchange_id, pending_query> pending = {};
    event_loop<status_query> loop;
};

// Returns the entries and targets in the catalog, one for each control address.
std::vector<queried_process> list_processes(catalog const& fleet_catalog);

}  // namespace lagoon
