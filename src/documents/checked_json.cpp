#include "documents/checked_json.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <memory>

namespace lagoon {

namespace {

constexpr std::size_t longest_shown = 60;  // characters of a wrong value

std::string shown(Json::Value const* value)
{
    if (value == nullptr)
        return "nothing";
    std::string text = compact_json(*value);
    if (text.size() > longest_shown)
        text = text.substr(0, longest_shown) + "...";
    return text;
}

// The parser throws at texts that go too deep.
bool read_json(Json::CharReaderBuilder const& builder, std::string_view text,
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
    if (read_json(builder, text, root, errors))
        return root;
    std::replace(errors.begin(), errors.end(), '\n', ' ');
    this->found.push_back({this->file, "", errors, "JSON with comments"});
    return std::nullopt;
}

json_place json_checker::field(json_place const& object,
                               std::string const& key) const
{
    std::string const path =
        object.path.empty() ? key : object.path + "." + key;
    bool const there = object.value != nullptr && object.value->isObject() &&
                       object.value->isMember(key);
    return {there ? &(*object.value)[key] : nullptr, path};
}

void json_checker::problem(json_place const& at, std::string const& expected)
{
    this->found.push_back({this->file, at.path, shown(at.value), expected});
}

std::vector<json_problem> const& json_checker::problems() const
{
    return this->found;
}

void json_checker::only(json_place const& object,
                        std::initializer_list<std::string_view> keys)
{
    if (object.value == nullptr || !object.value->isObject()) {
        this->problem(object, "an object");
        return;
    }
    for (std::string const& key : object.value->getMemberNames())
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
            this->problem(this->field(object, key), "no such key");
}

bool json_checker::has(json_place const& object, std::string const& key) const
{
    return this->field(object, key).value != nullptr;
}

std::string json_checker::text(json_place const& object, std::string const& key)
{
    return this->item_text(this->field(object, key));
}

std::string json_checker::item_text(json_place const& item)
{
    if (item.value != nullptr && item.value->isString() &&
        !item.value->asString().empty())
        return item.value->asString();
    this->problem(item, "a text that is not empty");
    return {};
}

std::uint64_t json_checker::number(json_place const& object,
                                   std::string const& key, number_range range)
{
    json_place const at = this->field(object, key);
    if (at.value != nullptr && at.value->isUInt64()) {
        std::uint64_t const value = at.value->asUInt64();
        if (value >= range.least && value <= range.most)
            return value;
    }
    std::string const most = range.most == UINT64_MAX
                                 ? std::string{"any"}
                                 : std::to_string(range.most);
    this->problem(at, "a whole number from " + std::to_string(range.least) +
                          " to " + most);
    return range.least;
}

std::uint64_t json_checker::number_or(json_place const& object,
                                      std::string const& key,
                                      std::uint64_t otherwise,
                                      number_range range)
{
    return this->has(object, key) ? this->number(object, key, range)
                                  : otherwise;
}

bool json_checker::flag(json_place const& object, std::string const& key)
{
    json_place const at = this->field(object, key);
    if (at.value != nullptr && at.value->isBool())
        return at.value->asBool();
    this->problem(at, "true or false");
    return false;
}

duration json_checker::span(json_place const& object, std::string const& key,
                            duration unit)
{
    constexpr double longest = 1e15;  // microseconds, some thirty years
    json_place const at = this->field(object, key);
    if (at.value != nullptr && at.value->isNumeric()) {
        double const count =
            at.value->asDouble() * static_cast<double>(unit.count());
        if (count > 0 && count < longest)
            return duration{static_cast<std::int64_t>(count)};
    }
    this->problem(at, "a positive number");
    return unit;
}

peer_address json_checker::address(json_place const& object,
                                   std::string const& key)
{
    return this->item_address(this->field(object, key));
}

peer_address json_checker::item_address(json_place const& item)
{
    std::optional<peer_address> address;
    if (item.value != nullptr && item.value->isString())
        address = parse_address(item.value->asString());
    if (address)
        return *address;
    this->problem(item, "an address such as \"127.0.0.1:9000\"");
    return {};
}

digest json_checker::hex(json_place const& object, std::string const& key)
{
    json_place const at = this->field(object, key);
    std::string const text = at.value != nullptr && at.value->isString()
                                 ? at.value->asString()
                                 : std::string{};
    std::uint64_t value = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() == 16 && error == std::errc{} &&
        end == text.data() + text.size())
        return {value};
    this->problem(at, "16 hexadecimal digits");
    return {};
}

std::vector<json_place> json_checker::list(json_place const& object,
                                           std::string const& key)
{
    json_place const at = this->field(object, key);
    if (at.value == nullptr || !at.value->isArray()) {
        this->problem(at, "a list");
        return {};
    }
    std::vector<json_place> items;
    for (Json::ArrayIndex i = 0; i < at.value->size(); ++i)
        items.push_back(
            {&(*at.value)[i], at.path + "[" + std::to_string(i) + "]"});
    return items;
}

json_place json_checker::object(json_place const& object,
                                std::string const& key)
{
    json_place const at = this->field(object, key);
    if (at.value == nullptr || !at.value->isObject())
        this->problem(at, "an object");
    return at;
}

// ---- texts --------------------------------------------------------------

std::optional<Json::Value> parse_json_object(std::string_view text)
{
    Json::CharReaderBuilder const builder;
    Json::Value value;
    std::string errors;
    bool const good = read_json(builder, text, value, errors);
    return good && value.isObject() ? std::optional{value} : std::nullopt;
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
    bool const port_fits =
        error == std::errc{} && number != 0 && end == port.data() + port.size();
    if (!port_fits || ::inet_pton(AF_INET, host.c_str(), &raw) != 1)
        return std::nullopt;
    return peer_address{ntohl(raw.s_addr), number};
}

std::string hex_of(std::uint64_t value)
{
    char buffer[17] = {};
    std::snprintf(buffer, sizeof buffer, "%016llx",
                  static_cast<unsigned long long>(value));
    return buffer;
}

}  // namespace lagoon
