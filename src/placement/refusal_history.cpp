#include "placement/refusal_history.hpp"

#include <algorithm>

namespace lagoon {

void refusal_history::add(refused_request const& refusal)
{
    if (this->refusals.size() >= max_refusals)
        this->refusals.pop_front();
    this->refusals.push_back(refusal);
}

std::optional<time_point>
refusal_history::take_repeated(std::uint32_t caller_ip, peer_address route,
                               time_point now)
{
    while (!this->refusals.empty() &&
           now - this->refusals.front().refused_at > refusal_lifetime)
        this->refusals.pop_front();
    auto const found = std::find_if(
        this->refusals.begin(), this->refusals.end(),
        [&](refused_request const& refusal) {
            return refusal.caller_ip == caller_ip && refusal.route == route;
        });
    if (found == this->refusals.end())
        return std::nullopt;
    time_point const requested_at = found->requested_at;
    this->refusals.erase(found);
    return requested_at;
}

}  // namespace lagoon
