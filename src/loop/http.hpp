// HTTP as the loop's programs see it: typed requests and results.
//
// Index
//   client   what a program asks of another process, and how it ended
//   server   what another process asks, and the reply
#pragma once

#include "base/values.hpp"

#include <string>

namespace lagoon {

// ---- client -------------------------------------------------------------

struct exchange_id
{
    std::uint64_t value = 0;  // unique within one process
    auto operator<=>(exchange_id const&) const = default;
};

struct http_call
{
    peer_address to = {};
    std::string method = "GET";  // or POST
    std::string path = {};       // with its query
    std::string body = {};
    duration timeout = {};  // for the whole exchange
    auto operator<=>(http_call const&) const = default;
};

enum class http_outcome : std::uint8_t
{
    complete,   // a whole answer of any status
    not_sent,   // nothing of the call left this process
    incomplete  // it was sent, and no whole answer came
};

struct http_result
{
    http_outcome outcome = http_outcome::complete;
    std::uint32_t status = 0;   // HTTP status, when there is one
    duration retry_after = {};  // as the server asks, or 0
    auto operator<=>(http_result const&) const = default;
};

// ---- server -------------------------------------------------------------

struct http_request
{
    std::string method = {};
    std::string path = {};   // without its query
    std::string query = {};  // fields joined by '&'
    std::string body = {};
    peer_address local = {};  // where it came in
    auto operator<=>(http_request const&) const = default;
};

struct http_reply
{
    std::uint32_t status = 200;
    std::string content_type = "application/json";
    std::string body = {};
    std::uint32_t retry_after = 0;  // seconds; 0 leaves the header out
    auto operator<=>(http_reply const&) const = default;
};

// The value of a field of a query, or nothing.
std::string find_query_field(std::string const& query, std::string const& name);

}  // namespace lagoon
