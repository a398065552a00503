// The processes that the soak has started. It ends only these, by their ids;
// when it is killed itself, they are killed with it.
//
// Index
//   child_command   a program, its settings and its log
//   ended_child     one that is gone
//   child_group     the aggregate
#pragma once

#include "base/failure.hpp"
#include "base/values.hpp"

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::soak {

// ---- child_command ------------------------------------------------------

struct child_command
{
    std::string program = {};
    std::string settings_file = {};
    std::string log_file = {};  // goes on where an earlier one ended
    auto operator<=>(child_command const&) const = default;
};

// ---- ended_child --------------------------------------------------------

struct ended_child
{
    std::size_t machine = 0;
    bool was_killed = false;                        // by the soak
    std::optional<time_point> stop_requested = {};  // by the soak
    std::string how = {};
    auto operator<=>(ended_child const&) const = default;
};

// ---- child_group --------------------------------------------------------

class child_group
{
public:
    child_group() = default;
    ~child_group();
    child_group(child_group const&) = delete;
    child_group& operator=(child_group const&) = delete;

    // Errors: run_request/unreachable (no process could be started).
    bool start(std::size_t machine, child_command const& what, failure& last);

    bool is_running(std::size_t machine) const;
    void kill(std::size_t machine);
    // As if it had ended by itself.
    void crash(std::size_t machine);
    void ask_to_stop(std::size_t machine, time_point now);
    void freeze(std::size_t machine);
    void thaw(std::size_t machine);
    void reread(std::size_t machine);

    // Those that have ended since the last call.
    std::vector<ended_child> reap();

private:
    struct child
    {
        pid_t id = 0;
        bool killed = false;
        std::optional<time_point> stop_requested = {};
    };

    void signal(std::size_t machine, int number) const;

    std::map<std::size_t, child> children = {};
};

}  // namespace lagoon::soak
