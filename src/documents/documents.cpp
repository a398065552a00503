#include "documents/documents.hpp"

#include <algorithm>

namespace lagoon {

namespace {

constexpr std::uint32_t most_slots = 100'000;

// ---- names of states ----------------------------------------------------

char const* name_of(target_state state)
{
    switch (state) {
    case target_state::serving:
        return "serving";
    case target_state::joining:
        return "joining";
    case target_state::leaving:
        return "leaving";
    }
    return "?";
}

target_state state_named(json_checker& checker, json_place const& object)
{
    std::string const name = checker.text(object, "state");
    for (target_state const state :
         {target_state::serving, target_state::joining, target_state::leaving})
        if (name == name_of(state))
            return state;
    checker.problem(object, "a state: serving, joining or leaving");
    return target_state::leaving;
}

// ---- writing ------------------------------------------------------------

Json::Value number_of(generation value)
{
    return Json::Value::UInt64{value.value};
}

Json::Value json_of(target_record const& target)
{
    Json::Value value{Json::objectValue};
    value["name"] = target.name;
    value["data_centre"] = target.data_centre;
    value["address"] = to_text(target.address);
    value["control"] = to_text(target.control);
    value["slots"] = target.slots;
    value["state"] = name_of(target.state);
    return value;
}

Json::Value json_of(entry_record const& entry)
{
    Json::Value value{Json::objectValue};
    value["name"] = entry.name;
    value["data_centre"] = entry.data_centre;
    value["exchange"] = to_text(entry.exchange);
    value["control"] = to_text(entry.control);
    return value;
}

Json::Value json_of(service_part const& part)
{
    Json::Value value{Json::objectValue};
    value["name"] = part.name;
    value["changed_at"] = number_of(part.changed_at);
    value["callers"] = Json::Value{Json::arrayValue};
    for (caller_id const caller : part.callers)
        value["callers"].append(hex_of(caller.value));
    value["targets"] = Json::Value{Json::arrayValue};
    for (target_record const& target : part.targets)
        value["targets"].append(json_of(target));
    return value;
}

Json::Value json_of(fleet_part const& part)
{
    Json::Value value{Json::objectValue};
    value["changed_at"] = number_of(part.changed_at);
    value["entries"] = Json::Value{Json::arrayValue};
    for (entry_record const& entry : part.entries)
        value["entries"].append(json_of(entry));
    return value;
}

Json::Value json_of(duration value)
{
    return Json::Value::Int64{value.count()};
}

Json::Value json_of(route_record const& route)
{
    Json::Value value{Json::objectValue};
    value["address"] = to_text(route.address);
    value["services"] = Json::Value{Json::arrayValue};
    for (weighted_service const& share : route.services) {
        Json::Value one{Json::objectValue};
        one["service"] = hex_of(share.service.value);
        one["weight"] = share.weight;
        value["services"].append(one);
    }
    value["objective_us"] = json_of(route.objective);
    value["deadline_us"] = json_of(route.deadline);
    value["priority"] = route.priority;
    value["idempotent"] = route.is_idempotent;
    return value;
}

Json::Value json_of(routes_part const& part)
{
    Json::Value value{Json::objectValue};
    value["changed_at"] = number_of(part.changed_at);
    value["idle_lifetime_us"] = json_of(part.idle_lifetime);
    value["routes"] = Json::Value{Json::arrayValue};
    for (route_record const& route : part.routes)
        value["routes"].append(json_of(route));
    return value;
}

Json::Value json_of(std::vector<service_delta> const& deltas)
{
    Json::Value all{Json::arrayValue};
    for (service_delta const& delta : deltas) {
        Json::Value value{Json::objectValue};
        value["name"] = delta.name;
        value["changed"] = Json::Value{Json::arrayValue};
        for (target_record const& target : delta.changed)
            value["changed"].append(json_of(target));
        value["gone"] = Json::Value{Json::arrayValue};
        for (target_id const id : delta.gone)
            value["gone"].append(hex_of(id.value));
        all.append(value);
    }
    return all;
}

Json::Value json_of(routes_delta const& delta)
{
    Json::Value value{Json::objectValue};
    value["idle_lifetime_us"] = json_of(delta.idle_lifetime);
    value["changed"] = Json::Value{Json::arrayValue};
    for (route_record const& route : delta.changed)
        value["changed"].append(json_of(route));
    value["gone"] = Json::Value{Json::arrayValue};
    for (peer_address const& address : delta.gone)
        value["gone"].append(to_text(address));
    return value;
}

Json::Value json_of(part_change const& change)
{
    Json::Value value{Json::objectValue};
    value["at"] = number_of(change.at);
    value["name"] = change.name;
    value["removed"] = change.removed;
    return value;
}

Json::Value json_of(std::vector<part_change> const& changes)
{
    Json::Value value{Json::arrayValue};
    for (part_change const& change : changes)
        value.append(json_of(change));
    return value;
}

Json::Value json_of(catalog_version const& version)
{
    Json::Value value{Json::objectValue};
    value["generation"] = number_of(version.number);
    value["digest"] = hex_of(version.content.value);
    return value;
}

// ---- parsing ------------------------------------------------------------

constexpr number_range generations{1, INT64_MAX};

generation read_generation(json_checker& checker, json_place const& object,
                           std::string const& key, number_range range)
{
    return {checker.number(object, key, range)};
}

catalog_version read_version(json_checker& checker, json_place const& object)
{
    generation const number =
        read_generation(checker, object, "generation", generations);
    return {number, checker.hex(object, "digest")};
}

part_change read_part_change(json_checker& checker, json_place const& object)
{
    checker.only(object, {"at", "name", "removed"});
    generation const at = read_generation(checker, object, "at", generations);
    // An empty name stands for the fleet, so text() doesn't do.
    bool const named =
        object.value->isMember("name") && (*object.value)["name"].isString();
    if (!named)
        checker.problem(object, "a key \"name\"");
    std::string const name =
        named ? (*object.value)["name"].asString() : std::string{};
    return {at, name, checker.flag(object, "removed")};
}

std::vector<part_change> read_part_changes(json_checker& checker,
                                           json_place const& object,
                                           std::string const& key)
{
    std::vector<part_change> changes;
    for (json_place const& item : checker.list(object, key))
        if (item.value->isObject())
            changes.push_back(read_part_change(checker, item));
        else
            checker.problem(item, "an object");
    return changes;
}

target_record read_target(json_checker& checker, json_place const& object)
{
    checker.only(object, {"name", "data_centre", "address", "control", "slots",
                          "state"});
    std::string const name = checker.text(object, "name");
    std::string const data_centre = checker.text(object, "data_centre");
    peer_address const address = checker.address(object, "address");
    peer_address const control = checker.address(object, "control");
    auto const slots = static_cast<std::uint32_t>(
        checker.number(object, "slots", {1, most_slots}));
    target_state const state = state_named(checker, object);
    return {
        target_named(name), name, data_centre, address, control, slots, state};
}

entry_record read_entry(json_checker& checker, json_place const& object)
{
    checker.only(object, {"name", "data_centre", "exchange", "control"});
    std::string const name = checker.text(object, "name");
    std::string const data_centre = checker.text(object, "data_centre");
    peer_address const exchange = checker.address(object, "exchange");
    peer_address const control = checker.address(object, "control");
    return {process_named(name), name, data_centre, exchange, control};
}

duration read_span(json_checker& checker, json_place const& object,
                   std::string const& key)
{
    return duration{
        static_cast<std::int64_t>(checker.number(object, key, {0, INT64_MAX}))};
}

caller_id read_caller(json_checker& checker, json_place const& item)
{
    // The id of a caller is written as 16 hexadecimal digits.
    Json::Value wrapped{Json::objectValue};
    wrapped["id"] = *item.value;
    return {checker.hex({&wrapped, item.path}, "id").value};
}

service_part read_service(json_checker& checker, json_place const& object)
{
    checker.only(object, {"name", "changed_at", "callers", "targets"});
    std::string const name = checker.text(object, "name");
    generation const changed_at =
        read_generation(checker, object, "changed_at", generations);
    std::vector<caller_id> callers;
    for (json_place const& item : checker.list(object, "callers"))
        callers.push_back(read_caller(checker, item));
    std::sort(callers.begin(), callers.end());
    std::vector<target_record> targets;
    for (json_place const& item : checker.list(object, "targets"))
        targets.push_back(read_target(checker, item));
    return {service_named(name), name, changed_at, callers, targets};
}

fleet_part read_fleet(json_checker& checker, json_place const& object)
{
    checker.only(object, {"changed_at", "entries"});
    generation const changed_at =
        read_generation(checker, object, "changed_at", generations);
    std::vector<entry_record> entries;
    for (json_place const& item : checker.list(object, "entries"))
        entries.push_back(read_entry(checker, item));
    return {changed_at, entries};
}

weighted_service read_share(json_checker& checker, json_place const& object)
{
    checker.only(object, {"service", "weight"});
    service_id const service{checker.hex(object, "service").value};
    return {service, static_cast<std::uint32_t>(
                         checker.number(object, "weight", {0, UINT32_MAX}))};
}

route_record read_route(json_checker& checker, json_place const& object)
{
    checker.only(object, {"address", "services", "objective_us", "deadline_us",
                          "priority", "idempotent"});
    peer_address const address = checker.address(object, "address");
    std::vector<weighted_service> services;
    for (json_place const& item : checker.list(object, "services"))
        services.push_back(read_share(checker, item));
    duration const objective = read_span(checker, object, "objective_us");
    duration const deadline = read_span(checker, object, "deadline_us");
    auto const priority = static_cast<std::uint8_t>(
        checker.number(object, "priority", {0, UINT8_MAX}));
    return {address,  services, objective,
            deadline, priority, checker.flag(object, "idempotent")};
}

routes_part read_routes(json_checker& checker, json_place const& object)
{
    checker.only(object, {"changed_at", "idle_lifetime_us", "routes"});
    generation const changed_at =
        read_generation(checker, object, "changed_at", {0, INT64_MAX});
    duration const idle = read_span(checker, object, "idle_lifetime_us");
    std::vector<route_record> routes;
    for (json_place const& item : checker.list(object, "routes"))
        routes.push_back(read_route(checker, item));
    return {changed_at, routes, idle};
}

platform_head read_head(json_checker& checker, json_place const& object)
{
    checker.only(object, {"generation", "digest", "reaches_back", "recent"});
    catalog_version const version = read_version(checker, object);
    generation const reaches_back =
        read_generation(checker, object, "reaches_back", {0, INT64_MAX});
    return {version, reaches_back,
            read_part_changes(checker, object, "recent")};
}

platform_index read_index(json_checker& checker, json_place const& object)
{
    checker.only(object, {"generation", "digest", "parts"});
    catalog_version const version = read_version(checker, object);
    return {version, read_part_changes(checker, object, "parts")};
}

service_delta read_delta(json_checker& checker, json_place const& object)
{
    checker.only(object, {"name", "changed", "gone"});
    std::string const name = checker.text(object, "name");
    service_delta delta{service_named(name), name, {}, {}};
    for (json_place const& item : checker.list(object, "changed"))
        delta.changed.push_back(read_target(checker, item));
    for (json_place const& item : checker.list(object, "gone"))
        delta.gone.push_back({read_caller(checker, item).value});
    return delta;
}

routes_delta read_route_delta(json_checker& checker, json_place const& object)
{
    checker.only(object, {"idle_lifetime_us", "changed", "gone"});
    routes_delta delta{{}, {}, read_span(checker, object, "idle_lifetime_us")};
    for (json_place const& item : checker.list(object, "changed"))
        delta.changed.push_back(read_route(checker, item));
    for (json_place const& item : checker.list(object, "gone"))
        delta.gone.push_back(checker.item_address(item));
    return delta;
}

catalog_change read_change(json_checker& checker, json_place const& object)
{
    checker.only(object, {"generation", "digest", "base", "parts", "removed",
                          "fleet", "routes", "deltas", "route_delta"});
    catalog_version const version = read_version(checker, object);
    generation const base =
        read_generation(checker, object, "base", {0, INT64_MAX});
    std::vector<service_part> parts;
    for (json_place const& item : checker.list(object, "parts"))
        parts.push_back(read_service(checker, item));
    std::vector<service_id> removed;
    for (json_place const& item : checker.list(object, "removed"))
        removed.push_back({read_caller(checker, item).value});
    std::optional<fleet_part> fleet;
    if (checker.has(object, "fleet"))
        fleet = read_fleet(checker, checker.object(object, "fleet"));
    std::optional<routes_part> routes;
    if (checker.has(object, "routes"))
        routes = read_routes(checker, checker.object(object, "routes"));
    std::vector<service_delta> deltas;
    if (checker.has(object, "deltas"))
        for (json_place const& item : checker.list(object, "deltas"))
            deltas.push_back(read_delta(checker, item));
    std::optional<routes_delta> route_delta;
    if (checker.has(object, "route_delta"))
        route_delta =
            read_route_delta(checker, checker.object(object, "route_delta"));
    return {base,  version.number, version.content, parts,      removed,
            fleet, routes,         deltas,          route_delta};
}

}  // namespace

// ---- writing ------------------------------------------------------------

std::string write_document(platform_head const& head)
{
    Json::Value value = json_of(head.version);
    value["reaches_back"] = number_of(head.reaches_back);
    value["recent"] = json_of(head.recent);
    return compact_json(value);
}

std::string write_document(platform_index const& index)
{
    Json::Value value = json_of(index.version);
    value["parts"] = json_of(index.parts);
    return compact_json(value);
}

std::string write_document(fleet_part const& part)
{
    return compact_json(json_of(part));
}

std::string write_document(service_part const& part)
{
    return compact_json(json_of(part));
}

std::string write_document(catalog_change const& change)
{
    Json::Value value = json_of(catalog_version{change.to, change.whole});
    value["base"] = number_of(change.base);
    value["parts"] = Json::Value{Json::arrayValue};
    for (service_part const& part : change.parts)
        value["parts"].append(json_of(part));
    value["removed"] = Json::Value{Json::arrayValue};
    for (service_id const id : change.removed)
        value["removed"].append(hex_of(id.value));
    if (change.fleet)
        value["fleet"] = json_of(*change.fleet);
    if (change.routes)
        value["routes"] = json_of(*change.routes);
    if (!change.deltas.empty())
        value["deltas"] = json_of(change.deltas);
    if (change.route_delta)
        value["route_delta"] = json_of(*change.route_delta);
    return compact_json(value);
}

// ---- parsing ------------------------------------------------------------

std::optional<platform_head> parse_head(json_checker& checker,
                                        std::string const& text)
{
    return parse_checked(checker, text, read_head);
}

std::optional<platform_index> parse_index(json_checker& checker,
                                          std::string const& text)
{
    return parse_checked(checker, text, read_index);
}

std::optional<fleet_part> parse_fleet(json_checker& checker,
                                      std::string const& text)
{
    return parse_checked(checker, text, read_fleet);
}

std::optional<service_part> parse_service(json_checker& checker,
                                          std::string const& text)
{
    return parse_checked(checker, text, read_service);
}

std::optional<catalog_change> parse_change(json_checker& checker,
                                           std::string const& text)
{
    return parse_checked(checker, text, read_change);
}

}  // namespace lagoon
