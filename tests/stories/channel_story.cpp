#include "channel/channels.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

struct a_channel : Utest
{
    channel_table channels = {};
    peer_address peer{1, 1};
    time_point now{10s};

    void send_for(duration span)
    {
        for (duration at{}; at <= span; at += 50ms)
            this->channels.select_for_request(this->peer, this->now + at);
        this->now += span;
    }
};

struct with_a_silent_socket : a_channel
{
    void setup() override
    {
        this->send_for(350ms);
    }
};

struct with_every_socket_silent : with_a_silent_socket
{
    void setup() override
    {
        this->with_a_silent_socket::setup();
        this->send_for(1200ms);
    }
};

}  // namespace

SECTION(channel, a_channel){};

TEST(channel, keeps_its_socket_while_the_peer_replies)
{
    for (int i = 0; i < 20; ++i) {
        SAME(socket_index{0},
             this->channels.select_for_request(this->peer, this->now));
        this->channels.record_reply(this->peer);
        this->now += 100ms;
    }
}

TEST(channel, stays_on_its_socket_while_nothing_is_sent)
{
    this->channels.select_for_request(this->peer, this->now);
    this->channels.record_reply(this->peer);
    SAME(socket_index{0},
         this->channels.select_for_request(this->peer, this->now + 10min));
}

SECTION(channel_with_a_silent_socket, with_a_silent_socket){};

TEST(channel_with_a_silent_socket, switches_to_another_socket)
{
    SAME(socket_index{1}, this->channels.current_socket(this->peer));
    CHECK_FALSE(this->channels.is_unresponsive(this->peer, this->now));
}

TEST(channel_with_a_silent_socket, stays_on_the_working_socket)
{
    this->channels.record_reply(this->peer);
    SAME(socket_index{1},
         this->channels.select_for_request(this->peer, this->now + 10s));
}

SECTION(channel_with_every_socket_silent, with_every_socket_silent){};

TEST(channel_with_every_socket_silent, is_unresponsive_for_a_limited_time)
{
    CHECK(this->channels.is_unresponsive(this->peer, this->now));
    CHECK_FALSE(this->channels.is_unresponsive(this->peer, this->now + 3s));
}

TEST(channel_with_every_socket_silent, is_responsive_after_the_first_reply)
{
    this->channels.record_reply(this->peer);
    CHECK_FALSE(this->channels.is_unresponsive(this->peer, this->now));
}
