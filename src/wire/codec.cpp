#include "wire/codec.hpp"

#include "wire/peer_codec.hpp"
#include "wire/relay_codec.hpp"

#include <algorithm>

namespace lagoon {

namespace detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, open_request const& open)
{
    out.begin_packet(open.previous ? 12 : 6, packet_kind::open);
    out.put(open.service.value);
    out.put(open.caller.value);
    out.put(open.flow.value);
    out.put(std::uint64_t{open.attempt});
    out.put(std::uint64_t{open.hops});
    out.put(std::uint64_t{open.load});
    if (open.previous)
        out.put(*open.previous);
}

void write(packet_writer& out, submit_request const& submit)
{
    out.begin_packet(12, packet_kind::submit);
    out.put(submit.token);
    out.put(std::uint64_t{submit.number.value});
    out.put(std::uint64_t{submit.is_idempotent ? 1U : 0U});
    out.put(submit.deadline);
    out.put(submit.declared_time);
    out.put(submit.path);
    out.put(submit.body);
}

void write(packet_writer& out, cancel_request const& cancel)
{
    out.begin_packet(7, packet_kind::cancel);
    out.put(cancel.token);
    out.put(std::uint64_t{cancel.number.value});
}

void write(packet_writer& out, pull_answer const& pull)
{
    out.begin_packet(9, packet_kind::pull);
    out.put(pull.token);
    out.put(std::uint64_t{pull.number.value});
    out.put(pull.offset);
    out.put(std::uint64_t{pull.length});
}

void write(packet_writer& out, acknowledge_answer const& acknowledgement)
{
    out.begin_packet(7, packet_kind::acknowledge);
    out.put(acknowledgement.token);
    out.put(std::uint64_t{acknowledgement.number.value});
}

void write(packet_writer& out, close_flow const& close)
{
    out.begin_packet(6, packet_kind::close);
    out.put(close.token);
}

void write(packet_writer& out, open_reply const& reply)
{
    out.begin_packet(6, packet_kind::opened);
    out.put(reply.token);
}

void write(packet_writer& out, open_refusal const& refused)
{
    out.begin_packet(4, packet_kind::open_refused);
    out.put(refused.service.value);
    out.put(refused.flow.value);
    out.put(static_cast<std::uint64_t>(refused.cause));
    out.put(refused.retry_after);
}

void write(packet_writer& out, request_status const& status)
{
    out.begin_packet(8, packet_kind::status);
    out.put(status.service.value);
    out.put(status.flow.value);
    out.put(std::uint64_t{status.number.value});
    out.put(static_cast<std::uint64_t>(status.state));
    out.put(static_cast<std::uint64_t>(status.cause));
    out.put(status.length);
    out.put(status.content.value);
    out.put(status.retry_after);
}

void write(packet_writer& out, answer_segment const& segment)
{
    out.begin_packet(5, packet_kind::segment);
    out.put(segment.service.value);
    out.put(segment.flow.value);
    out.put(std::uint64_t{segment.number.value});
    out.put(segment.offset);
    out.put(segment.bytes);
}

template <class... Messages>
void write(packet_writer& out, std::variant<Messages...> const& message)
{
    std::visit(
        [&out](auto const& alternative) {
            write(out, alternative);
        },
        message);
}

void write(packet_writer& out, inbound_packet const& packet)
{
    out.begin_packet(7, packet_kind::inbound);
    out.put(packet.caller);
    out.put(packet.entry);
    out.put(packet.forwarded_by);
    write(out, packet.message);
}

void write(packet_writer& out, outbound_packet const& packet)
{
    out.begin_packet(5, packet_kind::outbound);
    out.put(packet.caller);
    out.put(packet.forwarded_by);
    write(out, packet.message);
}

}  // namespace detail

namespace {

using namespace detail;

// ---- reading ------------------------------------------------------------

open_request read_open(field_reader& in)
{
    service_id const service{in.read_number()};
    caller_id const caller{in.read_number()};
    flow_key const flow{in.read_number()};
    auto const attempt = static_cast<std::uint8_t>(in.read_number(UINT8_MAX));
    auto const hops = static_cast<std::uint8_t>(in.read_number(max_hops));
    auto const load = static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    std::optional<flow_token> previous;
    if (in.has_more())
        previous = in.read_token();
    return {service, caller, flow, attempt, hops, load, previous};
}

submit_request read_submit(field_reader& in)
{
    flow_token const token = in.read_token();
    request_number const number = in.read_request_number();
    bool const is_idempotent = in.read_number(1) == 1;
    duration const deadline = in.read_duration();
    duration const declared_time = in.read_duration();
    std::string_view const path = in.read_bytes(max_path_size);
    std::string_view const body = in.read_bytes(max_body_size);
    return {token,
            number,
            is_idempotent,
            deadline,
            declared_time,
            std::string{path},
            std::string{body}};
}

pull_answer read_pull(field_reader& in)
{
    flow_token const token = in.read_token();
    request_number const number = in.read_request_number();
    std::uint64_t const offset = in.read_number(UINT64_MAX / 2);
    auto const length = static_cast<std::uint32_t>(in.read_number(max_window));
    return {token, number, offset, length};
}

request_status read_status(field_reader& in)
{
    constexpr std::uint64_t max_answer_size = 1ULL << 40U;  // bytes
    service_id const service{in.read_number()};
    flow_key const flow{in.read_number()};
    request_number const number = in.read_request_number();
    auto const state = static_cast<request_state>(
        in.read_number(static_cast<std::uint64_t>(request_state::unknown)));
    reason const cause = in.read_reason();
    std::uint64_t const length = in.read_number(max_answer_size);
    digest const content{in.read_number()};
    duration const retry_after = in.read_duration();
    return {service, flow, number, state, cause, length, content, retry_after};
}

answer_segment read_segment(field_reader& in)
{
    service_id const service{in.read_number()};
    flow_key const flow{in.read_number()};
    request_number const number = in.read_request_number();
    std::uint64_t const offset = in.read_number(UINT64_MAX / 2);
    std::string_view const bytes = in.read_bytes(segment_size);
    return {service, flow, number, offset, std::string{bytes}};
}

open_refusal read_refusal(field_reader& in)
{
    service_id const service{in.read_number()};
    flow_key const flow{in.read_number()};
    reason const cause = in.read_reason();
    duration const retry_after = in.read_duration();
    return {service, flow, cause, retry_after};
}

std::optional<caller_message> read_caller_message(packet_kind kind,
                                                  field_reader& in)
{
    switch (kind) {
    case packet_kind::open:
        return read_open(in);
    case packet_kind::submit:
        return read_submit(in);
    case packet_kind::pull:
        return read_pull(in);
    case packet_kind::cancel: {
        flow_token const token = in.read_token();
        return cancel_request{token, in.read_request_number()};
    }
    case packet_kind::acknowledge: {
        flow_token const token = in.read_token();
        return acknowledge_answer{token, in.read_request_number()};
    }
    case packet_kind::close:
        return close_flow{in.read_token()};
    default:
        return std::nullopt;
    }
}

std::optional<answer_message> read_answer_message(packet_kind kind,
                                                  field_reader& in)
{
    switch (kind) {
    case packet_kind::opened:
        return open_reply{in.read_token()};
    case packet_kind::open_refused:
        return read_refusal(in);
    case packet_kind::status:
        return read_status(in);
    case packet_kind::segment:
        return read_segment(in);
    default:
        return std::nullopt;
    }
}

std::optional<inbound_packet> read_inbound(field_reader& in)
{
    peer_address const caller = in.read_address();
    peer_address const entry = in.read_address();
    peer_address const forwarded_by = in.read_address();
    msgpack::object const* field = in.next_field();
    if (field == nullptr)
        return std::nullopt;
    field_reader inner{*field};
    std::optional<caller_message> const message =
        read_caller_message(read_kind(inner), inner);
    if (!message || !inner.is_complete())
        return std::nullopt;
    return inbound_packet{caller, entry, forwarded_by, *message};
}

std::optional<outbound_packet> read_outbound(field_reader& in)
{
    peer_address const caller = in.read_address();
    peer_address const forwarded_by = in.read_address();
    msgpack::object const* field = in.next_field();
    if (field == nullptr)
        return std::nullopt;
    field_reader inner{*field};
    std::optional<answer_message> const message =
        read_answer_message(read_kind(inner), inner);
    if (!message || !inner.is_complete())
        return std::nullopt;
    return outbound_packet{caller, forwarded_by, *message};
}

std::optional<datagram> read_datagram(field_reader& in)
{
    packet_kind const kind = read_kind(in);
    if (std::optional<caller_message> const message =
            read_caller_message(kind, in))
        return datagram{*message};
    if (std::optional<answer_message> const message =
            read_answer_message(kind, in))
        return datagram{*message};
    if (kind == packet_kind::digest)
        return datagram{read_digest(in)};
    if (kind == packet_kind::update)
        return datagram{read_update(in)};
    if (kind == packet_kind::change_request)
        return datagram{read_change_request(in)};
    if (kind == packet_kind::fragment)
        return datagram{read_fragment(in)};
    if (kind == packet_kind::offer)
        return datagram{read_offer(in)};
    if (kind == packet_kind::offer_reply)
        return datagram{read_offer_reply(in)};
    if (kind == packet_kind::evacuation_notice)
        return datagram{read_evacuation_notice(in)};
    if (kind == packet_kind::locate_query)
        return datagram{read_locate_query(in)};
    if (kind == packet_kind::locate_reply)
        return datagram{read_locate_reply(in)};
    if (kind == packet_kind::inbound) {
        std::optional<inbound_packet> const packet = read_inbound(in);
        return packet ? std::optional<datagram>{*packet} : std::nullopt;
    }
    if (kind == packet_kind::outbound) {
        std::optional<outbound_packet> const packet = read_outbound(in);
        return packet ? std::optional<datagram>{*packet} : std::nullopt;
    }
    return std::nullopt;
}

std::nullopt_t fail_decoding(failure& error, peer_address from, reason cause,
                             char const* detail)
{
    return fail(error, {step::decode_packet, cause, from, detail});
}

std::optional<datagram> decode_object(msgpack::object const& envelope,
                                      peer_address from, failure& error)
{
    field_reader outer{envelope};
    std::uint64_t const version = outer.read_number();
    if (version != wire_version)
        return fail_decoding(error, from, reason::unsupported,
                             "unsupported protocol version");
    msgpack::object const* body = outer.next_field();
    if (body == nullptr || !outer.is_complete())
        return fail_decoding(error, from, reason::malformed,
                             "invalid envelope");
    field_reader in{*body};
    std::optional<datagram> const packet = read_datagram(in);
    if (!packet || !in.is_complete())
        return fail_decoding(error, from, reason::malformed, "invalid fields");
    return packet;
}

// Limits the memory that msgpack allocates before the fields are checked. An
// array can't have more fields than its message has bytes.
msgpack::unpack_limit make_unpack_limits(std::size_t message_size)
{
    return {
        std::min(message_size, max_list_size),  // fields of an array
        0,                                      // fields of a map
        0,                                      // bytes of a string
        message_size,                           // bytes of a binary
        0,                                      // bytes of an extension
        8                                       // depth
    };
}

}  // namespace

// ---- encode_packet ------------------------------------------------------

std::string encode_packet(caller_message const& message)
{
    return encode(message);
}

std::string encode_packet(answer_message const& message)
{
    return encode(message);
}

std::string encode_packet(inbound_packet const& packet)
{
    return encode(packet);
}

std::string encode_packet(outbound_packet const& packet)
{
    return encode(packet);
}

std::string encode_packet(peer_digest const& digest)
{
    return encode(digest);
}

std::string encode_packet(peer_update const& update)
{
    return encode(update);
}

std::string encode_packet(change_request const& request)
{
    return encode(request);
}

std::string encode_packet(message_fragment const& fragment)
{
    return encode(fragment);
}

std::string encode_packet(packet_offer const& offer)
{
    return encode(offer);
}

std::string encode_packet(offer_reply const& answer)
{
    return encode(answer);
}

std::string encode_packet(evacuation_notice const& notice)
{
    return encode(notice);
}

std::string encode_packet(locate_query const& query)
{
    return encode(query);
}

std::string encode_packet(locate_reply const& reply)
{
    return encode(reply);
}

std::vector<std::string> split_into_datagrams(std::string const& packet,
                                              std::uint32_t number)
{
    if (packet.size() <= max_datagram_size)
        return {packet};
    std::vector<std::string> datagrams;
    for (message_fragment const& fragment :
         split_into_fragments(packet, number))
        datagrams.push_back(encode(fragment));
    return datagrams;
}

// ---- decode_packet ------------------------------------------------------

std::optional<datagram> decode_packet(std::string_view bytes, peer_address from,
                                      failure& error)
{
    if (bytes.size() > max_datagram_size)
        return fail_decoding(error, from, reason::too_large,
                             "datagram exceeds the size limit");
    return decode_message(bytes, from, error);
}

std::optional<datagram> decode_message(std::string_view bytes,
                                       peer_address from, failure& error)
{
    if (bytes.size() > max_message_size)
        return fail_decoding(error, from, reason::too_large,
                             "message exceeds the size limit");
    try {
        std::size_t used_size = 0;
        msgpack::object_handle const handle = msgpack::unpack(
            bytes.data(), bytes.size(), used_size,
            [](msgpack::type::object_type, std::size_t, void*) {
                return true;
            },
            nullptr, make_unpack_limits(bytes.size()));
        if (used_size != bytes.size())
            return fail_decoding(error, from, reason::malformed,
                                 "trailing bytes");
        return decode_object(handle.get(), from, error);
    } catch (msgpack::unpack_error const&) {
        return fail_decoding(error, from, reason::malformed,
                             "not valid msgpack");
    }
}

}  // namespace lagoon
