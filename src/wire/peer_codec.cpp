#include "wire/peer_codec.hpp"

#include <algorithm>

namespace lagoon::detail {

// ---- writing ------------------------------------------------------------

void write(packet_writer& out, caller_id id)
{
    out.put(id.value);
}

void write(packet_writer& out, service_part const& part)
{
    out.put_array_header(4);
    out.put(std::string_view{part.name});
    out.put(part.changed_at.value);
    out.put_list(part.callers);
    out.put_list(part.targets);
}

void write(packet_writer& out, warm_up_limit const& limit)
{
    out.put_array_header(3);
    out.put(limit.service.value);
    out.put(limit.warm_up_time);
    out.put(std::uint64_t{limit.opens_per_second});
}

void write(packet_writer& out, service_id id)
{
    out.put(id.value);
}

void write(packet_writer& out, routes_part const& part)
{
    out.put_array_header(6);
    out.put(part.changed_at.value);
    out.put_list(part.routes);
    out.put(part.idle_lifetime);
    out.put(part.version);
    out.put_list(part.warm_up_limits);
    out.put_list(part.services);
}

void write(packet_writer& out, evacuations_part const& part)
{
    out.put_array_header(
        static_cast<std::uint32_t>(1 + part.data_centres.size()));
    out.put(part.changed_at.value);
    for (std::string const& data_centre : part.data_centres)
        out.put(std::string_view{data_centre});
}

void write(packet_writer& out, target_id id)
{
    out.put(id.value);
}

void write(packet_writer& out, service_delta const& delta)
{
    out.put_array_header(3);
    out.put(std::string_view{delta.name});
    out.put_list(delta.changed);
    out.put_list(delta.removed);
}

void write(packet_writer& out, target_record const& target)
{
    out.put_array_header(9);
    out.put(std::string_view{target.name});
    out.put(std::string_view{target.data_centre});
    out.put(target.address);
    out.put(target.control);
    out.put(std::uint64_t{target.slots});
    out.put(static_cast<std::uint64_t>(target.state));
    out.put(target.started_at_ms);
}

void write(packet_writer& out, routes_delta const& delta)
{
    out.put_array_header(7);
    out.put_list(delta.changed);
    out.put(delta.removed);
    out.put(delta.idle_lifetime);
    out.put(delta.version);
    out.put_list(delta.warm_up_limits);
    out.put_list(delta.added_services);
    out.put_list(delta.removed_services);
}

void write(packet_writer& out, route_record const& route)
{
    out.put_array_header(7);
    out.put(route.address);
    out.put_list(route.services);
    out.put(route.objective);
    out.put(route.deadline);
    out.put(std::uint64_t{route.priority});
    out.put(std::uint64_t{route.is_idempotent ? 1U : 0U});
}

void write(packet_writer& out, weighted_service const& weighted)
{
    out.put_array_header(2);
    out.put(weighted.service.value);
    out.put(std::uint64_t{weighted.weight});
}

void write(packet_writer& out, peer_digest const& digest)
{
    out.begin_packet(8, packet_kind::digest);
    out.put(digest.sender.value);
    out.put(digest.version.number.value);
    out.put(digest.version.content.value);
    out.put(digest.platform_age);
    out.put(digest.control_address);
    out.put(std::uint64_t{digest.is_reply_requested ? 1U : 0U});
    out.put(digest.peers);
}

// A digest and the change from one generation to a later one: complete
// services, changes of services, removed services, routes and evacuations. The
// fleet is not written.
void write(packet_writer& out, peer_update const& update)
{
    catalog_change const& change = update.change;
    out.begin_packet(10, packet_kind::update);
    write(out, update.digest);
    out.put(change.base.value);
    out.put(change.to.value);
    out.put(change.result_digest.value);
    out.put_list(change.parts);
    out.put_list(change.deltas);
    out.put_list(change.removed);
    if (change.routes)
        write(out, *change.routes);
    else
        out.put_nil();
    if (change.route_delta)
        write(out, *change.route_delta);
    else
        out.put_nil();
    if (change.evacuations)
        write(out, *change.evacuations);
    else
        out.put_nil();
}

void write(packet_writer& out, change_request const& request)
{
    out.begin_packet(1, packet_kind::change_request);
    out.put(request.since.value);
}

void write(packet_writer& out, message_fragment const& fragment)
{
    out.begin_packet(4, packet_kind::fragment);
    out.put(std::uint64_t{fragment.message_number});
    out.put(std::uint64_t{fragment.index});
    out.put(std::uint64_t{fragment.count});
    out.put(std::string_view{fragment.bytes});
}

// ---- reading ------------------------------------------------------------

peer_digest read_digest(field_reader& in)
{
    process_id const sender{in.read_number()};
    generation const number{in.read_number()};
    digest const content{in.read_number()};
    duration const age = in.read_duration();
    peer_address const control = in.read_address();
    bool const is_reply_requested = in.read_number(1) == 1;
    return {
        sender,  {number, content},  age,
        control, is_reply_requested, in.read_addresses(max_peers_per_digest)};
}

target_record read_target(field_reader& in)
{
    std::string const name{in.read_bytes(max_name_size)};
    std::string const data_centre{in.read_bytes(max_name_size)};
    peer_address const address = in.read_address();
    peer_address const control = in.read_address();
    auto const slots = static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    auto const state = static_cast<target_state>(
        in.read_number(static_cast<std::uint64_t>(target_state::leaving)));
    return {
        make_target_id(name), name, data_centre, address, control, slots, state,
        in.read_number()};
}

service_delta read_service_delta(field_reader& in)
{
    std::string const name{in.read_bytes(max_name_size)};
    std::vector<target_record> const changed =
        read_list<target_record>(in, read_target);
    return {make_service_id(name), name, changed, read_ids<target_id>(in)};
}

weighted_service read_weighted_service(field_reader& in)
{
    service_id const service{in.read_number()};
    return {service, static_cast<std::uint32_t>(in.read_number(UINT32_MAX))};
}

route_record read_route(field_reader& in)
{
    peer_address const address = in.read_address();
    std::vector<weighted_service> const services =
        read_list<weighted_service>(in, read_weighted_service);
    duration const objective = in.read_duration();
    duration const deadline = in.read_duration();
    auto const priority = static_cast<std::uint8_t>(in.read_number(UINT8_MAX));
    return {address,  services, objective,
            deadline, priority, in.read_number(1) == 1};
}

service_part read_service_part(field_reader& in)
{
    std::string const name{in.read_bytes(max_name_size)};
    generation const changed_at{in.read_number()};
    std::vector<caller_id> const callers = read_ids<caller_id>(in);
    return {make_service_id(name), name, changed_at, callers,
            read_list<target_record>(in, read_target)};
}

warm_up_limit read_warm_up_limit(field_reader& in)
{
    service_id const service{in.read_number()};
    duration const warm_up_time = in.read_duration();
    return {service, warm_up_time,
            static_cast<std::uint32_t>(in.read_number(UINT32_MAX))};
}

routes_part read_routes_part(field_reader& in)
{
    generation const changed_at{in.read_number()};
    std::vector<route_record> const routes =
        read_list<route_record>(in, read_route);
    duration const idle_lifetime = in.read_duration();
    std::uint64_t const version = in.read_number();
    std::vector<warm_up_limit> const limits =
        read_list<warm_up_limit>(in, read_warm_up_limit);
    std::vector<service_id> const services = read_ids<service_id>(in);
    if (!std::is_sorted(services.begin(), services.end()))
        in.mark_invalid();
    return {changed_at, routes, idle_lifetime, version, limits, services};
}

evacuations_part read_evacuations_part(field_reader& in)
{
    evacuations_part part{{in.read_number()}};
    while (in.has_more())
        part.data_centres.emplace_back(in.read_bytes(max_name_size));
    if (!std::is_sorted(part.data_centres.begin(), part.data_centres.end()))
        in.mark_invalid();
    return part;
}

routes_delta read_routes_delta(field_reader& in)
{
    std::vector<route_record> const changed =
        read_list<route_record>(in, read_route);
    std::vector<peer_address> const removed =
        in.read_addresses(max_message_size / packed_address_size);
    duration const idle_lifetime = in.read_duration();
    std::uint64_t const version = in.read_number();
    std::vector<warm_up_limit> const limits =
        read_list<warm_up_limit>(in, read_warm_up_limit);
    std::vector<service_id> const added = read_ids<service_id>(in);
    return {changed, removed, idle_lifetime,           version,
            limits,  added,   read_ids<service_id>(in)};
}

// Reads a nested value; nil stands for an absent one.
template <class Value, class Read>
std::optional<Value> read_optional(field_reader& in, Read read)
{
    msgpack::object const* field = in.next_field();
    if (field == nullptr || field->type == msgpack::type::NIL)
        return std::nullopt;
    field_reader inner{*field};
    Value const value = read(inner);
    if (!inner.is_complete())
        in.mark_invalid();
    return value;
}

peer_update read_update(field_reader& in)
{
    peer_update update;
    msgpack::object const* field = in.next_field();
    if (field == nullptr)
        return update;
    field_reader inner{*field};
    if (read_kind(inner) != packet_kind::digest)
        in.mark_invalid();
    update.digest = read_digest(inner);
    if (!inner.is_complete())
        in.mark_invalid();
    update.change.base = {in.read_number()};
    update.change.to = {in.read_number()};
    update.change.result_digest = {in.read_number()};
    update.change.parts = read_list<service_part>(in, read_service_part);
    update.change.deltas = read_list<service_delta>(in, read_service_delta);
    update.change.removed = read_ids<service_id>(in);
    update.change.routes = read_optional<routes_part>(in, read_routes_part);
    update.change.route_delta =
        read_optional<routes_delta>(in, read_routes_delta);
    update.change.evacuations =
        read_optional<evacuations_part>(in, read_evacuations_part);
    return update;
}

change_request read_change_request(field_reader& in)
{
    return {{in.read_number()}};
}

message_fragment read_fragment(field_reader& in)
{
    auto const message_number =
        static_cast<std::uint32_t>(in.read_number(UINT32_MAX));
    auto const index = static_cast<std::uint16_t>(in.read_number(UINT16_MAX));
    auto const count = static_cast<std::uint16_t>(in.read_number(UINT16_MAX));
    return {message_number, index, count,
            std::string{in.read_bytes(max_datagram_size)}};
}

}  // namespace lagoon::detail
