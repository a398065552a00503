// Flow token: sent by a caller with each packet of a flow. It lets any entry
// route the packet without state; only the target that owns the flow can
// verify it. Cheetah (NSDI 2020) routes by information in the packet in a
// similar way.
//
// Index
//   flow_token     value on the wire
//   token_issuer   aggregate: issues and verifies tokens with a secret key
#pragma once

#include "base/failure.hpp"

#include <array>
#include <optional>

namespace lagoon {

// ---- flow_token ---------------------------------------------------------

constexpr std::size_t token_mac_size = 16;  // bytes of the MAC

struct flow_token
{
    service_id service = {};
    target_id target = {};
    epoch issuer_epoch = {};  // of the process that issued it
    flow_key flow = {};
    std::int64_t issued_at = 0;  // microseconds, clock of the issuer
    std::array<std::uint8_t, token_mac_size> mac = {};  // of the above
    auto operator<=>(flow_token const&) const = default;
};

// ---- token_issuer -------------------------------------------------------

constexpr std::size_t token_key_size = 16;  // bytes

using token_key = std::array<std::uint8_t, token_key_size>;

class token_issuer
{
public:
    token_issuer(target_id owner, epoch own_epoch, token_key key);

    flow_token issue(service_id service, flow_key flow, time_point now) const;

    // Returns the token if this issuer issued it. Errors: wrong_epoch (issued
    // by another target, or before this process was restarted), bad_token
    // (the MAC doesn't match).
    std::optional<flow_token> verify(flow_token const& token,
                                     failure& error) const;

    epoch current_epoch() const;

private:
    flow_token sign(flow_token const& token) const;

    target_id owner;
    epoch own_epoch;
    token_key key;
};

}  // namespace lagoon
