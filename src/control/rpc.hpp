// JSON-RPC between processes, on libjsonrpccpp. The library's headers compile
// only up to C++14, so this header is C++14 and its one source file is the
// only one that sees them.
//
// Index
//   rpc_handlers    what a process answers
//   rpc_server     a request's text to its response's
//   rpc_request    the text of a call
//   rpc_response   the result in a response, or its error
#pragma once

#include <memory>
#include <string>

namespace lagoon {

// ---- rpc_handlers -------------------------------------------------------

// Answers with JSON texts. `context` is handed back unchanged.
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

    // Never throws: a malformed request gets a JSON-RPC error.
    std::string handle_request(std::string const& request);

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

// ---- rpc_request --------------------------------------------------------

std::string make_rpc_status_request();
std::string make_rpc_changes_request(unsigned long long generation);

// ---- rpc_response -------------------------------------------------------

struct rpc_response
{
    bool is_ok;          // whether `result` holds the method's answer
    std::string result;  // JSON text
    std::string error;   // one short sentence
};

rpc_response parse_rpc_response(std::string const& text);

}  // namespace lagoon
