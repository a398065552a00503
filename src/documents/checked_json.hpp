// JSON with comments, read strictly: every fault of a document is listed with
// its place, its value and what was expected, all in one run.
//
// Index
//   json_problem   one fault
//   json_place     a value and where it stands
//   json_checker   reads and collects faults
//   plain JSON     of others, read without a word about what is wrong
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
    std::string path = {};      // of the key, as "a.b[2].c"
    std::string value = {};     // what stands there
    std::string expected = {};  // what should
    auto operator<=>(json_problem const&) const = default;
};

// Renders as "file: path: got VALUE, expected ...".
std::string to_text(json_problem const& problem);

// ---- json_place ---------------------------------------------------------

struct json_place
{
    Json::Value const* value = nullptr;
    std::string path = {};
};

// ---- json_checker -------------------------------------------------------

struct number_range
{
    std::uint64_t least = 0;
    std::uint64_t most = UINT64_MAX;
    auto operator<=>(number_range const&) const = default;
};

class json_checker
{
public:
    explicit json_checker(std::string file);

    // Comments are allowed; duplicate keys and text after the end are not.
    std::optional<Json::Value> parse(std::string const& text);

    // Refuses keys that are not listed.
    void only(json_place const& object,
              std::initializer_list<std::string_view> keys);

    // Required fields; a fault is noted and a default comes back.
    std::string text(json_place const& object, std::string const& key);
    std::uint64_t number(json_place const& object, std::string const& key,
                         number_range range = {});
    bool flag(json_place const& object, std::string const& key);

    // A positive number, whole or not, of the given unit.
    duration span(json_place const& object, std::string const& key,
                  duration unit);
    peer_address address(json_place const& object, std::string const& key);
    digest hex(json_place const& object, std::string const& key);
    std::vector<json_place> list(json_place const& object,
                                 std::string const& key);
    json_place object(json_place const& object, std::string const& key);

    // Fields that may be left out.
    bool has(json_place const& object, std::string const& key) const;
    std::uint64_t number_or(json_place const& object, std::string const& key,
                            std::uint64_t otherwise, number_range range = {});

    // The value itself, as an item of a list.
    std::string item_text(json_place const& item);
    peer_address item_address(json_place const& item);

    void problem(json_place const& at, std::string const& expected);
    std::vector<json_problem> const& problems() const;

private:
    json_place field(json_place const& object, std::string const& key) const;

    std::string file;
    std::vector<json_problem> found = {};
};

// Reads a whole text with `read`; empty when that left any problem.
template <class Read>
auto parse_checked(json_checker& checker, std::string const& text, Read read)
    -> std::optional<decltype(read(checker, json_place{}))>
{
    std::size_t const before = checker.problems().size();
    std::optional<Json::Value> const root = checker.parse(text);
    if (!root)
        return std::nullopt;
    auto const value = read(checker, json_place{&*root, ""});
    if (checker.problems().size() > before)
        return std::nullopt;
    return value;
}

// ---- plain JSON ---------------------------------------------------------

// An object, or nothing; whatever the text is, nothing is thrown.
std::optional<Json::Value> parse_json_object(std::string_view text);

// On one line, without spaces.
std::string compact_json(Json::Value const& value);

// Parses "127.0.0.1:9000".
std::optional<peer_address> parse_address(std::string const& text);

std::string hex_of(std::uint64_t value);

}  // namespace lagoon
