#include "programs/settings.hpp"

namespace lagoon {

namespace {

constexpr std::uint64_t most_slots = 100'000;
constexpr std::uint64_t longest_cold = 3'600'000;        // milliseconds
constexpr std::uint64_t most_answer_memory = 1U << 20U;  // megabytes
constexpr std::uint64_t usual_answer_memory = 64;        // megabytes

process_settings read_process(json_checker& checker, json_node const& object)
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

entry_settings read_entry(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"name", "data_centre", "control", "platform",
                                "seeds", "log_level", "callers", "exchange"});
    process_settings const process = read_process(checker, object);
    peer_address const callers = checker.read_address(object, "callers");
    return {process, callers, checker.read_address(object, "exchange")};
}

slot_settings read_slot(json_checker& checker, json_node const& object)
{
    checker.check_keys(object, {"name", "data_centre", "control", "platform",
                                "seeds", "log_level", "packets", "back_end",
                                "slots", "cold_ms", "answer_memory_mb"});
    process_settings const process = read_process(checker, object);
    peer_address const packets = checker.read_address(object, "packets");
    peer_address const back_end = checker.read_address(object, "back_end");
    auto const slots = static_cast<std::uint32_t>(
        checker.read_number(object, "slots", {1, most_slots}));
    std::uint64_t const cold =
        checker.read_number_or(object, "cold_ms", 0, {0, longest_cold});
    std::uint64_t const memory =
        checker.read_number_or(object, "answer_memory_mb", usual_answer_memory,
                               {1, most_answer_memory});
    return {
        process,      packets, back_end, slots, std::chrono::milliseconds{cold},
        memory << 20U};
}

}  // namespace

std::string read_log_level(json_checker& checker, json_node const& object)
{
    std::string const level = checker.read_text(object, "log_level");
    for (char const* known : {"debug", "info", "warn", "error"})
        if (level == known)
            return level;
    checker.add_problem({&(*object.value)["log_level"], "log_level"},
                        "debug, info, warn or error");
    return "info";
}

std::optional<entry_settings> parse_entry_settings(json_checker& checker,
                                                   std::string const& text)
{
    return parse_checked(checker, text, read_entry);
}

std::optional<slot_settings> parse_slot_settings(json_checker& checker,
                                                 std::string const& text)
{
    return parse_checked(checker, text, read_slot);
}

log_identity identity_of(entry_settings const& settings)
{
    return {settings.process.name, settings.process.log_level};
}

log_identity identity_of(slot_settings const& settings)
{
    return {settings.process.name, settings.process.log_level};
}

}  // namespace lagoon
