#include "documents/checked_json.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <memory>

namespace lagoon {

namespace {

constexpr std::size_t max_value_length = 60;  // characters, in messages

std::string format_value(Json::Value const* value)
{
    if (value == nullptr)
        return "nothing";
    std::string text = compact_json(*value);
    if (text.size() > max_value_length)
        text = text.substr(0, max_value_length) + "...";
    return text;
}

// jsoncpp throws on text that is nested too deeply.
bool parse_json(Json::CharReaderBuilder const& builder, std::string_view text,
                Json::Value& value, std::string& errors)
{
    std::unique_ptr<Json::CharReader> const reader{builder.newCharReader()};
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value,
                             &errors);
    } catch (Json::Exception const& error) {
        errors = error.what();
        return false;
    }
}

// Whether a string is the same after it was written and read. Bytes that aren't
// UTF-8 are not.
bool is_writable_text(Json::Value const& value)
{
    std::string const text = value.asString();
    bool const is_ascii =
        std::all_of(text.begin(), text.end(), [](char character) {
            return static_cast<unsigned char>(character) < 0x80;
        });
    if (is_ascii)
        return true;
    Json::Value again;
    std::string errors;
    return parse_json(Json::CharReaderBuilder{}, compact_json(value), again,
                      errors) &&
           again == value;
}

}  // namespace

// ---- json_problem -------------------------------------------------------

std::string to_text(json_problem const& problem)
{
    std::string const where = problem.path.empty() ? "(root)" : problem.path;
    return problem.file + ": " + where + ": got " + problem.value +
           ", expected " + problem.expected;
}

// ---- json_checker -------------------------------------------------------

json_checker::json_checker(std::string file) : file(std::move(file)) {}

std::optional<Json::Value> json_checker::parse(std::string const& text)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["allowComments"] = true;
    builder["rejectDupKeys"] = true;
    builder["strictRoot"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = 32;
    Json::Value root;
    std::string errors;
    if (parse_json(builder, text, root, errors))
        return root;
    std::replace(errors.begin(), errors.end(), '\n', ' ');
    this->found_problems.push_back(
        {this->file, "", errors, "JSON with comments"});
    return std::nullopt;
}

json_node json_checker::field(json_node const& object,
                              std::string const& key) const
{
    std::string const path =
        object.path.empty() ? key : object.path + "." + key;
    bool const is_present = object.value != nullptr &&
                            object.value->isObject() &&
                            object.value->isMember(key);
    return {is_present ? &(*object.value)[key] : nullptr, path};
}

void json_checker::add_problem(json_node const& node,
                               std::string const& expected)
{
    this->found_problems.push_back(
        {this->file, node.path, format_value(node.value), expected});
}

std::vector<json_problem> const& json_checker::problems() const
{
    return this->found_problems;
}

void json_checker::check_keys(json_node const& object,
                              std::initializer_list<std::string_view> keys)
{
    if (object.value == nullptr || !object.value->isObject()) {
        this->add_problem(object, "an object");
        return;
    }
    for (std::string const& key : object.value->getMemberNames())
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
            this->add_problem(this->field(object, key), "a known key");
}

bool json_checker::has(json_node const& object, std::string const& key) const
{
    return this->field(object, key).value != nullptr;
}

std::string json_checker::read_text(json_node const& object,
                                    std::string const& key)
{
    return this->read_item_text(this->field(object, key));
}

std::string json_checker::read_any_text(json_node const& object,
                                        std::string const& key)
{
    json_node const at = this->field(object, key);
    if (at.value != nullptr && at.value->isString() &&
        is_writable_text(*at.value))
        return at.value->asString();
    this->add_problem(at, "a string of UTF-8");
    return {};
}

std::string json_checker::read_item_text(json_node const& item)
{
    if (item.value != nullptr && item.value->isString() &&
        !item.value->asString().empty() && is_writable_text(*item.value))
        return item.value->asString();
    this->add_problem(item, "a non-empty string of UTF-8");
    return {};
}

std::string
json_checker::read_choice(json_node const& object, std::string const& key,
                          std::initializer_list<std::string_view> choices)
{
    std::string const text = this->read_text(object, key);
    if (std::find(choices.begin(), choices.end(), text) != choices.end())
        return text;
    std::string expected;
    for (std::string_view const choice : choices)
        expected += (expected.empty() ? "" : ", ") + std::string{choice};
    this->add_problem(this->field(object, key), "one of " + expected);
    return std::string{*choices.begin()};
}

std::uint64_t json_checker::read_number(json_node const& object,
                                        std::string const& key,
                                        number_range range)
{
    json_node const at = this->field(object, key);
    if (at.value != nullptr && at.value->isUInt64()) {
        std::uint64_t const value = at.value->asUInt64();
        if (value >= range.min && value <= range.max)
            return value;
    }
    std::string const max = range.max == UINT64_MAX ? std::string{"2^64-1"}
                                                    : std::to_string(range.max);
    this->add_problem(at, "an integer from " + std::to_string(range.min) +
                              " to " + max);
    return range.min;
}

std::uint64_t json_checker::read_number_or(json_node const& object,
                                           std::string const& key,
                                           std::uint64_t default_value,
                                           number_range range)
{
    return this->has(object, key) ? this->read_number(object, key, range)
                                  : default_value;
}

bool json_checker::read_flag(json_node const& object, std::string const& key)
{
    json_node const at = this->field(object, key);
    if (at.value != nullptr && at.value->isBool())
        return at.value->asBool();
    this->add_problem(at, "true or false");
    return false;
}

duration json_checker::read_duration(json_node const& object,
                                     std::string const& key, duration unit)
{
    constexpr double max_count = 1e15;  // microseconds, about 30 years
    json_node const at = this->field(object, key);
    if (at.value != nullptr && at.value->isNumeric()) {
        double const count =
            at.value->asDouble() * static_cast<double>(unit.count());
        if (count > 0 && count < max_count)
            return duration{static_cast<std::int64_t>(count)};
    }
    this->add_problem(at, "a positive number");
    return unit;
}

peer_address json_checker::read_address(json_node const& object,
                                        std::string const& key)
{
    return this->read_item_address(this->field(object, key));
}

peer_address json_checker::read_item_address(json_node const& item)
{
    std::optional<peer_address> address;
    if (item.value != nullptr && item.value->isString())
        address = parse_address(item.value->asString());
    if (address)
        return *address;
    this->add_problem(item, "an address such as \"127.0.0.1:9000\"");
    return {};
}

digest json_checker::read_digest(json_node const& object,
                                 std::string const& key)
{
    json_node const at = this->field(object, key);
    std::string const text = at.value != nullptr && at.value->isString()
                                 ? at.value->asString()
                                 : std::string{};
    std::uint64_t value = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() == 16 && error == std::errc{} &&
        end == text.data() + text.size())
        return {value};
    this->add_problem(at, "16 hexadecimal digits");
    return {};
}

std::vector<json_node> json_checker::read_list(json_node const& object,
                                               std::string const& key)
{
    json_node const at = this->field(object, key);
    if (at.value == nullptr || !at.value->isArray()) {
        this->add_problem(at, "an array");
        return {};
    }
    std::vector<json_node> items;
    for (Json::ArrayIndex i = 0; i < at.value->size(); ++i)
        items.push_back(
            {&(*at.value)[i], at.path + "[" + std::to_string(i) + "]"});
    return items;
}

json_node json_checker::read_object(json_node const& object,
                                    std::string const& key)
{
    json_node const at = this->field(object, key);
    if (at.value == nullptr || !at.value->isObject())
        this->add_problem(at, "an object");
    return at;
}

// ---- plain JSON ---------------------------------------------------------

std::optional<Json::Value> parse_json_object(std::string_view text)
{
    Json::CharReaderBuilder const builder;
    Json::Value value;
    std::string errors;
    bool const is_parsed = parse_json(builder, text, value, errors);
    return is_parsed && value.isObject() ? std::optional{value} : std::nullopt;
}

std::string compact_json(Json::Value const& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::optional<peer_address> parse_address(std::string const& text)
{
    std::size_t const colon = text.find(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string const host = text.substr(0, colon);
    std::string const port = text.substr(colon + 1);
    in_addr raw{};
    std::uint16_t number = 0;
    auto const [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), number);
    bool const is_port_valid =
        error == std::errc{} && number != 0 && end == port.data() + port.size();
    if (!is_port_valid || ::inet_pton(AF_INET, host.c_str(), &raw) != 1)
        return std::nullopt;
    return peer_address{ntohl(raw.s_addr), number};
}

std::string to_hex(std::uint64_t value)
{
    char buffer[17] = {};
    std::snprintf(buffer, sizeof buffer, "%016llx",
                  static_cast<unsigned long long>(value));
    return buffer;
}

}  // namespace lagoon
