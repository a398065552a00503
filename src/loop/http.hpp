// Types of HTTP requests and replies, independent of the HTTP library.
//
// Index
//   header   a header field
//   client   a call to another process, and its result
//   server   a request from another process, and the reply
#pragma once

#include "base/values.hpp"

#include <string>

namespace lagoon {

// ---- header -------------------------------------------------------------

struct http_header
{
    std::string name = {};
    std::string value = {};
    auto operator<=>(http_header const&) const = default;
};

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
    std::string path = {};       // with the query
    std::string body = {};
    duration timeout = {};  // from the call to the end of the response
    std::string response_header = {};  // name of one to return; may be empty
    auto operator<=>(http_call const&) const = default;
};

enum class http_outcome : std::uint8_t
{
    complete,   // a complete response with any status
    not_sent,   // the server can't have received the request
    incomplete  // sent, but no complete response received
};

struct http_result
{
    http_outcome outcome = http_outcome::complete;
    std::uint32_t status = 0;   // HTTP status; 0 without a response
    duration retry_after = {};  // of the response's header, or 0
    std::string header = {};    // value of the header that the call asked for
    auto operator<=>(http_result const&) const = default;
};

// ---- server -------------------------------------------------------------

struct http_request
{
    std::string method = {};
    std::string path = {};   // without the query
    std::string query = {};  // "key=value" fields joined by '&'
    std::string body = {};
    peer_address local = {};  // listening address that received the request
    auto operator<=>(http_request const&) const = default;
};

struct http_reply
{
    std::uint32_t status = 200;
    std::string content_type = "application/json";
    std::string body = {};
    std::uint32_t retry_after = 0;  // seconds; 0 leaves the header out
    http_header header = {};        // a further one; left out without a name
    auto operator<=>(http_reply const&) const = default;
};

// Returns the value of a query field, or an empty string.
std::string find_query_field(std::string const& query, std::string const& name);

}  // namespace lagoon
