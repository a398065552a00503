#include "request/answers.hpp"
#include "request/request_table.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

struct a_ledger : Utest
{
    request_table table = {};
    request_key key{{1}, {1}};
    time_point now{10s};
};

struct with_a_queued_request : a_ledger
{
    void setup() override
    {
        this->table.accept(this->key, request_record{
                                          .path = "renewal",
                                          .arrived_at = this->now,
                                          .deadline = this->now + 1s,
                                      });
    }

    request_state state() const
    {
        return this->table.find(this->key)->state;
    }
};

struct with_a_running_request : with_a_queued_request
{
    void setup() override
    {
        this->with_a_queued_request::setup();
        this->table.start(this->key, {1}, this->now);
    }
};

struct with_a_refused_request : with_a_queued_request
{
    void setup() override
    {
        this->with_a_queued_request::setup();
        this->table.refuse(this->key, reason::overloaded, 5ms);
    }
};

struct an_answer_store : Utest
{
    answer_store answers{3000};
    request_key key{{1}, {1}};
};

}  // namespace

SECTION(ledger_with_a_queued_request, with_a_queued_request){};

TEST(ledger_with_a_queued_request, keeps_its_record_when_a_copy_arrives)
{
    this->table.start(this->key, {1}, this->now);
    this->table.accept(this->key, request_record{.path = "other"});
    STRCMP_EQUAL("renewal", this->table.find(this->key)->path.c_str());
    SAME(request_state::running, this->state());
}

TEST(ledger_with_a_queued_request, starts_it_once)
{
    CHECK(this->table.start(this->key, {1}, this->now).has_value());
    CHECK_FALSE(this->table.start(this->key, {2}, this->now).has_value());
}

TEST(ledger_with_a_queued_request, lists_it_once_its_deadline_has_passed)
{
    UNSIGNED_LONGS_EQUAL(0, this->table.find_overdue(this->now + 1s).size());
    UNSIGNED_LONGS_EQUAL(1, this->table.find_overdue(this->now + 2s).size());
}

SECTION(ledger_with_a_running_request, with_a_running_request){};

TEST(ledger_with_a_running_request, does_not_refuse_it)
{
    CHECK_FALSE(
        this->table.refuse(this->key, reason::overloaded, {}).has_value());
    SAME(request_state::running, this->state());
}

TEST(ledger_with_a_running_request, calls_it_unknown_when_the_answer_is_lost)
{
    CHECK(this->table.mark_unknown(this->key, reason::unreachable).has_value());
    SAME(request_state::unknown, this->state());
    CHECK_FALSE(this->table.start(this->key, {2}, this->now).has_value());
}

TEST(ledger_with_a_running_request, may_undo_a_start_that_did_nothing)
{
    CHECK(
        this->table.undo_start(this->key, reason::overloaded, {}).has_value());
    SAME(request_state::not_run, this->state());
}

SECTION(ledger_with_a_refused_request, with_a_refused_request){};

TEST(ledger_with_a_refused_request, never_starts_it)
{
    CHECK_FALSE(this->table.start(this->key, {1}, this->now).has_value());
    SAME(request_state::not_run, this->state());
}

TEST(ledger_with_a_refused_request, keeps_the_refusal_when_a_copy_arrives)
{
    SAME(request_state::not_run,
         this->table.accept(this->key, request_record{}).state);
}

SECTION(answers, an_answer_store){};

TEST(answers, come_back_in_segments_from_any_offset)
{
    this->answers.append(this->key, std::string(1000, 'a'));
    this->answers.append(this->key, std::string(1000, 'b'));
    this->answers.finalise(this->key);
    UNSIGNED_LONGS_EQUAL(segment_size,
                         this->answers.slice(this->key, 0).size());
    UNSIGNED_LONGS_EQUAL(800, this->answers.slice(this->key, 1200).size());
    UNSIGNED_LONGS_EQUAL(0, this->answers.slice(this->key, 2000).size());
    SAME(hash_bytes(std::string(1000, 'a') + std::string(1000, 'b')),
         this->answers.summarise(this->key).content.value);
}

TEST(answers, have_a_bound_that_is_seen)
{
    CHECK_FALSE(this->answers.is_full());
    this->answers.append(this->key, std::string(3000, 'a'));
    CHECK(this->answers.is_full());
    this->answers.discard(this->key);
    CHECK_FALSE(this->answers.is_full());
}
