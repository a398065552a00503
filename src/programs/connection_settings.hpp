// Settings of the processes that carry connections without tokens. A settings
// file is JSON with comments.
//
// Index
//   log_settings              common to both processes
//   entry_process_settings    process on a VM that callers reach
//   target_process_settings   process on the VM of a back end
//   parsing                   reports all errors of a file as json_problem
#pragma once

#include "programs/settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- log_settings -------------------------------------------------------

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
    peer_address packets = {};             // UDP, from callers
    peer_address exchange = {};            // UDP, from peers and targets
    peer_address control = {};             // accepted in the file, not read
    peer_address ready = {};               // TCP, GET /ready
    peer_address metrics = {};             // TCP, GET /metrics
    peer_address platform = {};            // TCP, HTTP
    std::vector<peer_address> seeds = {};  // peers; only the IPs are used
    duration change_limit = {};      // deadline for applying a platform change
    duration evacuation_limit = {};  // the same for evacuations; 0: none
    bool prefer_home_data_centre = false;  // optional in the file
    bool reset_lost_connections = false;   // see connection_entry_settings
    duration max_connection_age = {};      // optional in the file; 0: default
    log_settings log = {};
    auto operator<=>(entry_process_settings const&) const = default;
};

// Returns the deadline for applying any change: the lower of the limits.
duration compute_apply_limit(entry_process_settings const& settings);

// ---- target_process_settings --------------------------------------------

struct target_process_settings
{
    std::string name = {};
    std::string service = {};
    peer_address packets = {};    // UDP, from entries
    peer_address outbound = {};   // UDP, from the back end
    peer_address back_end = {};   // UDP, address of the back end
    peer_address ready = {};      // TCP, GET /ready
    peer_address metrics = {};    // TCP, GET /metrics
    bool is_first_start = false;  // of the system: no earlier connections
    duration max_connection_age = {};
    duration stop_limit = {};  // from the stop signal until it is killed
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
