#include "catalog/published.hpp"
#include "membership/evacuation_notifier.hpp"
#include "story.hpp"

#include <algorithm>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t entry_count = 17;

peer_address make_target_address(std::uint32_t number)
{
    return {0x0A020000U + number, 8000};
}

// Seventeen entries and forty targets of one service in two data centres, of
// which zg-a may be evacuated.
struct an_evacuation : Utest
{
    time_point now{100s};
    catalog current = {};
    std::uint64_t last_generation = 0;
    evacuation_notifier notifier{process_id{1}};

    void publish(std::vector<std::string> const& data_centres)
    {
        published_update update{{++this->last_generation}, true};
        for (std::uint32_t i = 0; i < 40; ++i)
            update.keys.push_back(
                {"t" + std::to_string(i),
                 published_target{"members", i % 2 == 0 ? "zg-a" : "zg-b",
                                  make_target_address(i),
                                  make_target_address(i)}});
        for (std::string const& name : data_centres)
            update.evacuations.push_back({name, true});
        failure error;
        CHECK(this->current.adopt(*published_catalog{}.apply(update, {}), error)
                  .has_value());
    }

    // All entries except `self`, and a peer that is only known by its address.
    static std::vector<known_peer> make_peers(std::uint64_t self,
                                              std::uint64_t count = entry_count)
    {
        std::vector<known_peer> peers{{{7, 7}, {}, {}}};
        for (std::uint64_t id = 1; id <= count; ++id)
            if (id != self)
                peers.push_back(
                    {{1, static_cast<std::uint16_t>(id)}, {id}, {}});
        return peers;
    }

    std::vector<addressed_notice> tick(duration after)
    {
        this->now += after;
        return this->notifier.tick(this->current, this->current.services(),
                                   make_peers(1, 3), this->now);
    }

    static std::size_t count_notifiers(target_id target)
    {
        std::size_t sum = 0;
        for (std::uint64_t id = 1; id <= entry_count; ++id)
            sum += is_notifier({id}, make_peers(id), target);
        return sum;
    }
};

}  // namespace

SECTION(evacuation_notices, an_evacuation){};

// With fewer, the loss of one entry leaves a target without notices; with more,
// the cost grows with the number of entries.
TEST(evacuation_notices, are_sent_to_each_target_by_three_entries)
{
    for (std::uint64_t target = 1; target <= 100; ++target)
        UNSIGNED_LONGS_EQUAL(3, count_notifiers({target}));
}

TEST(evacuation_notices, are_sent_by_different_entries_for_each_target)
{
    std::size_t most = 0;
    for (std::uint64_t id = 1; id <= entry_count; ++id) {
        std::size_t sum = 0;
        for (std::uint64_t target = 1; target <= 100; ++target)
            sum += is_notifier({id}, make_peers(id), {target});
        most = std::max(most, sum);
    }
    CHECK(most < 50);
}

TEST(evacuation_notices, are_sent_by_others_when_a_notifier_is_lost)
{
    target_id const target{5};
    std::vector<std::uint64_t> lost;
    for (std::uint64_t id = 1; id <= entry_count; ++id)
        if (is_notifier({id}, make_peers(id), target))
            lost.push_back(id);
    std::size_t sum = 0;
    for (std::uint64_t id = 1; id <= entry_count; ++id) {
        std::vector<known_peer> peers = make_peers(id);
        std::erase_if(peers, [&lost](known_peer const& peer) {
            return std::find(lost.begin(), lost.end(), peer.id.value) !=
                   lost.end();
        });
        bool const is_lost =
            std::find(lost.begin(), lost.end(), id) != lost.end();
        sum += !is_lost && is_notifier({id}, peers, target);
    }
    UNSIGNED_LONGS_EQUAL(3, sum);
}

TEST(evacuation_notices, are_sent_to_all_targets_by_an_entry_without_peers)
{
    for (std::uint64_t target = 1; target <= 100; ++target)
        CHECK(is_notifier({1}, {}, {target}));
}

TEST(evacuation_notices, are_sent_to_the_targets_of_the_data_centre_only)
{
    this->publish({"zg-a"});
    this->notifier.update(this->current);
    std::vector<addressed_notice> const notices = this->tick(0s);
    UNSIGNED_LONGS_EQUAL(20, notices.size());
    for (addressed_notice const& one : notices) {
        UNSIGNED_LONGS_EQUAL(0, one.to.ip % 2);
        CHECK(one.notice ==
              (evacuation_notice{make_service_id("members"),
                                 this->current.version().number}));
    }
}

// A restarted target accepts connections of outdated entries until the next
// notice.
TEST(evacuation_notices, are_repeated_each_second)
{
    this->publish({"zg-a"});
    this->notifier.update(this->current);
    CHECK(!this->tick(0s).empty());
    CHECK(this->tick(999ms).empty());
    CHECK(!this->tick(1ms).empty());
}

TEST(evacuation_notices, are_sent_at_once_when_another_evacuation_begins)
{
    this->publish({"zg-a"});
    this->notifier.update(this->current);
    this->tick(0s);
    this->publish({"zg-a", "zg-b"});
    this->notifier.update(this->current);
    UNSIGNED_LONGS_EQUAL(40, this->tick(1ms).size());
}

TEST(evacuation_notices, end_with_the_evacuation)
{
    this->publish({"zg-a"});
    this->notifier.update(this->current);
    this->tick(0s);
    this->publish({});
    this->notifier.update(this->current);
    CHECK(this->tick(2s).empty());
}

SECTION(evacuation_differences, an_evacuation){};

TEST(evacuation_differences, name_what_began_and_what_ended)
{
    this->publish({"zg-a"});
    CHECK((this->notifier.update(this->current) ==
           evacuation_difference{{"zg-a"}, {}}));
    CHECK(this->notifier.update(this->current) == evacuation_difference{});
    this->publish({"zg-b"});
    CHECK((this->notifier.update(this->current) ==
           evacuation_difference{{"zg-b"}, {"zg-a"}}));
}
