#include "catalog/published.hpp"
#include "story.hpp"
#include "wire/codec.hpp"

#include <msgpack.hpp>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

flow_token make_token()
{
    return {{1}, {2}, {3}, {4}, 5, {6, 7, 8}};
}

std::vector<caller_message> make_caller_messages()
{
    return {
        open_request{{1}, {2}, {3}, 4, 1, 6, std::nullopt},
        open_request{{1}, {2}, {3}, 4, 1, 6, make_token()},
        submit_request{make_token(), {9}, true, 5ms, 6ms, "renewal", "body"},
        cancel_request{make_token(), {9}},
        pull_answer{make_token(), {9}, 1200, 2400},
        acknowledge_answer{make_token(), {9}},
        close_flow{make_token()},
    };
}

std::vector<answer_message> make_answer_messages()
{
    return {
        open_reply{make_token()},
        open_refusal{{1}, {2}, reason::leaving, 7ms},
        request_status{
            {1}, {2}, {3}, request_state::finished, reason::none, 99, {5}, 8ms},
        answer_segment{{1}, {2}, {3}, 1200, std::string(segment_size, 'x')},
    };
}

std::vector<std::string> make_packets()
{
    std::vector<std::string> packets;
    for (caller_message const& message : make_caller_messages()) {
        packets.push_back(encode_packet(message));
        packets.push_back(
            encode_packet(inbound_packet{{1, 2}, {3, 4}, {5, 6}, message}));
    }
    for (answer_message const& message : make_answer_messages()) {
        packets.push_back(encode_packet(message));
        packets.push_back(
            encode_packet(outbound_packet{{1, 2}, {3, 4}, message}));
    }
    packets.push_back(
        encode_packet(peer_digest{{1}, {{2}, {3}}, 4ms, {5, 6}, true}));
    return packets;
}

struct codec_fixture : Utest
{
    failure error = {};
    peer_address from{9, 9};

    std::optional<datagram> decode(std::string const& bytes)
    {
        return decode_packet(bytes, this->from, this->error);
    }

    // Decodes a message that arrived in fragments.
    std::optional<datagram> decode_long(std::string const& bytes)
    {
        return decode_message(bytes, this->from, this->error);
    }
};

}  // namespace

SECTION(codec, codec_fixture){};

TEST(codec, decodes_every_message_of_a_caller)
{
    for (caller_message const& message : make_caller_messages())
        SAME(datagram{message}, this->decode(encode_packet(message)));
}

TEST(codec, decodes_every_message_of_a_target)
{
    for (answer_message const& message : make_answer_messages())
        SAME(datagram{message}, this->decode(encode_packet(message)));
}

TEST(codec, decodes_every_envelope)
{
    for (caller_message const& message : make_caller_messages()) {
        inbound_packet const packet{{1, 2}, {3, 4}, {5, 6}, message};
        SAME(datagram{packet}, this->decode(encode_packet(packet)));
    }
    for (answer_message const& message : make_answer_messages()) {
        outbound_packet const packet{{1, 2}, {3, 4}, message};
        SAME(datagram{packet}, this->decode(encode_packet(packet)));
    }
}

TEST(codec, encodes_every_packet_into_one_datagram)
{
    std::string const long_path(max_path_size, 'p');
    std::string const long_body(max_body_size, 'b');
    submit_request const largest{make_token(), {9},       true,     5ms,
                                 6ms,          long_path, long_body};
    CHECK(encode_packet(inbound_packet{{~0U, 9}, {~0U, 9}, {~0U, 9}, largest})
              .size() <= max_datagram_size);
    for (std::string const& bytes : make_packets())
        CHECK(bytes.size() <= max_datagram_size);
}

TEST(codec, decodes_replies_to_offers)
{
    offer_reply const reply{{7},     offer_verdict::busy, 2, 4,
                            "bytes", UINT32_MAX};
    SAME(datagram{reply}, this->decode(encode_packet(reply)));
}

// One key of another application made every update unreadable for peers, whose
// configuration stayed at an old generation.
TEST(codec, decodes_updates_with_target_keys_of_any_length)
{
    for (std::size_t size = 1; size <= 2 * max_name_size; ++size) {
        published_target const target{"members", "zg-a", {1, 3}, {1, 2},
                                      2,         ~0ULL,  {3}};
        published_catalog published;
        std::optional<catalog_change> const change = published.apply(
            {{7}, true, {{std::string(size, 'x'), target}}, {}}, {});
        CHECK(change.has_value());
        peer_update const update{{{1}, {{7}, {3}}, 4ms, {5, 6}, false},
                                 *change};
        SAME(datagram{update}, this->decode(encode_packet(update)));
    }
}

// A version that removed more than 233 routes, or changed more than 4,096, made
// the update unreadable for peers.
TEST(codec, decodes_updates_with_any_number_of_routes)
{
    for (std::size_t const count : {0U, 1U, 233U, 234U, 4096U, 4097U, 6000U}) {
        routes_delta delta{};
        delta.idle_lifetime = max_duration;
        for (std::size_t i = 0; i < count; ++i) {
            peer_address const address{0xC6120000U + std::uint32_t(i), 443};
            delta.changed.push_back(
                {address, {{{1}, 1}}, max_duration, max_duration, 0, false});
            delta.removed.push_back(address);
        }
        peer_update update{{{1}, {{7}, {3}}, 4ms, {5, 6}, false}, {}};
        update.change.route_delta = delta;
        std::string const bytes = encode_packet(update);
        CHECK(bytes.size() <= max_message_size);
        SAME(datagram{update}, this->decode_long(bytes));
    }
}

TEST(codec, decodes_updates_with_evacuations)
{
    published_catalog published;
    published_update snapshot{{7}, true, {}, {}};
    snapshot.evacuations = {{"zg-b", true}, {"zg-a", true}};
    std::optional<catalog_change> const change = published.apply(snapshot, {});
    CHECK(change && change->evacuations);
    peer_update const update{{{1}, {{7}, {3}}, 4ms, {5, 6}, false}, *change};
    SAME(datagram{update}, this->decode(encode_packet(update)));
}

// The end of the last evacuation is an empty list, not a missing one.
TEST(codec, decodes_updates_with_the_end_of_an_evacuation)
{
    peer_update update{{{1}, {{7}, {3}}, 4ms, {5, 6}, false}, {}};
    update.change.evacuations = evacuations_part{{8}, {}};
    SAME(datagram{update}, this->decode(encode_packet(update)));
}

TEST(codec, decodes_an_evacuation_notice)
{
    for (std::uint64_t const number : {0ULL, 1ULL, 1ULL << 62U}) {
        evacuation_notice const notice{make_service_id("members"), {number}};
        SAME(datagram{notice}, this->decode(encode_packet(notice)));
    }
}

struct given_invalid_packets : codec_fixture
{
};

SECTION(codec_given_invalid_packets, given_invalid_packets){};

TEST(codec_given_invalid_packets, rejects_truncated_packets)
{
    for (std::string const& packet : make_packets())
        for (std::size_t size = 0; size < packet.size(); ++size) {
            CHECK_FALSE(this->decode(packet.substr(0, size)).has_value());
            SAME(step::decode_packet, this->error.failed_step);
            SAME(this->from, this->error.peer);
        }
}

TEST(codec_given_invalid_packets, rejects_trailing_bytes)
{
    for (std::string const& packet : make_packets())
        CHECK_FALSE(this->decode(packet + "x").has_value());
}

// A flipped bit may leave a valid packet, so only some must be rejected.
// scripts/check-sanitizers runs this test to find invalid memory accesses.
TEST(codec_given_invalid_packets, handles_every_flipped_bit)
{
    std::size_t rejected_count = 0;
    for (std::string packet : make_packets())
        for (char& byte : packet)
            for (int bit = 0; bit < 8; ++bit) {
                byte = static_cast<char>(byte ^ (1 << bit));
                rejected_count += this->decode(packet).has_value() ? 0U : 1U;
                byte = static_cast<char>(byte ^ (1 << bit));
            }
    CHECK(rejected_count > 0);
}

TEST(codec_given_invalid_packets, rejects_another_protocol_version)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer{buffer};
    packer.pack_array(2);
    packer.pack_uint64(wire_version + 1);
    packer.pack_array(1);
    packer.pack_uint64(1);
    CHECK_FALSE(this->decode({buffer.data(), buffer.size()}).has_value());
    SAME(reason::unsupported, this->error.cause);
}

TEST(codec_given_invalid_packets, rejects_fields_beyond_their_limits)
{
    auto const rejects = [this](caller_message const& message) {
        return !this->decode(encode_packet(message)).has_value();
    };
    CHECK(rejects(open_request{{1}, {2}, {3}, 0, max_hops + 1, 0, {}}));
    CHECK(rejects(pull_answer{make_token(), {1}, 0, max_window + 1}));
    CHECK(rejects(submit_request{make_token(),
                                 {1},
                                 false,
                                 1ms,
                                 {},
                                 std::string(max_path_size + 1, 'p'),
                                 ""}));
    CHECK(rejects(submit_request{make_token(),
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

TEST(codec_given_invalid_packets, rejects_a_datagram_that_is_too_large)
{
    CHECK_FALSE(
        this->decode(std::string(max_datagram_size + 1, 'x')).has_value());
    SAME(reason::too_large, this->error.cause);
}
