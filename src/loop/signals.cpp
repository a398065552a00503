#include "loop/signals.hpp"

#include <atomic>
#include <csignal>

namespace lagoon {

namespace {

std::atomic<int> stops{0};
std::atomic<int> reloads{0};

void count_stop(int)
{
    ++stops;
}

void count_reload(int)
{
    ++reloads;
}

}  // namespace

int stop_signals()
{
    return stops.load();
}

int reload_signals()
{
    return reloads.load();
}

void catch_reload_signal()
{
    std::signal(SIGHUP, count_reload);
}

void catch_stop_signals()
{
    std::signal(SIGTERM, count_stop);
    std::signal(SIGINT, count_stop);
    std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace lagoon
