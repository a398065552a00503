#include "loop/signals.hpp"

#include <atomic>
#include <csignal>

namespace lagoon {

namespace {

std::atomic<int> stops{0};

void count_stop(int)
{
    ++stops;
}

}  // namespace

int stop_signals()
{
    return stops.load();
}

void catch_stop_signals()
{
    std::signal(SIGTERM, count_stop);
    std::signal(SIGINT, count_stop);
    std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace lagoon
