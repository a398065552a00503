#include "flow/token.hpp"

#include <cstring>
#include <sodium.h>

namespace lagoon {

static_assert(token_key_size == crypto_shorthash_siphashx24_KEYBYTES);
static_assert(token_seal_size == crypto_shorthash_siphashx24_BYTES);

token_mint::token_mint(target_id owner, epoch started, token_key key)
    : owner(owner), life(started), key(key)
{
}

flow_token token_mint::sealed(flow_token const& open) const
{
    std::array<std::uint64_t, 5> const words{
        open.service.value, open.target.value, open.started.value,
        open.flow.value, static_cast<std::uint64_t>(open.issued)};
    flow_token closed = open;
    crypto_shorthash_siphashx24(
        closed.seal.data(),
        reinterpret_cast<unsigned char const*>(words.data()), sizeof words,
        this->key.data());
    return closed;
}

flow_token token_mint::issue(service_id service, flow_key flow,
                             time_point now) const
{
    return this->sealed({service,
                         this->owner,
                         this->life,
                         flow,
                         now.time_since_epoch().count(),
                         {}});
}

std::optional<flow_token> token_mint::verify(flow_token const& token,
                                             failure& last) const
{
    if (token.target != this->owner || token.started != this->life)
        return fail(last, {step::verify_token,
                           reason::wrong_epoch,
                           {},
                           "issued by another process"});
    flow_token const expected = this->sealed(token);
    if (sodium_memcmp(expected.seal.data(), token.seal.data(),
                      token_seal_size) != 0)
        return fail(
            last,
            {step::verify_token, reason::bad_token, {}, "seal does not match"});
    return token;
}

epoch token_mint::started() const
{
    return this->life;
}

}  // namespace lagoon
