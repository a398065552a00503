// The flow token: what a caller repeats on each packet so that any entry can
// route it with no state, and that only the owning target can verify.
// Compare Cheetah (NSDI 2020) for routing from the packet itself.
//
// Index
//   flow_token   the value on the wire
//   token_mint   the aggregate: issues and verifies under a private key
#pragma once

#include "base/failure.hpp"

#include <array>
#include <optional>

namespace lagoon {

// ---- flow_token ---------------------------------------------------------

constexpr std::size_t token_seal_size = 16;  // bytes of the MAC

struct flow_token
{
    service_id service = {};
    target_id target = {};
    epoch started = {};  // of the issuing process
    flow_key flow = {};
    std::int64_t issued = 0;  // microseconds, issuer's
    std::array<std::uint8_t, token_seal_size> seal = {};  // MAC of the above
    auto operator<=>(flow_token const&) const = default;
};

// ---- token_mint ---------------------------------------------------------

constexpr std::size_t token_key_size = 16;  // bytes

using token_key = std::array<std::uint8_t, token_key_size>;

class token_mint
{
public:
    token_mint(target_id owner, epoch started, token_key key);

    flow_token issue(service_id service, flow_key flow, time_point now) const;

    // Errors: wrong_epoch (another life of this process, or another target),
    // bad_token (the seal doesn't match).
    std::optional<flow_token> verify(flow_token const& token,
                                     failure& last) const;

    epoch started() const;

private:
    flow_token sealed(flow_token const& open) const;

    target_id owner;
    epoch life;
    token_key key;
};

}  // namespace lagoon
