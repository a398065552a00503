// All fronts but one leave the system; then endpoints report that they leave.
// See claim.txt.
#include "../1/world.hpp"

using namespace review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

constexpr double drain_s = 3.0;
constexpr std::size_t kept_front = 4;  // front-tema-2

}  // namespace

int main(int, char** arguments)
{
    world all(arguments[1]);
    // Fronts and endpoints as on the site adwoa-rentals.
    if (!all.start({"osu", "osu", "osu", "tema", "tema", "achimota", "achimota"},
                   {"booking", "booking", "booking", "booking", "booking",
                    "booking", "booking"}))
        return not_run;
    address const route{all.layout.ip(30, 0), 8443};
    std::map<std::string, double> leaves_since;
    int late_count = 0;
    double latest_s = 0;
    for (auto& one : all.endpoints)
        one->on_arrival = [&](endpoint const& at, packet const& p, bool) {
            bool const is_open =
                (p.flags & flag_syn) != 0 && (p.flags & flag_ack) == 0;
            if (!is_open || !leaves_since.contains(at.id))
                return;
            double const late_s = now_s() - leaves_since.at(at.id) - drain_s;
            if (late_s <= 0)
                return;
            ++late_count;
            latest_s = std::max(latest_s, late_s);
            all.log.line("DRAIN: the opening packet of %s reaches %s %.2f s "
                         "after the ack that it leaves",
                         to_text(p.src).c_str(), at.id.c_str(),
                         late_s + drain_s);
        };
    all.put_config(7, {{route, "booking"}});
    all.start_processes();
    if (!all.run_for(10, [&] { return all.are_all_ready(); }))
        return not_run;
    all.run_for(2);
    for (std::size_t i = 0; i < all.entries.size(); ++i)
        if (i != kept_front && has_trouble())
            all.stop(*all.entries[i], false);
    all.run_for(14);
    std::size_t count = 0;
    auto const send_requests = [&](double seconds) {
        for (double const end = now_s() + seconds; now_s() < end;) {
            requester& one = all.add_requester(route, kept_front);
            one.first_request = "r-" + std::to_string(++count);
            one.open_flow(all.log, static_cast<std::uint32_t>(count * 100'000));
            all.run_for(0.1);
        }
    };
    send_requests(1);
    // An endpoint that leaves goes on serving for drainMs and many seconds more.
    for (std::size_t i = 0; i < 3; ++i) {
        endpoint& one = *all.endpoints[i];
        one.is_draining = true;
        leaves_since[one.id] =
            all.data.put("servers/" + one.id, one.document());
        all.log.line("%s reports that it leaves; acked by the store",
                     one.id.c_str());
        send_requests(6);
    }
    send_requests(3);
    std::size_t const answered = static_cast<std::size_t>(
        std::count_if(all.requesters.begin(), all.requesters.end(),
                      [](auto const& one) { return !one->answered.empty(); }));
    all.log.line("of %zu requests %zu were answered; %d reached an endpoint "
                 "later than 3 s after the ack that it leaves, the last %.2f s "
                 "after these 3 s",
                 count, answered, late_count, latest_s);
    if (answered == 0)
        return not_run;
    return late_count > 0 ? broken : held;
}
