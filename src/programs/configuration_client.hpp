// What an entry and a target of the token path do alike for their
// configuration: read the platform, fetch what changed from peers, and answer
// JSON-RPC.
//
// Index
//   configuration_client   the adapter between a loop and a role
//   answer_rpc     a JSON-RPC request that came over HTTP
#pragma once

#include "control/rpc.hpp"
#include "documents/documents.hpp"
#include "programs/platform_client.hpp"

namespace lagoon {

// ---- configuration_client -------------------------------------------------------

template <class Loop> class configuration_client
{
public:
    configuration_client(Loop& loop, peer_address platform)
        : loop(loop), published(loop, platform, documents_reader{platform})
    {
    }

    configuration_events read(read_platform const& what)
    {
        return this->published.read(what);
    }

    void fetch(fetch_from_peer const& what)
    {
        exchange_id const id = this->loop.call(
            {what.control, "POST", "/rpc",
             rpc_changes_request(what.since.value), what.timeout});
        this->calls[id] = {what.control, {}};
    }

    bool owns(exchange_id exchange) const
    {
        return this->calls.contains(exchange) || this->published.owns(exchange);
    }

    void take_bytes(exchange_id exchange, std::string_view bytes)
    {
        if (this->published.owns(exchange))
            this->published.take_bytes(exchange, bytes);
        else
            this->calls[exchange].body.append(bytes);
    }

    configuration_events ended(exchange_id exchange, http_result const& result)
    {
        if (this->published.owns(exchange))
            return this->published.ended(exchange, result);
        pending_call const call = this->calls[exchange];
        this->calls.erase(exchange);
        bool const good =
            result.end == http_end::whole && result.status == status_good;
        return {this->peer_answered(call, good)};
    }

private:
    struct pending_call
    {
        peer_address control = {};
        std::string body = {};
    };

    configuration_event peer_answered(pending_call const& call, bool good)
    {
        auto const miss = [&call](reason why, std::string const& detail) {
            return change_missed{
                change_source::peer,
                {step::exchange_with_peer, why, call.control, detail}};
        };
        if (!good)
            return miss(reason::unreachable, "peer gave no changes");
        rpc_response const response = rpc_parse_response(call.body);
        if (!response.good)
            return miss(reason::malformed, response.error);
        json_checker checker{"changes"};
        std::optional<catalog_change> const change =
            parse_change(checker, response.result);
        if (!change)
            return miss(reason::malformed, to_text(checker.problems()[0]));
        return change_arrived{change_source::peer, call.control, change};
    }

    Loop& loop;
    platform_client<Loop, documents_reader> published;
    std::map<exchange_id, pending_call> calls = {};
};

// ---- answer_rpc ---------------------------------------------------------

inline http_reply answer_rpc(rpc_server& server, http_request const& request)
{
    if (request.method != "POST" || request.path != "/rpc")
        return {404, "text/plain", "POST /rpc is all there is here\n", 0};
    return {200, "application/json", server.answer(request.body), 0};
}

}  // namespace lagoon
