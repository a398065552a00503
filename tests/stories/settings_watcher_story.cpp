#include "loop/signals.hpp"
#include "programs/settings_watcher.hpp"
#include "story.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace lagoon;
using namespace std::chrono_literals;

namespace {

// The settings file that a process was started with.
struct a_settings_file : Utest
{
    time_point now{100s};
    std::string const path =
        "/tmp/lagoon-settings-" + std::to_string(::getpid());
    settings_watcher watcher = {};

    void setup() override
    {
        this->write("first");
        this->watcher.start({this->path, "first", false}, this->now);
    }

    void teardown() override
    {
        std::remove(this->path.c_str());
    }

    void write(std::string const& text) const
    {
        std::ofstream{this->path} << text;
    }
};

}  // namespace

SECTION(a_watched_settings_file, a_settings_file){};

TEST(a_watched_settings_file, is_not_read_before_the_interval_has_passed)
{
    this->write("second");
    CHECK(!this->watcher.poll(0, this->now + settings_poll_interval - 1ms));
}

TEST(a_watched_settings_file, is_read_again_after_the_interval)
{
    this->write("second");
    CHECK(this->watcher.poll(0, this->now + settings_poll_interval) ==
          "second");
}

TEST(a_watched_settings_file, is_read_again_immediately_on_a_signal)
{
    this->write("second");
    CHECK(this->watcher.poll(1, this->now + 1ms) == "second");
    CHECK(!this->watcher.poll(1, this->now + 2ms));
}

TEST(a_watched_settings_file, is_not_reported_when_it_is_unchanged)
{
    CHECK(!this->watcher.poll(1, this->now + 1ms));
}

TEST(a_watched_settings_file, counts_as_unchanged_while_it_is_missing)
{
    std::remove(this->path.c_str());
    CHECK(!this->watcher.poll(1, this->now + 1ms));
    this->write("second");
    CHECK(this->watcher.poll(2, this->now + 2ms) == "second");
}

SECTION(a_process, a_settings_file){};

TEST(a_process, counts_reload_signals_and_keeps_running)
{
    install_reload_handler();
    int const before = count_reload_signals();
    std::raise(SIGHUP);
    LONGS_EQUAL(before + 1, count_reload_signals());
}
