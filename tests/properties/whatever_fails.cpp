#include "fakes/fake_fleet.hpp"
#include "stories/story.hpp"

#include <rapidcheck.h>
#include <sstream>

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

// ---- scenarios ----------------------------------------------------------

enum class fault_kind : std::uint8_t
{
    kill_entry,
    start_entry,
    kill_target,
    restart_target,
    pause_entry,
    pause_target,
    wake_all,
    lossy_network,
    calm_network,
    split,
    mend,
    platform_down,
    platform_stale,
    platform_good,
    target_leaves,
    target_returns,
    target_moves,
    answers_lost,
    answers_kept,
    cut_lane,
    last
};

struct fault
{
    fault_kind kind = fault_kind::mend;
    int which = 0;
    int after_ms = 0;  // since the fault before
    bool operator==(fault const&) const = default;
};

struct scenario
{
    std::uint64_t seed = 0;
    std::vector<fault> faults = {};
    bool operator==(scenario const&) const = default;
};

std::ostream& operator<<(std::ostream& out, scenario const& value)
{
    out << "seed " << value.seed << ":";
    for (fault const& one : value.faults)
        out << " (" << static_cast<int>(one.kind) << " " << one.which << " +"
            << one.after_ms << "ms)";
    return out;
}

rc::Gen<fault> any_fault()
{
    auto const last = static_cast<int>(fault_kind::last);
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, last), rc::gen::inRange(0, 4),
                       rc::gen::inRange(0, 1500)),
        [](std::tuple<int, int, int> const& parts) {
            return fault{static_cast<fault_kind>(std::get<0>(parts)),
                         std::get<1>(parts), std::get<2>(parts)};
        });
}

rc::Gen<scenario> any_scenario()
{
    return rc::gen::map(
        rc::gen::pair(rc::gen::arbitrary<std::uint64_t>(),
                      rc::gen::container<std::vector<fault>>(any_fault())),
        [](std::pair<std::uint64_t, std::vector<fault>> const& parts) {
            return scenario{parts.first, parts.second};
        });
}

// ---- the run of one -----------------------------------------------------

constexpr std::array<char const*, 3> entry_names{"e1", "e2", "e3"};
constexpr std::array<char const*, 4> target_names{"m1", "m2", "m3", "a1"};

class scenario_run
{
public:
    explicit scenario_run(scenario const& what) : fleet(what.seed)
    {
        for (char const* name : entry_names)
            this->fleet.add_entry(name);
        for (char const* name : target_names)
            this->records.push_back(this->fleet.add_target(name, 2));
        this->states.assign(target_names.size(), target_state::serving);
        this->publish();
        this->fleet.run_for(3s);
        this->fleet.stale_copy = this->fleet.published;
        for (int i = 0; i < 6; ++i)
            this->callers.push_back(this->fleet.add_caller("members", "club"));
        for (int i = 0; i < 2; ++i)
            this->callers.push_back(this->fleet.add_caller("archive", "club"));
    }

    void meet(std::vector<fault> const& faults)
    {
        for (fault const& one : faults) {
            this->begin_requests();
            this->fleet.run_for(std::chrono::milliseconds{one.after_ms});
            this->happen(one);
            this->note_versions();
        }
        this->begin_requests();
    }

    void heal()
    {
        this->happen({fault_kind::wake_all, 0, 0});
        this->happen({fault_kind::calm_network, 0, 0});
        this->happen({fault_kind::mend, 0, 0});
        this->happen({fault_kind::platform_good, 0, 0});
        this->happen({fault_kind::answers_kept, 0, 0});
        for (int i = 0; i < 3; ++i)
            this->happen({fault_kind::start_entry, i, 0});
        for (int i = 0; i < 4; ++i)
            if (this->dead_targets.contains(
                    target_names.at(static_cast<std::size_t>(i))))
                this->happen({fault_kind::restart_target, i, 0});
    }

    void check()
    {
        RC_ASSERT(this->fleet.run_until_idle(120s));
        this->fleet.run_for(10s);
        for (recorded_outcome const& one : this->fleet.outcomes)
            this->check_outcome(one);
        for (fake_run const& run : this->fleet.runs)
            this->check_run(run);
        RC_ASSERT(this->fleet.count_processes_at(
                      this->fleet.published.version()) == 7U);
    }

private:
    void begin_requests()
    {
        for (std::size_t i = 0; i < this->callers.size(); ++i) {
            if (this->fleet.is_busy(this->callers[i]))
                continue;
            bool const idempotent = i % 2 == 0;
            std::string const tag =
                (idempotent ? "notice-" : "renewal-") +
                std::string{i < 6 ? "members-" : "archive-"} +
                std::to_string(++this->last_tag);
            this->fleet.start_request(
                this->callers[i],
                make_request_spec(tag, idempotent, 80ms,
                                  idempotent ? 20'000 : 100, 8s));
        }
    }

    void check_outcome(recorded_outcome const& one)
    {
        std::size_t const runs = this->fleet.count_runs(one.tag);
        bool const idempotent = one.tag.starts_with("notice");
        if (!idempotent)
            RC_ASSERT(runs <= 1U);
        if (one.outcome.kind == outcome_kind::not_run && !idempotent)
            RC_ASSERT(runs == 0U);
        if (one.outcome.kind != outcome_kind::complete)
            return;
        RC_ASSERT(runs >= 1U);
        RC_ASSERT(one.outcome.answer.size() == (idempotent ? 20'000U : 100U));
    }

    void check_run(fake_run const& run)
    {
        bool const members = run.tag.find("members") != std::string::npos;
        RC_ASSERT(run.service ==
                  make_service_id(members ? "members" : "archive"));
        // m2 alone is ever moved from one service to the other.
        bool const at_archive = run.target == make_target_id("a1");
        bool const at_either = run.target == make_target_id("m2");
        RC_ASSERT(at_either || at_archive == !members);
    }

    // No process ever goes back to an older generation within its life.
    void note_versions()
    {
        for (char const* name : entry_names) {
            if (this->dead_entries.contains(name)) {
                this->versions.erase(name);
                continue;
            }
            catalog_version const seen =
                this->fleet.entry_core(name).configuration().version();
            RC_ASSERT(seen >= this->versions[name]);
            this->versions[name] = seen;
        }
    }

    void publish()
    {
        std::vector<target_record> members;
        for (std::size_t i = 0; i < 3; ++i)
            members.push_back(with_state(this->records[i], this->states[i]));
        std::vector<target_record> archive{this->records[3]};
        if (this->moved)
            archive.push_back(this->records[1]);
        this->fleet.publish({make_service("members", {"club"}, members),
                             make_service("archive", {"club"}, archive)});
    }

    void happen(fault const& one)
    {
        auto const which = static_cast<std::size_t>(one.which);
        std::string const entry = entry_names.at(which % entry_names.size());
        std::string const target = target_names.at(which);
        std::size_t const member = which % 3;
        switch (one.kind) {
        case fault_kind::kill_entry:
            this->fleet.kill(entry);
            this->dead_entries.insert(entry);
            return;
        case fault_kind::start_entry:
            if (this->dead_entries.erase(entry) > 0)
                this->fleet.start_entry(entry);
            return;
        case fault_kind::kill_target:
            this->fleet.kill(target);
            this->dead_targets.insert(target);
            return;
        case fault_kind::restart_target:
            this->fleet.kill(target);
            this->fleet.start_target(target);
            this->dead_targets.erase(target);
            return;
        case fault_kind::pause_entry:
            if (!this->dead_entries.contains(entry))
                this->fleet.pause(entry);
            return;
        case fault_kind::pause_target:
            if (!this->dead_targets.contains(target))
                this->fleet.pause(target);
            return;
        case fault_kind::wake_all:
            for (char const* name : entry_names)
                if (!this->dead_entries.contains(name))
                    this->fleet.resume(name);
            for (char const* name : target_names)
                if (!this->dead_targets.contains(name))
                    this->fleet.resume(name);
            return;
        case fault_kind::lossy_network:
            this->fleet.network = {0.2, 0.2, 500us, 60ms};
            return;
        case fault_kind::calm_network:
            this->fleet.network = {};
            return;
        case fault_kind::split:
            this->fleet.partition({entry, target});
            return;
        case fault_kind::mend:
            this->fleet.heal_network();
            return;
        case fault_kind::platform_down:
            this->fleet.platform = fake_platform_mode::down;
            return;
        case fault_kind::platform_stale:
            this->fleet.platform = fake_platform_mode::stale;
            return;
        case fault_kind::platform_good:
            this->fleet.platform = fake_platform_mode::good;
            return;
        case fault_kind::target_leaves:
            this->states[member] = target_state::leaving;
            this->publish();
            return;
        case fault_kind::target_returns:
            this->states[member] = target_state::serving;
            this->publish();
            return;
        case fault_kind::target_moves:
            this->moved = !this->moved;
            this->states[1] =
                this->moved ? target_state::leaving : target_state::serving;
            this->publish();
            return;
        case fault_kind::answers_lost:
            this->fleet.targets_losing_answers = {"m1", "m2", "m3", "a1"};
            return;
        case fault_kind::answers_kept:
            this->fleet.targets_losing_answers.clear();
            return;
        case fault_kind::cut_lane:
            this->fleet.cut_path({0x0A000001, 3}, this->records[which].address);
            return;
        case fault_kind::last:
            return;
        }
    }

    fake_fleet<> fleet;
    std::vector<target_record> records = {};
    std::vector<target_state> states = {};
    bool moved = false;
    std::vector<std::size_t> callers = {};
    int last_tag = 0;
    std::set<std::string> dead_entries = {};
    std::set<std::string> dead_targets = {};
    std::map<std::string, catalog_version> versions = {};
};

struct whatever_fails : Utest
{
};

}  // namespace

SECTION(whatever_fails_alone_together_or_twice, whatever_fails){};

TEST(whatever_fails_alone_together_or_twice, the_promises_hold)
{
    CHECK(rc::check("the promises hold", [] {
        scenario const what = *any_scenario();
        scenario_run run{what};
        run.meet(what.faults);
        run.heal();
        run.check();
    }));
}
