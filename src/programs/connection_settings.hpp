// The settings of the processes that carry connections without tokens: JSON
// with comments, checked whole.
//
// Index
//   entry_process_settings    beside the callers
//   target_process_settings   beside one back end
//   parsing                   errors come as json_problem, all at once
#pragma once

#include "programs/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoon {

struct log_settings
{
    std::string level = {};
    std::uint32_t lines_per_second = 0;  // about single requests
    auto operator<=>(log_settings const&) const = default;
};

// ---- entry_process_settings ---------------------------------------------

struct entry_process_settings
{
    std::string name = {};
    std::string data_centre = {};
    peer_address packets = {};             // UDP, packets of callers
    peer_address exchange = {};            // UDP, between our processes
    peer_address control = {};             // TCP, JSON-RPC
    peer_address ready = {};               // TCP, GET /ready
    peer_address metrics = {};             // TCP, GET /metrics
    peer_address platform = {};            // TCP, HTTP
    std::vector<peer_address> seeds = {};  // peers; just their IPs count
    duration change_limit = {};  // a change must be in force after this
    log_settings log = {};
    auto operator<=>(entry_process_settings const&) const = default;
};

// ---- target_process_settings --------------------------------------------

struct target_process_settings
{
    std::string name = {};
    std::string service = {};
    peer_address packets = {};   // UDP, from entries
    peer_address outbound = {};  // UDP, from the back end
    peer_address back_end = {};  // UDP, where it takes packets
    peer_address ready = {};     // TCP, GET /ready
    peer_address metrics = {};   // TCP, GET /metrics
    bool first_start = false;    // of the whole system
    duration longest_connection = {};
    duration stop_limit = {};  // the process is killed after this
    log_settings log = {};
    auto operator<=>(target_process_settings const&) const = default;
};

// ---- parsing ------------------------------------------------------------

std::optional<entry_process_settings>
parse_entry_process_settings(json_checker& checker, std::string const& text);
std::optional<target_process_settings>
parse_target_process_settings(json_checker& checker, std::string const& text);

log_identity make_log_identity(entry_process_settings const& settings);
log_identity make_log_identity(target_process_settings const& settings);

}  // namespace lagoon
