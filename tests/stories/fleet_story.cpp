#include "fakes/fake_fleet.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

// Three entries, the service members with three targets, and the service
// archive with one.
struct fleet_fixture : Utest
{
    fake_fleet<> fleet{42};
    target_record m1 = {};
    target_record m2 = {};
    target_record m3 = {};
    target_record a1 = {};
    std::size_t caller = 0;

    void setup() override
    {
        for (char const* name : {"e1", "e2", "e3"})
            this->fleet.add_entry(name);
        this->m1 = this->fleet.add_target("m1", 2);
        this->m2 = this->fleet.add_target("m2", 2);
        this->m3 = this->fleet.add_target("m3", 2);
        this->a1 = this->fleet.add_target("a1", 2);
        this->publish({this->m1, this->m2, this->m3}, {this->a1});
        this->fleet.run_for(3s);
        this->caller = this->fleet.add_caller("members", "club");
    }

    void publish(std::vector<target_record> const& members,
                 std::vector<target_record> const& archive,
                 std::vector<std::string> const& callers = {"club"})
    {
        this->fleet.publish({make_service("members", callers, members),
                             make_service("archive", {"club"}, archive)});
    }

    target_record leaving(target_record const& target) const
    {
        return with_state(target, target_state::leaving);
    }

    // Begins a request and runs the fleet until a back end has started it.
    void begin_and_wait_for_run(request_spec const& spec)
    {
        std::size_t const before = this->fleet.runs.size();
        this->fleet.start_request(this->caller, spec);
        while (this->fleet.runs.size() == before)
            this->fleet.run_for(1ms);
    }

    std::string target_of_last_run() const
    {
        target_id const id = this->fleet.runs.back().target;
        for (target_record const& one :
             {this->m1, this->m2, this->m3, this->a1})
            if (one.id == id)
                return one.name;
        return "";
    }

    target_record record_of(std::string const& name) const
    {
        for (target_record const& one : {this->m1, this->m2, this->m3})
            if (one.name == name)
                return one;
        return this->a1;
    }

    std::vector<target_record> members_with(std::string const& name,
                                            target_state state) const
    {
        std::vector<target_record> all;
        for (target_record const& one : {this->m1, this->m2, this->m3})
            all.push_back(one.name == name ? with_state(one, state) : one);
        return all;
    }

    request_outcome outcome_of(std::string const& tag)
    {
        CHECK(this->fleet.run_until_idle(120s));
        recorded_outcome const* recorded = this->fleet.outcome_of(tag);
        CHECK(recorded != nullptr);
        return recorded != nullptr ? recorded->outcome : request_outcome{};
    }

    void check_complete(std::string const& tag, std::size_t bytes)
    {
        request_outcome const outcome = this->outcome_of(tag);
        SAME(outcome_kind::complete, outcome.kind);
        UNSIGNED_LONGS_EQUAL(bytes, outcome.answer.size());
    }
};

// An idempotent request with a large answer is running.
struct with_a_download : fleet_fixture
{
    static constexpr std::size_t size = 400'000;  // bytes

    void setup() override
    {
        this->fleet_fixture::setup();
        this->begin_and_wait_for_run(
            make_request_spec("bulletin", true, 2s, size, 60s));
    }
};

// A request that is not idempotent is running.
struct with_a_running_renewal : fleet_fixture
{
    void setup() override
    {
        this->fleet_fixture::setup();
        this->begin_and_wait_for_run(
            make_request_spec("renewal", false, 500ms, 100, 20s));
    }
};

// Both slots of the only target of members are in use, and a non-idempotent
// request is queued.
struct with_a_queued_renewal : fleet_fixture
{
    std::size_t queued_caller = 0;

    void setup() override
    {
        this->fleet_fixture::setup();
        this->publish({this->m1}, {this->a1});
        this->fleet.run_for(3s);
        for (int i = 0; i < 2; ++i) {
            std::size_t const caller =
                this->fleet.add_caller("members", "club");
            this->fleet.start_request(
                caller, make_request_spec("busy" + std::to_string(i), true, 1s,
                                          100, 60s));
        }
        this->fleet.run_for(50ms);
        this->queued_caller = this->fleet.add_caller("members", "club");
        this->fleet.start_request(
            this->queued_caller,
            make_request_spec("renewal", false, 20ms, 100, 5s));
        this->fleet.run_for(50ms);
    }
};

}  // namespace

// ---- an open download ---------------------------------------------------

SECTION(fleet_with_a_download, with_a_download){};

TEST(fleet_with_a_download, returns_the_whole_answer)
{
    this->check_complete("bulletin", size);
}

TEST(fleet_with_a_download, completes_when_an_entry_is_killed)
{
    this->fleet.run_for(1900ms);
    this->fleet.kill("e1");
    this->check_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("bulletin"));
}

TEST(fleet_with_a_download, completes_when_all_entries_are_replaced_in_turn)
{
    for (char const* name : {"e1", "e2", "e3"}) {
        this->fleet.kill(name);
        this->fleet.run_for(400ms);
        this->fleet.start_entry(name);
        this->fleet.run_for(400ms);
    }
    this->check_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("bulletin"));
}

TEST(fleet_with_a_download, completes_while_its_target_leaves)
{
    this->publish(
        this->members_with(this->target_of_last_run(), target_state::leaving),
        {this->a1});
    this->check_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("bulletin"));
}

TEST(fleet_with_a_download, completes_when_its_target_moves_to_another_service)
{
    std::string const owner = this->target_of_last_run();
    std::vector<target_record> members =
        this->members_with(owner, target_state::leaving);
    this->publish(members, {this->a1, this->record_of(owner)});
    this->check_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("bulletin"));
}

TEST(fleet_with_a_download, completes_when_its_caller_loses_permission)
{
    this->publish({this->m1, this->m2, this->m3}, {this->a1}, {"secretary"});
    this->fleet.run_for(1s);
    std::size_t const other = this->fleet.add_caller("members", "club");
    this->fleet.start_request(other, make_request_spec("late", true));
    this->check_complete("bulletin", size);
    SAME(outcome_kind::not_run, this->outcome_of("late").kind);
    SAME(reason::not_permitted, this->outcome_of("late").cause);
}

TEST(fleet_with_a_download, completes_despite_loss_duplication_and_reordering)
{
    this->fleet.network = {0.05, 0.05, 500us, 20ms};
    this->check_complete("bulletin", size);
}

TEST(fleet_with_a_download, runs_at_another_target_when_its_target_is_killed)
{
    std::string const owner = this->target_of_last_run();
    this->fleet.kill(owner);
    this->check_complete("bulletin", size);
    CHECK(this->target_of_last_run() != owner);
}

TEST(fleet_with_a_download, completes_when_a_socket_to_the_target_goes_silent)
{
    peer_address const target =
        this->record_of(this->target_of_last_run()).address;
    for (std::uint32_t entry = 0; entry < 3; ++entry) {
        // The first socket towards targets.
        peer_address const socket{0x0A000001 + entry, 3};
        this->fleet.cut_path(socket, target);
        this->fleet.cut_path(target, socket);
    }
    this->check_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("bulletin"));
}

TEST(fleet_with_a_download, completes_when_the_port_of_the_caller_goes_silent)
{
    peer_address const port{0x0A020001, 1000};
    for (std::uint32_t entry = 0; entry < 3; ++entry)
        this->fleet.cut_path({0x0A000001 + entry, 1}, port);
    this->check_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("bulletin"));
}

// ---- runs at most once --------------------------------------------------

SECTION(fleet_with_a_running_renewal, with_a_running_renewal){};

TEST(fleet_with_a_running_renewal, runs_it_once_despite_retransmissions)
{
    this->fleet.network = {0.3, 0.3, 500us, 30ms};
    this->outcome_of("renewal");
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("renewal"));
}

TEST(fleet_with_a_running_renewal, reports_unknown_when_its_target_restarts)
{
    std::string const owner = this->target_of_last_run();
    this->fleet.kill(owner);
    this->fleet.start_target(owner);
    SAME(outcome_kind::unknown, this->outcome_of("renewal").kind);
    this->fleet.run_for(30s);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("renewal"));
}

TEST(fleet_with_a_running_renewal, reports_unknown_when_the_answer_is_lost)
{
    this->fleet.targets_losing_answers = {"m1", "m2", "m3"};
    SAME(outcome_kind::unknown, this->outcome_of("renewal").kind);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("renewal"));
}

TEST(fleet_with_a_running_renewal, reports_unknown_when_its_target_is_killed)
{
    this->fleet.kill(this->target_of_last_run());
    SAME(outcome_kind::unknown, this->outcome_of("renewal").kind);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("renewal"));
}

TEST(fleet_with_a_running_renewal, completes_it_when_its_target_is_stopped)
{
    this->fleet.stop(this->target_of_last_run());
    this->check_complete("renewal", 100);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("renewal"));
}

SECTION(fleet_with_a_queued_renewal, with_a_queued_renewal){};

TEST(fleet_with_a_queued_renewal, runs_it_when_a_slot_is_free)
{
    this->check_complete("renewal", 100);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("renewal"));
}

TEST(fleet_with_a_queued_renewal, does_not_run_it_after_a_long_pause)
{
    this->fleet.pause("m1");
    this->fleet.run_for(30s);
    this->fleet.resume("m1");
    this->fleet.run_for(30s);
    CHECK(this->outcome_of("renewal").kind != outcome_kind::complete);
    UNSIGNED_LONGS_EQUAL(0, this->fleet.count_runs("renewal"));
}

TEST(fleet_with_a_queued_renewal, runs_it_when_its_target_is_stopped)
{
    this->fleet.stop("m1");
    this->check_complete("renewal", 100);
}

// ---- services, callers and sessions -------------------------------------

SECTION(fleet, fleet_fixture){};

TEST(fleet, runs_requests_only_at_their_own_service)
{
    for (int i = 0; i < 20; ++i) {
        this->fleet.start_request(
            this->caller, make_request_spec("n" + std::to_string(i), true));
        CHECK(this->fleet.run_until_idle(10s));
    }
    for (fake_run const& run : this->fleet.runs)
        CHECK(run.target != this->a1.id);
}

TEST(fleet, refuses_a_caller_without_permission)
{
    std::size_t const other_caller = this->fleet.add_caller("members", "crew");
    this->fleet.start_request(other_caller, make_request_spec("n", true));
    request_outcome const outcome = this->outcome_of("n");
    SAME(outcome_kind::not_run, outcome.kind);
    SAME(reason::not_permitted, outcome.cause);
}

TEST(fleet, refuses_requests_that_cannot_meet_their_deadline)
{
    std::vector<std::size_t> callers;
    for (int i = 0; i < 400; ++i) {
        callers.push_back(this->fleet.add_caller("members", "club"));
        this->fleet.start_request(callers.back(),
                                  make_request_spec("n" + std::to_string(i),
                                                    false, 50ms, 100, 400ms));
    }
    CHECK(this->fleet.run_until_idle(60s));
    std::size_t refused = 0;
    for (recorded_outcome const& one : this->fleet.outcomes) {
        if (one.outcome.kind != outcome_kind::not_run)
            continue;
        ++refused;
        UNSIGNED_LONGS_EQUAL(0, this->fleet.count_runs(one.tag));
    }
    CHECK(refused > 0);
}

TEST(fleet, keeps_a_session_when_its_target_leaves)
{
    this->fleet.start_request(this->caller, make_request_spec("first", false));
    this->check_complete("first", 100);
    std::string const owner = this->target_of_last_run();
    this->publish(this->members_with(owner, target_state::leaving), {this->a1});
    this->fleet.run_for(8s);
    this->fleet.start_request(this->caller, make_request_spec("second", false));
    this->check_complete("second", 100);
    CHECK(this->target_of_last_run() != owner);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.count_runs("second"));
}

TEST(fleet, keeps_the_owner_of_a_session_when_a_target_joins)
{
    this->fleet.start_request(this->caller, make_request_spec("first", false));
    this->check_complete("first", 100);
    std::string const owner = this->target_of_last_run();
    target_record const m4 = this->fleet.add_target("m4", 50);
    this->publish({this->m1, this->m2, this->m3, m4}, {this->a1});
    this->fleet.run_for(8s);
    this->fleet.start_request(this->caller, make_request_spec("second", false));
    this->check_complete("second", 100);
    STRCMP_EQUAL(owner.c_str(), this->target_of_last_run().c_str());
}

TEST(fleet, completes_within_two_seconds_after_an_idle_target_was_killed)
{
    this->fleet.start_request(this->caller, make_request_spec("first", false));
    this->check_complete("first", 100);
    this->fleet.kill(this->target_of_last_run());
    this->fleet.run_for(2s);
    this->fleet.start_request(this->caller, make_request_spec("second", false));
    request_outcome const outcome = this->outcome_of("second");
    SAME(outcome_kind::complete, outcome.kind);
    CHECK(outcome.elapsed < 2s);
}

// ---- leaving targets ----------------------------------------------------

TEST(fleet, starts_no_runs_at_a_leaving_target_after_five_seconds)
{
    std::vector<std::size_t> callers;
    callers.reserve(30);
    for (int i = 0; i < 30; ++i)
        callers.push_back(this->fleet.add_caller("members", "club"));
    this->publish({this->leaving(this->m1), this->m2, this->m3}, {this->a1});
    time_point const published = this->fleet.now();
    for (int round = 0; round < 100; ++round) {
        for (std::size_t const caller : callers)
            if (!this->fleet.is_busy(caller))
                this->fleet.start_request(caller, make_request_spec("n", true));
        this->fleet.run_for(100ms);
    }
    for (fake_run const& run : this->fleet.runs)
        if (run.target == this->m1.id)
            CHECK(run.started_at <= published + 5s);
}

// ---- configuration ------------------------------------------------------

TEST(fleet, adopts_a_generation_everywhere_within_six_seconds)
{
    this->publish({this->m1, this->m2}, {this->a1});
    this->fleet.run_for(6s);
    UNSIGNED_LONGS_EQUAL(
        7, this->fleet.count_processes_at(this->fleet.published.version()));
}

TEST(fleet, adopts_the_second_of_two_quick_changes)
{
    this->publish({this->m1, this->m2}, {this->a1});
    this->fleet.run_for(300ms);
    this->publish({this->m1, this->m3}, {this->a1});
    this->fleet.run_for(6s);
    UNSIGNED_LONGS_EQUAL(
        7, this->fleet.count_processes_at(this->fleet.published.version()));
}

struct during_a_platform_outage : fleet_fixture
{
    catalog_version newest = {};

    void setup() override
    {
        this->fleet_fixture::setup();
        this->fleet.stale_copy = this->fleet.published;
        this->publish({this->m1, this->m2}, {this->a1});
        this->newest = this->fleet.published.version();
        this->fleet.run_for(6s);
        this->fleet.platform = fake_platform_mode::down;
    }
};

SECTION(fleet_during_a_platform_outage, during_a_platform_outage){};

TEST(fleet_during_a_platform_outage, completes_requests)
{
    this->fleet.run_for(10min);
    this->fleet.start_request(this->caller, make_request_spec("n", false));
    this->check_complete("n", 100);
}

TEST(fleet_during_a_platform_outage,
     gives_restarted_processes_the_newest_generation)
{
    this->fleet.kill("e1");
    this->fleet.start_entry("e1");
    this->fleet.kill("m1");
    this->fleet.start_target("m1");
    this->fleet.run_for(3s);
    UNSIGNED_LONGS_EQUAL(7, this->fleet.count_processes_at(this->newest));
}

TEST(fleet_during_a_platform_outage,
     keeps_the_newest_generation_when_the_platform_is_stale)
{
    this->fleet.platform = fake_platform_mode::stale;
    this->fleet.run_for(30s);
    UNSIGNED_LONGS_EQUAL(7, this->fleet.count_processes_at(this->newest));
}

TEST(fleet_during_a_platform_outage,
     keeps_a_restarted_entry_unready_until_it_is_up_to_date)
{
    this->fleet.platform = fake_platform_mode::stale;
    this->fleet.kill("e1");
    this->fleet.start_entry("e1");
    for (int i = 0; i < 400; ++i) {
        this->fleet.run_for(10ms);
        entry<seeded_random> const& restarted = this->fleet.entry_core("e1");
        // It accepts flows only with the generation of the other processes.
        CHECK(!restarted.is_ready(this->fleet.now()) ||
              restarted.configuration().version() == this->newest);
    }
    CHECK(this->fleet.entry_core("e1").is_ready(this->fleet.now()));
}

TEST(fleet_during_a_platform_outage, limits_its_reads_of_the_platform)
{
    std::size_t const before = this->fleet.platform_reads;
    this->fleet.run_for(100s);
    // Each of the three entries reads at most once per second. The four targets
    // rank behind them, from rank 3 on, and read at most once per 4 s each.
    CHECK(this->fleet.platform_reads - before <= 3 * 101 + 4 * 26);
}

struct with_paused_processes : fleet_fixture
{
    void setup() override
    {
        this->fleet_fixture::setup();
        this->fleet.pause("e1");
        this->fleet.pause("m1");
        this->publish({this->m2, this->m3}, {this->a1});
        this->fleet.run_for(30s);
    }
};

SECTION(fleet_with_paused_processes, with_paused_processes){};

TEST(fleet_with_paused_processes, opens_no_flow_with_an_outdated_generation)
{
    this->fleet.withdrawn = {"e2", "e3"};  // all packets go to e1
    this->fleet.start_request(this->caller, make_request_spec("n", true));
    this->fleet.run_for(100ms);
    this->fleet.resume("e1");
    this->fleet.resume("m1");
    this->check_complete("n", 100);
    for (fake_run const& run : this->fleet.runs)
        CHECK(run.target != this->m1.id);
}

// ---- partitions ---------------------------------------------------------

struct with_a_partition : fleet_fixture
{
    void setup() override
    {
        this->fleet_fixture::setup();
        this->fleet.partition({"e1", "m1"});
    }
};

SECTION(partitioned_fleet, with_a_partition){};

TEST(partitioned_fleet, serves_callers_on_both_sides)
{
    for (int i = 0; i < 10; ++i) {
        std::string const tag = "n" + std::to_string(i);
        this->fleet.start_request(this->caller,
                                  make_request_spec(tag, true, 20ms, 100, 30s));
        this->check_complete(tag, 100);
    }
}

TEST(partitioned_fleet, runs_non_idempotent_requests_at_most_once)
{
    for (int i = 0; i < 10; ++i) {
        std::string const tag = "r" + std::to_string(i);
        this->fleet.start_request(this->caller,
                                  make_request_spec(tag, false, 20ms, 100, 5s));
        this->outcome_of(tag);
        CHECK(this->fleet.count_runs(tag) <= 1);
    }
}

TEST(partitioned_fleet, agrees_on_the_generation_after_it_heals)
{
    this->publish({this->m1, this->m2}, {this->a1});
    this->fleet.run_for(3s);
    this->fleet.heal_network();
    this->fleet.run_for(6s);
    UNSIGNED_LONGS_EQUAL(
        7, this->fleet.count_processes_at(this->fleet.published.version()));
}

// ---- forwarded opens ----------------------------------------------------

TEST(fleet_with_a_queued_renewal,
     runs_forwarded_requests_at_most_once_when_their_first_target_is_killed)
{
    this->publish({this->m1, this->m2, this->m3}, {this->a1});
    this->fleet.run_for(3s);
    // m1 is busy and forwards the opens of callers that rank it first.
    std::vector<std::size_t> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(this->fleet.add_caller("members", "club"));
        this->fleet.start_request(
            callers.back(),
            make_request_spec("h" + std::to_string(i), false, 300ms, 100, 20s));
    }
    this->fleet.run_for(5ms);
    this->fleet.kill("m1");
    CHECK(this->fleet.run_until_idle(60s));
    for (int i = 0; i < 12; ++i)
        CHECK(this->fleet.count_runs("h" + std::to_string(i)) <= 1);
}
