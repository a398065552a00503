#include "channel/channels.hpp"

namespace lagoon {

namespace {

channel_record next_lane(channel_record const& from, time_point now)
{
    auto const next =
        static_cast<std::uint8_t>((from.in_use.value + 1) % lane_count);
    auto const silent = static_cast<std::uint8_t>(
        from.lanes_silent < lane_count ? from.lanes_silent + 1 : lane_count);
    return {{next}, true, now, silent, now};
}

channel_record waiting_now(channel_record const& from, time_point now)
{
    return {from.in_use, true, now, from.lanes_silent, from.silent_since};
}

}  // namespace

lane channel_table::send_to(peer_address peer, time_point now)
{
    channel_record& record = this->channels[peer];
    if (!record.waiting)
        record = waiting_now(record, now);
    else if (now - record.waiting_since > silence_limit)
        record = next_lane(record, now);
    return record.in_use;
}

lane channel_table::current(peer_address peer) const
{
    auto const found = this->channels.find(peer);
    return found == this->channels.end() ? lane{} : found->second.in_use;
}

void channel_table::heard_from(peer_address peer)
{
    auto const found = this->channels.find(peer);
    if (found != this->channels.end())
        found->second = channel_record{found->second.in_use};
}

bool channel_table::is_silent(peer_address peer, time_point now) const
{
    auto const found = this->channels.find(peer);
    if (found == this->channels.end())
        return false;
    channel_record const& record = found->second;
    return record.lanes_silent >= lane_count &&
           now - record.silent_since < avoid_span;
}

}  // namespace lagoon
