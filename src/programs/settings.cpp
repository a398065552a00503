#include "programs/settings.hpp"

namespace lagoon {

namespace {

constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_cold_ms = 3'600'000;
constexpr std::uint64_t max_answer_memory_mb = 1U << 20U;
constexpr std::uint64_t default_answer_memory_mb = 64;

token_process_settings read_process(json_checker& checker,
                                    json_node const& object)
{
    std::string const name = checker.read_text(object, "name");
    std::string const data_centre = checker.read_text(object, "data_centre");
    peer_address const control = checker.read_address(object, "control");
    peer_address const platform = checker.read_address(object, "platform");
    std::vector<peer_address> seeds;
    for (json_node const& item : checker.read_list(object, "seeds"))
        seeds.push_back(checker.read_item_address(item));
    return {name,     data_centre, control,
            platform, seeds,       read_log_level(checker, object)};
}

token_entry_settings read_entry(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"name", "data_centre", "control", "platform",
                                "seeds", "log_level", "callers", "exchange"});
    token_process_settings const process = read_process(checker, object);
    peer_address const callers = checker.read_address(object, "callers");
    return {process, callers, checker.read_address(object, "exchange")};
}

token_target_settings read_target(json_checker& checker,
                                  json_node const& object)
{
    checker.check_keys(object, {"name", "data_centre", "control", "platform",
                                "seeds", "log_level", "packets", "back_end",
                                "slots", "cold_ms", "answer_memory_mb"});
    token_process_settings const process = read_process(checker, object);
    peer_address const packets = checker.read_address(object, "packets");
    peer_address const back_end = checker.read_address(object, "back_end");
    auto const slots = static_cast<std::uint32_t>(
        checker.read_number(object, "slots", {1, max_slots}));
    std::uint64_t const cold =
        checker.read_number_or(object, "cold_ms", 0, {0, max_cold_ms});
    std::uint64_t const memory = checker.read_number_or(
        object, "answer_memory_mb", default_answer_memory_mb,
        {1, max_answer_memory_mb});
    return {
        process,      packets, back_end, slots, std::chrono::milliseconds{cold},
        memory << 20U};
}

}  // namespace

std::string read_log_level(json_checker& checker, json_node const& object)
{
    return checker.read_choice(object, "log_level",
                               {"info", "debug", "warn", "error"});
}

std::optional<token_entry_settings>
parse_token_entry_settings(json_checker& checker, std::string const& text)
{
    return parse_checked(checker, text, read_entry);
}

std::optional<token_target_settings>
parse_token_target_settings(json_checker& checker, std::string const& text)
{
    return parse_checked(checker, text, read_target);
}

log_identity make_log_identity(token_entry_settings const& settings)
{
    return {settings.process.name, settings.process.log_level};
}

log_identity make_log_identity(token_target_settings const& settings)
{
    return {settings.process.name, settings.process.log_level};
}

}  // namespace lagoon
