// A route moves to another service; then the operator stops and starts the
// machines in turn. Flows opened before stay with their endpoints. See
// claim.txt.
#include "../1/world.hpp"

using namespace review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

constexpr double contact_s = 4.0;
constexpr double flow_reorder_s = 2.0;
constexpr std::size_t flow_count = 60;

struct arrival
{
    double at = 0;
    bool is_own = false;
};

}  // namespace

int main(int, char** arguments)
{
    world all(arguments[1]);
    std::vector<std::string> services{"archive", "archive", "archive", "archive",
                                      "members", "members", "members"};
    std::size_t restarted_count = services.size();
    // A variant: more than 16 services, and no restart beside the members.
    if (std::getenv("MANY_SERVICES") != nullptr) {
        restarted_count = 4;
        for (int i = 0; i < 15; ++i)
            services.push_back("other-" + std::to_string(i));
    }
    if (!all.start({"zg-a", "zg-a", "zg-b", "vz-a", "ka-a"}, services))
        return not_run;
    std::map<flow_id, std::vector<arrival>> arrivals;
    std::map<flow_id, std::string> owners;
    for (auto& one : all.endpoints)
        one->on_arrival = [&](endpoint const& at, packet const& p, bool holds) {
            flow_id const flow{p.src, p.dst};
            if (holds)
                owners.emplace(flow, at.id);
            if ((p.flags & flag_syn) == 0 && owners.contains(flow))
                arrivals[flow].push_back({now_s(), owners.at(flow) == at.id});
        };
    address const fixed{all.layout.ip(30, 0), 8080};
    address const moved{all.layout.ip(30, 0), 8081};
    all.put_config(7, {{fixed, "members"}, {moved, "members"}});
    all.start_processes();
    if (!all.run_for(10, [&] { return all.are_all_ready(); }))
        return not_run;
    all.run_for(2);
    std::vector<requester*> flows;
    for (std::size_t i = 0; i < flow_count; ++i) {
        flows.push_back(&all.add_requester(moved, std::nullopt));
        flows.back()->first_request = "first-" + std::to_string(i + 1);
        flows.back()->open_flow(all.log, 1'000'000 * (i + 1));
        all.run_for(0.03);
    }
    all.run_for(1);
    for (requester const* one : flows)
        if (one->answered.size() != 1)
            return not_run;
    if (has_trouble())
        all.put_config(9, {{fixed, "members"}, {moved, "archive"}});
    all.run_for(3);
    // The machines beside the archive's endpoints first, then those beside the
    // members', then two fronts.
    auto const restart_target = [&](std::size_t index) {
        if (!has_trouble()) {
            all.run_for(0.8);
            return;
        }
        all.write_target_settings(index, false);
        all.stop(*all.targets[index], true);
        all.run_for(0.3);
    };
    std::size_t const archive_count = 4;
    for (std::size_t i = 0; i < archive_count; ++i)
        restart_target(i);
    // One more request on each flow: the pause after it is the longest.
    for (std::size_t i = 0; i < flow_count; ++i)
        flows[i]->send_request("second-" + std::to_string(i + 1));
    all.run_for(1);
    for (requester const* one : flows)
        if (one->answered.size() != 2)
            return not_run;
    double const pause_began = now_s();
    for (std::size_t i = archive_count; i < restarted_count; ++i)
        restart_target(i);
    for (std::size_t i = 0; i < 2 && has_trouble(); ++i)
        all.stop(*all.entries[i], true);
    // Every machine is in touch again after contactMs.
    all.run_for(contact_s + 0.3);
    if (!all.are_all_ready())
        return not_run;
    all.log.line("the pause of the flows was %.1f s", now_s() - pause_began);
    double const asked_at = now_s();
    for (std::size_t i = 0; i < flow_count; ++i)
        flows[i]->send_request("third-" + std::to_string(i + 1));
    all.run_for(6);
    int broken_count = 0;
    int unanswered_count = 0;
    for (requester const* one : flows) {
        std::vector<arrival> const& all_arrivals = arrivals[one->flow()];
        bool const is_answered = one->answered.size() == 3;
        unanswered_count += is_answered ? 0 : 1;
        // Three packets at other endpoints within flowReorderMs, none at the
        // flow's own from the first of them on.
        bool is_broken = false;
        for (arrival const& first : all_arrivals) {
            if (first.is_own || first.at < asked_at)
                continue;
            int others = 0;
            int own = 0;
            for (arrival const& later : all_arrivals)
                if (later.at >= first.at &&
                    later.at <= first.at + flow_reorder_s)
                    ++(later.is_own ? own : others);
            bool const is_span_over = now_s() > first.at + flow_reorder_s;
            is_broken = is_broken || (is_span_over && others >= 3 && own == 0);
        }
        broken_count += is_broken ? 1 : 0;
        if (is_broken)
            all.log.line("FLOW: of the flow of %s, three packets or more "
                         "reached other endpoints within 2 s and none its own, "
                         "%s; its request is %s",
                         to_text(one->self).c_str(),
                         owners[one->flow()].c_str(),
                         is_answered ? "answered later" : "never answered");
    }
    all.log.line("of %zu open flows %d broke FLOW; %d requests had no answer "
                 "after 6 s",
                 flows.size(), broken_count, unanswered_count);
    return broken_count > 0 ? broken : held;
}
