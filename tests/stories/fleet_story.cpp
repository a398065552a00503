#include "fakes/fake_fleet.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

// Three entries; members with three targets, archive with one.
struct a_fleet : Utest
{
    fake_fleet<> fleet{42};
    target_record m1 = {};
    target_record m2 = {};
    target_record m3 = {};
    target_record a1 = {};
    std::size_t club = 0;

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
        this->club = this->fleet.add_caller("members", "club");
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

    // Begins a request, and runs until it has reached a back end.
    void begin_running(request_spec const& wish)
    {
        std::size_t const before = this->fleet.runs.size();
        this->fleet.begin(this->club, wish);
        while (this->fleet.runs.size() == before)
            this->fleet.run_for(1ms);
    }

    std::string runner() const
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
        CHECK(this->fleet.run_until_quiet(120s));
        told_outcome const* told = this->fleet.outcome_of(tag);
        CHECK(told != nullptr);
        return told != nullptr ? told->outcome : request_outcome{};
    }

    void was_complete(std::string const& tag, std::size_t bytes)
    {
        request_outcome const outcome = this->outcome_of(tag);
        SAME(outcome_kind::complete, outcome.kind);
        UNSIGNED_LONGS_EQUAL(bytes, outcome.answer.size());
    }
};

struct with_a_download : a_fleet
{
    static constexpr std::size_t size = 400'000;  // bytes

    void setup() override
    {
        this->a_fleet::setup();
        this->begin_running(make_wish("bulletin", true, 2s, size, 60s));
    }
};

struct with_a_renewal_running : a_fleet
{
    void setup() override
    {
        this->a_fleet::setup();
        this->begin_running(make_wish("renewal", false, 500ms, 100, 20s));
    }
};

// Every slot of every member target is busy and a renewal waits.
struct with_a_renewal_queued : a_fleet
{
    std::size_t waiting = 0;

    void setup() override
    {
        this->a_fleet::setup();
        this->publish({this->m1}, {this->a1});
        this->fleet.run_for(3s);
        for (int i = 0; i < 2; ++i) {
            std::size_t const caller =
                this->fleet.add_caller("members", "club");
            this->fleet.begin(caller, make_wish("busy" + std::to_string(i),
                                                true, 1s, 100, 60s));
        }
        this->fleet.run_for(50ms);
        this->waiting = this->fleet.add_caller("members", "club");
        this->fleet.begin(this->waiting,
                          make_wish("renewal", false, 20ms, 100, 5s));
        this->fleet.run_for(50ms);
    }
};

}  // namespace

// ---- an open download survives ------------------------------------------

SECTION(fleet_with_a_download, with_a_download){};

TEST(fleet_with_a_download, returns_it_whole)
{
    this->was_complete("bulletin", size);
}

TEST(fleet_with_a_download, goes_on_when_an_entry_is_killed)
{
    this->fleet.run_for(1900ms);
    this->fleet.kill("e1");
    this->was_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("bulletin"));
}

TEST(fleet_with_a_download, goes_on_when_all_entries_are_replaced_in_turn)
{
    for (char const* name : {"e1", "e2", "e3"}) {
        this->fleet.kill(name);
        this->fleet.run_for(400ms);
        this->fleet.start_entry(name);
        this->fleet.run_for(400ms);
    }
    this->was_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("bulletin"));
}

TEST(fleet_with_a_download, goes_on_while_its_target_leaves)
{
    this->publish(this->members_with(this->runner(), target_state::leaving),
                  {this->a1});
    this->was_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("bulletin"));
}

TEST(fleet_with_a_download, goes_on_when_its_target_moves_to_another_service)
{
    std::string const owner = this->runner();
    std::vector<target_record> members =
        this->members_with(owner, target_state::leaving);
    this->publish(members, {this->a1, this->record_of(owner)});
    this->was_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("bulletin"));
}

TEST(fleet_with_a_download, goes_on_when_its_caller_is_moved_away)
{
    this->publish({this->m1, this->m2, this->m3}, {this->a1}, {"secretary"});
    this->fleet.run_for(1s);
    std::size_t const other = this->fleet.add_caller("members", "club");
    this->fleet.begin(other, make_wish("late", true));
    this->was_complete("bulletin", size);
    SAME(outcome_kind::not_run, this->outcome_of("late").kind);
    SAME(reason::not_permitted, this->outcome_of("late").cause);
}

TEST(fleet_with_a_download, goes_on_through_loss_copies_and_disorder)
{
    this->fleet.network = {0.05, 0.05, 500us, 20ms};
    this->was_complete("bulletin", size);
}

TEST(fleet_with_a_download, starts_again_elsewhere_when_its_target_dies)
{
    std::string const owner = this->runner();
    this->fleet.kill(owner);
    this->was_complete("bulletin", size);
    CHECK(this->runner() != owner);
}

TEST(fleet_with_a_download, goes_on_when_a_socket_to_the_target_goes_silent)
{
    peer_address const target = this->record_of(this->runner()).address;
    for (std::uint32_t entry = 0; entry < 3; ++entry) {
        peer_address const socket{0x0A000001 + entry, 3};  // the first lane
        this->fleet.cut(socket, target);
        this->fleet.cut(target, socket);
    }
    this->was_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("bulletin"));
}

TEST(fleet_with_a_download, goes_on_when_the_callers_port_goes_silent)
{
    peer_address const port{0x0A020001, 1000};
    for (std::uint32_t entry = 0; entry < 3; ++entry)
        this->fleet.cut({0x0A000001 + entry, 1}, port);
    this->was_complete("bulletin", size);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("bulletin"));
}

// ---- at most once -------------------------------------------------------

SECTION(fleet_with_a_renewal_running, with_a_renewal_running){};

TEST(fleet_with_a_renewal_running, runs_it_once_however_often_it_is_sent)
{
    this->fleet.network = {0.3, 0.3, 500us, 30ms};
    this->outcome_of("renewal");
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("renewal"));
}

TEST(fleet_with_a_renewal_running, calls_it_unknown_when_its_target_restarts)
{
    std::string const owner = this->runner();
    this->fleet.kill(owner);
    this->fleet.start_target(owner);
    SAME(outcome_kind::unknown, this->outcome_of("renewal").kind);
    this->fleet.run_for(30s);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("renewal"));
}

TEST(fleet_with_a_renewal_running, calls_it_unknown_when_the_answer_is_lost)
{
    this->fleet.answers_lost_at = {"m1", "m2", "m3"};
    SAME(outcome_kind::unknown, this->outcome_of("renewal").kind);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("renewal"));
}

TEST(fleet_with_a_renewal_running, calls_it_unknown_when_its_target_dies)
{
    this->fleet.kill(this->runner());
    SAME(outcome_kind::unknown, this->outcome_of("renewal").kind);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("renewal"));
}

TEST(fleet_with_a_renewal_running, ends_it_whole_when_its_target_is_stopped)
{
    this->fleet.stop(this->runner());
    this->was_complete("renewal", 100);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("renewal"));
}

SECTION(fleet_with_a_renewal_queued, with_a_renewal_queued){};

TEST(fleet_with_a_renewal_queued, runs_it_when_a_slot_is_free)
{
    this->was_complete("renewal", 100);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("renewal"));
}

TEST(fleet_with_a_renewal_queued, refuses_it_after_a_long_pause)
{
    this->fleet.pause("m1");
    this->fleet.run_for(30s);
    this->fleet.wake("m1");
    this->fleet.run_for(30s);
    CHECK(this->outcome_of("renewal").kind != outcome_kind::complete);
    UNSIGNED_LONGS_EQUAL(0, this->fleet.runs_of("renewal"));
}

TEST(fleet_with_a_renewal_queued, still_runs_it_when_its_target_is_stopped)
{
    this->fleet.stop("m1");
    this->was_complete("renewal", 100);
}

// ---- the right service, the right caller --------------------------------

SECTION(fleet, a_fleet){};

TEST(fleet, takes_a_request_only_to_its_own_service)
{
    for (int i = 0; i < 20; ++i) {
        this->fleet.begin(this->club, make_wish("n" + std::to_string(i), true));
        CHECK(this->fleet.run_until_quiet(10s));
    }
    for (fake_run const& run : this->fleet.runs)
        CHECK(run.target != this->a1.id);
}

TEST(fleet, refuses_a_caller_that_is_not_named)
{
    std::size_t const crew = this->fleet.add_caller("members", "crew");
    this->fleet.begin(crew, make_wish("n", true));
    request_outcome const outcome = this->outcome_of("n");
    SAME(outcome_kind::not_run, outcome.kind);
    SAME(reason::not_permitted, outcome.cause);
}

TEST(fleet, refuses_a_request_that_cannot_make_its_deadline)
{
    std::vector<std::size_t> callers;
    for (int i = 0; i < 400; ++i) {
        callers.push_back(this->fleet.add_caller("members", "club"));
        this->fleet.begin(callers.back(), make_wish("n" + std::to_string(i),
                                                    false, 50ms, 100, 400ms));
    }
    CHECK(this->fleet.run_until_quiet(60s));
    std::size_t refused = 0;
    for (told_outcome const& one : this->fleet.told) {
        if (one.outcome.kind != outcome_kind::not_run)
            continue;
        ++refused;
        UNSIGNED_LONGS_EQUAL(0, this->fleet.runs_of(one.tag));
    }
    CHECK(refused > 0);
}

TEST(fleet, keeps_a_session_over_a_planned_change_of_its_target)
{
    this->fleet.begin(this->club, make_wish("first", false));
    this->was_complete("first", 100);
    std::string const owner = this->runner();
    this->publish(this->members_with(owner, target_state::leaving), {this->a1});
    this->fleet.run_for(8s);
    this->fleet.begin(this->club, make_wish("second", false));
    this->was_complete("second", 100);
    CHECK(this->runner() != owner);
    UNSIGNED_LONGS_EQUAL(1, this->fleet.runs_of("second"));
}

TEST(fleet, goes_on_with_the_same_owner_when_a_target_joins)
{
    this->fleet.begin(this->club, make_wish("first", false));
    this->was_complete("first", 100);
    std::string const owner = this->runner();
    target_record const m4 = this->fleet.add_target("m4", 50);
    this->publish({this->m1, this->m2, this->m3, m4}, {this->a1});
    this->fleet.run_for(8s);
    this->fleet.begin(this->club, make_wish("second", false));
    this->was_complete("second", 100);
    STRCMP_EQUAL(owner.c_str(), this->runner().c_str());
}

TEST(fleet, does_not_wait_long_for_a_target_that_died_idle)
{
    this->fleet.begin(this->club, make_wish("first", false));
    this->was_complete("first", 100);
    this->fleet.kill(this->runner());
    this->fleet.run_for(2s);
    this->fleet.begin(this->club, make_wish("second", false));
    request_outcome const outcome = this->outcome_of("second");
    SAME(outcome_kind::complete, outcome.kind);
    CHECK(outcome.elapsed < 2s);
}

// ---- leaving ------------------------------------------------------------

TEST(fleet, sends_nothing_new_to_a_leaving_target_after_five_seconds)
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
                this->fleet.begin(caller, make_wish("n", true));
        this->fleet.run_for(100ms);
    }
    for (fake_run const& run : this->fleet.runs)
        if (run.target == this->m1.id)
            CHECK(run.at <= published + 5s);
}

// ---- configuration ------------------------------------------------------

TEST(fleet, has_a_generation_in_force_everywhere_within_six_seconds)
{
    this->publish({this->m1, this->m2}, {this->a1});
    this->fleet.run_for(6s);
    UNSIGNED_LONGS_EQUAL(
        7, this->fleet.alive_with(this->fleet.published.version()));
}

TEST(fleet, has_the_second_of_two_quick_changes_in_force)
{
    this->publish({this->m1, this->m2}, {this->a1});
    this->fleet.run_for(300ms);
    this->publish({this->m1, this->m3}, {this->a1});
    this->fleet.run_for(6s);
    UNSIGNED_LONGS_EQUAL(
        7, this->fleet.alive_with(this->fleet.published.version()));
}

struct during_an_outage_of_the_platform : a_fleet
{
    catalog_version newest = {};

    void setup() override
    {
        this->a_fleet::setup();
        this->fleet.stale_copy = this->fleet.published;
        this->publish({this->m1, this->m2}, {this->a1});
        this->newest = this->fleet.published.version();
        this->fleet.run_for(6s);
        this->fleet.platform = fake_platform_mode::down;
    }
};

SECTION(fleet_during_an_outage, during_an_outage_of_the_platform){};

TEST(fleet_during_an_outage, serves_on)
{
    this->fleet.run_for(10min);
    this->fleet.begin(this->club, make_wish("n", false));
    this->was_complete("n", 100);
}

TEST(fleet_during_an_outage, gives_a_replaced_process_the_newest_generation)
{
    this->fleet.kill("e1");
    this->fleet.start_entry("e1");
    this->fleet.kill("m1");
    this->fleet.start_target("m1");
    this->fleet.run_for(3s);
    UNSIGNED_LONGS_EQUAL(7, this->fleet.alive_with(this->newest));
}

TEST(fleet_during_an_outage, does_not_go_back_when_the_platform_is_stale)
{
    this->fleet.platform = fake_platform_mode::stale;
    this->fleet.run_for(30s);
    UNSIGNED_LONGS_EQUAL(7, this->fleet.alive_with(this->newest));
}

TEST(fleet_during_an_outage, holds_a_replaced_entry_back_from_a_stale_start)
{
    this->fleet.platform = fake_platform_mode::stale;
    this->fleet.kill("e1");
    this->fleet.start_entry("e1");
    for (int i = 0; i < 400; ++i) {
        this->fleet.run_for(10ms);
        entry<seeded_random> const& fresh = this->fleet.entry_named("e1");
        // It takes flows only with what is in force elsewhere.
        CHECK(!fresh.is_ready(this->fleet.now()) ||
              fresh.configuration().version() == this->newest);
    }
    CHECK(this->fleet.entry_named("e1").is_ready(this->fleet.now()));
}

TEST(fleet_during_an_outage, bounds_its_reads_of_the_platform)
{
    std::size_t const before = this->fleet.platform_reads;
    this->fleet.run_for(100s);
    // Three entries watch, at most one read a second each; four targets of
    // rank three and behind, at most one in four seconds each.
    CHECK(this->fleet.platform_reads - before <= 3 * 101 + 4 * 26);
}

struct after_a_pause : a_fleet
{
    void setup() override
    {
        this->a_fleet::setup();
        this->fleet.pause("e1");
        this->fleet.pause("m1");
        this->publish({this->m2, this->m3}, {this->a1});
        this->fleet.run_for(30s);
    }
};

SECTION(fleet_after_a_pause, after_a_pause){};

TEST(fleet_after_a_pause, takes_no_new_flow_with_an_old_generation)
{
    this->fleet.withdrawn = {"e2", "e3"};  // all packets go to e1
    this->fleet.begin(this->club, make_wish("n", true));
    this->fleet.run_for(100ms);
    this->fleet.wake("e1");
    this->fleet.wake("m1");
    this->was_complete("n", 100);
    for (fake_run const& run : this->fleet.runs)
        CHECK(run.target != this->m1.id);
}

// ---- partitions ---------------------------------------------------------

struct split_in_two_halves : a_fleet
{
    void setup() override
    {
        this->a_fleet::setup();
        this->fleet.split({"e1", "m1"});
    }
};

SECTION(fleet_split_in_two_halves, split_in_two_halves){};

TEST(fleet_split_in_two_halves, serves_callers_on_both_sides)
{
    for (int i = 0; i < 10; ++i) {
        std::string const tag = "n" + std::to_string(i);
        this->fleet.begin(this->club, make_wish(tag, true, 20ms, 100, 30s));
        this->was_complete(tag, 100);
    }
}

TEST(fleet_split_in_two_halves, runs_renewals_at_most_once)
{
    for (int i = 0; i < 10; ++i) {
        std::string const tag = "r" + std::to_string(i);
        this->fleet.begin(this->club, make_wish(tag, false, 20ms, 100, 5s));
        this->outcome_of(tag);
        CHECK(this->fleet.runs_of(tag) <= 1);
    }
}

TEST(fleet_split_in_two_halves, agrees_on_the_generation_when_it_heals)
{
    this->publish({this->m1, this->m2}, {this->a1});
    this->fleet.run_for(3s);
    this->fleet.mend_all();
    this->fleet.run_for(6s);
    UNSIGNED_LONGS_EQUAL(
        7, this->fleet.alive_with(this->fleet.published.version()));
}

// ---- handing over -------------------------------------------------------

TEST(fleet_with_a_renewal_queued, survives_the_placing_target)
{
    this->publish({this->m1, this->m2, this->m3}, {this->a1});
    this->fleet.run_for(3s);
    // Callers whose first-ranked target is m1 find it busy and are handed on.
    std::vector<std::size_t> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(this->fleet.add_caller("members", "club"));
        this->fleet.begin(callers.back(), make_wish("h" + std::to_string(i),
                                                    false, 300ms, 100, 20s));
    }
    this->fleet.run_for(5ms);
    this->fleet.kill("m1");
    CHECK(this->fleet.run_until_quiet(60s));
    for (int i = 0; i < 12; ++i)
        CHECK(this->fleet.runs_of("h" + std::to_string(i)) <= 1);
}
