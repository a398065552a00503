#include "entry/connection_entry.hpp"
#include "story.hpp"

#include <set>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

peer_address const first{0x0A020001, 8000};
peer_address const second{0x0A020002, 8000};
peer_address const archive_target{0x0A020003, 8000};
peer_address const members_route{0xC6120001, 443};
peer_address const archive_route{0xC6120001, 444};
peer_address const new_route{0xC6120001, 445};

target_record make_serving_target(peer_address address,
                                  char const* data_centre = "zg-a")
{
    std::string const name = to_text(address);
    return {make_target_id(name), name, data_centre, address, address, 2,
            target_state::serving};
}

target_record make_leaving_target(peer_address address)
{
    target_record record = make_serving_target(address);
    record.state = target_state::leaving;
    return record;
}

route_record make_route(peer_address address, char const* service)
{
    return {address, {{make_service_id(service), 1}}, 100ms, 1s, 2, true};
}

// One entry, driven by events. The service members has two targets, archive has
// one.
struct a_connection_entry : Utest
{
    time_point now{100s};
    connection_entry<seeded_random> role{this->make_settings(),
                                         seeded_random{1}, this->now};
    connection_entry_effects effects = {};
    std::uint64_t last_generation = 0;
    std::vector<service_part> other_services = {};
    std::vector<std::string> evacuated = {};  // data centres
    std::vector<warm_up_limit> warm_up_limits = {};

    static connection_entry_settings make_settings()
    {
        connection_entry_settings settings{};
        settings.membership.self = {7};
        settings.membership.timing.is_platform_linearizable = true;
        settings.membership.timing.first_read_delay = {};
        settings.membership.timing.catch_up_timeout = 1s;
        settings.membership.timing.pause_threshold = 1s;
        settings.membership.timing.reading.max_platform_age = 2s;
        return settings;
    }

    void feed(connection_entry_event const& event, duration after = 0ms)
    {
        this->now += after;
        this->effects = this->role.on(event, this->now);
    }

    static service_part make_part(char const* name, generation changed_at,
                                  std::vector<target_record> targets)
    {
        std::sort(targets.begin(), targets.end());
        return {make_service_id(name), name, changed_at, {}, targets};
    }

    void publish(std::vector<route_record> const& routes,
                 std::vector<target_record> const& members = {
                     make_serving_target(first), make_serving_target(second)})
    {
        generation const next{++this->last_generation};
        catalog_change change{{}, next};
        change.parts = {
            make_part("members", next, members),
            make_part("archive", next, {make_serving_target(archive_target)})};
        for (service_part const& part : this->other_services)
            change.parts.push_back(part);
        change.routes = routes_part{next, routes, 15s, 0, this->warm_up_limits};
        std::uint64_t sum = compute_digest(fleet_part{}).value;
        for (service_part const& part : change.parts)
            sum += compute_digest(part).value;
        if (!this->evacuated.empty())
            change.evacuations = evacuations_part{next, this->evacuated};
        change.result_digest = {
            sum + compute_digest(*change.routes).value +
            compute_digest(change.evacuations.value_or(evacuations_part{}))
                .value};
        this->feed(change_received{change_source::platform, {}, change});
    }

    void publish_default()
    {
        this->publish({make_route(members_route, "members"),
                       make_route(archive_route, "archive")});
    }

    static connection_packet make_packet(peer_address route, std::uint16_t port,
                                         bool is_opening)
    {
        connection_packet packet{};
        packet.endpoints = {{0x64400001, port}, route};
        packet.is_opening = is_opening;
        packet.data_size = is_opening ? 0 : 100;
        packet.acknowledgement = is_opening ? 0 : 77;
        packet.bytes = "bytes";
        return packet;
    }

    void open(std::uint16_t port, peer_address route = members_route)
    {
        this->feed(packet_from_caller{make_packet(route, port, true)});
    }

    void send(std::uint16_t port, peer_address route = members_route)
    {
        this->feed(packet_from_caller{make_packet(route, port, false)});
    }

    template <class Effect> std::vector<Effect> find_all() const
    {
        std::vector<Effect> found;
        for (connection_entry_effect const& one : this->effects)
            if (auto const* effect = std::get_if<Effect>(&one))
                found.push_back(*effect);
        return found;
    }

    send_offer get_last_offer() const
    {
        std::vector<send_offer> const offers = this->find_all<send_offer>();
        CHECK(!offers.empty());
        return offers.empty() ? send_offer{} : offers.back();
    }

    void answer(send_offer const& to, offer_verdict verdict,
                std::uint32_t load = 1)
    {
        this->feed(answer_from_target{
            to.to, {to.offer.query, verdict, load, 2, {}}, std::nullopt});
    }

    // The target returns a packet that was sent without a query.
    void return_packet(peer_address target, offer_verdict verdict,
                       connection_packet const& packet)
    {
        this->feed(answer_from_target{
            target, {{}, verdict, 1, 2, packet.bytes}, packet});
    }

    bool has_note(placement_result result) const
    {
        for (placement_note const& note : this->find_all<placement_note>())
            if (note.result == result)
                return true;
        return false;
    }
};

}  // namespace

// ---- after a start ------------------------------------------------------

SECTION(a_starting_entry, a_connection_entry){};

TEST(a_starting_entry, reads_the_platform_at_once)
{
    this->feed(clock_tick{});
    UNSIGNED_LONGS_EQUAL(1, this->find_all<read_platform>().size());
    CHECK(!this->role.is_ready(this->now));
}

TEST(a_starting_entry, holds_packets_until_it_has_a_configuration)
{
    this->feed(clock_tick{});
    this->open(1);
    CHECK(this->has_note(placement_result::held));
    this->publish_default();
    UNSIGNED_LONGS_EQUAL(1, this->find_all<send_offer>().size());
}

TEST(a_starting_entry, drops_a_packet_that_its_caller_will_retransmit)
{
    this->feed(clock_tick{});
    this->open(1);
    for (int i = 0; i < 10; ++i)
        this->feed(clock_tick{}, 30ms);
    this->publish_default();
    CHECK(this->find_all<send_offer>().empty());
    CHECK(this->find_all<reset_caller>().empty());
}

TEST(a_starting_entry, retries_soon_when_the_platform_is_down)
{
    this->feed(clock_tick{});
    this->feed(change_unavailable{change_source::platform, {}}, 5ms);
    CHECK(this->role.next_due() <= this->now + 1s);
}

namespace {

// Load pattern: after a power failure targets register one after the other, and
// some peer is always a generation ahead. In incident inc-03d1, entries held
// opening packets repeatedly during their first second because of this.
TEST(a_starting_entry, is_ready_after_a_read_even_if_a_peer_is_ahead)
{
    this->feed(clock_tick{});
    this->publish_default();
    CHECK(this->role.is_ready(this->now));
    peer_digest ahead{};
    ahead.sender = {8};
    ahead.version = {{this->last_generation + 1}, {1}};
    this->feed(digest_packet{{0x0A010002, 7280}, ahead}, 5ms);
    CHECK(this->role.is_ready(this->now));
    this->open(1);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<send_offer>().size());
}

// ---- connections --------------------------------------------------------

struct an_entry_with_a_configuration : a_connection_entry
{
    void setup() override
    {
        this->feed(clock_tick{});
        this->publish_default();
    }
};

}  // namespace

SECTION(an_entry, an_entry_with_a_configuration){};

TEST(an_entry, offers_a_connection_to_a_target_of_its_service)
{
    this->open(1, archive_route);
    CHECK(this->get_last_offer().to == archive_target);
    CHECK(this->get_last_offer().offer.service == make_service_id("archive"));
}

TEST(an_entry, sends_the_objective_and_deadline_of_the_route)
{
    this->open(1);
    std::optional<request_attributes> const attributes =
        this->get_last_offer().offer.attributes;
    CHECK(attributes && attributes->objective == 100ms &&
          attributes->deadline == 1s);
}

TEST(an_entry, forwards_later_packets_to_the_owner)
{
    this->open(1);
    peer_address const target = this->get_last_offer().to;
    this->answer(this->get_last_offer(), offer_verdict::taken);
    this->send(1);
    CHECK(this->get_last_offer().to == target);
    CHECK(this->get_last_offer().offer.query == query_id{});
}

// Load pattern: at peak load opening packets are queued beyond the 200 ms after
// which callers retransmit. If a retransmission skipped the busy owner, another
// target refused it while the first packet was still queued (scenario
// adwoa-rentals-grown trouble-1).
TEST(an_entry, sends_a_retransmission_to_the_target_that_queued_the_first)
{
    for (std::uint16_t port = 1; port <= 12; ++port) {
        this->open(port);
        send_offer const placed = this->get_last_offer();
        this->answer(placed, offer_verdict::waiting, 40);
        connection_packet retransmission =
            make_packet(members_route, port, true);
        retransmission.retransmission_count = 1;
        this->feed(clock_tick{}, 200ms);
        this->feed(packet_from_caller{retransmission});
        CHECK(this->get_last_offer().to == placed.to &&
              this->get_last_offer().offer.is_last_resort);
        this->answer(this->get_last_offer(), offer_verdict::waiting, 40);
    }
}

TEST(an_entry, searches_for_the_owner_of_an_unknown_connection)
{
    this->send(1);
    send_offer const query = this->get_last_offer();
    CHECK(query.offer.query != query_id{});
    this->answer(query, offer_verdict::not_owner);
    CHECK(this->get_last_offer().to != query.to);
    this->answer(this->get_last_offer(), offer_verdict::taken);
    CHECK(this->has_note(placement_result::owner_found));
}

TEST(an_entry, drops_a_packet_without_an_owner)
{
    this->send(1);
    for (int i = 0; i < 3; ++i)
        this->answer(this->get_last_offer(), offer_verdict::not_owner);
    CHECK(this->has_note(placement_result::owner_lost));
    CHECK(this->find_all<reset_caller>().empty());
}

// Load pattern: thousands of callers keep sending packets of connections that
// ended with their back ends. Each connection is searched for once, not with
// every packet.
TEST(an_entry, does_not_repeat_a_failed_search_for_a_while)
{
    this->send(1);
    this->answer(this->get_last_offer(), offer_verdict::not_owner);
    this->answer(this->get_last_offer(), offer_verdict::not_owner);
    this->now += 200ms;
    this->send(1);
    CHECK(this->find_all<send_offer>().empty());
    for (int i = 0; i < 17; ++i)
        this->feed(clock_tick{}, 100ms);
    this->send(1);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<send_offer>().size());
}

// The target that did not answer may be the owner. A caller retransmits after
// 200 ms; its other packets in flight start no further search.
TEST(an_entry, repeats_a_search_with_the_retransmission_if_a_target_was_silent)
{
    this->send(1);
    this->answer(this->get_last_offer(), offer_verdict::not_owner);
    this->feed(clock_tick{}, 20ms);
    this->answer(this->get_last_offer(), offer_verdict::not_owner);
    this->send(1);
    UNSIGNED_LONGS_EQUAL(0, this->find_all<send_offer>().size());
    this->now += 180ms;
    this->send(1);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<send_offer>().size());
}

// After a change of weights or a restart of the entry, a connection may belong
// to any service of its split route, and stays there.
TEST(an_entry, searches_in_every_service_of_a_split_route)
{
    route_record split = make_route(members_route, "members");
    split.services = {{make_service_id("members"), 1},
                      {make_service_id("archive"), 0}};
    this->publish({split});
    this->send(1);
    for (int i = 0; i < 2; ++i) {
        CHECK(this->get_last_offer().offer.service ==
              make_service_id("members"));
        this->answer(this->get_last_offer(), offer_verdict::not_owner);
    }
    CHECK(this->get_last_offer().to == archive_target);
    CHECK(this->get_last_offer().offer.service == make_service_id("archive"));
    this->answer(this->get_last_offer(), offer_verdict::taken);
    this->send(1);
    CHECK(this->get_last_offer().to == archive_target);
}

// Load pattern: callers are moved to another service while their connections
// are open, and the packets reach an entry that has never seen them (soak-limits,
// seed 900: 52 targets of the new service were asked, none of the old one).
TEST(an_entry, searches_in_the_service_that_a_route_had_before)
{
    this->publish({make_route(members_route, "archive")});
    this->send(1);
    CHECK(this->get_last_offer().to == archive_target);
    this->answer(this->get_last_offer(), offer_verdict::not_owner);
    CHECK(this->get_last_offer().offer.service == make_service_id("members"));
    this->answer(this->get_last_offer(), offer_verdict::taken);
    CHECK(this->has_note(placement_result::owner_found));
}

// Load pattern: as above, while machines of the new service are cut off.
TEST(an_entry, searches_in_the_former_service_before_silent_targets_answer)
{
    this->publish({make_route(members_route, "archive")});
    this->send(1);
    this->feed(clock_tick{}, 20ms);
    CHECK(this->get_last_offer().offer.service == make_service_id("members"));
    this->answer(this->get_last_offer(), offer_verdict::taken);
    CHECK(this->has_note(placement_result::owner_found));
}

// Connections of a moved route were lost when their targets were restarted: only
// back ends of the present service were tried.
TEST(an_entry, tries_back_ends_of_the_service_that_a_route_had_before)
{
    this->publish({make_route(members_route, "archive")});
    this->send(1);
    this->answer(this->get_last_offer(), offer_verdict::not_owner);
    this->answer(this->get_last_offer(), offer_verdict::unsure);
    this->answer(this->get_last_offer(), offer_verdict::unsure);
    send_offer const tried = this->get_last_offer();
    CHECK(tried.offer.is_last_resort);
    CHECK(tried.offer.service == make_service_id("members"));
    this->answer(tried, offer_verdict::taken);
    this->return_packet(tried.to, offer_verdict::not_owner,
                        make_packet(members_route, 1, false));
    send_offer const owner = this->get_last_offer();
    CHECK(owner.offer.is_last_resort && owner.to != tried.to);
    CHECK(owner.offer.service == make_service_id("members"));
    this->answer(owner, offer_verdict::taken);
    CHECK(this->has_note(placement_result::owner_found));
}

// Load pattern: every process was killed, so that all targets are unsure, and no
// back end has the connection (soak-limits, seed 900: 48 copies of a packet were
// sent to back ends of three services).
TEST(an_entry, tries_each_back_end_once_and_few_with_one_packet)
{
    std::vector<target_record> members{make_serving_target(first),
                                       make_serving_target(second)};
    for (std::uint32_t i = 0; i < 38; ++i)
        members.push_back(make_serving_target({0x0A030000 + i, 8000}));
    this->publish({make_route(members_route, "archive")}, members);
    std::set<peer_address> tried;
    for (int packet = 0; packet < 3; ++packet) {
        std::size_t const before = tried.size();
        this->send(1);
        while (!this->find_all<send_offer>().empty()) {
            send_offer const query = this->get_last_offer();
            if (query.offer.is_last_resort)
                CHECK(tried.insert(query.to).second);
            this->answer(query, query.offer.is_last_resort
                                    ? offer_verdict::not_owner
                                    : offer_verdict::unsure);
        }
        CHECK(tried.size() - before <= placer_limits{}.max_trials);
        this->now += 200ms;
    }
    UNSIGNED_LONGS_EQUAL(members.size() + 1, tried.size());
    CHECK(this->has_note(placement_result::owner_lost));
}

// Load pattern: all targets were restarted in turn, and the owner is the last of
// those that one packet is tried at (review/5: half of the trials went to services
// that the route never had).
TEST(an_entry, tries_back_ends_of_other_services_with_the_second_packet)
{
    std::vector<target_record> members{make_serving_target(first),
                                       make_serving_target(second)};
    for (std::uint32_t i = 0; i < 18; ++i)
        members.push_back(make_serving_target({0x0A030000 + i, 8000}));
    this->publish({make_route(members_route, "members")}, members);
    std::vector<service_id> tried;
    for (int packet = 0; packet < 2; ++packet) {
        this->send(1);
        while (!this->find_all<send_offer>().empty()) {
            send_offer const query = this->get_last_offer();
            if (query.offer.is_last_resort)
                tried.push_back(query.offer.service);
            this->answer(query, query.offer.is_last_resort
                                    ? offer_verdict::not_owner
                                    : offer_verdict::unsure);
        }
        this->now += 200ms;
    }
    std::vector<service_id> expected(members.size() + 1,
                                     make_service_id("members"));
    expected.at(placer_limits{}.max_trials) = make_service_id("archive");
    CHECK(tried == expected);
}

// Connections of a moved route were lost where there are more than 16 services:
// only those of the route were searched.
TEST(an_entry, searches_in_all_services_however_many_there_are)
{
    for (std::uint32_t i = 0; i < 40; ++i)
        this->other_services.push_back(
            make_part(("other-" + std::to_string(i)).c_str(), {1},
                      {make_serving_target({0x0A030000 + i, 8000})}));
    this->publish({make_route(members_route, "archive")});
    std::set<peer_address> queried;
    this->send(1);
    while (!this->find_all<send_offer>().empty()) {
        queried.insert(this->get_last_offer().to);
        this->answer(this->get_last_offer(), offer_verdict::not_owner);
    }
    UNSIGNED_LONGS_EQUAL(this->other_services.size() + 3, queried.size());
}

// A new connection is never offered to the service that the route had before.
TEST(an_entry, opens_connections_in_the_present_service_of_a_route_alone)
{
    this->publish({make_route(members_route, "archive")});
    this->open(1);
    CHECK(this->get_last_offer().to == archive_target);
    this->answer(this->get_last_offer(), offer_verdict::leaving);
    CHECK(this->find_all<send_offer>().empty());
}

TEST(an_entry, ends_a_search_after_the_last_service_of_a_split_route)
{
    route_record split = make_route(members_route, "members");
    split.services = {{make_service_id("members"), 1},
                      {make_service_id("archive"), 0}};
    this->publish({split});
    this->send(1);
    for (int i = 0; i < 3; ++i)
        this->answer(this->get_last_offer(), offer_verdict::not_owner);
    UNSIGNED_LONGS_EQUAL(0, this->find_all<send_offer>().size());
    UNSIGNED_LONGS_EQUAL(1, this->find_all<placement_note>().size());
    CHECK(this->find_all<placement_note>().front().result ==
          placement_result::owner_lost);
}

// A restarted target tried its back end, which does not have the connection.
TEST(an_entry, resumes_a_search_when_a_back_end_returns_the_packet)
{
    this->send(1);
    this->answer(this->get_last_offer(), offer_verdict::unsure);
    send_offer const other = this->get_last_offer();
    this->answer(other, offer_verdict::unsure);
    CHECK(this->get_last_offer().to == archive_target);
    this->answer(this->get_last_offer(), offer_verdict::not_owner);
    send_offer const tried = this->get_last_offer();
    CHECK(tried.offer.is_last_resort && tried.to != other.to);
    this->answer(tried, offer_verdict::taken);
    this->return_packet(tried.to, offer_verdict::not_owner,
                        make_packet(members_route, 1, false));
    CHECK(this->get_last_offer().to == other.to &&
          this->get_last_offer().offer.is_last_resort);
    this->answer(this->get_last_offer(), offer_verdict::taken);
    this->return_packet(other.to, offer_verdict::not_owner,
                        make_packet(members_route, 1, false));
    CHECK(this->find_all<send_offer>().empty());
    CHECK(this->has_note(placement_result::owner_lost));
}

// Load pattern: datagrams of one target arrive in another order, so that the
// packet that its back end returned is there before the answer that it was sent
// (review/5: each retransmission reached two back ends, none of them its own).
TEST(an_entry,
     goes_on_with_a_search_if_the_packet_is_returned_before_the_answer)
{
    this->send(1);
    this->answer(this->get_last_offer(), offer_verdict::unsure);
    this->answer(this->get_last_offer(), offer_verdict::unsure);
    this->answer(this->get_last_offer(), offer_verdict::not_owner);
    send_offer const tried = this->get_last_offer();
    CHECK(tried.offer.is_last_resort);
    this->return_packet(tried.to, offer_verdict::not_owner,
                        make_packet(members_route, 1, false));
    send_offer const other = this->get_last_offer();
    CHECK(other.offer.is_last_resort && other.to != tried.to);
    this->answer(tried, offer_verdict::taken);
    CHECK(!this->has_note(placement_result::owner_found));
    this->answer(other, offer_verdict::taken);
    CHECK(this->has_note(placement_result::owner_found));
    this->send(1);
    CHECK(this->get_last_offer().to == other.to);
}

// The owner was asked when a late answer ended the search, and never again
// (review/5: its connection was found after 3 s, when another search began).
TEST(an_entry, asks_a_target_again_if_a_late_answer_ended_the_search)
{
    this->send(1);
    for (int i = 0; i < 3; ++i)
        this->answer(this->get_last_offer(), offer_verdict::unsure);
    send_offer const slow = this->get_last_offer();
    CHECK(slow.offer.is_last_resort);
    this->feed(clock_tick{}, 200ms);
    send_offer const asked = this->get_last_offer();
    CHECK(asked.to != slow.to);
    this->answer(slow, offer_verdict::taken);
    this->return_packet(slow.to, offer_verdict::not_owner,
                        make_packet(members_route, 1, false));
    std::set<peer_address> again;
    while (!this->find_all<send_offer>().empty()) {
        again.insert(this->get_last_offer().to);
        this->answer(this->get_last_offer(), offer_verdict::not_owner);
    }
    CHECK(again.contains(asked.to));
}

TEST(an_entry,
     places_a_connection_elsewhere_if_it_is_returned_before_the_answer)
{
    this->open(1);
    send_offer const refused = this->get_last_offer();
    this->return_packet(refused.to, offer_verdict::no_answer,
                        make_packet(members_route, 1, true));
    send_offer const next = this->get_last_offer();
    CHECK(next.to != refused.to);
    this->answer(refused, offer_verdict::taken);
    CHECK(!this->has_note(placement_result::placed));
    this->answer(next, offer_verdict::taken);
    CHECK(this->has_note(placement_result::placed));
}

// Load pattern: on a saturated machine a back end returns packets half a second
// late, when their owner has been found at another target (soak-limits, seed 900:
// the search began again and again at targets that only tried their back ends).
TEST(an_entry, sends_a_packet_that_is_returned_late_to_the_owner_found_since)
{
    this->send(1);
    this->answer(this->get_last_offer(), offer_verdict::unsure);
    this->answer(this->get_last_offer(), offer_verdict::unsure);
    send_offer const tried = this->get_last_offer();
    this->answer(tried, offer_verdict::taken);
    this->return_packet(tried.to, offer_verdict::not_owner,
                        make_packet(members_route, 1, false));
    send_offer const owner = this->get_last_offer();
    this->answer(owner, offer_verdict::taken);
    this->return_packet(tried.to, offer_verdict::not_owner,
                        make_packet(members_route, 1, false));
    CHECK(this->get_last_offer().to == owner.to);
    CHECK(this->get_last_offer().offer.query == query_id{});
    this->send(1);
    CHECK(this->get_last_offer().to == owner.to);
    CHECK(this->get_last_offer().offer.query == query_id{});
}

TEST(an_entry, places_a_returned_connection_on_another_target)
{
    this->open(1);
    send_offer const placed = this->get_last_offer();
    this->answer(placed, offer_verdict::taken);
    this->return_packet(placed.to, offer_verdict::no_answer,
                        make_packet(members_route, 1, true));
    CHECK(this->get_last_offer().to != placed.to);
}

TEST(an_entry, searches_again_when_the_owner_denies_ownership)
{
    this->open(1);
    send_offer const placed = this->get_last_offer();
    this->answer(placed, offer_verdict::taken);
    this->return_packet(placed.to, offer_verdict::not_owner,
                        make_packet(members_route, 1, false));
    CHECK(this->get_last_offer().to != placed.to);
    CHECK(this->get_last_offer().offer.query != query_id{});
}

// ---- refusals -----------------------------------------------------------

SECTION(a_request_that_cannot_be_served, an_entry_with_a_configuration){};

TEST(a_request_that_cannot_be_served, is_reset_at_once)
{
    this->open(1);
    this->answer(this->get_last_offer(), offer_verdict::refused, 9);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<reset_caller>().size());
}

TEST(a_request_that_cannot_be_served, keeps_its_age_when_retried)
{
    this->open(1);
    this->answer(this->get_last_offer(), offer_verdict::refused, 9);
    this->now += 6ms;
    this->open(2);
    CHECK(this->get_last_offer().offer.attributes->age == 6ms);
}

TEST(a_request_that_cannot_be_served,
     is_reset_when_a_target_drops_it_from_its_queue)
{
    this->open(1);
    send_offer const placed = this->get_last_offer();
    this->answer(placed, offer_verdict::waiting, 5);
    this->return_packet(placed.to, offer_verdict::refused,
                        make_packet(members_route, 1, true));
    UNSIGNED_LONGS_EQUAL(1, this->find_all<reset_caller>().size());
}

// Load pattern: every target has a queue that takes longer than the deadline.
// The least loaded target refuses; held any longer, the caller would wait for
// nothing.
TEST(a_request_that_cannot_be_served,
     is_reset_after_the_refusal_of_the_least_loaded_target)
{
    this->open(1);
    send_offer const busier = this->get_last_offer();
    this->answer(busier, offer_verdict::busy, 90);
    send_offer const less_busy = this->get_last_offer();
    CHECK(less_busy.to != busier.to);
    this->answer(less_busy, offer_verdict::busy, 80);
    send_offer const last_resort = this->get_last_offer();
    CHECK(last_resort.to == less_busy.to);
    CHECK(last_resort.offer.is_last_resort);
    this->answer(last_resort, offer_verdict::refused, 80);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<reset_caller>().size());
    CHECK(this->find_all<send_offer>().empty());
    for (int i = 0; i < 30; ++i) {
        this->feed(clock_tick{}, 20ms);
        CHECK(this->find_all<send_offer>().empty());
        CHECK(this->find_all<reset_caller>().empty());
    }
}

// Load pattern: a target drops a request from its queue, and the packet that
// says so is lost. The caller's retransmission goes to that target first, and
// its refusal says nothing about the targets with free slots.
TEST(a_request_that_cannot_be_served,
     is_refused_only_after_the_other_targets_were_asked)
{
    this->open(1);
    send_offer const placed = this->get_last_offer();
    this->answer(placed, offer_verdict::waiting, 5);
    this->now += 200ms;
    connection_packet copy = make_packet(members_route, 1, true);
    copy.retransmission_count = 1;
    this->feed(packet_from_caller{copy});
    send_offer const again = this->get_last_offer();
    CHECK(again.to == placed.to);
    this->answer(again, offer_verdict::refused, 9);
    CHECK(this->find_all<reset_caller>().empty());
    CHECK(this->get_last_offer().to != placed.to);
    this->answer(this->get_last_offer(), offer_verdict::taken);
    CHECK(this->has_note(placement_result::placed));
}

namespace {

// ---- cold back ends -----------------------------------------------------

// The first target is cold; its service has a limit for that time.
struct an_entry_with_a_cold_target : a_connection_entry
{
    void setup() override
    {
        this->warm_up_limits = {{make_service_id("members"), 8s, 12}};
        this->publish_with(target_state::joining);
    }

    void publish_with(target_state state)
    {
        target_record record = make_serving_target(first);
        record.state = state;
        this->publish({make_route(members_route, "members"),
                       make_route(archive_route, "archive")},
                      {record, make_serving_target(second)});
    }

    // Opens connections until one was offered to the target.
    send_offer find_offer_to(peer_address target, peer_address route)
    {
        for (std::uint16_t port = 1; port < 100; ++port) {
            this->open(port, route);
            if (this->get_last_offer().to == target)
                return this->get_last_offer();
        }
        FAIL("no offer to the target");
        return {};
    }
};

}  // namespace

SECTION(an_entry_and_a_cold_target, an_entry_with_a_cold_target){};

TEST(an_entry_and_a_cold_target, tells_it_the_limit_of_its_service)
{
    send_offer const offer = this->find_offer_to(first, members_route);
    UNSIGNED_LONGS_EQUAL(12, offer.offer.attributes->opens_per_second);
}

TEST(an_entry_and_a_cold_target, sets_no_limit_for_warm_targets)
{
    send_offer const offer = this->find_offer_to(second, members_route);
    UNSIGNED_LONGS_EQUAL(0, offer.offer.attributes->opens_per_second);
    send_offer const other = this->find_offer_to(archive_target, archive_route);
    UNSIGNED_LONGS_EQUAL(0, other.offer.attributes->opens_per_second);
}

TEST(an_entry_and_a_cold_target, ends_the_limit_once_the_target_is_warm)
{
    this->publish_with(target_state::serving);
    send_offer const offer = this->find_offer_to(first, members_route);
    UNSIGNED_LONGS_EQUAL(0, offer.offer.attributes->opens_per_second);
}

SECTION(an_address_without_a_route, an_entry_with_a_configuration){};

TEST(an_address_without_a_route, is_answered_with_a_reset)
{
    this->open(1, new_route);
    CHECK(this->has_note(placement_result::no_route));
    UNSIGNED_LONGS_EQUAL(1, this->find_all<reset_caller>().size());
}

// An outdated configuration may lack a new route.
TEST(an_address_without_a_route, is_held_while_the_configuration_is_outdated)
{
    for (int i = 0; i < 30; ++i)
        this->feed(clock_tick{}, 100ms);
    this->open(1, new_route);
    CHECK(this->find_all<reset_caller>().empty());
}

// ---- configuration ------------------------------------------------------

SECTION(a_new_configuration, an_entry_with_a_configuration){};

TEST(a_new_configuration, does_not_move_open_connections)
{
    this->open(1);
    peer_address const target = this->get_last_offer().to;
    this->answer(this->get_last_offer(), offer_verdict::taken);
    this->publish({make_route(members_route, "archive")});
    this->send(1);
    CHECK(this->get_last_offer().to == target);
}

TEST(a_new_configuration, applies_to_new_connections)
{
    this->publish({make_route(members_route, "archive")});
    this->open(1);
    CHECK(this->get_last_offer().to == archive_target);
}

TEST(a_new_configuration, sends_no_new_connections_to_a_leaving_target)
{
    this->publish({make_route(members_route, "members")},
                  {make_leaving_target(first), make_serving_target(second)});
    for (std::uint16_t port = 1; port < 20; ++port) {
        this->open(port);
        CHECK(this->get_last_offer().to == second);
    }
}

TEST(a_new_configuration, searches_for_owners_at_a_leaving_target_too)
{
    this->publish({make_route(members_route, "members")},
                  {make_leaving_target(first), make_serving_target(second)});
    this->send(1);
    send_offer const query = this->get_last_offer();
    this->answer(query, offer_verdict::not_owner);
    CHECK(this->get_last_offer().to != query.to);
}

namespace {

// ---- peers --------------------------------------------------------------

// An entry that relies on its peers to read the platform.
struct an_entry_among_peers : an_entry_with_a_configuration
{
    void setup() override
    {
        this->an_entry_with_a_configuration::setup();
        for (std::uint64_t i = 0; i < peer_count; ++i)
            this->hear_from(i, this->role.configuration().version());
    }

    // The peer got an answer from the platform just now.
    void hear_from(std::uint64_t peer, catalog_version version)
    {
        peer_digest message{};
        message.sender = {100 + peer};
        message.version = version;
        this->feed(digest_packet{
            {0x0A010010 + static_cast<std::uint32_t>(peer), 7280}, message});
    }

    // Returns the time until the first read of the platform while all peers
    // report a version; `limit` if there was none.
    duration measure_time_to_read(catalog_version version, duration limit)
    {
        time_point const from = this->now;
        while (this->now - from < limit) {
            for (std::uint64_t i = 0; i < peer_count; ++i)
                this->hear_from(i, version);
            this->feed(clock_tick{}, 100ms);
            if (!this->find_all<read_platform>().empty())
                return this->now - from;
        }
        return limit;
    }

    static constexpr std::uint64_t peer_count = 20;
};

}  // namespace

SECTION(an_entry_with_peers, an_entry_among_peers){};

TEST(an_entry_with_peers, leaves_the_platform_to_them)
{
    CHECK(this->measure_time_to_read(this->role.configuration().version(),
                                     10s) == 10s);
}

// Updates that could not be decoded left an entry at an old generation: the
// digests of the same peers passed for recent contact with the platform.
TEST(an_entry_with_peers, reads_the_platform_when_their_changes_do_not_arrive)
{
    this->measure_time_to_read(this->role.configuration().version(), 30s);
    catalog_version const later{{this->last_generation + 1}, {1}};
    // Changes must be in force within 3 s.
    CHECK(this->measure_time_to_read(later, 10s) < 3s);
}

TEST(an_entry_with_peers, counts_their_contact_once_it_has_their_changes)
{
    catalog_version const current = this->role.configuration().version();
    this->measure_time_to_read(current, 5s);
    catalog_change change{current.number, {current.number.value + 1}};
    change.result_digest = current.content;
    catalog_version const later{change.to, current.content};
    this->hear_from(0, later);
    this->feed(change_received{change_source::peer, {}, change}, 1s);
    CHECK(this->role.configuration().version() == later);
    CHECK(this->role.platform_age(this->now) == 1s);
}

namespace {

// ---- pauses -------------------------------------------------------------

struct a_paused_entry : an_entry_with_a_configuration
{
    void setup() override
    {
        this->an_entry_with_a_configuration::setup();
        this->now += 5s;
    }
};

}  // namespace

SECTION(an_entry_after_a_pause, a_paused_entry){};

TEST(an_entry_after_a_pause, places_nothing_by_its_old_configuration)
{
    this->open(1);
    CHECK(this->has_note(placement_result::outdated));
    CHECK(this->find_all<send_offer>().empty());
}

TEST(an_entry_after_a_pause, reads_the_platform_first)
{
    this->feed(clock_tick{});
    UNSIGNED_LONGS_EQUAL(1, this->find_all<read_platform>().size());
    CHECK(!this->find_all<read_platform>().front().is_watch);
    CHECK(!this->role.is_ready(this->now));
}

TEST(an_entry_after_a_pause, is_ready_after_the_read)
{
    this->feed(clock_tick{});
    this->feed(change_received{change_source::platform, {}, std::nullopt}, 5ms);
    CHECK(this->role.is_ready(this->now));
    this->open(1);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<send_offer>().size());
}

TEST(an_entry_after_a_pause, forwards_packets_of_open_connections)
{
    this->send(1);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<send_offer>().size());
}

// ---- stopping -----------------------------------------------------------

SECTION(a_stopping_entry, an_entry_with_a_configuration){};

TEST(a_stopping_entry, is_not_ready_but_still_places_connections)
{
    this->feed(stop_requested{});
    CHECK(!this->role.is_ready(this->now));
    this->open(1);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<send_offer>().size());
}

// ---- evacuation of a data centre ----------------------------------------

namespace {

// The service members has a target in zg-a, which may be evacuated, and one in
// zg-b.
struct an_entry_with_two_data_centres : a_connection_entry
{
    void setup() override
    {
        this->feed(clock_tick{});
        this->evacuate({});
    }

    void evacuate(std::vector<std::string> const& data_centres,
                  target_state state_elsewhere = target_state::serving)
    {
        this->evacuated = data_centres;
        target_record elsewhere = make_serving_target(second, "zg-b");
        elsewhere.state = state_elsewhere;
        this->publish({make_route(members_route, "members"),
                       make_route(archive_route, "archive")},
                      {make_serving_target(first, "zg-a"), elsewhere});
    }

    // Opens connections until the target in zg-a has accepted one. Returns its
    // port.
    std::uint16_t open_at_first()
    {
        for (std::uint16_t port = 1; port < 100; ++port) {
            this->open(port);
            send_offer const offer = this->get_last_offer();
            this->answer(offer, offer_verdict::taken);
            if (offer.to == first)
                return port;
        }
        FAIL("no connection was offered to the target");
        return 0;
    }

    void send_copy(std::uint16_t port)
    {
        connection_packet copy = make_packet(members_route, port, true);
        copy.retransmission_count = 1;
        this->feed(packet_from_caller{copy}, 200ms);
    }

    bool has_offer_to(peer_address target) const
    {
        for (send_offer const& one : this->find_all<send_offer>())
            if (one.to == target)
                return true;
        return false;
    }

    std::size_t count_changes(status_change change) const
    {
        std::size_t count = 0;
        for (status_change_note const& note :
             this->find_all<status_change_note>())
            count += note.change == change && note.subject == "zg-a";
        return count;
    }

    // Ticks for `span` and returns the notices that the target in zg-a got.
    std::vector<send_evacuation_notice> collect_notices(duration span)
    {
        std::vector<send_evacuation_notice> all;
        for (duration passed{}; passed < span; passed += 100ms) {
            this->feed(clock_tick{}, 100ms);
            for (send_evacuation_notice const& one :
                 this->find_all<send_evacuation_notice>())
                all.push_back(one);
        }
        return all;
    }
};

}  // namespace

SECTION(an_entry_during_an_evacuation, an_entry_with_two_data_centres){};

// Otherwise opening packets reach an evacuated data centre beyond the limit.
TEST(an_entry_during_an_evacuation, opens_nothing_there)
{
    this->evacuate({"zg-a"});
    for (std::uint16_t port = 1; port <= 40; ++port) {
        this->open(port);
        CHECK(this->has_offer_to(second));
        CHECK(!this->has_offer_to(first));
        this->answer(this->get_last_offer(), offer_verdict::busy);
        CHECK(!this->has_offer_to(first));
    }
}

TEST(an_entry_during_an_evacuation, opens_nothing_there_when_no_other_answers)
{
    this->evacuate({"zg-a"});
    this->open(1);
    this->answer(this->get_last_offer(), offer_verdict::no_answer);
    CHECK(this->find_all<send_offer>().empty());
    // It is offered although it is avoided: no other target may be used.
    this->open(2);
    CHECK(this->has_offer_to(second));
    CHECK(!this->has_offer_to(first));
}

TEST(an_entry_during_an_evacuation, offers_no_returned_packet_there)
{
    this->evacuate({"zg-a"});
    this->open(1);
    this->answer(this->get_last_offer(), offer_verdict::taken);
    this->return_packet(second, offer_verdict::no_answer,
                        make_packet(members_route, 1, true));
    CHECK(!this->has_offer_to(first));
}

// The target sent the first packet to its back end. Another back end must not
// get the copy as well.
TEST(an_entry_during_an_evacuation, forwards_a_copy_of_an_accepted_packet)
{
    std::uint16_t const port = this->open_at_first();
    this->evacuate({"zg-a"});
    this->send_copy(port);
    CHECK(this->has_offer_to(first));
    // The target refuses it if it has forgotten the first packet.
    CHECK(this->get_last_offer().offer.attributes->config_generation ==
          generation{});
}

// The cached owner of the earlier connection would get a new one.
TEST(an_entry_during_an_evacuation, takes_no_reused_port_for_a_copy)
{
    std::uint16_t const port = this->open_at_first();
    this->evacuate({"zg-a"});
    for (int i = 0; i < 15; ++i)
        this->feed(clock_tick{}, 100ms);
    this->open(port);
    CHECK(!this->has_offer_to(first));
    CHECK(this->has_offer_to(second));
}

TEST(an_entry_during_an_evacuation, takes_no_port_of_an_ended_one_for_a_copy)
{
    std::uint16_t const port = this->open_at_first();
    this->evacuate({"zg-a"});
    connection_packet last = make_packet(members_route, port, false);
    last.is_finishing = true;
    this->feed(packet_from_caller{last});
    this->open(port);
    CHECK(!this->has_offer_to(first));
}

// Guards against callers that wait until their deadline: they send no copy of an
// opening packet later than 600 ms after the first one.
TEST(an_entry_during_an_evacuation, offers_what_was_queued_there_elsewhere)
{
    std::uint16_t const port = this->open_at_first();
    this->evacuate({"zg-a"});
    for (int i = 0; i < 8; ++i)
        this->feed(clock_tick{}, 100ms);
    this->return_packet(first, offer_verdict::leaving,
                        make_packet(members_route, port, true));
    CHECK(this->has_offer_to(second));
}

// Guards against new connections that reach a leaving target after its time
// limit, because the owner of an earlier one from the same port is cached.
TEST(an_entry_during_an_evacuation, opens_no_reused_port_at_a_leaving_target)
{
    this->evacuate({"zg-b"});
    std::uint16_t const port = this->open_at_first();
    target_record leaving = make_serving_target(first, "zg-a");
    leaving.state = target_state::leaving;
    this->evacuated = {};
    this->publish({make_route(members_route, "members"),
                   make_route(archive_route, "archive")},
                  {leaving, make_serving_target(second, "zg-b")});
    this->send_copy(port);
    CHECK(this->has_offer_to(first));
    this->answer(this->get_last_offer(), offer_verdict::taken);
    for (int i = 0; i < 15; ++i)
        this->feed(clock_tick{}, 100ms);
    this->open(port);
    CHECK(!this->has_offer_to(first));
    CHECK(this->has_offer_to(second));
}

TEST(an_entry_during_an_evacuation, forwards_packets_of_open_connections)
{
    std::uint16_t const port = this->open_at_first();
    this->evacuate({"zg-a"});
    this->send(port);
    CHECK(this->has_offer_to(first));
}

TEST(an_entry_during_an_evacuation, searches_there_for_owners)
{
    this->evacuate({"zg-a"});
    this->send(1);
    send_offer const query = this->get_last_offer();
    this->answer(query, offer_verdict::not_owner);
    CHECK(query.to == first || this->has_offer_to(first));
}

// A held packet is dropped after 190 ms, and its caller waits until its
// deadline.
TEST(an_entry_during_an_evacuation, refuses_at_once_if_all_targets_are_there)
{
    this->evacuate({"zg-a", "zg-b"});
    this->open(1);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<reset_caller>().size());
    CHECK(this->has_note(placement_result::refused));
    CHECK(this->find_all<send_offer>().empty());
}

TEST(an_entry_during_an_evacuation, refuses_if_targets_elsewhere_are_leaving)
{
    this->evacuate({"zg-a"}, target_state::leaving);
    this->open(1);
    UNSIGNED_LONGS_EQUAL(1, this->find_all<reset_caller>().size());
}

// Another entry may have opened the connection before it knew of the
// evacuation. A reset would end a connection that its back end holds.
TEST(an_entry_during_an_evacuation, resets_no_connection_after_a_copy)
{
    this->evacuate({"zg-a", "zg-b"});
    this->send_copy(1);
    CHECK(this->find_all<reset_caller>().empty());
    CHECK(this->find_all<send_offer>().empty());
}

TEST(an_entry_during_an_evacuation, holds_packets_if_no_target_accepts_any)
{
    this->evacuated = {"zg-a"};
    this->publish({make_route(members_route, "members")},
                  {make_leaving_target(first), make_leaving_target(second)});
    this->open(1);
    CHECK(this->has_note(placement_result::held));
    CHECK(this->find_all<reset_caller>().empty());
}

TEST(an_entry_during_an_evacuation, uses_the_data_centre_after_its_end)
{
    this->evacuate({"zg-a"});
    this->evacuate({});
    CHECK(this->open_at_first() > 0);
}

TEST(an_entry_during_an_evacuation, reports_its_begin_and_its_end_once)
{
    this->evacuate({"zg-a"});
    UNSIGNED_LONGS_EQUAL(1,
                         this->count_changes(status_change::evacuation_begun));
    this->evacuate({"zg-a"});
    UNSIGNED_LONGS_EQUAL(0,
                         this->count_changes(status_change::evacuation_begun));
    this->evacuate({});
    UNSIGNED_LONGS_EQUAL(1,
                         this->count_changes(status_change::evacuation_ended));
}

// Without the generation a target cannot tell whether the entry knows of the
// evacuation.
TEST(an_entry_during_an_evacuation, sends_the_generation_of_its_catalog)
{
    this->evacuate({"zg-a"});
    this->open(1);
    CHECK(this->get_last_offer().offer.attributes->config_generation ==
          generation{this->last_generation});
}

TEST(an_entry_during_an_evacuation, notifies_the_targets_there_each_second)
{
    this->evacuate({"zg-a"});
    std::vector<send_evacuation_notice> const notices =
        this->collect_notices(3s);
    UNSIGNED_LONGS_EQUAL(6, notices.size());
    for (send_evacuation_notice const& one : notices) {
        CHECK(one.to == first || one.to == archive_target);
        CHECK(one.notice.config_generation ==
              generation{this->last_generation});
    }
}

TEST(an_entry_during_an_evacuation, notifies_no_target_after_its_end)
{
    this->evacuate({"zg-a"});
    this->collect_notices(1s);
    this->evacuate({});
    CHECK(this->collect_notices(2s).empty());
}
