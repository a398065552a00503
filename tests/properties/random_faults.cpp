// Property test of the whole fleet: applies random sequences of faults to
// entries, targets, the network and the platform while requests run, repairs
// everything, and checks that
//   - a request that isn't idempotent runs at most once, and never if its
//     outcome is `not run`
//   - a complete request ran, and its answer has the right length
//   - every run is at a target of the request's service
//   - no entry goes back to an older configuration unless it restarts
//   - at the end every process has the published configuration.
// RapidCheck shrinks a failing scenario and prints it with its seed.
//
// Index
//   scenarios      faults and their generators
//   scenario_run   one scenario on a fake fleet
//   the property

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
    resume_all,
    lossy_network,
    reliable_network,
    partition,
    heal_partition,
    platform_down,
    platform_stale,
    platform_good,
    target_leaves,
    target_returns,
    target_moves,
    lose_answers,
    keep_answers,
    cut_link,  // from an entry to a target
    count      // number of kinds
};

struct fault
{
    fault_kind kind = fault_kind::heal_partition;
    int index = 0;     // selects the entry or target
    int delay_ms = 0;  // since the previous fault
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
        out << " (" << static_cast<int>(one.kind) << " " << one.index << " +"
            << one.delay_ms << "ms)";
    return out;
}

rc::Gen<fault> generate_fault()
{
    auto const kind_count = static_cast<int>(fault_kind::count);
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, kind_count), rc::gen::inRange(0, 4),
                       rc::gen::inRange(0, 1500)),
        [](std::tuple<int, int, int> const& parts) {
            return fault{static_cast<fault_kind>(std::get<0>(parts)),
                         std::get<1>(parts), std::get<2>(parts)};
        });
}

rc::Gen<scenario> generate_scenario()
{
    return rc::gen::map(
        rc::gen::pair(rc::gen::arbitrary<std::uint64_t>(),
                      rc::gen::container<std::vector<fault>>(generate_fault())),
        [](std::pair<std::uint64_t, std::vector<fault>> const& parts) {
            return scenario{parts.first, parts.second};
        });
}

// ---- scenario_run -------------------------------------------------------

constexpr std::array<char const*, 3> entry_names{"e1", "e2", "e3"};
constexpr std::array<char const*, 4> target_names{"m1", "m2", "m3", "a1"};

class scenario_run
{
public:
    explicit scenario_run(scenario const& generated) : fleet(generated.seed)
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

    void inject(std::vector<fault> const& faults)
    {
        for (fault const& one : faults) {
            this->begin_requests();
            this->fleet.run_for(std::chrono::milliseconds{one.delay_ms});
            this->apply(one);
            this->check_versions();
        }
        this->begin_requests();
    }

    void repair_all()
    {
        this->apply({fault_kind::resume_all, 0, 0});
        this->apply({fault_kind::reliable_network, 0, 0});
        this->apply({fault_kind::heal_partition, 0, 0});
        this->apply({fault_kind::platform_good, 0, 0});
        this->apply({fault_kind::keep_answers, 0, 0});
        for (int i = 0; i < 3; ++i)
            this->apply({fault_kind::start_entry, i, 0});
        for (int i = 0; i < 4; ++i)
            if (this->dead_targets.contains(
                    target_names.at(static_cast<std::size_t>(i))))
                this->apply({fault_kind::restart_target, i, 0});
    }

    void check_guarantees()
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
            bool const is_idempotent = i % 2 == 0;
            std::string const tag =
                (is_idempotent ? "notice-" : "renewal-") +
                std::string{i < 6 ? "members-" : "archive-"} +
                std::to_string(++this->last_tag);
            this->fleet.start_request(
                this->callers[i],
                make_request_spec(tag, is_idempotent, 80ms,
                                  is_idempotent ? 20'000 : 100, 8s));
        }
    }

    void check_outcome(recorded_outcome const& one)
    {
        std::size_t const runs = this->fleet.count_runs(one.tag);
        bool const is_idempotent = one.tag.starts_with("notice");
        if (!is_idempotent)
            RC_ASSERT(runs <= 1U);
        if (one.outcome.kind == outcome_kind::not_run && !is_idempotent)
            RC_ASSERT(runs == 0U);
        if (one.outcome.kind != outcome_kind::complete)
            return;
        RC_ASSERT(runs >= 1U);
        RC_ASSERT(one.outcome.answer.size() ==
                  (is_idempotent ? 20'000U : 100U));
    }

    void check_run(fake_run const& run)
    {
        bool const is_members_run =
            run.tag.find("members") != std::string::npos;
        RC_ASSERT(run.service ==
                  make_service_id(is_members_run ? "members" : "archive"));
        // m2 is the only target that moves between the services.
        bool const is_archive_target = run.target == make_target_id("a1");
        bool const is_movable_target = run.target == make_target_id("m2");
        RC_ASSERT(is_movable_target || is_archive_target == !is_members_run);
    }

    // An entry must not return to an older generation unless it restarts.
    void check_versions()
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
        if (this->is_target_moved)
            archive.push_back(this->records[1]);
        this->fleet.publish({make_service("members", {"club"}, members),
                             make_service("archive", {"club"}, archive)});
    }

    void apply(fault const& one)
    {
        auto const index = static_cast<std::size_t>(one.index);
        std::string const entry = entry_names.at(index % entry_names.size());
        std::string const target = target_names.at(index);
        std::size_t const target_index = index % 3;
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
        case fault_kind::resume_all:
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
        case fault_kind::reliable_network:
            this->fleet.network = {};
            return;
        case fault_kind::partition:
            this->fleet.partition({entry, target});
            return;
        case fault_kind::heal_partition:
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
            this->states[target_index] = target_state::leaving;
            this->publish();
            return;
        case fault_kind::target_returns:
            this->states[target_index] = target_state::serving;
            this->publish();
            return;
        case fault_kind::target_moves:
            this->is_target_moved = !this->is_target_moved;
            this->states[1] = this->is_target_moved ? target_state::leaving
                                                    : target_state::serving;
            this->publish();
            return;
        case fault_kind::lose_answers:
            this->fleet.targets_losing_answers = {"m1", "m2", "m3", "a1"};
            return;
        case fault_kind::keep_answers:
            this->fleet.targets_losing_answers.clear();
            return;
        case fault_kind::cut_link:
            this->fleet.cut_path({0x0A000001, 3}, this->records[index].address);
            return;
        case fault_kind::count:
            return;
        }
    }

    fake_fleet<> fleet;
    std::vector<target_record> records = {};
    std::vector<target_state> states = {};
    bool is_target_moved = false;
    std::vector<std::size_t> callers = {};
    int last_tag = 0;
    std::set<std::string> dead_entries = {};
    std::set<std::string> dead_targets = {};
    std::map<std::string, catalog_version> versions = {};
};

// ---- the property -------------------------------------------------------

struct random_faults : Utest
{
};

}  // namespace

SECTION(random_sequences_of_faults, random_faults){};

TEST(random_sequences_of_faults, every_guarantee_holds)
{
    CHECK(rc::check("every guarantee holds", [] {
        scenario const generated = *generate_scenario();
        scenario_run run{generated};
        run.inject(generated.faults);
        run.repair_all();
        run.check_guarantees();
    }));
}
