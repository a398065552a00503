#include "telemetry/status.hpp"

#include <limits>

namespace lagoon {

namespace {

// ---- writing ------------------------------------------------------------

Json::Value make_number(std::uint64_t value)
{
    return Json::Value::UInt64{value};
}

Json::Value make_milliseconds(duration value)
{
    std::int64_t const count =
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return make_number(
        static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0)));
}

Json::Value make_json(latency_counts const& counts)
{
    Json::Value value{Json::arrayValue};
    for (std::uint64_t const count : counts)
        value.append(make_number(count));
    return value;
}

Json::Value make_json(service_metrics const& metrics)
{
    Json::Value value{Json::objectValue};
    value["service"] = to_hex(metrics.service.value);
    value["finished"] = make_number(metrics.finished);
    value["not_run"] = make_number(metrics.not_run);
    value["unknown"] = make_number(metrics.unknown);
    value["total"] = make_json(metrics.total_time);
    value["waited"] = make_json(metrics.wait_time);
    return value;
}

Json::Value make_json(failure_count const& count)
{
    Json::Value value{Json::objectValue};
    value["step"] = to_text(count.failed_step);
    value["reason"] = to_text(count.cause);
    value["count"] = make_number(count.count);
    return value;
}

// ---- parsing ------------------------------------------------------------

template <class Enum>
Enum read_enum(json_checker& checker, json_node const& object,
               std::string const& key, Enum last)
{
    std::string const text = checker.read_text(object, key);
    for (unsigned i = 0; i <= static_cast<unsigned>(last); ++i)
        if (text == to_text(static_cast<Enum>(i)))
            return static_cast<Enum>(i);
    checker.add_problem(object, "a known " + key);
    return Enum{};
}

latency_counts read_counts(json_checker& checker, json_node const& object,
                           std::string const& key)
{
    latency_counts counts{};
    std::vector<json_node> const items = checker.read_list(object, key);
    if (items.size() != counts.size()) {
        checker.add_problem(object, std::to_string(counts.size()) + " counts");
        return counts;
    }
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (items[i].value->isUInt64())
            counts[i] = items[i].value->asUInt64();
        else
            checker.add_problem(items[i], "a count");
    }
    return counts;
}

service_metrics read_metrics(json_checker& checker, json_node const& object)
{
    service_id const service{checker.read_digest(object, "service").value};
    std::uint64_t const finished = checker.read_number(object, "finished");
    std::uint64_t const not_run = checker.read_number(object, "not_run");
    std::uint64_t const unknown = checker.read_number(object, "unknown");
    latency_counts const total = read_counts(checker, object, "total");
    return {service, finished, not_run,
            unknown, total,    read_counts(checker, object, "waited")};
}

failure_count read_failure(json_checker& checker, json_node const& object)
{
    step const failed_step =
        read_enum(checker, object, "step", step::call_control);
    reason const cause =
        read_enum(checker, object, "reason", reason::timed_out);
    return {failed_step, cause, checker.read_number(object, "count")};
}

duration read_duration(json_checker& checker, json_node const& object,
                       std::string const& key)
{
    // Durations count microseconds in 64 bits.
    constexpr std::uint64_t max_milliseconds = INT64_MAX / 2000;
    return std::chrono::milliseconds{
        checker.read_number(object, key, {0, max_milliseconds})};
}

process_status read_status(json_checker& checker, json_node const& object)
{
    process_status status{
        .name = checker.read_text(object, "name"),
        .role = checker.read_text(object, "role"),
        .data_centre = checker.read_text(object, "data_centre"),
        .version = {{checker.read_number(object, "generation")},
                    checker.read_digest(object, "digest")},
        .is_ready = checker.read_flag(object, "ready"),
        .is_leaving = checker.read_flag(object, "leaving"),
        .platform_age = read_duration(checker, object, "platform_age_ms"),
        .uptime = read_duration(checker, object, "up_ms"),
        .flow_count = checker.read_number(object, "flows"),
        .request_count = checker.read_number(object, "requests"),
        .packet_count = checker.read_number(object, "packets"),
    };
    for (json_node const& item : checker.read_list(object, "services"))
        status.services.push_back(read_metrics(checker, item));
    for (json_node const& item : checker.read_list(object, "failures"))
        status.failures.push_back(read_failure(checker, item));
    return status;
}

}  // namespace

std::string write_status(process_status const& status)
{
    Json::Value value{Json::objectValue};
    value["name"] = status.name;
    value["role"] = status.role;
    value["data_centre"] = status.data_centre;
    value["generation"] = make_number(status.version.number.value);
    value["digest"] = to_hex(status.version.content.value);
    value["ready"] = status.is_ready;
    value["leaving"] = status.is_leaving;
    value["platform_age_ms"] = make_milliseconds(status.platform_age);
    value["up_ms"] = make_milliseconds(status.uptime);
    value["flows"] = make_number(status.flow_count);
    value["requests"] = make_number(status.request_count);
    value["packets"] = make_number(status.packet_count);
    value["services"] = Json::Value{Json::arrayValue};
    for (service_metrics const& metrics : status.services)
        value["services"].append(make_json(metrics));
    value["failures"] = Json::Value{Json::arrayValue};
    for (failure_count const& count : status.failures)
        value["failures"].append(make_json(count));
    return compact_json(value);
}

std::optional<process_status> parse_status(json_checker& checker,
                                           std::string const& text)
{
    return parse_checked(checker, text, read_status);
}

}  // namespace lagoon
