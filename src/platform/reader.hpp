// Reads the platform's head, then just the parts that changed, and makes one
// change of them. It asks for keys and is given texts; it opens no socket.
//
// Index
//   ask_key           a key to read
//   platform_reader   the aggregate: one read at a time
#pragma once

#include "membership/adoption.hpp"
#include "platform/documents.hpp"

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

constexpr std::size_t keys_at_once = 8;  // reads under way together

using reader_step = std::variant<ask_key, change_arrived, change_missed>;
using reader_steps = std::vector<reader_step>;

// ---- platform_reader ----------------------------------------------------

class platform_reader
{
public:
    explicit platform_reader(peer_address platform);

    reader_steps begin(read_platform const& what);

    // A key's text; empty when it couldn't be read.
    reader_steps answer(std::string const& path,
                        std::optional<std::string> const& text);

private:
    reader_steps take_head(std::string const& text);
    reader_steps take_index(std::string const& text);
    reader_steps take_part(std::string const& path, std::string const& text);
    reader_steps ask_parts(std::vector<part_change> const& changes);
    reader_steps ask_more();
    reader_steps finish_if_whole();
    reader_steps miss(reason why, std::string const& detail);

    peer_address platform;
    bool busy = false;
    generation since = {};
    catalog_version offered = {};
    std::set<std::string> missing = {};   // paths asked for
    std::deque<std::string> queued = {};  // paths still to ask for
    std::vector<service_part> parts = {};
    std::vector<service_id> removed = {};
    std::optional<fleet_part> fleet = {};
};

}  // namespace lagoon
