// What a process says of itself when asked for its status: one typed value,
// written to JSON and parsed back by the operators' programs.
//
// Index
//   process_status   the value
//   writing, parsing
#pragma once

#include "catalog/catalog.hpp"
#include "documents/checked_json.hpp"
#include "telemetry/metrics.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoon {

// ---- process_status -----------------------------------------------------

struct process_status
{
    std::string name = {};
    std::string role = {};  // "entry" or "target"
    std::string data_centre = {};
    catalog_version version = {};
    bool is_ready = false;            // takes new flows
    bool is_leaving = false;          // was asked to stop
    duration platform_age = {};       // since the platform was last heard of
    duration uptime = {};             // since the start
    std::uint64_t flow_count = 0;     // open, at a target
    std::uint64_t request_count = 0;  // held, at a target
    std::uint64_t packet_count = 0;   // received
    std::vector<service_metrics> services = {};
    std::vector<failure_count> failures = {};
    auto operator<=>(process_status const&) const = default;
};

// ---- writing, parsing ---------------------------------------------------

std::string write_status(process_status const& status);
std::optional<process_status> parse_status(json_checker& checker,
                                           std::string const& text);

}  // namespace lagoon
