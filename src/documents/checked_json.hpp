// Strict reader for JSON with comments. It collects all errors of a document in
// one pass, each with its path, the value found and the value expected.
//
// Index
//   json_problem   one error in a document
//   json_node      a value and its path
//   json_checker   reads values and collects errors
//   plain JSON     parsing without error messages, and writing
#pragma once

#include "base/values.hpp"

#include <json/json.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoon {

// ---- json_problem -------------------------------------------------------

struct json_problem
{
    std::string file = {};
    std::string path = {};      // of the value, such as "a.b[2].c"
    std::string value = {};     // found, as JSON
    std::string expected = {};  // description of valid values
    auto operator<=>(json_problem const&) const = default;
};

// Renders as "file: path: got VALUE, expected ...".
std::string to_text(json_problem const& problem);

// ---- json_node ----------------------------------------------------------

struct json_node
{
    Json::Value const* value = nullptr;
    std::string path = {};
};

// ---- json_checker -------------------------------------------------------

struct number_range
{
    std::uint64_t min = 0;
    std::uint64_t max = UINT64_MAX;
    auto operator<=>(number_range const&) const = default;
};

class json_checker
{
public:
    explicit json_checker(std::string file);

    // Comments are allowed; duplicate keys and text after the end are not.
    std::optional<Json::Value> parse(std::string const& text);

    // Adds a problem for each key that isn't listed.
    void check_keys(json_node const& object,
                    std::initializer_list<std::string_view> keys);

    // Required fields. A missing or invalid value adds a problem, and a default
    // is returned.
    std::string read_text(json_node const& object, std::string const& key);
    std::uint64_t read_number(json_node const& object, std::string const& key,
                              number_range range = {});

    // Reads one of the `choices`; returns the first if the field is invalid.
    std::string read_choice(json_node const& object, std::string const& key,
                            std::initializer_list<std::string_view> choices);
    bool read_flag(json_node const& object, std::string const& key);

    // Reads a positive number, integer or not, of the given unit.
    duration read_duration(json_node const& object, std::string const& key,
                           duration unit);
    peer_address read_address(json_node const& object, std::string const& key);
    digest read_digest(json_node const& object, std::string const& key);
    std::vector<json_node> read_list(json_node const& object,
                                     std::string const& key);
    json_node read_object(json_node const& object, std::string const& key);

    // Optional fields.
    bool has(json_node const& object, std::string const& key) const;
    std::uint64_t read_number_or(json_node const& object,
                                 std::string const& key,
                                 std::uint64_t default_value,
                                 number_range range = {});

    // Required text that may be empty.
    std::string read_any_text(json_node const& object, std::string const& key);

    // Items of a list.
    std::string read_item_text(json_node const& item);
    peer_address read_item_address(json_node const& item);

    void add_problem(json_node const& node, std::string const& expected);
    std::vector<json_problem> const& problems() const;

private:
    json_node field(json_node const& object, std::string const& key) const;

    std::string file;
    std::vector<json_problem> found_problems = {};
};

// Parses a document with `read`. Returns nothing if that added any problem.
template <class Read>
auto parse_checked(json_checker& checker, std::string const& text, Read read)
    -> std::optional<decltype(read(checker, json_node{}))>
{
    std::size_t const previous_count = checker.problems().size();
    std::optional<Json::Value> const root = checker.parse(text);
    if (!root)
        return std::nullopt;
    auto const value = read(checker, json_node{&*root, ""});
    if (checker.problems().size() > previous_count)
        return std::nullopt;
    return value;
}

// ---- plain JSON ---------------------------------------------------------

// Parses a JSON object. Returns nothing on invalid text or another type of
// value; doesn't throw.
std::optional<Json::Value> parse_json_object(std::string_view text);

// Writes JSON on one line, without spaces.
std::string compact_json(Json::Value const& value);

// Parses an address such as "127.0.0.1:9000"; the port must not be 0.
std::optional<peer_address> parse_address(std::string const& text);

// Returns 16 hexadecimal digits.
std::string to_hex(std::uint64_t value);

}  // namespace lagoon
