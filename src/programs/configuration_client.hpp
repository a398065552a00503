// Configuration I/O shared by lagoon-entry and lagoon-target: reads the
// platform, fetches changes from peers and answers JSON-RPC requests.
//
// Index
//   configuration_client   HTTP calls to the platform and to peers
//   answer_rpc             response to a JSON-RPC request over HTTP
#pragma once

#include "control/rpc.hpp"
#include "documents/documents.hpp"
#include "programs/platform_client.hpp"

namespace lagoon {

// ---- configuration_client -----------------------------------------------

template <class Loop> class configuration_client
{
public:
    configuration_client(Loop& loop, peer_address platform)
        : loop(loop), platform_reads(loop, platform, documents_reader{platform})
    {
    }

    configuration_events read(read_platform const& request)
    {
        return this->platform_reads.read(request);
    }

    void fetch(fetch_from_peer const& request)
    {
        exchange_id const id = this->loop.start_call(
            {request.control, "POST", "/rpc",
             make_rpc_changes_request(request.since.value), request.timeout});
        this->calls[id] = {request.control, {}};
    }

    bool owns(exchange_id exchange) const
    {
        return this->calls.contains(exchange) ||
               this->platform_reads.owns(exchange);
    }

    void append_body(exchange_id exchange, std::string_view bytes)
    {
        if (this->platform_reads.owns(exchange))
            this->platform_reads.append_body(exchange, bytes);
        else
            this->calls[exchange].body.append(bytes);
    }

    configuration_events end_exchange(exchange_id exchange,
                                      http_result const& result)
    {
        if (this->platform_reads.owns(exchange))
            return this->platform_reads.end_exchange(exchange, result);
        pending_call const call = this->calls[exchange];
        this->calls.erase(exchange);
        bool const is_success = result.outcome == http_outcome::complete &&
                                result.status == http_ok;
        return {this->parse_peer_response(call, is_success)};
    }

private:
    struct pending_call
    {
        peer_address control = {};
        std::string body = {};
    };

    configuration_event parse_peer_response(pending_call const& call,
                                            bool is_success)
    {
        auto const make_unavailable = [&call](reason cause,
                                              std::string const& detail) {
            return change_unavailable{
                change_source::peer,
                {step::exchange_with_peer, cause, call.control, detail}};
        };
        if (!is_success)
            return make_unavailable(reason::unreachable,
                                    "peer did not return changes");
        rpc_response const response = parse_rpc_response(call.body);
        if (!response.is_ok)
            return make_unavailable(reason::malformed, response.error);
        json_checker checker{"changes"};
        std::optional<catalog_change> const change =
            parse_change(checker, response.result);
        if (!change)
            return make_unavailable(reason::malformed,
                                    to_text(checker.problems()[0]));
        return change_received{change_source::peer, call.control, change};
    }

    Loop& loop;
    platform_client<Loop, documents_reader> platform_reads;
    std::map<exchange_id, pending_call> calls = {};
};

// ---- answer_rpc ---------------------------------------------------------

inline http_reply answer_rpc(rpc_server& server, http_request const& request)
{
    if (request.method != "POST" || request.path != "/rpc")
        return {404, "text/plain", "unknown path; use POST /rpc\n", 0};
    return {200, "application/json", server.handle_request(request.body), 0};
}

}  // namespace lagoon
