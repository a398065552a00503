// How errors travel: a function that can fail returns std::optional and
// leaves the last reason in a `failure`. It carries the step and the peer at
// which it arose, so that a log line needs no context of its own.
//
// Index
//   failure   the last reason
//   fail      sets the last reason and returns the empty optional
#pragma once

#include "base/values.hpp"

#include <optional>
#include <string>

namespace lagoon {

// ---- failure ------------------------------------------------------------

enum class step : std::uint8_t
{
    none,
    read_settings,
    read_sheet,
    read_document,
    decode_packet,
    verify_token,
    route_packet,
    open_flow,
    admit_request,
    run_request,
    return_answer,
    adopt_generation,
    exchange_with_peer,
    read_platform,
    call_control
};

enum class reason : std::uint8_t
{
    none,
    malformed,
    out_of_range,
    unknown_name,
    duplicate,
    unsupported,
    not_permitted,
    wrong_service,
    wrong_epoch,
    bad_token,
    expired,
    too_large,
    overloaded,
    leaving,
    stale,
    conflict,
    unreachable,
    timed_out
};

struct failure
{
    step failed_step = step::none;  // where it arose
    reason cause = reason::none;    // what it was
    peer_address peer = {};         // who was at the other end, if anyone
    std::string detail = {};        // one short sentence for a person
    bool operator==(failure const&) const = default;
};

char const* to_text(step value);
char const* to_text(reason value);

// Renders as "decode_packet: malformed (127.0.0.1:9000): text".
std::string to_text(failure const& value);

// ---- fail ---------------------------------------------------------------

inline std::nullopt_t fail(failure& error, failure value)
{
    error = std::move(value);
    return std::nullopt;
}

}  // namespace lagoon
