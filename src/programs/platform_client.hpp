// HTTP client for reading the platform. A platform_reader chooses the paths and
// parses the responses; the event loop makes the calls.
//
// Index
//   configuration_event   result of a platform read or of a fetch from a peer
//   platform_client       connects the event loop and a reader
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

// ---- configuration_event ------------------------------------------------

using configuration_event =
    std::variant<change_received, change_unavailable, report_failure>;
using configuration_events = std::vector<configuration_event>;

// ---- platform_client ----------------------------------------------------

template <class Loop, platform_reader Reader> class platform_client
{
public:
    platform_client(Loop& loop, peer_address platform, Reader reader)
        : loop(loop), platform(platform), reader(std::move(reader))
    {
    }

    configuration_events read(read_platform const& request)
    {
        return this->run_steps(this->reader.begin(request));
    }

    bool owns(exchange_id exchange) const
    {
        return this->calls.contains(exchange);
    }

    void append_body(exchange_id exchange, std::string_view bytes)
    {
        this->calls[exchange].body.append(bytes);
    }

    configuration_events end_exchange(exchange_id exchange,
                                      http_result const& result)
    {
        pending_call const call = this->calls[exchange];
        this->calls.erase(exchange);
        std::uint32_t const status =
            result.outcome == http_outcome::complete ? result.status : 0;
        return this->run_steps(this->reader.handle_response(
            call.path, {status, call.body, result.header}));
    }

private:
    struct pending_call
    {
        std::string path = {};
        std::string body = {};
    };

    configuration_events run_steps(reader_actions const& steps)
    {
        configuration_events events;
        for (reader_action const& step : steps) {
            if (fetch_key const* fetch = std::get_if<fetch_key>(&step))
                this->send_request(*fetch);
            else if (change_received const* change =
                         std::get_if<change_received>(&step))
                events.push_back(*change);
            else if (change_unavailable const* unavailable =
                         std::get_if<change_unavailable>(&step))
                events.push_back(*unavailable);
            else
                events.push_back(std::get<report_failure>(step));
        }
        return events;
    }

    void send_request(fetch_key const& request)
    {
        exchange_id const id = this->loop.start_call({this->platform,
                                                      "GET",
                                                      request.path,
                                                      {},
                                                      request.timeout,
                                                      request.header});
        this->calls[id] = {request.path, {}};
    }

    Loop& loop;
    peer_address platform;
    Reader reader;
    std::map<exchange_id, pending_call> calls = {};
};

}  // namespace lagoon
