#include "loop/event_loop.hpp"
#include "story.hpp"

#include <filesystem>
#include <iterator>
#include <unistd.h>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

// Calls itself over and over, and answers with a status and a body.
class self_caller : public default_event_handler
{
public:
    self_caller(http_reply answer, std::size_t calls)
        : answer(std::move(answer)), left(calls),
          loop(*this, {{self_caller::own_address()}, 5ms, 4096, 256})
    {
    }

    // A loopback address of this process's own.
    static peer_address own_address()
    {
        auto const id = static_cast<std::uint32_t>(::getpid());
        return {(127U << 24U) | (250U << 16U) | (id & 0xFFFFU), 8399};
    }

    static std::size_t open_descriptors()
    {
        return static_cast<std::size_t>(
            std::distance(std::filesystem::directory_iterator{"/proc/self/fd"},
                          std::filesystem::directory_iterator{}));
    }

    void run()
    {
        this->loop.run();
    }

    void on_tick()
    {
        time_point const now = read_clock();
        if (this->begun == time_point{})
            this->begun = now;
        if (this->calling || this->left == 0)
            return;
        this->calling = true;
        --this->left;
        this->loop.start_call({own_address(), "GET", "/", {}, 500ms});
    }

    void on_http_request(exchange_id exchange, http_request const&)
    {
        this->loop.reply(exchange, this->answer);
    }

    void on_http_complete(exchange_id, http_result const& result)
    {
        this->calling = false;
        this->good += result.outcome == http_outcome::complete &&
                      result.status == this->answer.status;
        if (this->left == 0)
            this->ended = read_clock();
    }

    // A little later, so that what closes has closed.
    bool should_stop()
    {
        bool const is_late =
            this->begun != time_point{} && read_clock() - this->begun > 10s;
        bool const is_done =
            this->ended != time_point{} && read_clock() - this->ended > 50ms;
        if (is_done || is_late)
            this->descriptors = open_descriptors();
        return is_done || is_late;
    }

    std::size_t good = 0;
    std::size_t descriptors = 0;  // open at the end

private:
    http_reply answer;
    std::size_t left;
    bool calling = false;
    time_point begun = {};
    time_point ended = {};
    event_loop<self_caller> loop;
};

struct a_loop_that_calls : Utest
{
    static constexpr std::size_t calls = 60;

    static std::size_t open_after(std::size_t calls, http_reply const& answer)
    {
        self_caller caller{answer, calls};
        caller.run();
        UNSIGNED_LONGS_EQUAL(calls, caller.good);
        return caller.descriptors;
    }

    // Descriptors that are open after the calls and weren't after one.
    static std::size_t left_open(http_reply const& answer)
    {
        std::size_t const after_one = open_after(1, answer);
        std::size_t const after_all = open_after(calls, answer);
        return after_all > after_one ? after_all - after_one : 0;
    }
};

}  // namespace

// A store that is down refuses many calls in a row, mostly without a body.
SECTION(a_loop_that_is_answered, a_loop_that_calls){};

TEST(a_loop_that_is_answered, closes_its_calls_after_an_empty_refusal)
{
    CHECK(left_open({503, "text/plain", "", 0}) < 10);
}

TEST(a_loop_that_is_answered, closes_its_calls_after_an_empty_success)
{
    CHECK(left_open({200, "text/plain", "", 0}) < 10);
}

TEST(a_loop_that_is_answered, closes_its_calls_after_a_body)
{
    CHECK(left_open({200, "text/plain", "a body", 0}) < 10);
}
