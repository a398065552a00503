#include "story.hpp"
#include "wire/codec.hpp"

#include <msgpack.hpp>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

flow_token some_token()
{
    return {{1}, {2}, {3}, {4}, 5, {6, 7, 8}};
}

std::vector<caller_message> caller_messages()
{
    return {
        open_request{{1}, {2}, {3}, 4, 1, 6, std::nullopt},
        open_request{{1}, {2}, {3}, 4, 1, 6, some_token()},
        submit_request{some_token(), {9}, true, 5ms, 6ms, "renewal", "body"},
        cancel_request{some_token(), {9}},
        pull_answer{some_token(), {9}, 1200, 2400},
        acknowledge_answer{some_token(), {9}},
        close_flow{some_token()},
    };
}

std::vector<answer_message> answer_messages()
{
    return {
        open_reply{some_token()},
        open_refusal{{1}, {2}, reason::leaving, 7ms},
        request_status{
            {1}, {2}, {3}, request_state::finished, reason::none, 99, {5}, 8ms},
        answer_segment{{1}, {2}, {3}, 1200, std::string(segment_size, 'x')},
    };
}

std::vector<std::string> all_packets()
{
    std::vector<std::string> packets;
    for (caller_message const& message : caller_messages()) {
        packets.push_back(encode_packet(message));
        packets.push_back(
            encode_packet(inbound_packet{{1, 2}, {3, 4}, {5, 6}, message}));
    }
    for (answer_message const& message : answer_messages()) {
        packets.push_back(encode_packet(message));
        packets.push_back(
            encode_packet(outbound_packet{{1, 2}, {3, 4}, message}));
    }
    packets.push_back(
        encode_packet(peer_digest{{1}, {{2}, {3}}, 4ms, {5, 6}, true}));
    return packets;
}

struct the_codec : Utest
{
    failure last = {};
    peer_address from{9, 9};

    std::optional<datagram> decode(std::string const& bytes)
    {
        return decode_packet(bytes, this->from, this->last);
    }
};

}  // namespace

SECTION(codec, the_codec){};

TEST(codec, gives_back_every_message_of_a_caller)
{
    for (caller_message const& message : caller_messages())
        SAME(datagram{message}, this->decode(encode_packet(message)));
}

TEST(codec, gives_back_every_message_of_a_target)
{
    for (answer_message const& message : answer_messages())
        SAME(datagram{message}, this->decode(encode_packet(message)));
}

TEST(codec, gives_back_every_envelope)
{
    for (caller_message const& message : caller_messages()) {
        inbound_packet const packet{{1, 2}, {3, 4}, {5, 6}, message};
        SAME(datagram{packet}, this->decode(encode_packet(packet)));
    }
    for (answer_message const& message : answer_messages()) {
        outbound_packet const packet{{1, 2}, {3, 4}, message};
        SAME(datagram{packet}, this->decode(encode_packet(packet)));
    }
}

TEST(codec, keeps_every_packet_within_a_datagram)
{
    std::string const long_path(max_path_size, 'p');
    std::string const long_body(max_body_size, 'b');
    submit_request const largest{some_token(), {9},       true,     5ms,
                                 6ms,          long_path, long_body};
    CHECK(encode_packet(inbound_packet{{~0U, 9}, {~0U, 9}, {~0U, 9}, largest})
              .size() <= max_datagram_size);
    for (std::string const& bytes : all_packets())
        CHECK(bytes.size() <= max_datagram_size);
}

struct that_gets_damaged_packets : the_codec
{
};

SECTION(codec_that_gets_damaged_packets, that_gets_damaged_packets){};

TEST(codec_that_gets_damaged_packets, refuses_each_one_cut_at_any_byte)
{
    for (std::string const& whole : all_packets())
        for (std::size_t size = 0; size < whole.size(); ++size) {
            CHECK_FALSE(this->decode(whole.substr(0, size)).has_value());
            SAME(step::decode_packet, this->last.failed_step);
            SAME(this->from, this->last.peer);
        }
}

TEST(codec_that_gets_damaged_packets, refuses_bytes_after_the_end)
{
    for (std::string const& whole : all_packets())
        CHECK_FALSE(this->decode(whole + "x").has_value());
}

// Whatever a changed byte makes of a packet, it is read or refused; the
// sanitizers of scripts/check-sanitizers look for more.
TEST(codec_that_gets_damaged_packets, survives_any_changed_byte)
{
    std::size_t refused = 0;
    for (std::string whole : all_packets())
        for (char& byte : whole)
            for (int bit = 0; bit < 8; ++bit) {
                byte = static_cast<char>(byte ^ (1 << bit));
                refused += this->decode(whole).has_value() ? 0U : 1U;
                byte = static_cast<char>(byte ^ (1 << bit));
            }
    CHECK(refused > 0);
}

TEST(codec_that_gets_damaged_packets, refuses_another_version)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer{buffer};
    packer.pack_array(2);
    packer.pack_uint64(wire_version + 1);
    packer.pack_array(1);
    packer.pack_uint64(1);
    CHECK_FALSE(this->decode({buffer.data(), buffer.size()}).has_value());
    SAME(reason::unsupported, this->last.cause);
}

TEST(codec_that_gets_damaged_packets, refuses_fields_past_their_limits)
{
    auto const refuses = [this](caller_message const& message) {
        return !this->decode(encode_packet(message)).has_value();
    };
    CHECK(refuses(open_request{{1}, {2}, {3}, 0, max_hops + 1, 0, {}}));
    CHECK(refuses(pull_answer{some_token(), {1}, 0, max_window + 1}));
    CHECK(refuses(submit_request{some_token(),
                                 {1},
                                 false,
                                 1ms,
                                 {},
                                 std::string(max_path_size + 1, 'p'),
                                 ""}));
    CHECK(refuses(submit_request{some_token(),
                                 {1},
                                 false,
                                 1ms,
                                 {},
                                 "p",
                                 std::string(max_body_size + 1, 'b')}));
    CHECK_FALSE(this
                    ->decode(encode_packet(answer_message{answer_segment{
                        {1}, {2}, {3}, 0, std::string(segment_size + 1, 'x')}}))
                    .has_value());
}

TEST(codec_that_gets_damaged_packets, refuses_a_datagram_that_is_too_large)
{
    CHECK_FALSE(
        this->decode(std::string(max_datagram_size + 1, 'x')).has_value());
    SAME(reason::too_large, this->last.cause);
}
