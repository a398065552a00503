#include "loop/signals.hpp"

#include <atomic>
#include <csignal>

namespace lagoon {

namespace {

std::atomic<int> stop_count{0};
std::atomic<int> reload_count{0};

void handle_stop(int)
{
    ++stop_count;
}

void handle_reload(int)
{
    ++reload_count;
}

}  // namespace

int count_stop_signals()
{
    return stop_count.load();
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
    std::signal(SIGINT, handle_stop);
    std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace lagoon
