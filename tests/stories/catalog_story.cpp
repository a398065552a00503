#include "fakes/fake_fleet.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

target_record make_target(std::string const& name)
{
    return {make_target_id(name), name, "zg-a", {1, 1}, {1, 2}, 2,
            target_state::serving};
}

service_part make_part(std::string const& name, std::uint64_t changed_at,
                       std::vector<target_record> const& targets)
{
    return {make_service_id(name),
            name,
            {changed_at},
            {make_caller_id("club")},
            targets};
}

digest sum_digests(std::vector<service_part> const& parts,
                   fleet_part const& fleet)
{
    std::uint64_t sum = compute_digest(fleet).value;
    for (service_part const& part : parts)
        sum += compute_digest(part).value;
    return {sum};
}

catalog_change make_full_change(std::uint64_t number,
                                std::vector<service_part> const& parts)
{
    fleet_part const fleet{{1}, {}};
    return {{}, {number}, sum_digests(parts, fleet), parts, {}, fleet};
}

struct a_new_catalog : Utest
{
    catalog current = {};
    failure error = {};
};

struct a_catalog_with_a_generation : a_new_catalog
{
    void setup() override
    {
        this->members = make_part("members", 5, {make_target("m1")});
        this->archive = make_part("archive", 5, {make_target("a1")});
        this->current.adopt(make_full_change(5, {this->members, this->archive}),
                            this->error);
    }

    service_part members = {};
    service_part archive = {};
};

}  // namespace

SECTION(catalog, a_new_catalog){};

TEST(catalog, is_empty_and_permits_no_caller)
{
    SAME(catalog_version{}, this->current.version());
    CHECK_FALSE(this->current.is_permitted(make_service_id("members"),
                                           make_caller_id("club")));
}

TEST(catalog, rejects_a_generation_that_does_not_increase)
{
    CHECK_FALSE(
        this->current.adopt(make_full_change(0, {}), this->error).has_value());
    SAME(reason::malformed, this->error.cause);
    SAME(step::adopt_generation, this->error.failed_step);
}

TEST(catalog, rejects_a_change_with_a_wrong_digest)
{
    catalog_change change = make_full_change(1, {});
    change.result_digest = {change.result_digest.value + 1};
    CHECK_FALSE(this->current.adopt(change, this->error).has_value());
    SAME(reason::conflict, this->error.cause);
    SAME(catalog_version{}, this->current.version());
}

SECTION(catalog_with_a_generation, a_catalog_with_a_generation){};

TEST(catalog_with_a_generation, permits_only_the_listed_callers)
{
    CHECK(this->current.is_permitted(make_service_id("members"),
                                     make_caller_id("club")));
    CHECK_FALSE(this->current.is_permitted(make_service_id("members"),
                                           make_caller_id("crew")));
}

TEST(catalog_with_a_generation, rejects_an_older_generation)
{
    CHECK_FALSE(
        this->current.adopt(make_full_change(4, {}), this->error).has_value());
    SAME(reason::stale, this->error.cause);
    SAME(generation{5}, this->current.version().number);
}

TEST(catalog_with_a_generation, applies_a_change_of_one_part)
{
    service_part const changed =
        make_part("members", 6, {make_target("m1"), make_target("m2")});
    fleet_part const fleet{{1}, {}};
    catalog_change const change{
        {5},       {6}, sum_digests({changed, this->archive}, fleet),
        {changed}, {},  {}};
    CHECK(this->current.adopt(change, this->error).has_value());
    CHECK(this->current.find_address(make_target_id("m2")).has_value());
    CHECK(this->current.find_address(make_target_id("a1")).has_value());
}

TEST(catalog_with_a_generation, rejects_a_change_with_a_later_base)
{
    fleet_part const fleet{{1}, {}};
    catalog_change const change{{6}, {7}, sum_digests({this->members}, fleet),
                                {},  {},  {}};
    CHECK_FALSE(this->current.adopt(change, this->error).has_value());
    SAME(reason::conflict, this->error.cause);
}

TEST(catalog_with_a_generation, sends_a_peer_only_the_changed_parts)
{
    service_part const changed = make_part("members", 6, {make_target("m2")});
    fleet_part const fleet{{1}, {}};
    catalog behind = this->current;
    this->current.adopt({{5},
                         {6},
                         sum_digests({changed, this->archive}, fleet),
                         {changed},
                         {},
                         {}},
                        this->error);
    catalog_change const change = this->current.changes_since({5});
    UNSIGNED_LONGS_EQUAL(1, change.parts.size());
    CHECK(behind.adopt(change, this->error).has_value());
    SAME(this->current.version(), behind.version());
}

TEST(catalog_with_a_generation, informs_a_peer_of_a_removed_service)
{
    fleet_part const fleet{{1}, {}};
    catalog behind = this->current;
    this->current.adopt({{5},
                         {6},
                         sum_digests({this->members}, fleet),
                         {},
                         {this->archive.id},
                         {}},
                        this->error);
    CHECK(behind.adopt(this->current.changes_since({5}), this->error)
              .has_value());
    CHECK(behind.find_service(this->archive.id) == nullptr);
}

struct two_documents_of_one_generation : a_catalog_with_a_generation
{
    catalog_change one = make_full_change(9, {make_part("members", 9, {})});
    catalog_change other =
        make_full_change(9, {make_part("members", 9, {make_target("m9")})});
};

SECTION(catalog_with_two_documents_of_one_generation,
        two_documents_of_one_generation){};

TEST(catalog_with_two_documents_of_one_generation,
     keeps_the_one_with_the_larger_digest_in_either_order)
{
    catalog first = this->current;
    catalog second = this->current;
    first.adopt(this->one, this->error);
    first.adopt(this->other, this->error);
    second.adopt(this->other, this->error);
    second.adopt(this->one, this->error);
    SAME(first.version(), second.version());
    SAME(std::max(this->one.result_digest, this->other.result_digest),
         first.version().content);
}

// ---- routes of an earlier version ---------------------------------------

namespace {

// A store that reverted to an older copy holds an earlier configuration.
struct a_catalog_with_routes : a_new_catalog
{
    static constexpr std::uint64_t old_version = 4;
    static constexpr std::uint64_t own_version = 5;

    service_part members = make_part("members", 5, {make_target("m1")});

    static routes_part make_routes(std::uint64_t version)
    {
        routes_part routes{};
        routes.routes.push_back(
            {.address = {1, static_cast<std::uint16_t>(version)}});
        routes.version = version;
        return routes;
    }

    static catalog_change make_change(std::uint64_t number,
                                      service_part const& part,
                                      routes_part const& routes)
    {
        catalog_change change{{}, {number}};
        change.parts = {part};
        change.routes = routes;
        change.result_digest = {compute_digest(part).value +
                                compute_digest(routes).value};
        return change;
    }

    void setup() override
    {
        this->current.adopt(
            make_change(5, this->members, make_routes(own_version)),
            this->error);
    }
};

}  // namespace

SECTION(catalog_with_routes, a_catalog_with_routes){};

TEST(catalog_with_routes, keeps_them_and_takes_the_rest_of_a_full_change)
{
    service_part const next = make_part("members", 9, {make_target("m2")});
    CHECK(
        this->current
            .adopt(make_change(9, next, make_routes(old_version)), this->error)
            .has_value());
    CHECK(this->current.routes().routes == make_routes(own_version).routes);
    UNSIGNED_LONGS_EQUAL(own_version, this->current.routes().version);
    CHECK(*this->current.find_service(next.id) == next);
    CHECK(this->current.version().number == generation{9});
    SAME(make_change(9, next, make_routes(own_version)).result_digest,
         this->current.version().content);
}

// The older copy may be from before the first configuration.
TEST(catalog_with_routes, keeps_them_if_a_full_change_has_none)
{
    catalog_change const change = make_change(9, this->members, routes_part{});
    CHECK(this->current.adopt(change, this->error).has_value());
    UNSIGNED_LONGS_EQUAL(own_version, this->current.routes().version);
}

TEST(catalog_with_routes, does_not_compare_unknown_versions)
{
    routes_part unversioned = make_routes(3);
    unversioned.version = 0;
    CHECK(this->current
              .adopt(make_change(9, this->members, unversioned), this->error)
              .has_value());
    CHECK(this->current.routes().routes == unversioned.routes);
}

TEST(catalog_with_routes, needs_the_full_catalog_instead_of_an_earlier_delta)
{
    routes_part const earlier = make_routes(old_version);
    catalog_change change{{5}, {9}};
    change.routes = earlier;
    change.result_digest = {compute_digest(this->members).value +
                            compute_digest(earlier).value};
    CHECK(!this->current.adopt(change, this->error));
    CHECK(this->error.cause == reason::conflict);
    UNSIGNED_LONGS_EQUAL(own_version, this->current.routes().version);
}

// One process kept its routes, the other one started after the revert.
TEST(catalog_with_routes, agrees_with_one_that_has_earlier_routes)
{
    for (std::uint64_t i = 1; i <= 8; ++i) {
        service_part const part =
            make_part("members", 9, {make_target("m" + std::to_string(i))});
        catalog_change const stored =
            make_change(9, part, make_routes(old_version));
        catalog kept = this->current;
        catalog started;
        kept.adopt(stored, this->error);
        started.adopt(stored, this->error);
        catalog const before = kept;
        kept.adopt(started.changes_since({}), this->error);
        SAME(before.version(), kept.version());
        CHECK(started.adopt(kept.changes_since({}), this->error).has_value());
        SAME(kept.version(), started.version());
        UNSIGNED_LONGS_EQUAL(own_version, started.routes().version);
    }
}

// Otherwise two such processes could exchange their contents for ever.
TEST(catalog_with_routes, ignores_other_contents_of_its_generation_with_earlier)
{
    this->current.adopt(make_change(9, this->members, make_routes(old_version)),
                        this->error);
    catalog_version const before = this->current.version();
    for (std::uint64_t i = 1; i <= 8; ++i) {
        service_part const part =
            make_part("members", 9, {make_target("n" + std::to_string(i))});
        CHECK(!this->current.adopt(
            make_change(9, part, make_routes(old_version)), this->error));
        CHECK(this->error.cause == reason::stale);
    }
    SAME(before, this->current.version());
}
