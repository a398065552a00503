// Recently refused requests. A refused caller retries at once from a new port,
// so that its retry looks like a new request. The retry keeps the age of the
// refused request and does not take precedence over new requests.
//
// Index
//   refused_request   a request that was refused
//   refusal_history   the aggregate
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
    time_point requested_at = {};  // when the caller first sent it
    time_point refused_at = {};
    auto operator<=>(refused_request const&) const = default;
};

// Callers retry a round trip after the refusal; this is several of them.
constexpr duration refusal_lifetime = std::chrono::milliseconds{60};

constexpr std::size_t max_refusals = 4096;  // the oldest are dropped first

// ---- refusal_history ----------------------------------------------------

class refusal_history
{
public:
    void add(refused_request const& refusal);

    // Returns when a new request was first sent if it may retry a refused one
    // from the same caller and route, which is then removed. Callers give up a
    // request that is older than `deadline`; 0: never. Callers may share an
    // address, so that several refused requests match: the latest is taken, and
    // no request is taken for older than it may be.
    std::optional<time_point> take_repeated(std::uint32_t caller_ip,
                                            peer_address route,
                                            duration deadline, time_point now);

private:
    std::deque<refused_request> refusals = {};  // oldest first
};

}  // namespace lagoon
