#include "documents/documents.hpp"

#include <algorithm>

namespace lagoon {

namespace {

constexpr std::uint32_t max_slots = 100'000;

// ---- names of states ----------------------------------------------------

char const* to_name(target_state state)
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

target_state read_state(json_checker& checker, json_node const& object)
{
    std::string const name = checker.read_text(object, "state");
    for (target_state const state :
         {target_state::serving, target_state::joining, target_state::leaving})
        if (name == to_name(state))
            return state;
    checker.add_problem(object, "a state: serving, joining or leaving");
    return target_state::leaving;
}

// ---- writing ------------------------------------------------------------

Json::Value to_json_number(generation value)
{
    return Json::Value::UInt64{value.value};
}

Json::Value to_json(target_record const& target)
{
    Json::Value value{Json::objectValue};
    value["name"] = target.name;
    value["data_centre"] = target.data_centre;
    value["address"] = to_text(target.address);
    value["control"] = to_text(target.control);
    value["slots"] = target.slots;
    value["state"] = to_name(target.state);
    if (target.started_at_ms > 0)
        value["started_at_ms"] = Json::UInt64{target.started_at_ms};
    return value;
}

Json::Value to_json(entry_record const& entry)
{
    Json::Value value{Json::objectValue};
    value["name"] = entry.name;
    value["data_centre"] = entry.data_centre;
    value["exchange"] = to_text(entry.exchange);
    value["control"] = to_text(entry.control);
    return value;
}

Json::Value to_json(service_part const& part)
{
    Json::Value value{Json::objectValue};
    value["name"] = part.name;
    value["changed_at"] = to_json_number(part.changed_at);
    value["callers"] = Json::Value{Json::arrayValue};
    for (caller_id const caller : part.callers)
        value["callers"].append(to_hex(caller.value));
    value["targets"] = Json::Value{Json::arrayValue};
    for (target_record const& target : part.targets)
        value["targets"].append(to_json(target));
    return value;
}

Json::Value to_json(fleet_part const& part)
{
    Json::Value value{Json::objectValue};
    value["changed_at"] = to_json_number(part.changed_at);
    value["entries"] = Json::Value{Json::arrayValue};
    for (entry_record const& entry : part.entries)
        value["entries"].append(to_json(entry));
    return value;
}

Json::Value to_json(duration value)
{
    return Json::Value::Int64{value.count()};
}

Json::Value to_json(route_record const& route)
{
    Json::Value value{Json::objectValue};
    value["address"] = to_text(route.address);
    value["services"] = Json::Value{Json::arrayValue};
    for (weighted_service const& share : route.services) {
        Json::Value item{Json::objectValue};
        item["service"] = to_hex(share.service.value);
        item["weight"] = share.weight;
        value["services"].append(item);
    }
    value["objective_us"] = to_json(route.objective);
    value["deadline_us"] = to_json(route.deadline);
    value["priority"] = route.priority;
    value["idempotent"] = route.is_idempotent;
    return value;
}

Json::Value to_json(warm_up_limit const& limit)
{
    Json::Value value{Json::objectValue};
    value["service"] = to_hex(limit.service.value);
    value["warm_up_time_us"] = to_json(limit.warm_up_time);
    value["opens_per_second"] = limit.opens_per_second;
    return value;
}

// Adds the version and the limits of the routes, unless there are none.
void add_version_and_limits(Json::Value& routes, std::uint64_t version,
                            std::vector<warm_up_limit> const& limits)
{
    if (version > 0)
        routes["version"] = Json::UInt64{version};
    for (warm_up_limit const& limit : limits)
        routes["warm_up_limits"].append(to_json(limit));
}

// Adds a list of services, unless it is empty.
void add_services(Json::Value& object, char const* key,
                  std::vector<service_id> const& services)
{
    for (service_id const id : services)
        object[key].append(to_hex(id.value));
}

Json::Value to_json(evacuations_part const& part)
{
    Json::Value value{Json::objectValue};
    value["changed_at"] = to_json_number(part.changed_at);
    value["data_centres"] = Json::Value{Json::arrayValue};
    for (std::string const& name : part.data_centres)
        value["data_centres"].append(name);
    return value;
}

Json::Value to_json(routes_part const& part)
{
    Json::Value value{Json::objectValue};
    value["changed_at"] = to_json_number(part.changed_at);
    value["idle_lifetime_us"] = to_json(part.idle_lifetime);
    value["routes"] = Json::Value{Json::arrayValue};
    for (route_record const& route : part.routes)
        value["routes"].append(to_json(route));
    add_version_and_limits(value, part.version, part.warm_up_limits);
    add_services(value, "services", part.services);
    return value;
}

Json::Value to_json(std::vector<service_delta> const& deltas)
{
    Json::Value all{Json::arrayValue};
    for (service_delta const& delta : deltas) {
        Json::Value value{Json::objectValue};
        value["name"] = delta.name;
        value["changed"] = Json::Value{Json::arrayValue};
        for (target_record const& target : delta.changed)
            value["changed"].append(to_json(target));
        value["gone"] = Json::Value{Json::arrayValue};
        for (target_id const id : delta.removed)
            value["gone"].append(to_hex(id.value));
        all.append(value);
    }
    return all;
}

Json::Value to_json(routes_delta const& delta)
{
    Json::Value value{Json::objectValue};
    value["idle_lifetime_us"] = to_json(delta.idle_lifetime);
    value["changed"] = Json::Value{Json::arrayValue};
    for (route_record const& route : delta.changed)
        value["changed"].append(to_json(route));
    value["gone"] = Json::Value{Json::arrayValue};
    for (peer_address const& address : delta.removed)
        value["gone"].append(to_text(address));
    add_version_and_limits(value, delta.version, delta.warm_up_limits);
    add_services(value, "added_services", delta.added_services);
    add_services(value, "gone_services", delta.removed_services);
    return value;
}

Json::Value to_json(part_change const& change)
{
    Json::Value value{Json::objectValue};
    value["at"] = to_json_number(change.changed_at);
    value["name"] = change.name;
    value["removed"] = change.is_removed;
    return value;
}

Json::Value to_json(std::vector<part_change> const& changes)
{
    Json::Value value{Json::arrayValue};
    for (part_change const& change : changes)
        value.append(to_json(change));
    return value;
}

Json::Value to_json(catalog_version const& version)
{
    Json::Value value{Json::objectValue};
    value["generation"] = to_json_number(version.number);
    value["digest"] = to_hex(version.content.value);
    return value;
}

// ---- parsing ------------------------------------------------------------

constexpr number_range generation_range{1, INT64_MAX};

generation read_generation(json_checker& checker, json_node const& object,
                           std::string const& key, number_range range)
{
    return {checker.read_number(object, key, range)};
}

catalog_version read_version(json_checker& checker, json_node const& object)
{
    generation const number =
        read_generation(checker, object, "generation", generation_range);
    return {number, checker.read_digest(object, "digest")};
}

part_change read_part_change(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"at", "name", "removed"});
    generation const at =
        read_generation(checker, object, "at", generation_range);
    // Empty for the fleet.
    std::string const name = checker.read_any_text(object, "name");
    return {at, name, checker.read_flag(object, "removed")};
}

std::vector<part_change> read_part_changes(json_checker& checker,
                                           json_node const& object,
                                           std::string const& key)
{
    std::vector<part_change> changes;
    for (json_node const& item : checker.read_list(object, key))
        changes.push_back(read_part_change(checker, item));
    return changes;
}

target_record read_target(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"name", "data_centre", "address", "control",
                                "slots", "state", "started_at_ms"});
    std::string const name = checker.read_text(object, "name");
    std::string const data_centre = checker.read_text(object, "data_centre");
    peer_address const address = checker.read_address(object, "address");
    peer_address const control = checker.read_address(object, "control");
    auto const slots = static_cast<std::uint32_t>(
        checker.read_number(object, "slots", {1, max_slots}));
    target_state const state = read_state(checker, object);
    return {make_target_id(name),
            name,
            data_centre,
            address,
            control,
            slots,
            state,
            checker.read_number_or(object, "started_at_ms", 0)};
}

entry_record read_entry(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"name", "data_centre", "exchange", "control"});
    std::string const name = checker.read_text(object, "name");
    std::string const data_centre = checker.read_text(object, "data_centre");
    peer_address const exchange = checker.read_address(object, "exchange");
    peer_address const control = checker.read_address(object, "control");
    return {make_process_id(name), name, data_centre, exchange, control};
}

duration read_microseconds(json_checker& checker, json_node const& object,
                           std::string const& key)
{
    return duration{static_cast<std::int64_t>(
        checker.read_number(object, key, {0, INT64_MAX}))};
}

caller_id read_id(json_checker& checker, json_node const& item)
{
    // Ids in lists are 16 hexadecimal digits; read_digest() needs a field.
    Json::Value wrapped{Json::objectValue};
    wrapped["id"] = *item.value;
    return {checker.read_digest({&wrapped, item.path}, "id").value};
}

service_part read_service(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"name", "changed_at", "callers", "targets"});
    std::string const name = checker.read_text(object, "name");
    generation const changed_at =
        read_generation(checker, object, "changed_at", generation_range);
    std::vector<caller_id> callers;
    for (json_node const& item : checker.read_list(object, "callers"))
        callers.push_back(read_id(checker, item));
    std::sort(callers.begin(), callers.end());
    std::vector<target_record> targets;
    for (json_node const& item : checker.read_list(object, "targets"))
        targets.push_back(read_target(checker, item));
    return {make_service_id(name), name, changed_at, callers, targets};
}

fleet_part read_fleet(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"changed_at", "entries"});
    generation const changed_at =
        read_generation(checker, object, "changed_at", generation_range);
    std::vector<entry_record> entries;
    for (json_node const& item : checker.read_list(object, "entries"))
        entries.push_back(read_entry(checker, item));
    return {changed_at, entries};
}

weighted_service read_weighted_service(json_checker& checker,
                                       json_node const& object)
{
    checker.check_keys(object, {"service", "weight"});
    service_id const service{checker.read_digest(object, "service").value};
    return {service, static_cast<std::uint32_t>(checker.read_number(
                         object, "weight", {0, UINT32_MAX}))};
}

route_record read_route(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"address", "services", "objective_us",
                                "deadline_us", "priority", "idempotent"});
    peer_address const address = checker.read_address(object, "address");
    std::vector<weighted_service> services;
    for (json_node const& item : checker.read_list(object, "services"))
        services.push_back(read_weighted_service(checker, item));
    duration const objective =
        read_microseconds(checker, object, "objective_us");
    duration const deadline = read_microseconds(checker, object, "deadline_us");
    auto const priority = static_cast<std::uint8_t>(
        checker.read_number(object, "priority", {0, UINT8_MAX}));
    return {address,  services, objective,
            deadline, priority, checker.read_flag(object, "idempotent")};
}

warm_up_limit read_warm_up_limit(json_checker& checker, json_node const& object)
{
    checker.check_keys(object,
                       {"service", "warm_up_time_us", "opens_per_second"});
    service_id const service{checker.read_digest(object, "service").value};
    duration const time = read_microseconds(checker, object, "warm_up_time_us");
    return {service, time,
            static_cast<std::uint32_t>(checker.read_number(
                object, "opens_per_second", {0, UINT32_MAX}))};
}

std::vector<warm_up_limit> read_warm_up_limits(json_checker& checker,
                                               json_node const& object)
{
    std::vector<warm_up_limit> limits;
    if (!checker.has(object, "warm_up_limits"))
        return limits;
    for (json_node const& item : checker.read_list(object, "warm_up_limits"))
        limits.push_back(read_warm_up_limit(checker, item));
    return limits;
}

// Returns a sorted list, which is empty if the key is missing.
std::vector<service_id> read_services(json_checker& checker,
                                      json_node const& object, char const* key)
{
    std::vector<service_id> services;
    if (!checker.has(object, key))
        return services;
    for (json_node const& item : checker.read_list(object, key))
        services.push_back({read_id(checker, item).value});
    std::sort(services.begin(), services.end());
    return services;
}

evacuations_part read_evacuations(json_checker& checker,
                                  json_node const& object)
{
    checker.check_keys(object, {"changed_at", "data_centres"});
    evacuations_part part{
        read_generation(checker, object, "changed_at", {0, INT64_MAX}), {}};
    for (json_node const& item : checker.read_list(object, "data_centres"))
        part.data_centres.push_back(checker.read_item_text(item));
    std::sort(part.data_centres.begin(), part.data_centres.end());
    return part;
}

routes_part read_routes(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"changed_at", "idle_lifetime_us", "routes",
                                "version", "warm_up_limits", "services"});
    generation const changed_at =
        read_generation(checker, object, "changed_at", {0, INT64_MAX});
    duration const idle =
        read_microseconds(checker, object, "idle_lifetime_us");
    std::vector<route_record> routes;
    for (json_node const& item : checker.read_list(object, "routes"))
        routes.push_back(read_route(checker, item));
    return {changed_at,
            routes,
            idle,
            checker.read_number_or(object, "version", 0),
            read_warm_up_limits(checker, object),
            read_services(checker, object, "services")};
}

platform_head read_head(json_checker& checker, json_node const& object)
{
    checker.check_keys(object,
                       {"generation", "digest", "reaches_back", "recent"});
    catalog_version const version = read_version(checker, object);
    generation const reaches_back =
        read_generation(checker, object, "reaches_back", {0, INT64_MAX});
    return {version, reaches_back,
            read_part_changes(checker, object, "recent")};
}

platform_index read_index(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"generation", "digest", "parts"});
    catalog_version const version = read_version(checker, object);
    return {version, read_part_changes(checker, object, "parts")};
}

service_delta read_delta(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"name", "changed", "gone"});
    std::string const name = checker.read_text(object, "name");
    service_delta delta{make_service_id(name), name, {}, {}};
    for (json_node const& item : checker.read_list(object, "changed"))
        delta.changed.push_back(read_target(checker, item));
    for (json_node const& item : checker.read_list(object, "gone"))
        delta.removed.push_back({read_id(checker, item).value});
    return delta;
}

routes_delta read_route_delta(json_checker& checker, json_node const& object)
{
    checker.check_keys(object,
                       {"idle_lifetime_us", "changed", "gone", "version",
                        "warm_up_limits", "added_services", "gone_services"});
    routes_delta delta{{},
                       {},
                       read_microseconds(checker, object, "idle_lifetime_us"),
                       checker.read_number_or(object, "version", 0),
                       read_warm_up_limits(checker, object),
                       read_services(checker, object, "added_services"),
                       read_services(checker, object, "gone_services")};
    for (json_node const& item : checker.read_list(object, "changed"))
        delta.changed.push_back(read_route(checker, item));
    for (json_node const& item : checker.read_list(object, "gone"))
        delta.removed.push_back(checker.read_item_address(item));
    return delta;
}

catalog_change read_change(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"generation", "digest", "base", "parts",
                                "removed", "fleet", "routes", "deltas",
                                "route_delta", "evacuations"});
    catalog_version const version = read_version(checker, object);
    generation const base =
        read_generation(checker, object, "base", {0, INT64_MAX});
    std::vector<service_part> parts;
    for (json_node const& item : checker.read_list(object, "parts"))
        parts.push_back(read_service(checker, item));
    std::vector<service_id> removed;
    for (json_node const& item : checker.read_list(object, "removed"))
        removed.push_back({read_id(checker, item).value});
    std::optional<fleet_part> fleet;
    if (checker.has(object, "fleet"))
        fleet = read_fleet(checker, checker.read_object(object, "fleet"));
    std::optional<routes_part> routes;
    if (checker.has(object, "routes"))
        routes = read_routes(checker, checker.read_object(object, "routes"));
    std::vector<service_delta> deltas;
    if (checker.has(object, "deltas"))
        for (json_node const& item : checker.read_list(object, "deltas"))
            deltas.push_back(read_delta(checker, item));
    std::optional<routes_delta> route_delta;
    if (checker.has(object, "route_delta"))
        route_delta = read_route_delta(
            checker, checker.read_object(object, "route_delta"));
    std::optional<evacuations_part> evacuations;
    if (checker.has(object, "evacuations"))
        evacuations = read_evacuations(
            checker, checker.read_object(object, "evacuations"));
    return {base,  version.number, version.content, parts,       removed,
            fleet, routes,         deltas,          route_delta, evacuations};
}

}  // namespace

// ---- writing ------------------------------------------------------------

std::string write_document(platform_head const& head)
{
    Json::Value value = to_json(head.version);
    value["reaches_back"] = to_json_number(head.reaches_back);
    value["recent"] = to_json(head.recent);
    return compact_json(value);
}

std::string write_document(platform_index const& index)
{
    Json::Value value = to_json(index.version);
    value["parts"] = to_json(index.parts);
    return compact_json(value);
}

std::string write_document(fleet_part const& part)
{
    return compact_json(to_json(part));
}

std::string write_document(service_part const& part)
{
    return compact_json(to_json(part));
}

std::string write_document(catalog_change const& change)
{
    Json::Value value =
        to_json(catalog_version{change.to, change.result_digest});
    value["base"] = to_json_number(change.base);
    value["parts"] = Json::Value{Json::arrayValue};
    for (service_part const& part : change.parts)
        value["parts"].append(to_json(part));
    value["removed"] = Json::Value{Json::arrayValue};
    for (service_id const id : change.removed)
        value["removed"].append(to_hex(id.value));
    if (change.fleet)
        value["fleet"] = to_json(*change.fleet);
    if (change.routes)
        value["routes"] = to_json(*change.routes);
    if (!change.deltas.empty())
        value["deltas"] = to_json(change.deltas);
    if (change.route_delta)
        value["route_delta"] = to_json(*change.route_delta);
    if (change.evacuations)
        value["evacuations"] = to_json(*change.evacuations);
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
