#include "wire/fragments.hpp"

#include <algorithm>

namespace lagoon {

std::vector<message_fragment> split_into_fragments(std::string const& message,
                                                   std::uint32_t number)
{
    if (message.size() > max_message_size)
        return {};
    std::size_t const count =
        (message.size() + fragment_size - 1) / fragment_size;
    std::vector<message_fragment> fragments;
    for (std::size_t i = 0; i < count; ++i)
        fragments.push_back({number, static_cast<std::uint16_t>(i),
                             static_cast<std::uint16_t>(count),
                             message.substr(i * fragment_size, fragment_size)});
    return fragments;
}

// Removes expired messages, and the oldest one if there is still no room.
void fragment_reassembler::evict_messages(time_point now)
{
    std::erase_if(this->messages, [now](auto const& entry) {
        return now - entry.second.last_received_at > fragment_timeout;
    });
    if (this->messages.size() < max_partial_messages)
        return;
    auto const oldest = std::min_element(
        this->messages.begin(), this->messages.end(),
        [](auto const& a, auto const& b) {
            return a.second.last_received_at < b.second.last_received_at;
        });
    this->messages.erase(oldest);
}

std::optional<std::string>
fragment_reassembler::add(peer_address from, message_fragment const& fragment,
                          time_point now)
{
    bool const is_valid = fragment.count > 0 &&
                          fragment.count <= max_fragments &&
                          fragment.index < fragment.count;
    if (!is_valid)
        return std::nullopt;
    message_id const id{from, fragment.message_number};
    if (!this->messages.contains(id)) {
        this->evict_messages(now);
        this->messages[id] = {std::vector<std::string>(fragment.count),
                              fragment.count, now};
    }
    partial_message& message = this->messages[id];
    bool const is_new = message.fragments.size() == fragment.count &&
                        message.fragments[fragment.index].empty();
    if (!is_new)
        return std::nullopt;
    message.fragments[fragment.index] = fragment.bytes;
    message.last_received_at = now;
    message.missing_count -= 1;
    if (message.missing_count > 0)
        return std::nullopt;
    std::string joined;
    for (std::string const& bytes : message.fragments)
        joined += bytes;
    this->messages.erase(id);
    return joined;
}

}  // namespace lagoon
