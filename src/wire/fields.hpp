// The primitive fields of a packet, encoded with msgpack. Every packet is an
// array of two: the version of the protocol, and an array with the kind and the
// fields of the message.
//
// Index
//   packet_kind     the message type of a packet
//   packet_writer   writes fields
//   field_reader    reads and checks fields
#pragma once

#include "flow/token.hpp"
#include "protocol/messages.hpp"
#include "wire/fragments.hpp"

#include <boost/endian/conversion.hpp>

#include <array>
#include <cstring>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lagoon {

// ---- packet_kind --------------------------------------------------------

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
    inbound = 32,
    outbound = 33,
    digest = 48,
    update = 49,
    change_request = 50,
    fragment = 51,
    offer = 64,
    offer_reply = 65,
    evacuation_notice = 66,
    locate_query = 67,
    locate_reply = 68
};

constexpr std::size_t packed_address_size = 6;  // bytes: IP and port
constexpr std::size_t identifier_size = 9;      // bytes, encoded

// Items of a list. As many identifiers fill the longest message; every other
// item is longer.
constexpr std::size_t max_list_size = max_message_size / identifier_size;

namespace detail {

// ---- packet_writer ------------------------------------------------------

class packet_writer
{
public:
    void begin_packet(std::uint32_t fields, packet_kind kind)
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
        this->put(token.issuer_epoch.value);
        this->put(token.flow.value);
        this->put(static_cast<std::uint64_t>(token.issued_at));
        this->put(std::string_view{
            reinterpret_cast<char const*>(token.mac.data()), token.mac.size()});
    }

    void put(std::vector<peer_address> const& addresses)
    {
        std::string packed;
        for (peer_address const& address : addresses) {
            std::array<std::uint8_t, packed_address_size> bytes{};
            boost::endian::store_big_u32(bytes.data(), address.ip);
            boost::endian::store_big_u16(bytes.data() + 4, address.port);
            packed.append(bytes.begin(), bytes.end());
        }
        this->put(std::string_view{packed});
    }

    void put_array_header(std::uint32_t fields)
    {
        this->packer.pack_array(fields);
    }

    void put_nil()
    {
        this->packer.pack_nil();
    }

    // Writes each item with the `write` overload of its type.
    template <class Item> void put_list(std::vector<Item> const& items)
    {
        this->put_array_header(static_cast<std::uint32_t>(items.size()));
        for (Item const& item : items)
            write(*this, item);
    }

    std::string get_bytes() const
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

// Encodes one message with the `write` overload of its type.
template <class Message> std::string encode(Message const& message)
{
    packet_writer writer;
    write(writer, message);
    return writer.get_bytes();
}

// ---- field_reader -------------------------------------------------------

// Reads the fields of one array in order. After the first invalid field every
// read returns an empty value, so that callers check the result once, with
// is_complete().
class field_reader
{
public:
    explicit field_reader(msgpack::object const& from)
    {
        this->is_valid = from.type == msgpack::type::ARRAY;
        if (this->is_valid)
            this->fields = from.via.array;
    }

    std::uint64_t read_number(std::uint64_t max = UINT64_MAX)
    {
        msgpack::object const* field = this->next_field();
        if (field == nullptr ||
            field->type != msgpack::type::POSITIVE_INTEGER ||
            field->via.u64 > max) {
            this->is_valid = false;
            return 0;
        }
        return field->via.u64;
    }

    std::string_view read_bytes(std::size_t max)
    {
        msgpack::object const* field = this->next_field();
        if (field == nullptr || field->type != msgpack::type::BIN ||
            field->via.bin.size > max) {
            this->is_valid = false;
            return {};
        }
        return {field->via.bin.ptr, field->via.bin.size};
    }

    duration read_duration()
    {
        return duration{static_cast<std::int64_t>(this->read_number(
            static_cast<std::uint64_t>(max_duration.count())))};
    }

    peer_address read_address()
    {
        auto const ip =
            static_cast<std::uint32_t>(this->read_number(UINT32_MAX));
        auto const port =
            static_cast<std::uint16_t>(this->read_number(UINT16_MAX));
        return {ip, port};
    }

    std::vector<peer_address> read_addresses(std::size_t max)
    {
        std::string_view packed = this->read_bytes(max * packed_address_size);
        std::vector<peer_address> addresses;
        for (; packed.size() >= packed_address_size;
             packed.remove_prefix(packed_address_size)) {
            auto const* at =
                reinterpret_cast<unsigned char const*>(packed.data());
            addresses.push_back({boost::endian::load_big_u32(at),
                                 boost::endian::load_big_u16(at + 4)});
        }
        this->is_valid = this->is_valid && packed.empty();
        return addresses;
    }

    flow_token read_token()
    {
        service_id const service{this->read_number()};
        target_id const target{this->read_number()};
        epoch const issuer_epoch{this->read_number()};
        flow_key const flow{this->read_number()};
        auto const issued_at =
            static_cast<std::int64_t>(this->read_number(INT64_MAX));
        std::string_view const mac = this->read_bytes(token_mac_size);
        flow_token token{service, target, issuer_epoch, flow, issued_at, {}};
        if (mac.size() == token_mac_size)
            std::memcpy(token.mac.data(), mac.data(), token_mac_size);
        else
            this->is_valid = false;
        return token;
    }

    request_number read_request_number()
    {
        return {static_cast<std::uint32_t>(this->read_number(UINT32_MAX))};
    }

    reason read_reason()
    {
        return static_cast<reason>(
            this->read_number(static_cast<std::uint64_t>(reason::timed_out)));
    }

    msgpack::object const* next_field()
    {
        if (!this->is_valid || this->position >= this->fields.size) {
            this->is_valid = false;
            return nullptr;
        }
        return &this->fields.ptr[this->position++];
    }

    // Marks the array as invalid because of a nested value.
    void mark_invalid()
    {
        this->is_valid = false;
    }

    // Returns whether every field was valid and none is left.
    bool is_complete() const
    {
        return this->is_valid && this->position == this->fields.size;
    }

    bool has_more() const
    {
        return this->is_valid && this->position < this->fields.size;
    }

private:
    msgpack::object_array fields = {};
    std::uint32_t position = 0;
    bool is_valid = false;
};

inline packet_kind read_kind(field_reader& in)
{
    return static_cast<packet_kind>(in.read_number(UINT8_MAX));
}

// Reads each item of a nested array with `read`.
template <class Item, class Read>
std::vector<Item> read_list(field_reader& in, Read read)
{
    std::vector<Item> items;
    msgpack::object const* field = in.next_field();
    if (field == nullptr || field->type != msgpack::type::ARRAY) {
        in.mark_invalid();
        return items;
    }
    for (std::uint32_t i = 0; i < field->via.array.size; ++i) {
        field_reader inner{field->via.array.ptr[i]};
        items.push_back(read(inner));
        if (!inner.is_complete())
            in.mark_invalid();
    }
    return items;
}

// Reads a nested array of identifiers.
template <class Id> std::vector<Id> read_ids(field_reader& in)
{
    std::vector<Id> ids;
    msgpack::object const* field = in.next_field();
    if (field == nullptr) {
        in.mark_invalid();
        return ids;
    }
    field_reader inner{*field};
    while (inner.has_more())
        ids.push_back({inner.read_number()});
    if (!inner.is_complete())
        in.mark_invalid();
    return ids;
}

}  // namespace detail
}  // namespace lagoon
