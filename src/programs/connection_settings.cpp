#include "programs/connection_settings.hpp"

#include "programs/settings.hpp"

#include <algorithm>

namespace lagoon {

namespace {

constexpr std::uint64_t max_lines_per_second = 100'000;

log_settings read_log(json_checker& checker, json_node const& object)
{
    std::string const level = read_log_level(checker, object);
    return {level,
            static_cast<std::uint32_t>(checker.read_number(
                object, "log_lines_per_second", {1, max_lines_per_second}))};
}

// Returns 0 if the limit is absent or 0.
duration read_optional_limit(json_checker& checker, json_node const& object,
                             std::string const& key, duration unit)
{
    if (!checker.has(object, key))
        return {};
    Json::Value const& value = (*object.value)[key];
    bool const is_off = value.isNumeric() && value.asDouble() == 0;
    return is_off ? duration{} : checker.read_duration(object, key, unit);
}

entry_process_settings read_entry(json_checker& checker,
                                  json_node const& object)
{
    checker.check_keys(
        object, {"name", "data_centre", "packets", "exchange", "control",
                 "ready", "metrics", "platform", "seeds", "change_limit_ms",
                 "evacuation_limit_ms", "prefer_home_data_centre",
                 "reset_lost_connections", "longest_connection_s", "log_level",
                 "log_lines_per_second"});
    entry_process_settings settings{
        .name = checker.read_text(object, "name"),
        .data_centre = checker.read_text(object, "data_centre"),
        .packets = checker.read_address(object, "packets"),
        .exchange = checker.read_address(object, "exchange"),
        .ready = checker.read_address(object, "ready"),
        .metrics = checker.read_address(object, "metrics"),
        .platform = checker.read_address(object, "platform"),
        .change_limit = checker.read_duration(object, "change_limit_ms",
                                              std::chrono::milliseconds{1}),
        .evacuation_limit =
            read_optional_limit(checker, object, "evacuation_limit_ms",
                                std::chrono::milliseconds{1}),
        .prefer_home_data_centre =
            checker.has(object, "prefer_home_data_centre") &&
            checker.read_flag(object, "prefer_home_data_centre"),
        .reset_lost_connections =
            checker.has(object, "reset_lost_connections") &&
            checker.read_flag(object, "reset_lost_connections"),
        .max_connection_age = read_optional_limit(
            checker, object, "longest_connection_s", std::chrono::seconds{1}),
        .log = read_log(checker, object),
    };
    for (json_node const& item : checker.read_list(object, "seeds"))
        settings.seeds.push_back(checker.read_item_address(item));
    return settings;
}

target_process_settings read_target(json_checker& checker,
                                    json_node const& object)
{
    checker.check_keys(object, {"name", "service", "packets", "outbound",
                                "back_end", "ready", "metrics", "first_start",
                                "longest_connection_s", "stop_limit_s",
                                "log_level", "log_lines_per_second"});
    return {
        .name = checker.read_text(object, "name"),
        .service = checker.read_text(object, "service"),
        .packets = checker.read_address(object, "packets"),
        .outbound = checker.read_address(object, "outbound"),
        .back_end = checker.read_address(object, "back_end"),
        .ready = checker.read_address(object, "ready"),
        .metrics = checker.read_address(object, "metrics"),
        .is_first_start = checker.read_flag(object, "first_start"),
        .max_connection_age = checker.read_duration(
            object, "longest_connection_s", std::chrono::seconds{1}),
        .stop_limit = checker.read_duration(object, "stop_limit_s",
                                            std::chrono::seconds{1}),
        .log = read_log(checker, object),
    };
}

}  // namespace

std::optional<entry_process_settings>
parse_entry_process_settings(json_checker& checker, std::string const& text)
{
    return parse_checked(checker, text, read_entry);
}

std::optional<target_process_settings>
parse_target_process_settings(json_checker& checker, std::string const& text)
{
    return parse_checked(checker, text, read_target);
}

duration compute_apply_limit(entry_process_settings const& settings)
{
    return settings.evacuation_limit == duration{}
               ? settings.change_limit
               : std::min(settings.change_limit, settings.evacuation_limit);
}

log_identity make_log_identity(entry_process_settings const& settings)
{
    return {settings.name, settings.log.level};
}

log_identity make_log_identity(target_process_settings const& settings)
{
    return {settings.name, settings.log.level};
}

}  // namespace lagoon
