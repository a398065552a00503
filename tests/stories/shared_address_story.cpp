// Many callers that share one address, as behind a gateway.
#include "fakes/fake_connections.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace lagoon::fakes;

namespace {

peer_address const notices{0xC6120001, 443};

// Four entries, and three targets of two slots each, which can serve some 460
// requests a second.
struct callers_of_one_address : Utest
{
    fake_connections<> fleet{31};
    std::size_t notice = 0;

    virtual std::size_t address_count() const
    {
        return 1;
    }

    void setup() override
    {
        this->notice =
            this->fleet.add_kind({notices, "members", 13ms, 100ms, 1s, 2, true,
                                  1, 0.1, this->address_count()});
        for (int i = 0; i < 4; ++i)
            this->fleet.add_entry(0);
        for (int i = 0; i < 3; ++i)
            this->fleet.add_target("members", 0);
        this->fleet.publish();
        this->fleet.run_for(2s);
    }

    double served_share(time_point from, time_point until) const
    {
        auto const count = [&](completion_status status) {
            return static_cast<double>(
                this->fleet.count_requests(status, from, until));
        };
        double const served =
            count(completion_status::in_time) + count(completion_status::late);
        double const failed = count(completion_status::failed);
        return served / std::max(1.0, served + failed);
    }

    // Returns the share of the requests that are served later than two seconds
    // after power has returned.
    double lose_power()
    {
        this->fleet.add_load_in(this->notice, 250, 14s, 0);
        this->fleet.run_for(3s);
        this->fleet.power_off_all(1500ms);
        time_point const back_at = this->fleet.now() + 1800ms;
        this->fleet.run_for(13s);
        return this->served_share(back_at + 2s, this->fleet.now() - 2s);
    }

    // Returns the share that is served later than a second after two seconds of
    // 1.4 times the capacity.
    double overload()
    {
        this->fleet.add_load_in(this->notice, 250, 10s, 0);
        this->fleet.run_for(2s);
        time_point const from = this->fleet.now();
        this->fleet.add_load_in(this->notice, 400, 2s, 0);
        this->fleet.run_for(10s);
        return this->served_share(from + 3s, from + 8s);
    }
};

struct callers_of_many_addresses : callers_of_one_address
{
    std::size_t address_count() const override
    {
        return 25;
    }
};

}  // namespace

SECTION(callers_behind_one_address, callers_of_one_address){};

// Load pattern: after a power loss, the requests of its duration arrive at once,
// and some are refused. Guards against requests that take over the growing age
// of refused ones of other callers, and are refused by idle targets for it.
TEST(callers_behind_one_address, are_served_again_after_a_power_loss)
{
    CHECK(this->lose_power() > 0.97);
}

// Load pattern: a load peak of 1.4 times the capacity of the slots.
TEST(callers_behind_one_address, are_served_again_after_an_overload)
{
    CHECK(this->overload() > 0.97);
}

SECTION(callers_with_own_addresses, callers_of_many_addresses){};

TEST(callers_with_own_addresses, are_served_again_after_a_power_loss)
{
    CHECK(this->lose_power() > 0.97);
}

TEST(callers_with_own_addresses, are_served_again_after_an_overload)
{
    CHECK(this->overload() > 0.97);
}
