// What an entry and a target do alike for their configuration: carry out the
// reads and fetches that membership asks for, and answer JSON-RPC.
//
// Index
//   control_event   what came of a read or a fetch
//   control_link    the adapter between a loop and a role
#pragma once

#include "control/rpc.hpp"
#include "documents/reader.hpp"
#include "loop/http.hpp"
#include "membership/adoption.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoon {

// ---- control_event ------------------------------------------------------

using control_event = std::variant<change_arrived, change_missed, note_failure>;
using control_events = std::vector<control_event>;

// ---- control_link -------------------------------------------------------

template <class Loop, platform_reader Reader = documents_reader>
class control_link
{
public:
    control_link(Loop& loop, peer_address platform, Reader reader)
        : loop(loop), platform(platform), reader(std::move(reader))
    {
    }

    control_events read(read_platform const& what)
    {
        return this->carry_out(this->reader.begin(what));
    }

    void fetch(fetch_from_peer const& what)
    {
        exchange_id const id = this->loop.call(
            {what.control, "POST", "/rpc",
             rpc_changes_request(what.since.value), what.timeout});
        this->calls[id] = {call_kind::peer, what.control, {}, {}};
    }

    bool owns(exchange_id exchange) const
    {
        return this->calls.contains(exchange);
    }

    void take_bytes(exchange_id exchange, std::string_view bytes)
    {
        this->calls[exchange].body.append(bytes);
    }

    control_events ended(exchange_id exchange, http_result const& result)
    {
        pending_call const call = this->calls[exchange];
        this->calls.erase(exchange);
        std::uint32_t const status =
            result.end == http_end::whole ? result.status : 0;
        if (call.kind == call_kind::peer)
            return {this->peer_answered(call, status == status_good)};
        return this->carry_out(
            this->reader.answer(call.path, {status, call.body}));
    }

private:
    enum class call_kind : std::uint8_t
    {
        peer,
        platform
    };

    struct pending_call
    {
        call_kind kind = call_kind::peer;
        peer_address control = {};
        std::string path = {};
        std::string body = {};
    };

    control_events carry_out(reader_steps const& steps)
    {
        control_events events;
        for (reader_step const& one : steps) {
            if (ask_key const* ask = std::get_if<ask_key>(&one))
                this->ask(*ask);
            else if (change_arrived const* change =
                         std::get_if<change_arrived>(&one))
                events.push_back(*change);
            else if (change_missed const* missed =
                         std::get_if<change_missed>(&one))
                events.push_back(*missed);
            else
                events.push_back(std::get<note_failure>(one));
        }
        return events;
    }

    void ask(ask_key const& what)
    {
        exchange_id const id = this->loop.call(
            {this->platform, "GET", what.path, {}, what.timeout});
        this->calls[id] = {call_kind::platform, {}, what.path, {}};
    }

    control_event peer_answered(pending_call const& call, bool good)
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
    peer_address platform;
    Reader reader;
    std::map<exchange_id, pending_call> calls = {};
};

// Answers a JSON-RPC request that came over HTTP.
inline http_reply answer_rpc(rpc_server& server, http_request const& request)
{
    if (request.method != "POST" || request.path != "/rpc")
        return {404, "text/plain", "POST /rpc is all there is here\n", 0};
    return {200, "application/json", server.answer(request.body), 0};
}

}  // namespace lagoon
