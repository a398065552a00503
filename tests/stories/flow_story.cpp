#include "flow/ranking.hpp"
#include "flow/table.hpp"
#include "flow/token.hpp"
#include "story.hpp"

#include <map>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

struct a_token_issuer : Utest
{
    token_issuer issuer{make_target_id("m1"), {77}, {1, 2, 3}};
    failure error = {};
    time_point now{10s};
};

struct an_issued_token : a_token_issuer
{
    flow_token token =
        this->issuer.issue(make_service_id("members"), {5}, this->now);

    // Returns the cause of the rejection, or none.
    reason find_rejection_cause(flow_token const& modified)
    {
        this->error = {};
        this->issuer.verify(modified, this->error);
        return this->error.cause;
    }
};

struct a_flow_table : Utest
{
    flow_table flows{{.max_flows = 3}};
    failure error = {};
    time_point now{10s};
    service_id members = make_service_id("members");
    caller_id club = make_caller_id("club");

    flow_token make_token(flow_record const& record, flow_key key) const
    {
        return {record.service, {}, {}, key, record.issued_at, {}};
    }
};

struct an_open_flow : a_flow_table
{
    flow_record flow = *this->flows.open({1}, this->members, this->club,
                                         this->now, this->error);
};

struct seven_targets : Utest
{
    service_part part = {};

    void setup() override
    {
        for (int i = 1; i <= 7; ++i) {
            std::string const name = "m" + std::to_string(i);
            this->part.targets.push_back({make_target_id(name),
                                          name,
                                          "zg-a",
                                          {},
                                          {},
                                          2,
                                          target_state::serving});
        }
    }

    std::map<target_id, int> count_first_choices(int flow_count) const
    {
        std::map<target_id, int> counts;
        for (int i = 0; i < flow_count; ++i)
            ++counts[select_target(this->part,
                                   {hash_pair(static_cast<unsigned>(i), 9)}, 0)
                         ->id];
        return counts;
    }
};

}  // namespace

// ---- tokens -------------------------------------------------------------

SECTION(token, an_issued_token){};

TEST(token, is_accepted_by_its_issuer)
{
    SAME(reason::none, this->find_rejection_cause(this->token));
}

TEST(token, is_rejected_if_any_field_was_modified)
{
    flow_token modified = this->token;
    modified.service = make_service_id("archive");
    SAME(reason::bad_token, this->find_rejection_cause(modified));
    modified = this->token;
    modified.flow = {6};
    SAME(reason::bad_token, this->find_rejection_cause(modified));
    modified = this->token;
    modified.issued_at += 1;
    SAME(reason::bad_token, this->find_rejection_cause(modified));
    for (std::size_t i = 0; i < token_mac_size; ++i) {
        modified = this->token;
        modified.mac[i] ^= 1U;
        SAME(reason::bad_token, this->find_rejection_cause(modified));
    }
}

TEST(token, of_another_target_or_epoch_is_rejected_with_wrong_epoch)
{
    flow_token other = this->token;
    other.target = make_target_id("m2");
    SAME(reason::wrong_epoch, this->find_rejection_cause(other));
    other = this->token;
    other.issuer_epoch = {78};
    SAME(reason::wrong_epoch, this->find_rejection_cause(other));
}

TEST(token, issued_with_another_key_is_rejected)
{
    token_issuer const other{make_target_id("m1"), {77}, {9, 9, 9}};
    SAME(reason::bad_token, this->find_rejection_cause(other.issue(
                                make_service_id("members"), {5}, this->now)));
}

// ---- flow table ---------------------------------------------------------

SECTION(flow_table_story, a_flow_table){};

TEST(flow_table_story, rejects_flows_beyond_its_limit)
{
    for (std::uint64_t i = 1; i <= 3; ++i)
        CHECK(this->flows
                  .open({i}, this->members, this->club, this->now, this->error)
                  .has_value());
    CHECK_FALSE(
        this->flows.open({4}, this->members, this->club, this->now, this->error)
            .has_value());
    SAME(reason::overloaded, this->error.cause);
}

SECTION(flow_table_with_an_open_flow, an_open_flow){};

TEST(flow_table_with_an_open_flow, returns_it_for_a_duplicate_open_packet)
{
    auto const again = this->flows.open({1}, this->members, this->club,
                                        this->now + 1s, this->error);
    SAME(this->flow.issued_at, again->issued_at);
    UNSIGNED_LONGS_EQUAL(1, this->flows.size());
}

TEST(flow_table_with_an_open_flow, rejects_its_key_for_another_caller)
{
    CHECK_FALSE(this->flows
                    .open({1}, this->members, make_caller_id("crew"), this->now,
                          this->error)
                    .has_value());
    SAME(reason::duplicate, this->error.cause);
}

TEST(flow_table_with_an_open_flow, rejects_the_token_of_a_closed_flow)
{
    flow_token const old = this->make_token(this->flow, {1});
    this->flows.close({1});
    // A delayed duplicate of the open packet reopens the flow.
    this->flows.open({1}, this->members, this->club, this->now, this->error);
    CHECK_FALSE(this->flows.touch(old, this->now, this->error).has_value());
    SAME(reason::expired, this->error.cause);
}

TEST(flow_table_with_an_open_flow, expires_it_after_the_idle_timeout)
{
    flow_record used = this->flow;
    used.low_watermark = {1};
    this->flows.replace({1}, used);
    UNSIGNED_LONGS_EQUAL(0, this->flows.sweep(this->now + 10min).size());
    UNSIGNED_LONGS_EQUAL(1, this->flows.sweep(this->now + 11min).size());
}

TEST(flow_table_with_an_open_flow,
     expires_a_flow_without_requests_after_the_unused_timeout)
{
    UNSIGNED_LONGS_EQUAL(1, this->flows.sweep(this->now + 31s).size());
}

TEST(flow_table_with_an_open_flow, keeps_it_while_a_request_is_pending)
{
    flow_record busy = this->flow;
    busy.pending_requests = 1;
    this->flows.replace({1}, busy);
    UNSIGNED_LONGS_EQUAL(0, this->flows.sweep(this->now + 60min).size());
}

// ---- ranking ------------------------------------------------------------

SECTION(ranking, seven_targets){};

TEST(ranking, spreads_flows_evenly)
{
    for (auto const& [id, count] : this->count_first_choices(7000))
        CHECK(count > 850 && count < 1150);
}

TEST(ranking, moves_only_the_flows_of_a_leaving_target)
{
    service_part smaller = this->part;
    target_id const leaving = smaller.targets[3].id;
    smaller.targets[3].state = target_state::leaving;
    for (std::uint64_t i = 0; i < 500; ++i) {
        flow_key const flow{hash_pair(i, 3)};
        target_id const before = select_target(this->part, flow, 0)->id;
        target_id const after = select_target(smaller, flow, 0)->id;
        CHECK(after != leaving);
        if (before != leaving)
            SAME(before, after);
    }
}

TEST(ranking, gives_a_joining_target_a_quarter_of_the_weight)
{
    this->part.targets[0].state = target_state::joining;
    int const count =
        this->count_first_choices(25'000)[this->part.targets[0].id];
    CHECK(count > 800 && count < 1200);  // 1/25 of the flows
}

TEST(ranking, is_empty_if_all_targets_are_leaving)
{
    for (target_record& target : this->part.targets)
        target.state = target_state::leaving;
    CHECK_FALSE(select_target(this->part, {1}, 0).has_value());
}
