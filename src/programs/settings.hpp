// Settings of lagoon-entry and lagoon-target, the processes for flows with
// tokens. A settings file is JSON with comments.
//
// Index
//   token_entry_settings    settings of lagoon-entry
//   token_target_settings   settings of lagoon-target
//   log_identity            name and level for the log
//   parsing                 reports all errors of a file as json_problem
#pragma once

#include "base/values.hpp"
#include "documents/checked_json.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- token_entry_settings -----------------------------------------------

// Common to both programs.
struct token_process_settings
{
    std::string name = {};
    std::string data_centre = {};
    peer_address control = {};             // TCP, JSON-RPC
    peer_address platform = {};            // TCP, HTTP
    std::vector<peer_address> seeds = {};  // peers' exchange addresses
    std::string log_level = {};
    auto operator<=>(token_process_settings const&) const = default;
};

struct token_entry_settings
{
    token_process_settings process = {};
    peer_address callers = {};   // UDP, from callers
    peer_address exchange = {};  // UDP, from peers
    auto operator<=>(token_entry_settings const&) const = default;
};

// ---- token_target_settings ----------------------------------------------

struct token_target_settings
{
    token_process_settings process = {};
    peer_address packets = {};         // UDP, from entries and peers
    peer_address back_end = {};        // TCP, HTTP, on the same VM
    std::uint32_t slots = 1;           // concurrent requests of the back end
    duration ramp_up_time = {};        // slots open gradually over this time
    std::size_t max_answer_bytes = 0;  // of all buffered answers
    auto operator<=>(token_target_settings const&) const = default;
};

// ---- log_identity -------------------------------------------------------

// Process name in log lines, and the minimum level that is logged.
struct log_identity
{
    std::string process = {};
    std::string level = {};
    auto operator<=>(log_identity const&) const = default;
};

log_identity make_log_identity(token_entry_settings const& settings);
log_identity make_log_identity(token_target_settings const& settings);

// ---- parsing ------------------------------------------------------------

// Reads the field "log_level" and reports an unknown level.
std::string read_log_level(json_checker& checker, json_node const& object);

std::optional<token_entry_settings>
parse_token_entry_settings(json_checker& checker, std::string const& text);
std::optional<token_target_settings>
parse_token_target_settings(json_checker& checker, std::string const& text);

}  // namespace lagoon
