// Carries out the reads of the platform that membership asks for: calls by the
// loop, keys by a reader.
//
// Index
//   control_event   what came of a read or a fetch
//   platform_link   the adapter between a loop and a reader
#pragma once

#include "documents/reader.hpp"
#include "loop/http.hpp"
#include "membership/adoption.hpp"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lagoon {

// ---- control_event ------------------------------------------------------

using control_event =
    std::variant<change_received, change_unavailable, report_failure>;
using control_events = std::vector<control_event>;

// ---- platform_link ------------------------------------------------------

template <class Loop, platform_reader Reader> class platform_link
{
public:
    platform_link(Loop& loop, peer_address platform, Reader reader)
        : loop(loop), platform(platform), reader(std::move(reader))
    {
    }

    control_events read(read_platform const& what)
    {
        return this->carry_out(this->reader.begin(what));
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
            result.outcome == http_outcome::complete ? result.status : 0;
        return this->carry_out(
            this->reader.handle_response(call.path, {status, call.body}));
    }

private:
    struct pending_call
    {
        std::string path = {};
        std::string body = {};
    };

    control_events carry_out(reader_actions const& steps)
    {
        control_events events;
        for (reader_action const& one : steps) {
            if (fetch_key const* ask = std::get_if<fetch_key>(&one))
                this->ask(*ask);
            else if (change_received const* change =
                         std::get_if<change_received>(&one))
                events.push_back(*change);
            else if (change_unavailable const* missed =
                         std::get_if<change_unavailable>(&one))
                events.push_back(*missed);
            else
                events.push_back(std::get<report_failure>(one));
        }
        return events;
    }

    void ask(fetch_key const& what)
    {
        exchange_id const id = this->loop.start_call(
            {this->platform, "GET", what.path, {}, what.timeout});
        this->calls[id] = {what.path, {}};
    }

    Loop& loop;
    peer_address platform;
    Reader reader;
    std::map<exchange_id, pending_call> calls = {};
};

}  // namespace lagoon
