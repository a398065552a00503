#include "children.hpp"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace lagoon::soak {

namespace {

constexpr int exit_not_started = 127;

// In the child, between fork and exec: only calls that are safe there.
[[noreturn]] void become(child_command const& what, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(exit_not_started);
    int const log = ::open(what.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                           S_IRUSR | S_IWUSR);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execl(what.program.c_str(), what.program.c_str(), "--settings",
            what.settings_file.c_str(), nullptr);
    ::_exit(exit_not_started);
}

std::string text_of(int status)
{
    if (WIFSIGNALED(status))
        return "signal " + std::to_string(WTERMSIG(status));
    return "exit code " + std::to_string(WEXITSTATUS(status));
}

}  // namespace

child_group::~child_group()
{
    for (auto const& [machine, one] : this->children) {
        ::kill(one.id, SIGKILL);
        ::waitpid(one.id, nullptr, 0);
    }
}

bool child_group::start(std::size_t machine, child_command const& what,
                        failure& last)
{
    pid_t const parent = ::getpid();
    pid_t const id = ::fork();
    if (id == 0)
        become(what, parent);
    if (id < 0) {
        last = {step::run_request,
                reason::unreachable,
                {},
                what.program + ": " + std::strerror(errno)};
        return false;
    }
    this->children[machine] = {id, false, std::nullopt};
    return true;
}

bool child_group::is_running(std::size_t machine) const
{
    return this->children.contains(machine);
}

void child_group::signal(std::size_t machine, int number) const
{
    auto const found = this->children.find(machine);
    if (found != this->children.end())
        ::kill(found->second.id, number);
}

void child_group::kill(std::size_t machine)
{
    this->signal(machine, SIGKILL);
    auto const found = this->children.find(machine);
    if (found != this->children.end())
        found->second.killed = true;
}

void child_group::crash(std::size_t machine)
{
    this->signal(machine, SIGKILL);
}

void child_group::ask_to_stop(std::size_t machine, time_point now)
{
    auto const found = this->children.find(machine);
    if (found == this->children.end() || found->second.stop_requested)
        return;
    found->second.stop_requested = now;
    this->signal(machine, SIGTERM);
}

void child_group::freeze(std::size_t machine)
{
    this->signal(machine, SIGSTOP);
}

void child_group::thaw(std::size_t machine)
{
    this->signal(machine, SIGCONT);
}

void child_group::reread(std::size_t machine)
{
    this->signal(machine, SIGHUP);
}

std::vector<ended_child> child_group::reap()
{
    std::vector<ended_child> ended;
    for (auto const& [machine, one] : this->children) {
        int status = 0;
        if (::waitpid(one.id, &status, WNOHANG) == one.id)
            ended.push_back(
                {machine, one.killed, one.stop_requested, text_of(status)});
    }
    for (ended_child const& one : ended)
        this->children.erase(one.machine);
    return ended;
}

}  // namespace lagoon::soak
