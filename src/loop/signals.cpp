#include "loop/signals.hpp"

#include <atomic>
#include <csignal>

namespace lagoon {

namespace {

std::atomic<bool> has_stop_request{false};
std::atomic<bool> has_immediate_stop_request{false};
std::atomic<int> reload_count{0};

void handle_stop(int)
{
    has_stop_request = true;
}

void handle_interrupt(int)
{
    if (has_stop_request.exchange(true))
        has_immediate_stop_request = true;
}

void handle_reload(int)
{
    ++reload_count;
}

}  // namespace

bool is_stop_requested()
{
    return has_stop_request.load();
}

bool is_immediate_stop_requested()
{
    return has_immediate_stop_request.load();
}

int count_reload_signals()
{
    return reload_count.load();
}

void install_reload_handler()
{
    std::signal(SIGHUP, handle_reload);
}

void install_stop_handlers()
{
    std::signal(SIGTERM, handle_stop);
    std::signal(SIGINT, handle_interrupt);
    std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace lagoon
