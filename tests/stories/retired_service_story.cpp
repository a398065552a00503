// Services that the configuration no longer lists: their open connections stay,
// and they get no new ones.
#include "fakes/fake_connections.hpp"
#include "placement/target_directory.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace lagoon::fakes;
using namespace std::chrono_literals;

namespace {

// ---- which services may own connections ---------------------------------

peer_address const archive_address{0x0A020001, 8000};
peer_address const members_address{0x0A020002, 8000};
peer_address const foreign_address{0x0A020003, 8000};

service_id const members = make_service_id("members");
service_id const archive = make_service_id("archive");
service_id const foreign = make_service_id("agent");

// A process that has followed the platform since its start. The configuration
// lists members and archive; agent belongs to another application.
struct a_directory_of_services : Utest
{
    time_point const start{100s};
    time_point now{this->start};
    target_directory directory{60s, this->start};
    std::vector<std::pair<std::string, peer_address>> listed = {
        {"archive", archive_address},
        {"members", members_address},
        {"agent", foreign_address}};
    std::uint64_t last_generation = 0;

    void setup() override
    {
        this->tick(0s);
        this->configure({members, archive});
    }

    void configure(std::vector<service_id> services)
    {
        std::sort(services.begin(), services.end());
        generation const next{++this->last_generation};
        catalog_change change{{}, next};
        change.routes = routes_part{.changed_at = next,
                                    .version = next.value,
                                    .services = std::move(services)};
        std::uint64_t sum = compute_digest(fleet_part{}).value +
                            compute_digest(*change.routes).value;
        for (auto const& [name, address] : this->listed) {
            std::string const key = to_text(address);
            target_record const target{make_target_id(name + key), name + key,
                                       "zg-a", address, address};
            change.parts.push_back(
                {make_service_id(name), name, next, {}, {target}});
            sum += compute_digest(change.parts.back()).value;
        }
        change.result_digest = {sum};
        catalog current;
        failure error;
        CHECK(current.adopt(change, error).has_value());
        this->directory.update(current, this->now);
    }

    void tick(duration after, duration platform_age = 0ms)
    {
        this->now += after;
        this->directory.tick(platform_age, this->now);
    }

    bool is_found(service_id id) const
    {
        return this->directory.find(id) != nullptr;
    }

    bool gets_connections(service_id id) const
    {
        return this->directory.find_configured(id) != nullptr;
    }
};

struct a_directory_with_a_retired_service : a_directory_of_services
{
    void setup() override
    {
        this->a_directory_of_services::setup();
        this->configure({members});
    }
};

}  // namespace

SECTION(services_of_a_directory, a_directory_of_services){};

TEST(services_of_a_directory, get_connections_if_they_are_configured)
{
    CHECK(this->gets_connections(members) && this->gets_connections(archive));
    CHECK(!this->gets_connections(foreign));
}

// The process doesn't know whether the service was configured before it started.
TEST(services_of_a_directory, are_found_while_older_connections_may_be_open)
{
    this->tick(60s);
    CHECK(this->is_found(foreign));
    this->tick(1ms);
    CHECK(!this->is_found(foreign));
    CHECK(this->is_found(archive));
}

// Guards against resets after a process missed that a service was added and
// removed.
TEST(services_of_a_directory,
     are_found_again_after_changes_may_have_been_missed)
{
    this->tick(61s);
    this->tick(5s, 3s);
    this->tick(100ms, 0ms);
    CHECK(this->is_found(foreign));
    this->tick(61s);
    CHECK(!this->is_found(foreign));
    this->directory.record_pause(this->now);
    this->tick(0ms);
    CHECK(this->is_found(foreign));
}

TEST(services_of_a_directory, hide_no_target_whose_key_has_lapsed)
{
    this->listed = {{"archive", archive_address}, {"agent", members_address}};
    this->configure({members, archive});
    CHECK(this->gets_connections(members));
    this->listed = {{"archive", members_address}};
    this->configure({members, archive});
    CHECK(!this->gets_connections(members));
}

SECTION(a_retired_service, a_directory_with_a_retired_service){};

TEST(a_retired_service, is_found_as_long_as_it_is_listed)
{
    this->tick(3600s);
    this->configure({members});
    CHECK(this->is_found(archive));
    CHECK(!this->gets_connections(archive));
    this->listed.erase(this->listed.begin());
    this->configure({members});
    CHECK(this->is_found(archive));
    this->tick(2100ms);
    CHECK(!this->is_found(archive));
}

TEST(a_retired_service, gets_connections_again_when_the_change_is_taken_back)
{
    this->configure({members, archive});
    CHECK(this->gets_connections(archive));
    this->configure({members});
    CHECK(!this->gets_connections(archive));
    this->tick(61s);
    CHECK(this->is_found(archive));
}

// The keys of living targets lapse while the platform is away.
TEST(a_retired_service, is_found_again_after_a_platform_outage)
{
    this->tick(61s);
    this->listed.erase(this->listed.begin());
    this->configure({members});
    this->tick(30s, 3s);
    CHECK(this->is_found(archive));
    this->tick(100ms);
    this->tick(1900ms);
    CHECK(this->is_found(archive));
    this->listed.emplace_back("archive", archive_address);
    this->configure({members});
    this->tick(61s);
    CHECK(this->is_found(archive));
    CHECK(!this->gets_connections(archive));
}

TEST(a_retired_service, is_known_at_its_address_to_the_owner_table)
{
    CHECK(this->directory.contains(archive_address));
    this->tick(61s);
    CHECK(this->directory.contains(foreign_address));
}

namespace {

// ---- a fleet whose service is retired -----------------------------------

peer_address const bulletins{0xC6120001, 444};
peer_address const notices{0xC6120001, 443};

// Four entries, four targets of each service. The callers of the bulletins keep
// their connections open to archive.
struct a_fleet_of_two_services : Utest
{
    static constexpr std::size_t members_count = 4;
    static constexpr std::size_t target_count = 8;
    static constexpr std::size_t entry_count = 4;
    static constexpr std::size_t caller_count = 120;
    fake_connections<> fleet{23};
    std::size_t bulletin = 0;

    void setup() override
    {
        this->fleet.entry_settings.reset_lost_connections = true;
        this->fleet.entry_settings.membership.timing.read_now_interval = 100ms;
        this->fleet.add_kind({notices, "members", 13ms, 100ms, 1s, 2});
        this->bulletin = this->fleet.add_kind(
            {bulletins, "archive", 13ms, 200ms, 2s, 2, true, 1, 0.3});
        for (std::size_t i = 0; i < entry_count; ++i)
            this->fleet.add_entry(0);
        for (std::size_t i = 0; i < target_count; ++i)
            this->fleet.add_target(i < members_count ? "members" : "archive",
                                   0);
        this->configure("archive", {"members", "archive"});
        this->fleet.run_for(1s);
        this->fleet.add_sessions(this->bulletin, caller_count, 500ms, 300s, 1);
        this->fleet.run_for(5s);
    }

    void configure(std::string const& service,
                   std::vector<std::string> const& services)
    {
        this->fleet.move_route(this->bulletin, service);
        this->fleet.configured_services = services;
        this->fleet.publish();
    }

    void retire()
    {
        this->configure("members", {"members"});
    }

    void restart_entries()
    {
        for (std::size_t i = 0; i < entry_count; ++i) {
            this->fleet.kill_entry(i);
            this->fleet.run_for(200ms);
            this->fleet.start_entry(i);
            this->fleet.run_for(500ms);
        }
    }

    void list_archive(bool is_listed)
    {
        for (std::size_t i = members_count; i < target_count; ++i)
            if (is_listed)
                this->fleet.unlisted.erase(i);
            else
                this->fleet.unlisted.insert(i);
        this->fleet.publish();
    }

    std::size_t count_archive_openings() const
    {
        std::size_t sum = 0;
        for (std::size_t i = members_count; i < target_count; ++i)
            sum += this->fleet.count_accepted(i);
        return sum;
    }

    // Checks that from now on no caller loses its connection, and that the
    // retired service gets no new one.
    void expect_calm(duration span)
    {
        std::size_t const opened = this->count_archive_openings();
        time_point const from = this->fleet.now();
        this->fleet.run_for(span);
        UNSIGNED_LONGS_EQUAL(0, this->fleet.wrong_resets);
        UNSIGNED_LONGS_EQUAL(0, this->fleet.resets);
        UNSIGNED_LONGS_EQUAL(
            0, this->fleet.count_requests(completion_status::failed, from,
                                          this->fleet.now() - 2s));
        CHECK(this->fleet.earned_share(from, this->fleet.now() - 2s) > 0.97);
        UNSIGNED_LONGS_EQUAL(opened, this->count_archive_openings());
    }
};

struct a_fleet_with_a_retired_service : a_fleet_of_two_services
{
    void setup() override
    {
        this->a_fleet_of_two_services::setup();
        this->retire();
        this->fleet.run_for(500ms);
    }
};

}  // namespace

SECTION(a_fleet_that_retires_a_service, a_fleet_with_a_retired_service){};

// Guards against resets of open connections when the configuration no longer
// lists the service that holds them.
TEST(a_fleet_that_retires_a_service, keeps_its_open_connections)
{
    this->expect_calm(12s);
}

// Guards against resets by processes that have never seen the service in a
// configuration.
TEST(a_fleet_that_retires_a_service, finds_them_after_its_entries_restarted)
{
    this->restart_entries();
    this->expect_calm(12s);
}

TEST(a_fleet_that_retires_a_service, finds_them_after_its_targets_restarted)
{
    for (std::size_t i = members_count; i < target_count; ++i) {
        this->fleet.kill_target(i);
        this->fleet.run_for(100ms);
        this->fleet.start_target(i);
        this->fleet.run_for(300ms);
    }
    this->expect_calm(12s);
}

TEST(a_fleet_that_retires_a_service, finds_them_after_all_processes_restarted)
{
    for (std::size_t i = 0; i < target_count; ++i)
        this->fleet.kill_target(i);
    for (std::size_t i = 0; i < entry_count; ++i)
        this->fleet.kill_entry(i);
    this->fleet.run_for(300ms);
    for (std::size_t i = 0; i < target_count; ++i)
        this->fleet.start_target(i);
    for (std::size_t i = 0; i < entry_count; ++i)
        this->fleet.start_entry(i);
    this->fleet.run_for(4s);
    this->expect_calm(12s);
}

TEST(a_fleet_that_retires_a_service, keeps_them_when_that_is_taken_back)
{
    this->configure("archive", {"members", "archive"});
    this->fleet.run_for(3s);
    this->retire();
    this->fleet.run_for(500ms);
    this->expect_calm(8s);
    this->restart_entries();
    this->configure("members", {"members", "archive"});
    this->expect_calm(8s);
}

// The keys of living targets lapse while the platform is away.
TEST(a_fleet_that_retires_a_service, keeps_them_during_a_platform_outage)
{
    this->fleet.is_platform_up = false;
    this->fleet.run_for(5s);
    this->list_archive(false);
    this->fleet.is_platform_up = true;
    this->fleet.run_for(1800ms);
    this->list_archive(true);
    this->expect_calm(12s);
}

TEST(a_fleet_that_retires_a_service, keeps_them_if_entries_restart_in_an_outage)
{
    this->fleet.is_platform_up = false;
    this->fleet.run_for(4s);
    this->restart_entries();
    this->list_archive(false);
    this->fleet.is_platform_up = true;
    this->fleet.run_for(1800ms);
    this->list_archive(true);
    this->fleet.run_for(1s);
    this->expect_calm(12s);
}

// An older configuration, which a store that reverts holds for a while.
TEST(a_fleet_that_retires_a_service, keeps_them_when_the_store_reverts)
{
    auto const copy = this->fleet.copy_store();
    this->fleet.publish();
    this->fleet.run_for(2s);
    this->fleet.revert_store(copy);
    this->fleet.run_for(1s);
    this->expect_calm(12s);
}

SECTION(a_fleet_beside_another_application, a_fleet_of_two_services){};

// Guards against an entry that never proves a connection to be lost because
// another application publishes targets at the addresses of its own.
TEST(a_fleet_beside_another_application, still_resets_lost_connections)
{
    for (std::size_t i = 0; i < target_count; ++i) {
        peer_address const at = this->fleet.target_address(i);
        this->fleet.foreign_keys.push_back(
            {"agent-" + std::to_string(i),
             published_target{.service = "agent",
                              .data_centre = "z0",
                              .back_end = {at.ip, 9100},
                              .address = at,
                              .created_at = {1'000'000}}});
    }
    this->fleet.publish();
    this->fleet.run_for(4s);
    this->fleet.kill_back_end(members_count);
    this->fleet.start_back_end(members_count);
    this->fleet.publish();
    this->fleet.run_for(3s);
    time_point const from = this->fleet.now();
    this->fleet.run_for(8s);
    UNSIGNED_LONGS_EQUAL(0, this->fleet.wrong_resets);
    CHECK(this->fleet.resets > 0);
    CHECK(this->fleet.earned_share(from, this->fleet.now() - 2s) > 0.97);
}
