// Error reporting: a function that can fail returns std::optional and
// describes the error in a `failure` passed by reference. The failure names
// the step and the peer, so a log line can be written from it alone.
//
// Index
//   failure   description of an error
//   fail      sets the failure and returns the empty optional
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
    step failed_step = step::none;  // operation that failed
    reason cause = reason::none;
    peer_address peer = {};   // remote end; default when there is none
    std::string detail = {};  // one short sentence for the log
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
