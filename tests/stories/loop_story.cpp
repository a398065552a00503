#include "loop/event_loop.hpp"
#include "story.hpp"

#include <filesystem>
#include <iterator>
#include <unistd.h>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

// Sends HTTP calls to itself, one after the other, and replies to each with the
// same response.
class self_calling_handler : public default_event_handler
{
public:
    self_calling_handler(http_reply response, std::size_t calls)
        : response(std::move(response)), remaining_calls(calls),
          loop(*this, {{self_calling_handler::own_address()}, 5ms, 4096, 256})
    {
    }

    // Derived from the process id, so that parallel runs don't collide.
    static peer_address own_address()
    {
        auto const id = static_cast<std::uint32_t>(::getpid());
        return {(127U << 24U) | (250U << 16U) | (id & 0xFFFFU), 8399};
    }

    static std::size_t count_open_descriptors()
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
        if (this->started_at == time_point{})
            this->started_at = now;
        if (this->is_calling || this->remaining_calls == 0)
            return;
        this->is_calling = true;
        --this->remaining_calls;
        this->loop.start_call({own_address(), "GET", "/", {}, 500ms});
    }

    void on_http_request(exchange_id exchange, http_request const&)
    {
        this->loop.reply(exchange, this->response);
    }

    void on_http_complete(exchange_id, http_result const& result)
    {
        this->is_calling = false;
        this->complete_calls += result.outcome == http_outcome::complete &&
                                result.status == this->response.status;
        if (this->remaining_calls == 0)
            this->ended_at = read_clock();
    }

    // Stops some time after the last call, when its connection is closed.
    bool should_stop()
    {
        bool const is_late = this->started_at != time_point{} &&
                             read_clock() - this->started_at > 10s;
        bool const is_done = this->ended_at != time_point{} &&
                             read_clock() - this->ended_at > 50ms;
        if (is_done || is_late)
            this->open_descriptor_count = count_open_descriptors();
        return is_done || is_late;
    }

    std::size_t complete_calls = 0;
    std::size_t open_descriptor_count = 0;  // after the last call

private:
    http_reply response;
    std::size_t remaining_calls;
    bool is_calling = false;
    time_point started_at = {};
    time_point ended_at = {};
    event_loop<self_calling_handler> loop;
};

struct with_calls_to_itself : Utest
{
    static constexpr std::size_t calls = 60;

    static std::size_t count_descriptors_after(std::size_t calls,
                                               http_reply const& response)
    {
        self_calling_handler caller{response, calls};
        caller.run();
        UNSIGNED_LONGS_EQUAL(calls, caller.complete_calls);
        return caller.open_descriptor_count;
    }

    // Returns how many more descriptors are open after many calls than after
    // one.
    static std::size_t count_leaked_descriptors(http_reply const& response)
    {
        std::size_t const after_one = count_descriptors_after(1, response);
        std::size_t const after_all = count_descriptors_after(calls, response);
        return after_all > after_one ? after_all - after_one : 0;
    }
};

}  // namespace

// Guards against leaked connections. A store that is down refuses many calls in
// a row, mostly without a body, and libwebsockets ignores the request to close
// such a connection from inside its callback.
SECTION(event_loop_with_calls, with_calls_to_itself){};

TEST(event_loop_with_calls, closes_connections_after_an_error_without_a_body)
{
    CHECK(count_leaked_descriptors({503, "text/plain", "", 0}) < 10);
}

TEST(event_loop_with_calls, closes_connections_after_a_success_without_a_body)
{
    CHECK(count_leaked_descriptors({200, "text/plain", "", 0}) < 10);
}

TEST(event_loop_with_calls, closes_connections_after_a_response_with_a_body)
{
    CHECK(count_leaked_descriptors({200, "text/plain", "a body", 0}) < 10);
}
