#include "programs/status_query.hpp"

#include "loop/signals.hpp"

#include <set>

namespace lagoon {

status_query::status_query(std::vector<queried_process> processes)
    : processes(std::move(processes)),
      loop(*this, {{}, std::chrono::milliseconds{20}})
{
}

std::vector<queried_process> status_query::query_all()
{
    this->start_queries();
    this->loop.run();
    return this->processes;
}

void status_query::start_queries()
{
    while (this->next_index < this->processes.size() &&
           this->pending.size() < max_concurrent_queries) {
        exchange_id const exchange = this->loop.start_call(
            {this->processes[this->next_index].control, "POST", "/rpc",
             make_rpc_status_request(), status_query_timeout});
        this->pending[exchange] = {this->next_index, {}};
        ++this->next_index;
    }
}

bool status_query::should_stop() const
{
    return is_stop_requested() ||
           this->finished_count >= this->processes.size();
}

void status_query::on_http_data(exchange_id exchange, std::string_view bytes)
{
    this->pending[exchange].body.append(bytes);
}

void status_query::record_response(queried_process& process,
                                   std::string const& body,
                                   http_result const& result) const
{
    auto const record_error = [&process](reason cause,
                                         std::string const& detail) {
        process.error = {step::call_control, cause, process.control, detail};
    };
    if (result.outcome != http_outcome::complete) {
        record_error(reason::unreachable, "no response");
        return;
    }
    rpc_response const response = parse_rpc_response(body);
    json_checker checker{to_text(process.control)};
    if (response.is_ok)
        process.status = parse_status(checker, response.result);
    if (!response.is_ok)
        record_error(reason::malformed, response.error);
    else if (!process.status)
        record_error(reason::malformed, to_text(checker.problems()[0]));
}

void status_query::on_http_complete(exchange_id exchange,
                                    http_result const& result)
{
    auto const found = this->pending.find(exchange);
    if (found == this->pending.end())
        return;
    this->record_response(this->processes[found->second.index],
                          found->second.body, result);
    this->pending.erase(found);
    ++this->finished_count;
    this->start_queries();
}

std::vector<queried_process> list_processes(catalog const& fleet_catalog)
{
    std::vector<queried_process> processes;
    std::set<peer_address> seen;
    for (entry_record const& entry : fleet_catalog.fleet().entries)
        if (seen.insert(entry.control).second)
            processes.push_back({entry.name, entry.control, {}, {}});
    for (auto const& [id, part] : fleet_catalog.services())
        for (target_record const& target : part.targets)
            if (seen.insert(target.control).second)
                processes.push_back({target.name, target.control, {}, {}});
    return processes;
}

}  // namespace lagoon
