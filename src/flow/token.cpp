#include "flow/token.hpp"

#include <cstring>
#include <sodium.h>

namespace lagoon {

static_assert(token_key_size == crypto_shorthash_siphashx24_KEYBYTES);
static_assert(token_mac_size == crypto_shorthash_siphashx24_BYTES);

token_issuer::token_issuer(target_id owner, epoch own_epoch, token_key key)
    : owner(owner), own_epoch(own_epoch), key(key)
{
}

flow_token token_issuer::sign(flow_token const& token) const
{
    std::array<std::uint64_t, 5> const words{
        token.service.value, token.target.value, token.issuer_epoch.value,
        token.flow.value, static_cast<std::uint64_t>(token.issued_at)};
    flow_token signed_token = token;
    crypto_shorthash_siphashx24(
        signed_token.mac.data(),
        reinterpret_cast<unsigned char const*>(words.data()), sizeof words,
        this->key.data());
    return signed_token;
}

flow_token token_issuer::issue(service_id service, flow_key flow,
                               time_point now) const
{
    return this->sign({service,
                       this->owner,
                       this->own_epoch,
                       flow,
                       now.time_since_epoch().count(),
                       {}});
}

std::optional<flow_token> token_issuer::verify(flow_token const& token,
                                               failure& error) const
{
    if (token.target != this->owner || token.issuer_epoch != this->own_epoch)
        return fail(error, {step::verify_token,
                            reason::wrong_epoch,
                            {},
                            "token was issued by another process"});
    flow_token const expected = this->sign(token);
    if (sodium_memcmp(expected.mac.data(), token.mac.data(), token_mac_size) !=
        0)
        return fail(error, {step::verify_token,
                            reason::bad_token,
                            {},
                            "token MAC does not match"});
    return token;
}

epoch token_issuer::current_epoch() const
{
    return this->own_epoch;
}

}  // namespace lagoon
