#include "channel/channels.hpp"

namespace lagoon {

namespace {

channel_record with_next_socket(channel_record const& from, time_point now)
{
    auto const next =
        static_cast<std::uint8_t>((from.socket.value + 1) % peer_socket_count);
    auto const silent_count =
        static_cast<std::uint8_t>(from.silent_socket_count < peer_socket_count
                                      ? from.silent_socket_count + 1
                                      : peer_socket_count);
    return {{next}, true, now, silent_count, now};
}

channel_record with_pending_reply(channel_record const& from, time_point now)
{
    return {from.socket, true, now, from.silent_socket_count,
            from.last_silent_at};
}

}  // namespace

socket_index channel_table::select_for_request(peer_address peer,
                                               time_point now)
{
    channel_record& record = this->channels[peer];
    if (!record.is_reply_pending)
        record = with_pending_reply(record, now);
    else if (now - record.pending_since > max_reply_delay)
        record = with_next_socket(record, now);
    return record.socket;
}

socket_index channel_table::current_socket(peer_address peer) const
{
    auto const found = this->channels.find(peer);
    return found == this->channels.end() ? socket_index{}
                                         : found->second.socket;
}

void channel_table::record_reply(peer_address peer)
{
    auto const found = this->channels.find(peer);
    if (found != this->channels.end())
        found->second = channel_record{found->second.socket};
}

bool channel_table::is_unresponsive(peer_address peer, time_point now) const
{
    auto const found = this->channels.find(peer);
    if (found == this->channels.end())
        return false;
    channel_record const& record = found->second;
    return record.silent_socket_count >= peer_socket_count &&
           now - record.last_silent_at < peer_avoidance_time;
}

}  // namespace lagoon
