#include "story.hpp"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>
#include <sodium.h>

int main(int count, char** arguments)
{
    if (sodium_init() < 0)
        return 1;
    // Property tests use a fixed seed unless RC_PARAMS is set.
    setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);
    // RapidCheck keeps static objects, which CppUTest would report as leaks;
    // scripts/check-sanitizers detects leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(count, arguments);
}
