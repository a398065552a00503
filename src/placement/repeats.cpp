#include "placement/repeats.hpp"

#include <algorithm>

namespace lagoon {

void repeat_memory::refused(refused_request const& what)
{
    if (this->latest.size() >= most_refused)
        this->latest.pop_front();
    this->latest.push_back(what);
}

std::optional<time_point>
repeat_memory::take(std::uint32_t caller_ip, peer_address route, time_point now)
{
    while (!this->latest.empty() &&
           now - this->latest.front().at > repeat_lifetime)
        this->latest.pop_front();
    auto const found = std::find_if(this->latest.begin(), this->latest.end(),
                                    [&](refused_request const& one) {
                                        return one.caller_ip == caller_ip &&
                                               one.route == route;
                                    });
    if (found == this->latest.end())
        return std::nullopt;
    time_point const begun = found->begun;
    this->latest.erase(found);
    return begun;
}

}  // namespace lagoon
