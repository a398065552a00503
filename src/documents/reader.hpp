// Reads of the platform, one at a time. A reader requests keys and is passed
// the responses; it does no I/O. Only the reader interprets the values, so the
// same HTTP client works for all publication formats.
//
// Index
//   fetch_key          a key to read, and the response
//   platform_reader    concept of a reader
//   documents_reader   reads the product's own documents: the head, then the
//                      parts that changed
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

// ---- fetch_key ----------------------------------------------------------

struct fetch_key
{
    std::string path = {};  // of the HTTP request
    duration timeout = {};
    std::string header = {};  // name of a response header to return, if any
    auto operator<=>(fetch_key const&) const = default;
};

struct key_response
{
    std::uint32_t status = 0;  // HTTP status; 0: no complete response
    std::string text = {};
    std::string header = {};  // value of the requested header
    auto operator<=>(key_response const&) const = default;
};

constexpr std::uint32_t http_ok = 200;  // HTTP status

constexpr std::size_t max_concurrent_keys = 8;

using reader_action = std::variant<fetch_key, change_received,
                                   change_unavailable, report_failure>;
using reader_actions = std::vector<reader_action>;

// ---- platform_reader ----------------------------------------------------

template <class R>
concept platform_reader = requires(R reader, read_platform read,
                                   std::string const& path,
                                   key_response const& response)
{
    // Starts a read and abandons the one in progress, if any.
    {
        reader.begin(read)
        } -> std::same_as<reader_actions>;
    // Handles the response for a requested path.
    {
        reader.handle_response(path, response)
        } -> std::same_as<reader_actions>;
};

// ---- documents_reader ---------------------------------------------------

class documents_reader
{
public:
    explicit documents_reader(peer_address platform);

    reader_actions begin(read_platform const& read);
    reader_actions handle_response(std::string const& path,
                                   key_response const& response);

private:
    reader_actions handle_head(std::string const& text);
    reader_actions handle_index(std::string const& text);
    reader_actions handle_part(std::string const& path,
                               std::string const& text);
    reader_actions request_parts(std::vector<part_change> const& changes);
    reader_actions request_next();
    reader_actions finish();
    reader_actions fail_read(reason cause, std::string const& detail);

    peer_address platform;
    duration timeout = {};  // of each call
    bool is_reading = false;
    generation since = {};
    catalog_version offered_version = {};
    std::set<std::string> pending = {};   // requested paths
    std::deque<std::string> queued = {};  // paths not requested yet
    std::vector<service_part> parts = {};
    std::vector<service_id> removed = {};
    std::optional<fleet_part> fleet = {};
};

static_assert(platform_reader<documents_reader>);

}  // namespace lagoon
