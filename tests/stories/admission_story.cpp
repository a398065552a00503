#include "admission/expected_load.hpp"
#include "admission/open_rate_limit.hpp"
#include "story.hpp"

#include <vector>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

// ---- the limit of a cold back end ---------------------------------------

// The process has been running for ten seconds.
struct an_open_rate_limit : Utest
{
    time_point now{100s};
    open_rate_limit limit{this->now - 10s};

    void set_rate(std::uint32_t per_second, std::uint64_t version = 5)
    {
        this->limit.set_rate({per_second, {version}}, this->now);
    }

    // Sends as many packets as the limit permits, and returns their number.
    std::size_t send_burst(std::size_t demand)
    {
        std::size_t sent = 0;
        for (; sent < demand && this->limit.may_send(this->now); ++sent)
            this->limit.record_sent(this->now);
        return sent;
    }
};

}  // namespace

SECTION(open_rate_of_a_back_end, an_open_rate_limit){};

TEST(open_rate_of_a_back_end, is_unlimited_without_a_rate)
{
    UNSIGNED_LONGS_EQUAL(500, this->send_burst(500));
    this->set_rate(0);
    UNSIGNED_LONGS_EQUAL(500, this->send_burst(500));
}

// Load pattern: callers reconnect in bursts that fall into two calendar
// seconds. Counted per calendar second, twice the limit would pass.
TEST(open_rate_of_a_back_end, holds_in_any_span_of_a_second)
{
    this->set_rate(10);
    std::vector<time_point> sent;
    for (int i = 0; i < 300; ++i) {
        this->now += 11ms;
        for (std::size_t j = this->send_burst(3); j > 0; --j)
            sent.push_back(this->now);
    }
    CHECK(sent.size() >= 30);
    for (std::size_t i = 10; i < sent.size(); ++i)
        CHECK(sent[i] - sent[i - 10] >= 1s);
}

// Load pattern: the entries learn of a restart only after the first packets
// were sent.
TEST(open_rate_of_a_back_end, counts_packets_sent_before_the_limit)
{
    this->send_burst(8);
    this->now += 200ms;
    this->set_rate(10);
    UNSIGNED_LONGS_EQUAL(2, this->send_burst(100));
    CHECK(this->limit.next_allowed(this->now) == this->now + 800ms);
}

// Load pattern: the process of a target restarts; its back end does not, and
// has already received a second's packets.
TEST(open_rate_of_a_back_end, counts_as_used_up_after_a_start)
{
    this->limit = open_rate_limit{this->now};
    this->set_rate(10);
    UNSIGNED_LONGS_EQUAL(0, this->send_burst(100));
    CHECK(this->limit.next_allowed(this->now) == this->now + 1s);
    this->now += 1s;
    UNSIGNED_LONGS_EQUAL(10, this->send_burst(100));
}

TEST(open_rate_of_a_back_end, follows_the_latest_offer)
{
    this->set_rate(10);
    this->send_burst(100);
    CHECK(!this->limit.may_send(this->now));
    this->set_rate(30);
    UNSIGNED_LONGS_EQUAL(20, this->send_burst(100));
    this->set_rate(0);
    CHECK(this->limit.may_send(this->now));
}

// Load pattern: one entry still has the state from before the restart and
// offers connections to a back end that it takes for warm.
TEST(open_rate_of_a_back_end, is_not_lifted_by_an_outdated_entry)
{
    this->set_rate(10, 6);
    this->send_burst(100);
    this->set_rate(0, 5);
    CHECK(!this->limit.may_send(this->now));
    this->set_rate(0, 7);
    CHECK(this->limit.may_send(this->now));
}

// Load pattern: the store is unavailable, and the entries go on taking the back
// end for cold.
TEST(open_rate_of_a_back_end, ends_when_the_back_end_is_certainly_warm)
{
    this->set_rate(10);
    this->now += max_warm_up_time - 1ms;
    this->set_rate(10);
    CHECK(this->limit.is_limited(this->now));
    this->now += 1ms;
    this->set_rate(10);
    CHECK(!this->limit.is_limited(this->now));
}

TEST(open_rate_of_a_back_end, tells_when_queued_requests_can_start)
{
    CHECK(!this->limit.pace(this->now));
    this->set_rate(10);
    this->send_burst(100);
    this->now += 300ms;
    start_pace const expected{700ms, 100ms};
    CHECK(this->limit.pace(this->now) == expected);
}

namespace {

// ---- the expected load of open connections ------------------------------

struct an_expected_load : Utest
{
    time_point now{100s};
    expected_load load{this->now};

    // Each connection runs a request for a tenth of the time. They take turns.
    void run_connections(std::size_t count, duration span)
    {
        constexpr duration request_time = 10ms;
        for (time_point const end = this->now + span; this->now < end;
             this->now += request_time) {
            auto const turn = static_cast<std::size_t>(
                                  this->now.time_since_epoch() / request_time) %
                              10;
            this->load.record(
                {count / 10 + (turn < count % 10 ? 1U : 0U), count}, this->now);
        }
    }
};

}  // namespace

SECTION(expected_load_of_connections, an_expected_load){};

TEST(expected_load_of_connections, is_zero_without_connections)
{
    UNSIGNED_LONGS_EQUAL(0, this->load.estimate(this->now + 5s));
}

// Load pattern: callers keep connections open and pause between requests. The
// momentary load is zero during most of the pauses.
TEST(expected_load_of_connections, counts_connections_that_pause)
{
    this->run_connections(20, 3s);
    this->load.record({0, 20}, this->now);
    UNSIGNED_LONGS_EQUAL(2, this->load.estimate(this->now));
}

// Load pattern: after a restart, hundreds of connections are placed within a
// second. None has had time to send several requests.
TEST(expected_load_of_connections, counts_new_connections_at_the_mean_rate)
{
    this->run_connections(20, 3s);
    this->load.record({0, 60}, this->now);
    UNSIGNED_LONGS_EQUAL(6, this->load.estimate(this->now));
}

TEST(expected_load_of_connections, forgets_connections_that_were_closed)
{
    this->run_connections(20, 3s);
    this->load.record({0, 0}, this->now);
    UNSIGNED_LONGS_EQUAL(0, this->load.estimate(this->now));
}

TEST(expected_load_of_connections, falls_when_callers_stop_sending)
{
    this->run_connections(40, 3s);
    UNSIGNED_LONGS_EQUAL(4, this->load.estimate(this->now));
    this->load.record({0, 40}, this->now);
    UNSIGNED_LONGS_EQUAL(0, this->load.estimate(this->now + 2500ms));
}
