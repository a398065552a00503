#include "programs/ask_program.hpp"

#include "loop/signals.hpp"

#include <set>

namespace lagoon {

ask_program::ask_program(std::vector<asked_process> processes)
    : processes(std::move(processes)),
      loop(*this, {{}, std::chrono::milliseconds{20}})
{
}

std::vector<asked_process> ask_program::ask()
{
    this->ask_more();
    this->loop.run();
    return this->processes;
}

void ask_program::ask_more()
{
    while (this->next < this->processes.size() &&
           this->pending.size() < asked_at_once) {
        exchange_id const exchange = this->loop.start_call(
            {this->processes[this->next].control, "POST", "/rpc",
             make_rpc_status_request(), ask_timeout});
        this->pending[exchange] = {this->next, {}};
        ++this->next;
    }
}

bool ask_program::should_stop() const
{
    return count_stop_signals() > 0 || this->answered >= this->processes.size();
}

void ask_program::on_http_data(exchange_id exchange, std::string_view bytes)
{
    this->pending[exchange].body.append(bytes);
}

void ask_program::take(asked_process& process, std::string const& body,
                       http_result const& result) const
{
    auto const miss = [&process](reason why, std::string const& detail) {
        process.why = {step::call_control, why, process.control, detail};
    };
    if (result.outcome != http_outcome::complete) {
        miss(reason::unreachable, "no answer");
        return;
    }
    rpc_response const response = parse_rpc_response(body);
    json_checker checker{to_text(process.control)};
    if (response.is_ok)
        process.status = parse_status(checker, response.result);
    if (!response.is_ok)
        miss(reason::malformed, response.error);
    else if (!process.status)
        miss(reason::malformed, to_text(checker.problems()[0]));
}

void ask_program::on_http_complete(exchange_id exchange,
                                   http_result const& result)
{
    auto const found = this->pending.find(exchange);
    if (found == this->pending.end())
        return;
    this->take(this->processes[found->second.index], found->second.body,
               result);
    this->pending.erase(found);
    ++this->answered;
    this->ask_more();
}

std::vector<asked_process> processes_of(catalog const& known)
{
    std::vector<asked_process> processes;
    std::set<peer_address> seen;
    for (entry_record const& entry : known.fleet().entries)
        if (seen.insert(entry.control).second)
            processes.push_back({entry.name, entry.control, {}, {}});
    for (auto const& [id, part] : known.services())
        for (target_record const& target : part.targets)
            if (seen.insert(target.control).second)
                processes.push_back({target.name, target.control, {}, {}});
    return processes;
}

}  // namespace lagoon
