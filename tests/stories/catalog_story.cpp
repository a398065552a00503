#include "fakes/fake_fleet.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

target_record target_called(std::string const& name)
{
    return {make_target_id(name), name, "zg-a", {1, 1}, {1, 2}, 2,
            target_state::serving};
}

service_part part_at(std::string const& name, std::uint64_t when,
                     std::vector<target_record> const& targets)
{
    return {
        make_service_id(name), name, {when}, {make_caller_id("club")}, targets};
}

digest sum_of(std::vector<service_part> const& parts, fleet_part const& fleet)
{
    std::uint64_t sum = compute_digest(fleet).value;
    for (service_part const& part : parts)
        sum += compute_digest(part).value;
    return {sum};
}

catalog_change whole_at(std::uint64_t number,
                        std::vector<service_part> const& parts)
{
    fleet_part const fleet{{1}, {}};
    return {{}, {number}, sum_of(parts, fleet), parts, {}, fleet};
}

struct a_new_catalog : Utest
{
    catalog known = {};
    failure error = {};
};

struct with_a_generation : a_new_catalog
{
    void setup() override
    {
        this->members = part_at("members", 5, {target_called("m1")});
        this->archive = part_at("archive", 5, {target_called("a1")});
        this->known.adopt(whole_at(5, {this->members, this->archive}),
                          this->error);
    }

    service_part members = {};
    service_part archive = {};
};

}  // namespace

SECTION(catalog, a_new_catalog){};

TEST(catalog, knows_nothing_and_permits_nobody)
{
    SAME(catalog_version{}, this->known.version());
    CHECK_FALSE(this->known.is_permitted(make_service_id("members"),
                                         make_caller_id("club")));
}

TEST(catalog, refuses_a_generation_that_does_not_grow)
{
    CHECK_FALSE(this->known.adopt(whole_at(0, {}), this->error).has_value());
    SAME(reason::malformed, this->error.cause);
    SAME(step::adopt_generation, this->error.failed_step);
}

TEST(catalog, refuses_a_change_whose_digest_differs)
{
    catalog_change change = whole_at(1, {});
    change.result_digest = {change.result_digest.value + 1};
    CHECK_FALSE(this->known.adopt(change, this->error).has_value());
    SAME(reason::conflict, this->error.cause);
    SAME(catalog_version{}, this->known.version());
}

SECTION(catalog_with_a_generation, with_a_generation){};

TEST(catalog_with_a_generation, permits_the_callers_that_are_named)
{
    CHECK(this->known.is_permitted(make_service_id("members"),
                                   make_caller_id("club")));
    CHECK_FALSE(this->known.is_permitted(make_service_id("members"),
                                         make_caller_id("crew")));
}

TEST(catalog_with_a_generation, never_goes_back_to_an_older_one)
{
    CHECK_FALSE(this->known.adopt(whole_at(4, {}), this->error).has_value());
    SAME(reason::stale, this->error.cause);
    SAME(generation{5}, this->known.version().number);
}

TEST(catalog_with_a_generation, takes_in_a_change_of_one_part)
{
    service_part const moved =
        part_at("members", 6, {target_called("m1"), target_called("m2")});
    fleet_part const fleet{{1}, {}};
    catalog_change const change{
        {5}, {6}, sum_of({moved, this->archive}, fleet), {moved}, {}, {}};
    CHECK(this->known.adopt(change, this->error).has_value());
    CHECK(this->known.find_address(make_target_id("m2")).has_value());
    CHECK(this->known.find_address(make_target_id("a1")).has_value());
}

TEST(catalog_with_a_generation, refuses_a_change_from_a_later_base)
{
    fleet_part const fleet{{1}, {}};
    catalog_change const change{{6}, {7}, sum_of({this->members}, fleet),
                                {},  {},  {}};
    CHECK_FALSE(this->known.adopt(change, this->error).has_value());
    SAME(reason::conflict, this->error.cause);
}

TEST(catalog_with_a_generation, hands_a_peer_just_what_changed_since)
{
    service_part const moved = part_at("members", 6, {target_called("m2")});
    fleet_part const fleet{{1}, {}};
    catalog behind = this->known;
    this->known.adopt(
        {{5}, {6}, sum_of({moved, this->archive}, fleet), {moved}, {}, {}},
        this->error);
    catalog_change const change = this->known.changes_since({5});
    UNSIGNED_LONGS_EQUAL(1, change.parts.size());
    CHECK(behind.adopt(change, this->error).has_value());
    SAME(this->known.version(), behind.version());
}

TEST(catalog_with_a_generation, tells_a_peer_of_a_service_that_is_gone)
{
    fleet_part const fleet{{1}, {}};
    catalog behind = this->known;
    this->known.adopt(
        {{5}, {6}, sum_of({this->members}, fleet), {}, {this->archive.id}, {}},
        this->error);
    CHECK(
        behind.adopt(this->known.changes_since({5}), this->error).has_value());
    CHECK(behind.find_service(this->archive.id) == nullptr);
}

struct two_documents_of_one_generation : with_a_generation
{
    catalog_change one = whole_at(9, {part_at("members", 9, {})});
    catalog_change other =
        whole_at(9, {part_at("members", 9, {target_called("m9")})});
};

SECTION(catalog_with_two_documents_of_one_generation,
        two_documents_of_one_generation){};

TEST(catalog_with_two_documents_of_one_generation,
     ends_the_same_in_whichever_order_they_come)
{
    catalog first = this->known;
    catalog second = this->known;
    first.adopt(this->one, this->error);
    first.adopt(this->other, this->error);
    second.adopt(this->other, this->error);
    second.adopt(this->one, this->error);
    SAME(first.version(), second.version());
    SAME(std::max(this->one.result_digest, this->other.result_digest),
         first.version().content);
}
