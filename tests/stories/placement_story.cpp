#include "placement/owner_table.hpp"
#include "placement/placer.hpp"
#include "placement/refusal_history.hpp"
#include "placement/target_directory.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

peer_address const first{0x0A020001, 8000};
peer_address const second{0x0A020002, 8000};
peer_address const third{0x0A020003, 8000};
peer_address const fourth{0x0A020004, 8000};
peer_address const fifth{0x0A020005, 8000};
connection_endpoints const endpoints{{0x64400001, 4000}, {0xC6120001, 443}};

// ---- hints --------------------------------------------------------------

struct hints_of_targets : Utest
{
    time_point now{100s};
    target_hints hints = {};
};

}  // namespace

SECTION(hints, hints_of_targets){};

TEST(hints, know_nothing_of_a_target_that_never_answered)
{
    CHECK(!this->hints.is_avoided(first, this->now));
    CHECK(!this->hints.is_reported_busy(first, this->now));
    DOUBLES_EQUAL(0, this->hints.load_per_slot(first, this->now), 0);
}

TEST(hints, hold_what_was_told_for_the_time_of_a_short_request)
{
    this->hints.record_load(first, 2, 2, this->now);
    CHECK(this->hints.is_reported_busy(first, this->now));
    CHECK(
        !this->hints.is_reported_busy(first, this->now + load_lifetime + 1ms));
}

TEST(hints, hold_longer_for_a_target_with_requests_that_wait)
{
    this->hints.record_load(first, 6, 2, this->now);
    CHECK(this->hints.is_reported_busy(first, this->now + load_lifetime + 1ms));
    CHECK(!this->hints.is_reported_busy(
        first,
        this->now + load_lifetime + 4 * lifetime_per_waiting_request + 1ms));
}

TEST(hints, count_what_was_placed_since)
{
    this->hints.record_load(first, 1, 2, this->now);
    CHECK(!this->hints.is_reported_busy(first, this->now));
    this->hints.record_placement(first);
    CHECK(this->hints.is_reported_busy(first, this->now));
}

namespace {

struct hints_of_a_silent_target : hints_of_targets
{
    void setup() override
    {
        this->hints.record_timeout(first, this->now);
    }
};

}  // namespace

SECTION(a_silent_target, hints_of_a_silent_target){};

TEST(a_silent_target, is_avoided_for_a_moment)
{
    CHECK(this->hints.is_avoided(first, this->now));
    CHECK(!this->hints.is_avoided(first, this->now + min_avoidance));
}

TEST(a_silent_target, is_avoided_twice_as_long_the_second_time)
{
    this->hints.record_timeout(first, this->now);
    CHECK(this->hints.is_avoided(first, this->now + min_avoidance));
    CHECK(!this->hints.is_avoided(first, this->now + 2 * min_avoidance));
}

TEST(a_silent_target, is_never_avoided_longer_than_the_most)
{
    for (int i = 0; i < 40; ++i)
        this->hints.record_timeout(first, this->now);
    CHECK(!this->hints.is_avoided(first, this->now + max_avoidance));
}

TEST(a_silent_target, is_used_again_once_it_answers)
{
    this->hints.record_load(first, 0, 2, this->now);
    CHECK(!this->hints.is_avoided(first, this->now));
}

namespace {

// ---- repeats ------------------------------------------------------------

struct a_memory_of_refusals : Utest
{
    time_point now{100s};
    refusal_history memory = {};

    void setup() override
    {
        this->memory.add({endpoints.caller.ip, endpoints.service,
                          this->now - 300ms, this->now});
    }
};

}  // namespace

SECTION(refused_callers, a_memory_of_refusals){};

TEST(refused_callers, are_as_old_as_they_were_when_they_ask_again)
{
    std::optional<time_point> const begun = this->memory.take_repeated(
        endpoints.caller.ip, endpoints.service, this->now + 6ms);
    CHECK(begun == this->now - 300ms);
}

TEST(refused_callers, are_remembered_for_one_repeat)
{
    this->memory.take_repeated(endpoints.caller.ip, endpoints.service,
                               this->now + 6ms);
    CHECK(!this->memory.take_repeated(endpoints.caller.ip, endpoints.service,
                                      this->now + 7ms));
}

TEST(refused_callers, are_new_when_they_come_much_later)
{
    CHECK(!this->memory.take_repeated(endpoints.caller.ip, endpoints.service,
                                      this->now + refusal_lifetime + 1ms));
}

TEST(refused_callers, are_told_from_others_at_the_same_route)
{
    CHECK(!this->memory.take_repeated(endpoints.caller.ip + 1,
                                      endpoints.service, this->now));
}

TEST(refused_callers, are_told_from_their_requests_to_other_routes)
{
    CHECK(!this->memory.take_repeated(endpoints.caller.ip, first, this->now));
}

TEST(refused_callers, are_bounded_in_number)
{
    for (std::size_t i = 0; i < max_refusals; ++i)
        this->memory.add({1, first, this->now, this->now});
    CHECK(!this->memory.take_repeated(endpoints.caller.ip, endpoints.service,
                                      this->now));
}

namespace {

// ---- owners -------------------------------------------------------------

struct a_table_of_owners : Utest
{
    time_point now{100s};
    owner_table owners{{.max_owners = 2}};

    connection_endpoints numbered(std::uint16_t port) const
    {
        return {{endpoints.caller.ip, port}, endpoints.service};
    }

    owner_record record() const
    {
        return {.target = first, .last_used = this->now};
    }
};

}  // namespace

SECTION(owners_of_connections, a_table_of_owners){};

TEST(owners_of_connections, are_replaced_but_never_pushed_out)
{
    CHECK(this->owners.put(this->numbered(1), this->record()));
    CHECK(this->owners.put(this->numbered(2), this->record()));
    CHECK(!this->owners.put(this->numbered(3), this->record()));
    CHECK(this->owners.put(this->numbered(1), this->record()));
    CHECK(this->owners.find(this->numbered(1)).has_value());
    CHECK(!this->owners.find(this->numbered(3)).has_value());
}

TEST(owners_of_connections, leave_when_idle)
{
    this->owners.put(this->numbered(1), this->record());
    for (int i = 0; i < 1000; ++i)
        this->owners.sweep(this->now + 61s);
    UNSIGNED_LONGS_EQUAL(0, this->owners.size());
}

namespace {

// ---- directory ----------------------------------------------------------

target_record listed_target(peer_address address, target_state state)
{
    std::string const name = to_text(address);
    return {target_named(name), name, "zg-a", address, address, 2, state};
}

struct a_directory : Utest
{
    time_point now{100s};
    service_id members = service_named("members");
    target_directory directory = {};
    std::uint64_t last_generation = 0;

    // The catalog lists just these targets, in the services named.
    void
    list(std::vector<std::pair<std::string, std::vector<target_record>>> const&
             services)
    {
        generation const next{++this->last_generation};
        catalog_change change{{}, next};
        std::uint64_t sum =
            digest_of(fleet_part{}).value + digest_of(routes_part{}).value;
        for (auto const& [name, targets] : services) {
            service_part part{service_named(name), name, next, {}, targets};
            sum += digest_of(part).value;
            change.parts.push_back(part);
        }
        change.whole = {sum};
        catalog known = {};
        failure last;
        CHECK(known.adopt(change, last).has_value());
        this->directory.update(known, this->now);
    }

    std::size_t targets_of_members() const
    {
        service_part const* part = this->directory.find(this->members);
        return part == nullptr ? 0 : part->targets.size();
    }
};

}  // namespace

SECTION(a_directory_of_targets, a_directory){};

TEST(a_directory_of_targets, has_what_the_catalog_lists)
{
    this->list({{"members",
                 {listed_target(first, target_state::serving),
                  listed_target(second, target_state::serving)}}});
    UNSIGNED_LONGS_EQUAL(2, this->targets_of_members());
}

namespace {

struct a_directory_with_a_lapsed_target : a_directory
{
    void setup() override
    {
        this->list({{"members",
                     {listed_target(first, target_state::serving),
                      listed_target(second, target_state::serving)}}});
        this->directory.tick(0ms, this->now);
        this->list(
            {{"members", {listed_target(first, target_state::serving)}}});
    }
};

}  // namespace

SECTION(a_target_that_fell_out_unannounced, a_directory_with_a_lapsed_target){};

TEST(a_target_that_fell_out_unannounced, is_used_for_two_seconds_more)
{
    this->directory.tick(0ms, this->now + 1900ms);
    UNSIGNED_LONGS_EQUAL(2, this->targets_of_members());
    this->directory.tick(0ms, this->now + 2100ms);
    UNSIGNED_LONGS_EQUAL(1, this->targets_of_members());
}

TEST(a_target_that_fell_out_unannounced, is_named_when_it_is_let_go)
{
    std::vector<target_record> const gone =
        this->directory.tick(0ms, this->now + 2100ms);
    UNSIGNED_LONGS_EQUAL(1, gone.size());
    CHECK(gone.front().address == second);
}

TEST(a_target_that_fell_out_unannounced, stays_while_the_platform_is_away)
{
    this->directory.tick(3s, this->now + 30s);
    UNSIGNED_LONGS_EQUAL(2, this->targets_of_members());
}

TEST(a_target_that_fell_out_unannounced, stays_two_seconds_after_its_return)
{
    this->directory.tick(3s, this->now + 30s);
    this->directory.tick(0ms, this->now + 31s);
    UNSIGNED_LONGS_EQUAL(2, this->targets_of_members());
    this->directory.tick(0ms, this->now + 33'100ms);
    UNSIGNED_LONGS_EQUAL(1, this->targets_of_members());
}

TEST(a_target_that_fell_out_unannounced, gives_its_address_to_who_is_listed)
{
    this->list({{"members", {listed_target(first, target_state::serving)}},
                {"archive", {listed_target(second, target_state::serving)}}});
    UNSIGNED_LONGS_EQUAL(1, this->targets_of_members());
}

TEST(a_directory_of_targets, lets_a_target_go_at_once_that_said_it_leaves)
{
    this->list({{"members",
                 {listed_target(first, target_state::serving),
                  listed_target(second, target_state::leaving)}}});
    this->list({{"members", {listed_target(first, target_state::serving)}}});
    UNSIGNED_LONGS_EQUAL(1, this->targets_of_members());
}

namespace {

// ---- placer -------------------------------------------------------------

struct a_placer_of_connections : Utest
{
    time_point now{100s};
    target_hints hints = {};
    placer<free_first> placing{{.max_placements = 2}};
    placement_outcomes outcomes = {};

    placement_request wish(bool opens) const
    {
        connection_packet packet{};
        packet.endpoints = endpoints;
        packet.is_opening = opens;
        packet.bytes = "first";
        return {packet,
                service_named("members"),
                {.deadline = 1s},
                {{first, 2}, {second, 2}, {third, 2}, {fourth, 2}, {fifth, 2}},
                false,
                this->now,
                this->now};
    }

    void begin(bool opens)
    {
        this->outcomes =
            this->placing.start(this->wish(opens), this->hints, this->now);
    }

    query_target const* question() const
    {
        if (this->outcomes.empty())
            return nullptr;
        return std::get_if<query_target>(&this->outcomes.back());
    }

    // A search among this many targets.
    void begin_among(std::uint32_t count)
    {
        placement_request wish = this->wish(false);
        wish.packet.endpoints.caller.port += 1;
        for (std::uint32_t i = 6; i <= count; ++i)
            wish.candidates.push_back({{0x0A020000 + i, 8000}, 2});
        this->outcomes = this->placing.start(wish, this->hints, this->now);
    }

    template <class Outcome> Outcome const* outcome() const
    {
        if (this->outcomes.empty())
            return nullptr;
        return std::get_if<Outcome>(&this->outcomes.back());
    }

    peer_address asked() const
    {
        query_target const* one = this->question();
        CHECK(one != nullptr);
        return one == nullptr ? peer_address{} : one->target;
    }

    void answer(offer_verdict verdict, std::uint32_t load = 0)
    {
        query_target const* one = this->question();
        CHECK(one != nullptr);
        if (one == nullptr)
            return;
        this->now += 2ms;
        this->outcomes =
            this->placing.on_answer({one->offer.question, verdict, load, 2, {}},
                                    this->hints, this->now);
    }
};

struct a_placer_of_an_opening_packet : a_placer_of_connections
{
    void setup() override
    {
        this->begin(true);
    }
};

}  // namespace

SECTION(placing_an_opening_packet, a_placer_of_an_opening_packet){};

TEST(placing_an_opening_packet, asks_the_first_of_the_ranking)
{
    CHECK(this->asked() == first);
    CHECK(!this->question()->offer.insists);
}

TEST(placing_an_opening_packet, ends_with_the_target_that_takes_it)
{
    this->answer(offer_verdict::taken, 1);
    owner_found const* found = this->outcome<owner_found>();
    CHECK(found != nullptr && found->target == first);
    CHECK(!this->placing.is_placing(endpoints));
}

TEST(placing_an_opening_packet, goes_on_past_targets_without_a_free_slot)
{
    this->answer(offer_verdict::busy, 2);
    CHECK(this->asked() == second);
    this->answer(offer_verdict::busy, 2);
    CHECK(this->asked() == third);
}

TEST(placing_an_opening_packet, lets_the_least_loaded_one_queue_it)
{
    for (std::uint32_t const load : {5U, 2U, 4U, 4U})
        this->answer(offer_verdict::busy, load);
    CHECK(this->asked() == second);
    CHECK(this->question()->offer.insists);
}

TEST(placing_an_opening_packet, ends_where_a_target_refuses_it)
{
    this->answer(offer_verdict::refused);
    placement_failed const* failed = this->outcome<placement_failed>();
    CHECK(failed != nullptr && failed->is_refused);
}

TEST(placing_an_opening_packet, passes_over_a_target_that_stays_silent)
{
    this->now += 20ms;
    this->outcomes = this->placing.tick(this->hints, this->now);
    CHECK(this->asked() == second);
    this->answer(offer_verdict::taken);
    CHECK(this->outcome<owner_found>()->timeout_count == 1);
}

TEST(placing_an_opening_packet, ignores_an_answer_that_comes_too_late)
{
    query_target const before = *this->question();
    this->now += 20ms;
    this->outcomes = this->placing.tick(this->hints, this->now);
    placement_outcomes const late = this->placing.on_answer(
        {before.offer.question, offer_verdict::taken, 0, 2, {}}, this->hints,
        this->now);
    CHECK(late.empty());
    CHECK(this->placing.is_placing(endpoints));
}

TEST(placing_an_opening_packet, gives_up_when_nobody_can_take_it)
{
    for (int i = 0; i < 5; ++i)
        this->answer(offer_verdict::leaving);
    placement_failed const* failed = this->outcome<placement_failed>();
    CHECK(failed != nullptr && !failed->is_refused);
    UNSIGNED_LONGS_EQUAL(5, failed->query_count);
}

TEST(placing_an_opening_packet, keeps_later_packets_in_order_for_the_owner)
{
    this->placing.queue_packet(endpoints, "second");
    this->placing.queue_packet(endpoints, "third");
    this->answer(offer_verdict::taken);
    owner_found const* found = this->outcome<owner_found>();
    CHECK(found->pending_packets ==
          (std::vector<std::string>{"second", "third"}));
}

TEST(placing_an_opening_packet, wakes_up_for_open_questions_alone)
{
    CHECK(this->placing.next_due() == this->now + 20ms);
    this->answer(offer_verdict::taken);
    CHECK(!this->placing.next_due());
}

SECTION(placing_by_hints, a_placer_of_connections){};

TEST(placing_by_hints, asks_a_target_first_that_lately_had_a_free_slot)
{
    this->hints.record_load(first, 2, 2, this->now);
    this->begin(true);
    CHECK(this->asked() == second);
}

// The crest: every target is known to be full, so that one question is enough.
TEST(placing_by_hints, asks_just_the_least_loaded_of_targets_known_as_busy)
{
    this->hints.record_load(first, 4, 2, this->now);
    this->hints.record_load(second, 3, 2, this->now);
    this->hints.record_load(third, 6, 2, this->now);
    this->hints.record_load(fourth, 5, 2, this->now);
    this->hints.record_load(fifth, 9, 2, this->now);
    this->begin(true);
    CHECK(this->asked() == second);
    CHECK(this->question()->offer.insists);
}

// Load pattern: part of the targets still has a queue from the crest, the rest
// is idle. Seen on adwoa-rentals-grown trouble-1: 14 of 42 targets got
// everything for ten seconds, since four busy ones anywhere were enough.
TEST(placing_by_hints, asks_an_idle_target_however_many_others_are_busy)
{
    placement_request wish = this->wish(true);
    for (std::uint32_t i = 6; i <= 20; ++i)
        wish.candidates.push_back({{0x0A020000 + i, 8000}, 2});
    for (std::uint32_t i = 6; i <= 20; ++i)
        this->hints.record_load({0x0A020000 + i, 8000}, 100, 2, this->now);
    for (peer_address const& one : {first, second, third, fourth})
        this->hints.record_load(one, 100, 2, this->now);
    this->outcomes = this->placing.start(wish, this->hints, this->now);
    CHECK(this->asked() == fifth);
    CHECK(!this->question()->offer.insists);
}

// Whoever looks for the owner later walks a part of the ranking alone.
TEST(placing_by_hints, keeps_to_the_first_places_of_the_ranking)
{
    placement_request wish = this->wish(true);
    for (std::uint32_t i = 6; i <= 20; ++i)
        wish.candidates.push_back({{0x0A020000 + i, 8000}, 2});
    for (std::uint32_t i = 1; i <= free_first::preferred_count; ++i)
        this->hints.record_load({0x0A020000 + i, 8000}, i == 3 ? 50 : 100, 2,
                                this->now);
    this->outcomes = this->placing.start(wish, this->hints, this->now);
    CHECK(this->asked() == third);
    CHECK(this->question()->offer.insists);
}

TEST(placing_by_hints, asks_targets_that_were_silent_last)
{
    this->hints.record_timeout(first, this->now);
    this->begin(true);
    CHECK(this->asked() == second);
}

TEST(placing_by_hints, takes_no_more_packets_than_its_limit)
{
    placement_request other = this->wish(true);
    for (std::uint16_t port = 1; port <= 3; ++port) {
        other.packet.endpoints.caller.port = port;
        this->outcomes = this->placing.start(other, this->hints, this->now);
    }
    CHECK(this->outcome<placement_failed>() != nullptr);
}

namespace {

// ---- the search for an owner --------------------------------------------

struct a_placer_that_searches : a_placer_of_connections
{
    void setup() override
    {
        this->begin(false);
    }
};

}  // namespace

SECTION(searching_an_owner, a_placer_that_searches){};

TEST(searching_an_owner, goes_along_the_ranking)
{
    this->answer(offer_verdict::not_owner);
    CHECK(this->asked() == second);
    this->answer(offer_verdict::taken);
    CHECK(this->outcome<owner_found>()->target == second);
}

// A process that has just restarted knows nothing. Its back end is tried only
// when the others of the first places have said that the connection isn't
// theirs: three packets at a back end that isn't the owner count as a broken
// connection.
TEST(searching_an_owner, tries_an_unsure_target_after_its_neighbours)
{
    this->answer(offer_verdict::unsure);
    CHECK(this->asked() == second);
    this->answer(offer_verdict::not_owner);
    this->answer(offer_verdict::taken);
    CHECK(this->outcome<owner_found>()->target == third);
}

TEST(searching_an_owner, insists_at_unsure_targets_before_it_asks_far_ones)
{
    this->answer(offer_verdict::not_owner);
    this->answer(offer_verdict::unsure);
    for (int i = 0; i < 2; ++i)
        this->answer(offer_verdict::not_owner);
    CHECK(this->asked() == second);
    CHECK(this->question()->offer.insists);
    this->answer(offer_verdict::not_owner);
    CHECK(this->asked() == fifth);
}

// Load pattern: a release replaces targets one after the other, and what was
// placed among the first eight is soon farther down. Seen on vjesnik-lb-grown
// scale-2: the search ended at the eighth place, and the connection was broken.
TEST(searching_an_owner, finds_an_owner_at_the_far_end_of_the_ranking)
{
    this->begin_among(30);
    for (int i = 0; i < 29; ++i)
        this->answer(offer_verdict::not_owner);
    CHECK(this->asked().ip == 0x0A020000 + 30);
    this->answer(offer_verdict::taken);
    CHECK(this->outcome<owner_found>() != nullptr);
}

TEST(searching_an_owner, tries_a_far_target_that_has_restarted)
{
    this->begin_among(30);
    for (int i = 0; i < 29; ++i)
        this->answer(offer_verdict::not_owner);
    this->answer(offer_verdict::unsure);
    CHECK(this->asked().ip == 0x0A020000 + 30);
    CHECK(this->question()->offer.insists);
}

// Load pattern: all targets have lost power, and so have their connections.
TEST(searching_an_owner, ends_soon_where_nobody_knows_anything)
{
    this->begin_among(100);
    std::size_t asked = 0;
    for (; this->question() != nullptr; ++asked)
        this->answer(this->question()->offer.insists ? offer_verdict::not_owner
                                                     : offer_verdict::unsure);
    CHECK(this->outcome<placement_failed>() != nullptr);
    CHECK(asked <= 8 + 16);
}

TEST(searching_an_owner, says_who_is_left_should_the_back_end_not_hold_it)
{
    this->answer(offer_verdict::unsure);
    this->answer(offer_verdict::unsure);
    this->answer(offer_verdict::not_owner);
    this->answer(offer_verdict::not_owner);
    this->answer(offer_verdict::taken);
    owner_found const* found = this->outcome<owner_found>();
    CHECK(found != nullptr && found->target == first);
    CHECK(found->remaining ==
          (std::vector<placement_candidate>{{second, 2, true}, {fifth, 2}}));
}

TEST(searching_an_owner, asks_silent_targets_in_their_place_all_the_same)
{
    this->placing.tick(this->hints, this->now);
    this->hints.record_timeout(second, this->now);
    this->answer(offer_verdict::not_owner);
    CHECK(this->asked() == second);
}
