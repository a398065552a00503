#include "wire/relay_codec.hpp"

namespace lagoon::detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, packet_offer const& offer)
{
    out.begin_packet(offer.terms ? 12 : 5, packet_kind::offer);
    out.put(std::uint64_t{offer.question.value});
    out.put(offer.service.value);
    out.put(std::uint64_t{offer.slots});
    out.put(std::uint64_t{offer.insists ? 1U : 0U});
    out.put(std::string_view{offer.bytes});
    if (!offer.terms)
        return;
    out.put(offer.terms->route);
    out.put(offer.terms->objective);
    out.put(offer.terms->deadline);
    out.put(std::uint64_t{offer.terms->priority});
    out.put(offer.terms->age);
    out.put(std::uint64_t{offer.terms->may_repeat ? 1U : 0U});
}

void write(packet_writer& out, offer_answer const& answer)
{
    out.begin_packet(5, packet_kind::offer_answered);
    out.put(std::uint64_t{answer.question.value});
    out.put(static_cast<std::uint64_t>(answer.verdict));
    out.put(std::uint64_t{answer.load});
    out.put(std::uint64_t{answer.slots});
    out.put(std::string_view{answer.bytes});
}

// ---- reading ------------------------------------------------------------

namespace {

request_terms read_terms(field_reader& in)
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
    question_id const question{
        static_cast<std::uint32_t>(in.read_number(UINT32_MAX))};
    service_id const service{in.read_number()};
    auto const slots = static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    bool const insists = in.read_number(1) == 1;
    std::string_view const bytes = in.read_bytes(max_datagram_size);
    std::optional<request_terms> terms;
    if (in.has_more())
        terms = read_terms(in);
    return {question, service, slots, insists, terms, std::string{bytes}};
}

offer_answer read_offer_answer(field_reader& in)
{
    question_id const question{
        static_cast<std::uint32_t>(in.read_number(UINT32_MAX))};
    auto const verdict = static_cast<offer_verdict>(
        in.read_number(static_cast<std::uint64_t>(offer_verdict::refused)));
    auto const load = static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    auto const slots = static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    std::string_view const bytes = in.read_bytes(max_datagram_size);
    return {question, verdict, load, slots, std::string{bytes}};
}

}  // namespace lagoon::detail
