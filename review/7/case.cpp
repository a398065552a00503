// A configuration moves a route to another service and no longer lists the old
// one, whose endpoints go on living with open flows.
#include "../stand-2/world.hpp"

using namespace review;

namespace {

constexpr double length = 24;    // seconds
constexpr double change_at = 8;  // seconds
constexpr unsigned flow_count = 40;

int run(std::string const& folder, bool has_trouble)
{
    world all{folder, {.front_count = 2}};
    address const notices = all.make_route(8080);
    address const bulletins = all.make_route(8443);
    configuration first{.version = 7};
    first.routes = {{notices, "safe", 1000, 100, 2, {{"members", 1}}},
                    {bulletins, "download", 5000, 500, 2, {{"archive", 1}}}};
    first.services = {"members", "archive"};
    all.apply(first);
    for (unsigned i = 0; i < 4; ++i)
        all.add_side({.id = "i-" + std::to_string(i + 1),
                      .service = i < 2 ? "members" : "archive"});
    all.add_front();
    all.add_front();
    all.start_routers();
    requester& callers = all.add_requester();
    unsigned broken = 0;
    callers.on_reset = [&](reset_record const& one) {
        std::string holder;
        for (auto const& side : all.sides)
            if (side->server->holds_open(one.source, one.route))
                holder = side->server->settings.id;
        bool const is_break =
            one.is_open && one.is_in_window && !holder.empty();
        broken += is_break ? 1 : 0;
        all.note("reset of the system to " + to_text(one.source) + " on " +
                 to_text(one.route) +
                 (one.is_open ? ", flow open" : ", flow not open") +
                 (one.is_in_window ? "" : ", number out of the window") +
                 (one.is_request_waiting ? ", a request waits" : "") +
                 (holder.empty() ? ", no endpoint holds it"
                                 : ", held by " + holder));
    };
    all.events.run(4);
    if (all.routes->count_ready() != 2)
        return 2;
    for (unsigned i = 0; i < flow_count; ++i)
        all.events.at(4 + i * 0.05, [&] {
            callers.start_flow(bulletins, 1000, 0.4, 5);
        });
    all.events.at(change_at, [&] {
        all.note("open flows: " + std::to_string(callers.count_open()));
        if (!has_trouble)
            return;
        configuration next = first;
        next.version = 9;
        next.routes[1].services = {{"members", 1}};
        next.services = {"members"};
        all.apply(next);
    });
    all.events.run(length);
    std::size_t answered = 0;
    std::size_t other = 0;
    for (attempt const& one : callers.attempts)
        ++(one.outcome == "answered" ? answered : other);
    all.note("requests answered: " + std::to_string(answered) +
             ", with another outcome or still open: " + std::to_string(other));
    for (auto const& side : all.sides)
        all.note("endpoint " + side->server->settings.id + " (" +
                 side->server->settings.service +
                 "): " + std::to_string(side->server->runs.size()) + " runs, " +
                 std::to_string(side->server->opening_count) +
                 " flows offered, " +
                 std::to_string(side->server->reset_count) + " resets sent");
    all.note_requests();
    all.note("open flows at the end: " + std::to_string(callers.count_open()));
    all.note("FLOW broken by resets: " + std::to_string(broken));
    if (answered < flow_count)
        return 2;
    return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}
