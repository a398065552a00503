// The status of a process, which it returns as JSON to the operators' programs.
//
// Index
//   process_status     the status
//   writing, parsing   conversion to and from JSON
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
    bool is_ready = false;            // accepts new flows
    bool is_leaving = false;          // stops after its open requests
    duration platform_age = {};       // since the last data from the platform
    duration uptime = {};             // since the process started
    std::uint64_t flow_count = 0;     // open flows of a target
    std::uint64_t request_count = 0;  // requests that a target holds
    std::uint64_t packet_count = 0;   // packets received
    std::vector<service_metrics> services = {};
    std::vector<failure_count> failures = {};
    auto operator<=>(process_status const&) const = default;
};

// ---- writing, parsing ---------------------------------------------------

std::string write_status(process_status const& status);
std::optional<process_status> parse_status(json_checker& checker,
                                           std::string const& text);

}  // namespace lagoon
