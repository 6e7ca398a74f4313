#pragma once

#include "Core/Endpoint.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace Damaskgrade {

// A process started by a test. It never outlives the test: the destructor sends SIGKILL if the process is still
// running, and the kernel kills it if the test program itself is killed.
class ChildProcess {
public:
    // Starts the program. Throws std::runtime_error if it can't be started.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Waits until GET /healthz at the address returns 200.
    // Throws std::runtime_error if the process exits first, or after 60 s.
    void waitUntilHealthy(const Endpoint& health);

    // Sends a signal to this process only. Does nothing if the process has exited.
    void signal(int number);

    // Waits until the process exits. Returns the exit status, or the negative number of the signal that killed it.
    // Throws std::runtime_error after 60 s.
    int waitForExit();

    // Sends SIGTERM and waits until the process exits. Returns and throws as waitForExit does.
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
