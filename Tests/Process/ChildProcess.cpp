#include "Process/ChildProcess.h"

#include "Process/SyncHttp.h"

#include <csignal>
#include <stdexcept>
#include <thread>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Damaskgrade {

namespace {

constexpr std::chrono::milliseconds pollPeriod { 20 };
// Only reached if the process never becomes healthy or never exits.
constexpr std::chrono::seconds waitTimeout { 60 };
// The exit status of a child in which execv failed, as in a shell.
constexpr int startFailedStatus = 127;

}

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments)
    : program_(program)
{
    // All memory is allocated before the fork, because the child may only call async-signal-safe functions.
    std::vector<std::string> argumentStrings { program };
    argumentStrings.insert(argumentStrings.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(argumentStrings.size() + 1);
    for (std::string& argument : argumentStrings)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    pid_t parent = getpid();
    id_ = fork();
    if (id_ < 0)
        throw std::runtime_error("can't start " + program);
    if (id_ > 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // If the parent exited before the call of prctl, the signal is never sent.
    if (getppid() == parent)
        execv(program.c_str(), pointers.data());
    _exit(startFailedStatus);
}

ChildProcess::~ChildProcess()
{
    if (!isRunning())
        return;
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
}

void ChildProcess::waitUntilHealthy(const Endpoint& health)
{
    HttpRequest request;
    request.target = "/healthz";
    std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (!isRunning())
            throw std::runtime_error(program_ + " exited with status " + std::to_string(exitStatus_));
        if (exchangeHttp(health, request).status == 200)
            return;
        std::this_thread::sleep_for(pollPeriod);
    }
    throw std::runtime_error(program_ + " did not become healthy");
}

void ChildProcess::signal(int number)
{
    if (isRunning())
        kill(id_, number);
}

int ChildProcess::waitForExit()
{
    std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() >= deadline)
            throw std::runtime_error(program_ + " did not exit");
        std::this_thread::sleep_for(pollPeriod);
    }
    return exitStatus_;
}

int ChildProcess::terminate()
{
    signal(SIGTERM);
    return waitForExit();
}

bool ChildProcess::isRunning()
{
    if (hasEnded_)
        return false;
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_)
        return true;
    hasEnded_ = true;
    exitStatus_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

}
