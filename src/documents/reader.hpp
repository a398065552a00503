// Reads of the platform, one at a time. A reader asks for keys and is given
// answers; it opens no socket. What a key holds is the reader's business, so
// one client serves every way of publishing.
//
// Index
//   ask_key            a key to read, and its answer
//   platform_reader    the concept
//   documents_reader   reads the product's own documents: the head, then just
//                      the parts that changed
#pragma once

#include "documents/documents.hpp"
#include "membership/adoption.hpp"

#include <concepts>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lagoon {

// ---- ask_key ------------------------------------------------------------

struct ask_key
{
    std::string path = {};  // of the HTTP request
    duration timeout = {};
    auto operator<=>(ask_key const&) const = default;
};

struct key_answer
{
    std::uint32_t status = 0;  // HTTP status; 0 when no whole answer came
    std::string text = {};
    auto operator<=>(key_answer const&) const = default;
};

constexpr std::uint32_t status_good = 200;  // HTTP

constexpr std::size_t keys_at_once = 8;  // reads under way together

using reader_step =
    std::variant<ask_key, change_arrived, change_missed, note_failure>;
using reader_steps = std::vector<reader_step>;

// ---- platform_reader ----------------------------------------------------

template <class R>
concept platform_reader = requires(R reader, read_platform what,
                                   std::string const& path,
                                   key_answer const& answer)
{
    // Begins a read; one that is under way is given up.
    {
        reader.begin(what)
        } -> std::same_as<reader_steps>;
    // The answer for a path that was asked for.
    {
        reader.answer(path, answer)
        } -> std::same_as<reader_steps>;
};

// ---- documents_reader ---------------------------------------------------

class documents_reader
{
public:
    explicit documents_reader(peer_address platform);

    reader_steps begin(read_platform const& what);
    reader_steps answer(std::string const& path, key_answer const& what);

private:
    reader_steps take_head(std::string const& text);
    reader_steps take_index(std::string const& text);
    reader_steps take_part(std::string const& path, std::string const& text);
    reader_steps ask_parts(std::vector<part_change> const& changes);
    reader_steps ask_more();
    reader_steps finish_if_whole();
    reader_steps miss(reason why, std::string const& detail);

    peer_address platform;
    duration timeout = {};  // of each call
    bool busy = false;
    generation since = {};
    catalog_version offered = {};
    std::set<std::string> missing = {};   // paths asked for
    std::deque<std::string> queued = {};  // paths still to ask for
    std::vector<service_part> parts = {};
    std::vector<service_id> removed = {};
    std::optional<fleet_part> fleet = {};
};

static_assert(platform_reader<documents_reader>);

}  // namespace lagoon
