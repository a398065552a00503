#include "loop/event_loop.hpp"
#include "story.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <filesystem>
#include <iterator>
#include <unistd.h>
#include <utility>

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
        this->loop.start_call({own_address(), "GET", "/", {}, 500ms, "X-Mark"});
    }

    void on_http_request(exchange_id exchange, http_request const&)
    {
        this->loop.reply(exchange, this->response);
    }

    void on_http_complete(exchange_id, http_result const& result)
    {
        this->is_calling = false;
        this->returned_header = result.header;
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
    std::string returned_header = {};
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

// Listens at two addresses. Clients connect to one of them and send nothing, or
// a request whose reply they don't read, and keep their connections; then it
// calls itself at the other address.
class crowded_handler : public default_event_handler
{
public:
    static constexpr std::uint32_t max_descriptors = 64;

    explicit crowded_handler(std::size_t clients, std::string request)
        : clients(clients), request(std::move(request)),
          loop(*this, {{probed_address(), crowded_address()},
                       5ms,
                       4096,
                       max_descriptors})
    {
    }

    ~crowded_handler()
    {
        for (int const descriptor : this->descriptors)
            ::close(descriptor);
    }

    crowded_handler(crowded_handler const&) = delete;
    crowded_handler& operator=(crowded_handler const&) = delete;

    static peer_address probed_address()
    {
        return {self_calling_handler::own_address().ip, 8397};
    }

    static peer_address crowded_address()
    {
        return {self_calling_handler::own_address().ip, 8398};
    }

    void run()
    {
        this->loop.run();
    }

    // One client a tick; the call follows when all have connected.
    void on_tick()
    {
        if (this->descriptors.size() < this->clients)
            this->connect_client();
        else if (!std::exchange(this->is_calling, true))
            this->loop.start_call({this->called, "GET", "/", {}, 1s});
    }

    void on_http_request(exchange_id exchange, http_request const& received)
    {
        bool const is_crowded = received.local == crowded_address();
        this->loop.reply(exchange,
                         {200, "text/plain",
                          is_crowded ? std::string(1U << 20U, 'x') : "", 0});
    }

    void on_http_complete(exchange_id, http_result const& result)
    {
        this->is_answered = result.outcome == http_outcome::complete;
        this->has_ended = true;
    }

    bool should_stop() const
    {
        return this->has_ended;
    }

    peer_address called = probed_address();
    bool is_answered = false;

private:
    void connect_client()
    {
        int const descriptor =
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(crowded_address().ip);
        to.sin_port = htons(crowded_address().port);
        static_cast<void>(::connect(
            descriptor, reinterpret_cast<sockaddr const*>(&to), sizeof to));
        ::send(descriptor, this->request.data(), this->request.size(),
               MSG_NOSIGNAL);
        this->descriptors.push_back(descriptor);
    }

    std::size_t clients;
    std::string request;
    std::vector<int> descriptors = {};
    bool is_calling = false;
    bool has_ended = false;
    event_loop<crowded_handler> loop;
};

struct with_clients_that_keep_connections : Utest
{
    static constexpr std::size_t clients = 300;

    static bool is_answered(peer_address called, std::string const& request)
    {
        crowded_handler handler{clients, request};
        handler.called = called;
        handler.run();
        return handler.is_answered;
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

// Guards against an entry that leaves the rotation because connections to its
// metrics, or idle ones to /ready, take all descriptors.
SECTION(event_loop_with_many_connections, with_clients_that_keep_connections){};

TEST(event_loop_with_many_connections,
     answers_at_an_address_without_idle_clients)
{
    CHECK_TRUE(is_answered(crowded_handler::probed_address(), ""));
}

TEST(event_loop_with_many_connections, answers_beside_idle_clients)
{
    CHECK_TRUE(is_answered(crowded_handler::crowded_address(), ""));
}

TEST(event_loop_with_many_connections, answers_beside_clients_that_do_not_read)
{
    CHECK_TRUE(is_answered(crowded_handler::probed_address(),
                           "GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
}

// ---- response headers ---------------------------------------------------

SECTION(event_loop_with_a_header, with_calls_to_itself){};

// The store tells with a header that it reverted to an older copy.
TEST(event_loop_with_a_header, returns_the_header_that_a_call_asks_for)
{
    self_calling_handler caller{{200, "text/plain", "x", 0, {"X-Mark", "17"}},
                                1};
    caller.run();
    STRCMP_EQUAL("17", caller.returned_header.c_str());
}

TEST(event_loop_with_a_header, returns_it_from_a_response_without_a_body)
{
    self_calling_handler caller{{410, "text/plain", "", 0, {"x-mark", "4"}}, 1};
    caller.run();
    STRCMP_EQUAL("4", caller.returned_header.c_str());
}

TEST(event_loop_with_a_header, returns_nothing_if_there_is_no_such_header)
{
    self_calling_handler caller{{200, "text/plain", "x", 0, {"X-Other", "17"}},
                                1};
    caller.run();
    STRCMP_EQUAL("", caller.returned_header.c_str());
}
