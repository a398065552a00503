#include "wire/relay_codec.hpp"

namespace lagoon::detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, packet_offer const& offer)
{
    out.begin_packet(offer.attributes ? 14 : 5, packet_kind::offer);
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
    out.put(std::uint64_t{offer.attributes->opens_per_second});
    out.put(offer.attributes->config_generation.value);
}

void write(packet_writer& out, offer_reply const& answer)
{
    out.begin_packet(6, packet_kind::offer_reply);
    out.put(std::uint64_t{answer.query.value});
    out.put(static_cast<std::uint64_t>(answer.verdict));
    out.put(std::uint64_t{answer.load});
    out.put(std::uint64_t{answer.slots});
    out.put(std::string_view{answer.bytes});
    out.put(std::uint64_t{answer.expected_load});
}

void write(packet_writer& out, evacuation_notice const& notice)
{
    out.begin_packet(2, packet_kind::evacuation_notice);
    out.put(notice.service.value);
    out.put(notice.config_generation.value);
}

void write(packet_writer& out, located_connection const& connection)
{
    out.put_array_header(5);
    out.put(connection.endpoints.caller);
    out.put(connection.endpoints.service);
    out.put(std::uint64_t{connection.acknowledgement});
}

void write(packet_writer& out, locate_query const& query)
{
    out.begin_packet(5, packet_kind::locate_query);
    out.put(std::uint64_t{query.query.value});
    out.put(query.service.value);
    out.put(query.back_end_started_at_ms);
    out.put(query.sent_at_ms);
    out.put_list(query.connections);
}

void write(packet_writer& out, locate_reply const& reply)
{
    std::string verdicts;
    for (locate_verdict const verdict : reply.verdicts)
        verdicts.push_back(static_cast<char>(verdict));
    out.begin_packet(2, packet_kind::locate_reply);
    out.put(std::uint64_t{reply.query.value});
    out.put(std::string_view{verdicts});
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
    bool const is_retryable = in.read_number(1) == 1;
    auto const opens_per_second =
        static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    return {route, objective,    deadline,         priority,
            age,   is_retryable, opens_per_second, {in.read_number()}};
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
    auto const expected_load =
        in.has_more() ? static_cast<std::uint32_t>(in.read_number(UINT32_MAX))
                      : 0U;
    return {query, verdict, load, slots, std::string{bytes}, expected_load};
}

evacuation_notice read_evacuation_notice(field_reader& in)
{
    service_id const service{in.read_number()};
    return {service, {in.read_number()}};
}

namespace {

located_connection read_located_connection(field_reader& in)
{
    peer_address const caller = in.read_address();
    peer_address const service = in.read_address();
    return {{caller, service},
            static_cast<std::uint32_t>(in.read_number(UINT32_MAX))};
}

}  // namespace

locate_query read_locate_query(field_reader& in)
{
    query_id const query{
        static_cast<std::uint32_t>(in.read_number(UINT32_MAX))};
    service_id const service{in.read_number()};
    std::uint64_t const started_at_ms = in.read_number();
    std::uint64_t const sent_at_ms = in.read_number();
    std::vector<located_connection> const connections =
        read_list<located_connection>(in, read_located_connection);
    if (connections.size() > max_located_connections)
        in.mark_invalid();
    return {query, service, started_at_ms, sent_at_ms, connections};
}

locate_reply read_locate_reply(field_reader& in)
{
    locate_reply reply{
        {static_cast<std::uint32_t>(in.read_number(UINT32_MAX))}};
    for (char const verdict : in.read_bytes(max_located_connections)) {
        auto const value = static_cast<std::uint8_t>(verdict);
        if (value > static_cast<std::uint8_t>(locate_verdict::unsure))
            in.mark_invalid();
        reply.verdicts.push_back(static_cast<locate_verdict>(value));
    }
    return reply;
}

}  // namespace lagoon::detail
