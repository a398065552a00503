#include "story.hpp"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>
#include <sodium.h>

int main(int count, char** arguments)
{
    if (sodium_init() < 0)
        return 1;
    // Property tests repeat from one seed; RC_PARAMS asks for another run.
    setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);
    // RapidCheck keeps statics; scripts/check-sanitizers looks for leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(count, arguments);
}
