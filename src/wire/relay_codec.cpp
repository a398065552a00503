#include "wire/relay_codec.hpp"

namespace lagoon::detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, packet_offer const& offer)
{
    out.begin_packet(offer.attributes ? 12 : 5, packet_kind::offer);
    out.put(std::uint64_t{offer.query.value});
    out.put(offer.service.value);
    out.put(std::uint64_t{offer.slots});
    out.put(std::uint64_t{offer.is_last_resort ? 1U : 0U});
    out.put(std::string_view{offer.bytes});
    if (!offer.attributes)
        return;
    out.put(offer.attributes->route);
    out.put(offer.attributes->objective);
    out.put(offer.attributes->deadline);
    out.put(std::uint64_t{offer.attributes->priority});
    out.put(offer.attributes->age);
    out.put(std::uint64_t{offer.attributes->is_retryable ? 1U : 0U});
}

void write(packet_writer& out, offer_reply const& answer)
{
    out.begin_packet(5, packet_kind::offer_reply);
    out.put(std::uint64_t{answer.query.value});
    out.put(static_cast<std::uint64_t>(answer.verdict));
    out.put(std::uint64_t{answer.load});
    out.put(std::uint64_t{answer.slots});
    out.put(std::string_view{answer.bytes});
}

// ---- reading ------------------------------------------------------------

namespace {

request_attributes read_request_attributes(field_reader& in)
{
    peer_address const route = in.read_address();
    duration const objective = in.read_duration();
    duration const deadline = in.read_duration();
    auto const priority = static_cast<std::uint8_t>(in.read_number(UINT8_MAX));
    duration const age = in.read_duration();
    return {route, objective, deadline, priority, age, in.read_number(1) == 1};
}

}  // namespace

packet_offer read_offer(field_reader& in)
{
    query_id const query{
        static_cast<std::uint32_t>(in.read_number(UINT32_MAX))};
    service_id const service{in.read_number()};
    auto const slots = static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    bool const is_last_resort = in.read_number(1) == 1;
    std::string_view const bytes = in.read_bytes(max_datagram_size);
    std::optional<request_attributes> attributes;
    if (in.has_more())
        attributes = read_request_attributes(in);
    return {query,          service,    slots,
            is_last_resort, attributes, std::string{bytes}};
}

offer_reply read_offer_reply(field_reader& in)
{
    query_id const query{
        static_cast<std::uint32_t>(in.read_number(UINT32_MAX))};
    auto const verdict = static_cast<offer_verdict>(
        in.read_number(static_cast<std::uint64_t>(offer_verdict::refused)));
    auto const load = static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    auto const slots = static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    std::string_view const bytes = in.read_bytes(max_datagram_size);
    return {query, verdict, load, slots, std::string{bytes}};
}

}  // namespace lagoon::detail
