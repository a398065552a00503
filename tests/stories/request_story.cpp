#include "request/answers.hpp"
#include "request/request_table.hpp"
#include "story.hpp"

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

struct a_request_table : Utest
{
    request_table table = {};
    request_key key{{1}, {1}};
    time_point now{10s};
};

struct with_a_queued_request : a_request_table
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

SECTION(request_table_with_a_queued_request, with_a_queued_request){};

TEST(request_table_with_a_queued_request, keeps_the_record_when_a_copy_arrives)
{
    this->table.start(this->key, {1}, this->now);
    this->table.accept(this->key, request_record{.path = "other"});
    STRCMP_EQUAL("renewal", this->table.find(this->key)->path.c_str());
    SAME(request_state::running, this->state());
}

TEST(request_table_with_a_queued_request, starts_the_request_only_once)
{
    CHECK(this->table.start(this->key, {1}, this->now).has_value());
    CHECK_FALSE(this->table.start(this->key, {2}, this->now).has_value());
}

TEST(request_table_with_a_queued_request,
     finds_the_request_overdue_after_its_deadline)
{
    UNSIGNED_LONGS_EQUAL(0, this->table.find_overdue(this->now + 1s).size());
    UNSIGNED_LONGS_EQUAL(1, this->table.find_overdue(this->now + 2s).size());
}

SECTION(request_table_with_a_running_request, with_a_running_request){};

TEST(request_table_with_a_running_request, does_not_refuse_the_request)
{
    CHECK_FALSE(
        this->table.refuse(this->key, reason::overloaded, {}).has_value());
    SAME(request_state::running, this->state());
}

TEST(request_table_with_a_running_request,
     reports_unknown_when_the_answer_is_lost)
{
    CHECK(this->table.mark_unknown(this->key, reason::unreachable).has_value());
    SAME(request_state::unknown, this->state());
    CHECK_FALSE(this->table.start(this->key, {2}, this->now).has_value());
}

TEST(request_table_with_a_running_request, can_undo_a_start_without_effect)
{
    CHECK(
        this->table.undo_start(this->key, reason::overloaded, {}).has_value());
    SAME(request_state::not_run, this->state());
}

SECTION(request_table_with_a_refused_request, with_a_refused_request){};

TEST(request_table_with_a_refused_request, never_starts_the_request)
{
    CHECK_FALSE(this->table.start(this->key, {1}, this->now).has_value());
    SAME(request_state::not_run, this->state());
}

TEST(request_table_with_a_refused_request,
     keeps_the_refusal_when_a_copy_arrives)
{
    SAME(request_state::not_run,
         this->table.accept(this->key, request_record{}).state);
}

SECTION(stored_answers, an_answer_store){};

TEST(stored_answers, are_returned_in_segments_from_any_offset)
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

TEST(stored_answers, fill_the_store_up_to_its_limit)
{
    CHECK_FALSE(this->answers.is_full());
    this->answers.append(this->key, std::string(3000, 'a'));
    CHECK(this->answers.is_full());
    this->answers.discard(this->key);
    CHECK_FALSE(this->answers.is_full());
}
