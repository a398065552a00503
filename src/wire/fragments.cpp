#include "wire/fragments.hpp"

#include <algorithm>

namespace lagoon {

std::vector<packet_fragment> fragments_of(std::string const& message,
                                          std::uint32_t number)
{
    if (message.size() > max_message_size)
        return {};
    std::size_t const count =
        (message.size() + fragment_size - 1) / fragment_size;
    std::vector<packet_fragment> parts;
    for (std::size_t i = 0; i < count; ++i)
        parts.push_back({number, static_cast<std::uint16_t>(i),
                         static_cast<std::uint16_t>(count),
                         message.substr(i * fragment_size, fragment_size)});
    return parts;
}

// Drops what is over, and the oldest when there are still too many.
void reassembly::make_room(time_point now)
{
    std::erase_if(this->messages, [now](auto const& one) {
        return now - one.second.last > fragment_lifetime;
    });
    if (this->messages.size() < most_messages)
        return;
    auto const oldest =
        std::min_element(this->messages.begin(), this->messages.end(),
                         [](auto const& a, auto const& b) {
                             return a.second.last < b.second.last;
                         });
    this->messages.erase(oldest);
}

std::optional<std::string>
reassembly::take(peer_address from, packet_fragment const& part, time_point now)
{
    bool const fits = part.count > 0 && part.count <= most_fragments &&
                      part.index < part.count;
    if (!fits)
        return std::nullopt;
    message_id const id{from, part.packet};
    if (!this->messages.contains(id)) {
        this->make_room(now);
        this->messages[id] = {std::vector<std::string>(part.count), part.count,
                              now};
    }
    partial_message& message = this->messages[id];
    bool const is_new = message.pieces.size() == part.count &&
                        message.pieces[part.index].empty();
    if (!is_new)
        return std::nullopt;
    message.pieces[part.index] = part.bytes;
    message.last = now;
    message.missing -= 1;
    if (message.missing > 0)
        return std::nullopt;
    std::string whole;
    for (std::string const& piece : message.pieces)
        whole += piece;
    this->messages.erase(id);
    return whole;
}

}  // namespace lagoon
