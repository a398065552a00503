// Carries out the reads of the platform that membership asks for: calls by the
// loop, keys by a reader.
//
// Index
//   configuration_event   what came of a read or a fetch
//   platform_client   the adapter between a loop and a reader
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

// ---- configuration_event ------------------------------------------------------

using configuration_event =
    std::variant<change_arrived, change_missed, note_failure>;
using configuration_events = std::vector<configuration_event>;

// ---- platform_client ------------------------------------------------------

template <class Loop, platform_reader Reader> class platform_client
{
public:
    platform_client(Loop& loop, peer_address platform, Reader reader)
        : loop(loop), platform(platform), reader(std::move(reader))
    {
    }

    configuration_events read(read_platform const& what)
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

    configuration_events ended(exchange_id exchange, http_result const& result)
    {
        pending_call const call = this->calls[exchange];
        this->calls.erase(exchange);
        std::uint32_t const status =
            result.end == http_end::whole ? result.status : 0;
        return this->carry_out(
            this->reader.answer(call.path, {status, call.body}));
    }

private:
    struct pending_call
    {
        std::string path = {};
        std::string body = {};
    };

    configuration_events carry_out(reader_steps const& steps)
    {
        configuration_events events;
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
        this->calls[id] = {what.path, {}};
    }

    Loop& loop;
    peer_address platform;
    Reader reader;
    std::map<exchange_id, pending_call> calls = {};
};

}  // namespace lagoon
