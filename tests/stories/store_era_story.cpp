#include "catalog/store_position.hpp"
#include "story.hpp"

using namespace lagoon;

SECTION(position_of_a_store, Utest){};

TEST(position_of_a_store, is_restored_from_its_generation)
{
    failure error;
    store_position const last{max_era, max_revision};
    for (store_position const& one :
         {store_position{}, store_position{3, 17}, last}) {
        std::optional<generation> const number = make_generation(one, error);
        CHECK(number.has_value());
        CHECK(find_position(*number) == one);
    }
}

// A store that reverted has lower revisions again.
TEST(position_of_a_store, is_ordered_by_era_first)
{
    failure error;
    CHECK(*make_generation({2, 1}, error) >
          *make_generation({1, max_revision}, error));
}

// The era of a revision that is too large would be another one.
TEST(position_of_a_store, is_rejected_when_it_does_not_fit)
{
    failure error;
    CHECK(!make_generation({1, max_revision + 1}, error));
    CHECK(error.cause == reason::unsupported);
    CHECK(!make_generation({max_era + 1, 1}, error));
}
