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
                               duration deadline, time_point now)
{
    while (!this->refusals.empty() &&
           now - this->refusals.front().refused_at > refusal_lifetime)
        this->refusals.pop_front();
    auto latest = this->refusals.end();
    for (auto one = this->refusals.begin(); one != this->refusals.end();
         ++one) {
        bool const is_match =
            one->caller_ip == caller_ip && one->route == route;
        bool const is_later = latest == this->refusals.end() ||
                              one->requested_at > latest->requested_at;
        if (is_match && is_later)
            latest = one;
    }
    if (latest == this->refusals.end())
        return std::nullopt;
    time_point const requested_at = latest->requested_at;
    this->refusals.erase(latest);
    bool const is_given_up =
        deadline > duration{} && now - requested_at >= deadline;
    return is_given_up ? std::nullopt : std::optional{requested_at};
}

}  // namespace lagoon
