#pragma once

#include "Core/Endpoint.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace Damaskgrade {

// A program that a test has started. It is always ended with the test: by SIGKILL in the destructor
// if it has not ended before, and by the kernel if the test program itself is killed.
class ChildProcess {
public:
    // Starts the program. Throws std::runtime_error if it can't be started.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Waits until GET /healthz at the address answers 200.
    // Throws std::runtime_error if the process ends before, or after a generous limit.
    void waitUntilHealthy(const Endpoint& health);

    // Sends a signal to this process alone. Does nothing after its end.
    void signal(int number);

    // Waits for the end. Returns the exit status, or minus the number of the signal that ended it.
    // Throws std::runtime_error after a generous limit.
    int waitForExit();

    // Sends SIGTERM and waits for the end.
    int terminate();

    bool isRunning();
    pid_t id() const { return id_; }

private:
    std::string program_;
    pid_t id_ { -1 };
    bool hasEnded_ { false };
    int exitStatus_ { 0 };
};

}
