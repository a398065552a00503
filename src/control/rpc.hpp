// JSON-RPC between processes, based on libjsonrpccpp. The library's headers
// only compile up to C++14. They are included in rpc.cpp alone, and this header
// is limited to C++14 as well.
//
// Index
//   rpc_handlers   the methods that a process serves
//   rpc_server     turns the text of a request into the text of a response
//   requests       the text of a call
//   rpc_response   result or error of a call
#pragma once

#include <memory>
#include <string>

namespace lagoon {

// ---- rpc_handlers -------------------------------------------------------

// Each handler returns its result as JSON. `context` is passed to the handlers
// unchanged.
struct rpc_handlers
{
    void* context;
    std::string (*status)(void* context);
    std::string (*changes_since)(void* context, unsigned long long generation);
};

// ---- rpc_server ---------------------------------------------------------

class rpc_server
{
public:
    explicit rpc_server(rpc_handlers const& handlers);
    ~rpc_server();

    // Doesn't throw: a malformed request gets a JSON-RPC error response.
    std::string handle_request(std::string const& request);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

// ---- requests -----------------------------------------------------------

// Each returns the text of a JSON-RPC call.
std::string make_rpc_status_request();
std::string make_rpc_changes_request(unsigned long long generation);

// ---- rpc_response -------------------------------------------------------

struct rpc_response
{
    bool is_ok;          // `result` is valid
    std::string result;  // JSON
    std::string error;   // the error of the response, or why it is invalid
};

// Errors: not JSON, no result, or a JSON-RPC error.
rpc_response parse_rpc_response(std::string const& text);

}  // namespace lagoon
