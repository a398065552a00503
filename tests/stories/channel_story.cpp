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

struct that_fell_silent : a_channel
{
    void setup() override
    {
        this->send_for(350ms);
    }
};

struct that_is_silent_on_all_sockets : that_fell_silent
{
    void setup() override
    {
        this->that_fell_silent::setup();
        this->send_for(1200ms);
    }
};

}  // namespace

SECTION(channel, a_channel){};

TEST(channel, keeps_its_socket_while_the_peer_answers)
{
    for (int i = 0; i < 20; ++i) {
        SAME(socket_index{0},
             this->channels.select_for_request(this->peer, this->now));
        this->channels.record_reply(this->peer);
        this->now += 100ms;
    }
}

TEST(channel, is_not_silent_because_nothing_was_sent)
{
    this->channels.select_for_request(this->peer, this->now);
    this->channels.record_reply(this->peer);
    SAME(socket_index{0},
         this->channels.select_for_request(this->peer, this->now + 10min));
}

SECTION(channel_that_fell_silent, that_fell_silent){};

TEST(channel_that_fell_silent, goes_on_through_another_socket)
{
    SAME(socket_index{1}, this->channels.current_socket(this->peer));
    CHECK_FALSE(this->channels.is_unresponsive(this->peer, this->now));
}

TEST(channel_that_fell_silent, stays_on_the_socket_that_works)
{
    this->channels.record_reply(this->peer);
    SAME(socket_index{1},
         this->channels.select_for_request(this->peer, this->now + 10s));
}

SECTION(channel_that_is_silent_on_all_sockets, that_is_silent_on_all_sockets){};

TEST(channel_that_is_silent_on_all_sockets, turns_new_flows_away_for_a_while)
{
    CHECK(this->channels.is_unresponsive(this->peer, this->now));
    CHECK_FALSE(this->channels.is_unresponsive(this->peer, this->now + 3s));
}

TEST(channel_that_is_silent_on_all_sockets, is_trusted_at_its_first_answer)
{
    this->channels.record_reply(this->peer);
    CHECK_FALSE(this->channels.is_unresponsive(this->peer, this->now));
}
