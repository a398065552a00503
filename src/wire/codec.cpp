#include "wire/codec.hpp"

#include "membership/peers.hpp"

#include <boost/endian/conversion.hpp>

#include <array>
#include <cstring>
#include <msgpack.hpp>

namespace lagoon {

namespace {

// ---- kinds --------------------------------------------------------------

enum class packet_kind : std::uint8_t
{
    open = 1,
    submit = 2,
    cancel = 3,
    pull = 4,
    acknowledge = 5,
    close = 6,
    opened = 16,
    open_refused = 17,
    status = 18,
    segment = 19,
    inward = 32,
    outward = 33,
    digest = 48,
    offer = 64,
    offer_answered = 65
};

constexpr std::size_t packed_address_size = 6;  // bytes: IP and port

// ---- writing ------------------------------------------------------------

class packet_writer
{
public:
    void begin(std::uint32_t fields, packet_kind kind)
    {
        this->packer.pack_array(fields + 1);
        this->put(static_cast<std::uint64_t>(kind));
    }

    void put(std::uint64_t value)
    {
        this->packer.pack_uint64(value);
    }

    void put(std::string_view text)
    {
        this->packer.pack_bin(static_cast<std::uint32_t>(text.size()));
        this->packer.pack_bin_body(text.data(),
                                   static_cast<std::uint32_t>(text.size()));
    }

    void put(duration value)
    {
        this->put(static_cast<std::uint64_t>(
            std::max<std::int64_t>(value.count(), 0)));
    }

    void put(peer_address const& address)
    {
        this->put(std::uint64_t{address.ip});
        this->put(std::uint64_t{address.port});
    }

    void put(flow_token const& token)
    {
        this->put(token.service.value);
        this->put(token.target.value);
        this->put(token.started.value);
        this->put(token.flow.value);
        this->put(static_cast<std::uint64_t>(token.issued));
        this->put(
            std::string_view{reinterpret_cast<char const*>(token.seal.data()),
                             token.seal.size()});
    }

    void put(open_request const& open)
    {
        this->begin(open.previous ? 12 : 6, packet_kind::open);
        this->put(open.service.value);
        this->put(open.caller.value);
        this->put(open.flow.value);
        this->put(std::uint64_t{open.attempt});
        this->put(std::uint64_t{open.hops});
        this->put(std::uint64_t{open.load});
        if (open.previous)
            this->put(*open.previous);
    }

    void put(submit_request const& submit)
    {
        this->begin(12, packet_kind::submit);
        this->put(submit.token);
        this->put(std::uint64_t{submit.number.value});
        this->put(std::uint64_t{submit.idempotent ? 1U : 0U});
        this->put(submit.deadline);
        this->put(submit.declared);
        this->put(submit.path);
        this->put(submit.body);
    }

    void put(cancel_request const& cancel)
    {
        this->begin(7, packet_kind::cancel);
        this->put(cancel.token);
        this->put(std::uint64_t{cancel.number.value});
    }

    void put(pull_answer const& pull)
    {
        this->begin(9, packet_kind::pull);
        this->put(pull.token);
        this->put(std::uint64_t{pull.number.value});
        this->put(pull.offset);
        this->put(std::uint64_t{pull.length});
    }

    void put(acknowledge_answer const& done)
    {
        this->begin(7, packet_kind::acknowledge);
        this->put(done.token);
        this->put(std::uint64_t{done.number.value});
    }

    void put(close_flow const& close)
    {
        this->begin(6, packet_kind::close);
        this->put(close.token);
    }

    void put(open_reply const& reply)
    {
        this->begin(6, packet_kind::opened);
        this->put(reply.token);
    }

    void put(open_refusal const& refused)
    {
        this->begin(4, packet_kind::open_refused);
        this->put(refused.service.value);
        this->put(refused.flow.value);
        this->put(static_cast<std::uint64_t>(refused.why));
        this->put(refused.retry_after);
    }

    void put(request_status const& status)
    {
        this->begin(8, packet_kind::status);
        this->put(status.service.value);
        this->put(status.flow.value);
        this->put(std::uint64_t{status.number.value});
        this->put(static_cast<std::uint64_t>(status.state));
        this->put(static_cast<std::uint64_t>(status.why));
        this->put(status.length);
        this->put(status.content.value);
        this->put(status.retry_after);
    }

    void put(answer_segment const& segment)
    {
        this->begin(5, packet_kind::segment);
        this->put(segment.service.value);
        this->put(segment.flow.value);
        this->put(std::uint64_t{segment.number.value});
        this->put(segment.offset);
        this->put(segment.bytes);
    }

    template <class... Messages>
    void put(std::variant<Messages...> const& message)
    {
        std::visit(
            [this](auto const& one) {
                this->put(one);
            },
            message);
    }

    void put(inward_packet const& packet)
    {
        this->begin(7, packet_kind::inward);
        this->put(packet.caller);
        this->put(packet.entry);
        this->put(packet.handed_by);
        this->put(packet.message);
    }

    void put(outward_packet const& packet)
    {
        this->begin(5, packet_kind::outward);
        this->put(packet.caller);
        this->put(packet.handed_by);
        this->put(packet.message);
    }

    void put(peer_digest const& what)
    {
        this->begin(8, packet_kind::digest);
        this->put(what.sender.value);
        this->put(what.version.number.value);
        this->put(what.version.content.value);
        this->put(what.platform_age);
        this->put(what.control);
        this->put(std::uint64_t{what.reply_wanted ? 1U : 0U});
        this->put(what.peers);
    }

    void put(packet_offer const& offer)
    {
        this->begin(offer.terms ? 10 : 5, packet_kind::offer);
        this->put(std::uint64_t{offer.question.value});
        this->put(offer.service.value);
        this->put(std::uint64_t{offer.slots});
        this->put(std::uint64_t{offer.may_wait ? 1U : 0U});
        this->put(std::string_view{offer.bytes});
        if (!offer.terms)
            return;
        this->put(offer.terms->route);
        this->put(offer.terms->objective);
        this->put(offer.terms->deadline);
        this->put(std::uint64_t{offer.terms->priority});
    }

    void put(offer_answer const& answer)
    {
        this->begin(5, packet_kind::offer_answered);
        this->put(std::uint64_t{answer.question.value});
        this->put(static_cast<std::uint64_t>(answer.verdict));
        this->put(std::uint64_t{answer.load});
        this->put(std::uint64_t{answer.slots});
        this->put(std::string_view{answer.bytes});
    }

    void put(std::vector<peer_address> const& addresses)
    {
        std::string packed;
        for (peer_address const& one : addresses) {
            std::array<std::uint8_t, packed_address_size> bytes{};
            boost::endian::store_big_u32(bytes.data(), one.ip);
            boost::endian::store_big_u16(bytes.data() + 4, one.port);
            packed.append(bytes.begin(), bytes.end());
        }
        this->put(std::string_view{packed});
    }

    std::string take() const
    {
        return {this->buffer.data(), this->buffer.size()};
    }

    packet_writer()
    {
        this->packer.pack_array(2);
        this->put(std::uint64_t{wire_version});
    }

private:
    msgpack::sbuffer buffer{512};
    msgpack::packer<msgpack::sbuffer> packer{this->buffer};
};

template <class Message> std::string encode(Message const& message)
{
    packet_writer writer;
    writer.put(message);
    return writer.take();
}

// ---- reading ------------------------------------------------------------

// Reads the fields of one array in order. After the first field that doesn't
// fit, everything reads as empty and `good` is false.
class field_reader
{
public:
    explicit field_reader(msgpack::object const& from)
    {
        this->good = from.type == msgpack::type::ARRAY;
        if (this->good)
            this->fields = from.via.array;
    }

    std::uint64_t number(std::uint64_t most = UINT64_MAX)
    {
        msgpack::object const* field = this->next();
        if (field == nullptr ||
            field->type != msgpack::type::POSITIVE_INTEGER ||
            field->via.u64 > most) {
            this->good = false;
            return 0;
        }
        return field->via.u64;
    }

    std::string_view bytes(std::size_t most)
    {
        msgpack::object const* field = this->next();
        if (field == nullptr || field->type != msgpack::type::BIN ||
            field->via.bin.size > most) {
            this->good = false;
            return {};
        }
        return {field->via.bin.ptr, field->via.bin.size};
    }

    duration span()
    {
        constexpr std::uint64_t longest = INT64_MAX / 4;  // microseconds
        return duration{static_cast<std::int64_t>(this->number(longest))};
    }

    peer_address address()
    {
        auto const ip = static_cast<std::uint32_t>(this->number(UINT32_MAX));
        auto const port = static_cast<std::uint16_t>(this->number(UINT16_MAX));
        return {ip, port};
    }

    std::vector<peer_address> addresses(std::size_t most)
    {
        std::string_view packed = this->bytes(most * packed_address_size);
        std::vector<peer_address> all;
        for (; packed.size() >= packed_address_size;
             packed.remove_prefix(packed_address_size)) {
            auto const* at =
                reinterpret_cast<unsigned char const*>(packed.data());
            all.push_back({boost::endian::load_big_u32(at),
                           boost::endian::load_big_u16(at + 4)});
        }
        this->good = this->good && packed.empty();
        return all;
    }

    flow_token token()
    {
        service_id const service{this->number()};
        target_id const target{this->number()};
        epoch const started{this->number()};
        flow_key const flow{this->number()};
        auto const issued = static_cast<std::int64_t>(this->number(INT64_MAX));
        std::string_view const seal = this->bytes(token_seal_size);
        flow_token token{service, target, started, flow, issued, {}};
        if (seal.size() == token_seal_size)
            std::memcpy(token.seal.data(), seal.data(), token_seal_size);
        else
            this->good = false;
        return token;
    }

    request_number request()
    {
        return {static_cast<std::uint32_t>(this->number(UINT32_MAX))};
    }

    reason why()
    {
        return static_cast<reason>(
            this->number(static_cast<std::uint64_t>(reason::timed_out)));
    }

    msgpack::object const* next()
    {
        if (!this->good || this->at >= this->fields.size) {
            this->good = false;
            return nullptr;
        }
        return &this->fields.ptr[this->at++];
    }

    // Whether every field fitted and none is left over.
    bool done() const
    {
        return this->good && this->at == this->fields.size;
    }

    bool has_more() const
    {
        return this->good && this->at < this->fields.size;
    }

private:
    msgpack::object_array fields = {};
    std::uint32_t at = 0;
    bool good = false;
};

open_request read_open(field_reader& in)
{
    service_id const service{in.number()};
    caller_id const caller{in.number()};
    flow_key const flow{in.number()};
    auto const attempt = static_cast<std::uint8_t>(in.number(UINT8_MAX));
    auto const hops = static_cast<std::uint8_t>(in.number(max_hops));
    auto const load = static_cast<std::uint32_t>(in.number(UINT32_MAX));
    std::optional<flow_token> previous;
    if (in.has_more())
        previous = in.token();
    return {service, caller, flow, attempt, hops, load, previous};
}

submit_request read_submit(field_reader& in)
{
    flow_token const token = in.token();
    request_number const number = in.request();
    bool const idempotent = in.number(1) == 1;
    duration const deadline = in.span();
    duration const declared = in.span();
    std::string_view const path = in.bytes(max_path_size);
    std::string_view const body = in.bytes(max_body_size);
    return {token,
            number,
            idempotent,
            deadline,
            declared,
            std::string{path},
            std::string{body}};
}

pull_answer read_pull(field_reader& in)
{
    flow_token const token = in.token();
    request_number const number = in.request();
    std::uint64_t const offset = in.number(UINT64_MAX / 2);
    auto const length = static_cast<std::uint32_t>(in.number(max_window));
    return {token, number, offset, length};
}

request_status read_status(field_reader& in)
{
    constexpr std::uint64_t longest_answer = 1ULL << 40U;  // bytes
    service_id const service{in.number()};
    flow_key const flow{in.number()};
    request_number const number = in.request();
    auto const state = static_cast<request_state>(
        in.number(static_cast<std::uint64_t>(request_state::unknown)));
    reason const why = in.why();
    std::uint64_t const length = in.number(longest_answer);
    digest const content{in.number()};
    duration const retry_after = in.span();
    return {service, flow, number, state, why, length, content, retry_after};
}

answer_segment read_segment(field_reader& in)
{
    service_id const service{in.number()};
    flow_key const flow{in.number()};
    request_number const number = in.request();
    std::uint64_t const offset = in.number(UINT64_MAX / 2);
    std::string_view const bytes = in.bytes(segment_size);
    return {service, flow, number, offset, std::string{bytes}};
}

open_refusal read_refusal(field_reader& in)
{
    service_id const service{in.number()};
    flow_key const flow{in.number()};
    reason const why = in.why();
    duration const retry_after = in.span();
    return {service, flow, why, retry_after};
}

peer_digest read_digest(field_reader& in)
{
    process_id const sender{in.number()};
    generation const number{in.number()};
    digest const content{in.number()};
    duration const age = in.span();
    peer_address const control = in.address();
    bool const reply_wanted = in.number(1) == 1;
    return {sender,  {number, content}, age,
            control, reply_wanted,      in.addresses(peers_in_digest)};
}

request_terms read_terms(field_reader& in)
{
    peer_address const route = in.address();
    duration const objective = in.span();
    duration const deadline = in.span();
    return {route, objective, deadline,
            static_cast<std::uint8_t>(in.number(UINT8_MAX))};
}

packet_offer read_offer(field_reader& in)
{
    question_id const question{
        static_cast<std::uint32_t>(in.number(UINT32_MAX))};
    service_id const service{in.number()};
    auto const slots = static_cast<std::uint32_t>(in.number(UINT32_MAX));
    bool const may_wait = in.number(1) == 1;
    std::string_view const bytes = in.bytes(max_datagram_size);
    std::optional<request_terms> terms;
    if (in.has_more())
        terms = read_terms(in);
    return {question, service, slots, may_wait, terms, std::string{bytes}};
}

offer_answer read_offer_answer(field_reader& in)
{
    question_id const question{
        static_cast<std::uint32_t>(in.number(UINT32_MAX))};
    auto const verdict = static_cast<offer_verdict>(
        in.number(static_cast<std::uint64_t>(offer_verdict::refused)));
    auto const load = static_cast<std::uint32_t>(in.number(UINT32_MAX));
    auto const slots = static_cast<std::uint32_t>(in.number(UINT32_MAX));
    std::string_view const bytes = in.bytes(max_datagram_size);
    return {question, verdict, load, slots, std::string{bytes}};
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
        flow_token const token = in.token();
        return cancel_request{token, in.request()};
    }
    case packet_kind::acknowledge: {
        flow_token const token = in.token();
        return acknowledge_answer{token, in.request()};
    }
    case packet_kind::close:
        return close_flow{in.token()};
    default:
        return std::nullopt;
    }
}

std::optional<answer_message> read_answer_message(packet_kind kind,
                                                  field_reader& in)
{
    switch (kind) {
    case packet_kind::opened:
        return open_reply{in.token()};
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

packet_kind read_kind(field_reader& in)
{
    return static_cast<packet_kind>(in.number(UINT8_MAX));
}

std::optional<inward_packet> read_inward(field_reader& in)
{
    peer_address const caller = in.address();
    peer_address const entry = in.address();
    peer_address const handed_by = in.address();
    msgpack::object const* field = in.next();
    if (field == nullptr)
        return std::nullopt;
    field_reader inner{*field};
    std::optional<caller_message> const message =
        read_caller_message(read_kind(inner), inner);
    if (!message || !inner.done())
        return std::nullopt;
    return inward_packet{caller, entry, handed_by, *message};
}

std::optional<outward_packet> read_outward(field_reader& in)
{
    peer_address const caller = in.address();
    peer_address const handed_by = in.address();
    msgpack::object const* field = in.next();
    if (field == nullptr)
        return std::nullopt;
    field_reader inner{*field};
    std::optional<answer_message> const message =
        read_answer_message(read_kind(inner), inner);
    if (!message || !inner.done())
        return std::nullopt;
    return outward_packet{caller, handed_by, *message};
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
    if (kind == packet_kind::offer)
        return datagram{read_offer(in)};
    if (kind == packet_kind::offer_answered)
        return datagram{read_offer_answer(in)};
    if (kind == packet_kind::inward) {
        std::optional<inward_packet> const packet = read_inward(in);
        return packet ? std::optional<datagram>{*packet} : std::nullopt;
    }
    if (kind == packet_kind::outward) {
        std::optional<outward_packet> const packet = read_outward(in);
        return packet ? std::optional<datagram>{*packet} : std::nullopt;
    }
    return std::nullopt;
}

std::nullopt_t malformed(failure& last, peer_address from, reason why,
                         char const* detail)
{
    return fail(last, {step::decode_packet, why, from, detail});
}

std::optional<datagram> decode_object(msgpack::object const& whole,
                                      peer_address from, failure& last)
{
    field_reader outer{whole};
    std::uint64_t const version = outer.number();
    if (version != wire_version)
        return malformed(last, from, reason::unsupported,
                         "version of the protocol");
    msgpack::object const* body = outer.next();
    if (body == nullptr || !outer.done())
        return malformed(last, from, reason::malformed, "envelope");
    field_reader in{*body};
    std::optional<datagram> const packet = read_datagram(in);
    if (!packet || !in.done())
        return malformed(last, from, reason::malformed, "fields");
    return packet;
}

// Bounds on what msgpack builds before the fields are looked at.
msgpack::unpack_limit const unpack_bounds{
    16,                 // fields of an array
    0,                  // fields of a map
    0,                  // bytes of a string
    max_datagram_size,  // bytes of a binary
    0,                  // bytes of an extension
    4                   // depth
};

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

std::string encode_packet(inward_packet const& packet)
{
    return encode(packet);
}

std::string encode_packet(outward_packet const& packet)
{
    return encode(packet);
}

std::string encode_packet(peer_digest const& what)
{
    return encode(what);
}

std::string encode_packet(packet_offer const& offer)
{
    return encode(offer);
}

std::string encode_packet(offer_answer const& answer)
{
    return encode(answer);
}

// ---- decode_packet ------------------------------------------------------

std::optional<datagram> decode_packet(std::string_view bytes, peer_address from,
                                      failure& last)
{
    if (bytes.size() > max_datagram_size)
        return malformed(last, from, reason::too_large, "datagram");
    try {
        std::size_t used = 0;
        msgpack::object_handle const handle = msgpack::unpack(
            bytes.data(), bytes.size(), used,
            [](msgpack::type::object_type, std::size_t, void*) {
                return true;
            },
            nullptr, unpack_bounds);
        if (used != bytes.size())
            return malformed(last, from, reason::malformed, "trailing bytes");
        return decode_object(handle.get(), from, last);
    } catch (msgpack::unpack_error const&) {
        return malformed(last, from, reason::malformed, "not msgpack");
    }
}

}  // namespace lagoon
