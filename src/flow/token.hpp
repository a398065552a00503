// The flow token: what a caller repeats on each packet so that any entry can
// route it with no state, and that only the owning target can verify.
// Compare Cheetah (NSDI 2020) for routing from the packet itself.
//
// Index
//   flow_token     the value on the wire
//   token_issuer   the aggregate: issues and verifies under a private key
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
    epoch issuer_epoch = {};  // of the issuing process
    flow_key flow = {};
    std::int64_t issued_at = 0;  // microseconds, issuer's
    std::array<std::uint8_t, token_mac_size> mac = {};  // MAC of the above
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

    // Errors: wrong_epoch (another life of this process, or another target),
    // bad_token (the seal doesn't match).
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
