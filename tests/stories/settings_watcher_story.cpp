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

// A file that a process has started with.
struct a_settings_file : Utest
{
    time_point now{100s};
    std::string const path =
        "/tmp/lagoon-settings-" + std::to_string(::getpid());
    settings_watcher watched = {};

    void setup() override
    {
        this->write("first");
        this->watched.begin({this->path, "first", false}, this->now);
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

TEST(a_watched_settings_file, is_left_alone_between_two_looks)
{
    this->write("second");
    CHECK(!this->watched.changed(0, this->now + settings_poll_interval - 1ms));
}

TEST(a_watched_settings_file, is_read_again_after_the_interval)
{
    this->write("second");
    CHECK(this->watched.changed(0, this->now + settings_poll_interval) ==
          "second");
}

TEST(a_watched_settings_file, is_read_again_at_once_when_asked)
{
    this->write("second");
    CHECK(this->watched.changed(1, this->now + 1ms) == "second");
    CHECK(!this->watched.changed(1, this->now + 2ms));
}

TEST(a_watched_settings_file, says_nothing_when_it_is_the_same)
{
    CHECK(!this->watched.changed(1, this->now + 1ms));
}

TEST(a_watched_settings_file, counts_as_unchanged_while_it_is_missing)
{
    std::remove(this->path.c_str());
    CHECK(!this->watched.changed(1, this->now + 1ms));
    this->write("second");
    CHECK(this->watched.changed(2, this->now + 2ms) == "second");
}

SECTION(a_process, a_settings_file){};

TEST(a_process, survives_the_signal_to_read_its_settings_again)
{
    catch_reload_signal();
    int const before = reload_signals();
    std::raise(SIGHUP);
    LONGS_EQUAL(before + 1, reload_signals());
}
