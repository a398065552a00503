// An entry of another writer among those of the endpoints, whose key has the
// full length that the store allows. See claim.txt.
#include "world.hpp"

using namespace review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

constexpr double config_apply_s = 3.0;
constexpr double slack_s = 0.5;

// A service that no configuration names: the entry names no endpoint to use.
std::string make_foreign_document(world const& all)
{
    return "{\"service\":\"nightly-report\",\"address\":\"" +
           to_text({all.layout.ip(7, 0), all.layout.app()}) +
           "\",\"zone\":\"zg-a\",\"configVersion\":\"v1\",\"slots\":2,"
           "\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,"
           "\"born\":1764900000123}";
}

}  // namespace

int main(int, char** arguments)
{
    world all(arguments[1]);
    // Fronts and endpoints as on the small site.
    if (!all.start({"zg-a", "zg-a", "zg-b", "vz-a", "ka-a"},
                   {"members", "members", "members", "members", "archive",
                    "archive", "archive"}))
        return not_run;
    address const kept{all.layout.ip(30, 0), 8080};
    address const dropped{all.layout.ip(30, 0), 8081};
    address const moved{all.layout.ip(30, 0), 8082};
    address const added{all.layout.ip(30, 0), 8083};
    all.put_config(7, {{kept, "members"}, {dropped, "members"},
                       {moved, "members"}});
    all.start_processes();
    if (!all.run_for(10, [&] { return all.are_all_ready(); }))
        return not_run;
    all.run_for(5);
    if (has_trouble()) {
        std::string const id =
            "nightly-report-" + std::string(192 - 15, 'x');  // 200 bytes in all
        all.data.put("servers/" + id, make_foreign_document(all));
        all.log.line("another writer puts servers/%s", id.c_str());
    }
    all.run_for(3);
    double const acked = all.put_config(
        9, {{kept, "members"}, {moved, "archive"}, {added, "members"}});
    all.run_for(acked + config_apply_s + slack_s - now_s());
    struct probe
    {
        requester* one = nullptr;
        std::size_t node = 0;
        address route = {};
        std::string name = {};
        std::string id = {};
    };
    std::vector<probe> probes;
    int number = 0;
    for (int round = 0; round < 4; ++round) {
        for (std::size_t node = 0; node < all.entries.size(); ++node)
            for (auto const& [route, name] :
                 {std::pair{kept, "kept"}, std::pair{dropped, "dropped"},
                  std::pair{moved, "moved"}, std::pair{added, "added"}}) {
                requester& one = all.add_requester(route, node);
                one.first_request = std::string{name} + "-" +
                                    std::to_string(++number);
                all.log.line("through %s: route %s",
                             all.entries[node]->name.c_str(), name);
                one.open_flow(all.log, 77'000 + number);
                probes.push_back(
                    {&one, node, route, name, one.first_request});
            }
        all.run_for(3);
    }
    int old_count = 0;
    int refused_count = 0;
    int served_count = 0;
    for (probe const& one : probes) {
        auto const run = std::find_if(
            all.runs.begin(), all.runs.end(),
            [&](run_event const& event) { return event.request == one.id; });
        bool const has_run = run != all.runs.end();
        bool const is_old =
            has_run && (one.name == "dropped" ||
                        (one.name == "moved" && run->service == "members"));
        old_count += is_old ? 1 : 0;
        refused_count += one.name == "added" && one.one->was_refused ? 1 : 0;
        served_count += one.name == "kept" && has_run ? 1 : 0;
        if (is_old)
            all.log.line("CONFIG: %s, sent more than 3 s after the ack of "
                         "version 9 through %s, was run by %s of %s",
                         one.id.c_str(), all.entries[one.node]->name.c_str(),
                         run->endpoint.c_str(), run->service.c_str());
        if (one.name == "added" && one.one->was_refused)
            all.log.line("CONFIG: %s, sent more than 3 s after the ack of "
                         "version 9 through %s, was refused",
                         one.id.c_str(), all.entries[one.node]->name.c_str());
    }
    all.log.line("of %zu flows: %d handled as only the older version allows, "
                 "%d refused on the new route, %d served on the kept route",
                 probes.size(), old_count, refused_count, served_count);
    if (served_count == 0)
        return not_run;
    return old_count + refused_count > 0 ? broken : held;
}
