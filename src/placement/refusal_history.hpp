// Callers that were refused a moment ago. One that asks again does so at once,
// from a new port, and looks like a new request. It is as old as the one that
// was refused, and may not go before requests that are new.
//
// Index
//   refused_request   one that was refused
//   refusal_history     the aggregate
#pragma once

#include "base/values.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace lagoon {

// ---- refused_request ----------------------------------------------------

struct refused_request
{
    std::uint32_t caller_ip = 0;
    peer_address route = {};
    time_point requested_at = {};  // when it was first asked
    time_point refused_at = {};    // when it was refused
    auto operator<=>(refused_request const&) const = default;
};

// Callers ask again a round trip after they are refused; this is several.
constexpr duration refusal_lifetime = std::chrono::milliseconds{60};

constexpr std::size_t max_refusals = 4096;  // remembered at once

// ---- refusal_history ------------------------------------------------------

class refusal_history
{
public:
    void add(refused_request const& what);

    // When the request that begins now was first asked, if it repeats one.
    // Each refused request is repeated once.
    std::optional<time_point> take_repeated(std::uint32_t caller_ip,
                                            peer_address route, time_point now);

private:
    std::deque<refused_request> refusals = {};  // oldest first
};

}  // namespace lagoon
