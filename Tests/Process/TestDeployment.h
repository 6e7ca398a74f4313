#pragma once

#include "Core/Endpoint.h"
#include "Process/ChildProcess.h"
#include "Transport/HttpMessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Damaskgrade {

// Waits until the condition holds. Returns whether it did within a generous limit.
bool waitUntil(const std::function<bool()>& condition);

struct DeploymentOptions {
    int entries { 3 };
    int modelEngines { 0 };
    int applicationEngines { 1 };
    // Duration of a call at an application engine, and of a step at a model engine.
    int serviceMilliseconds { 5 };
    int stepMilliseconds { 10 };
};

// A small deployment of real processes: a platform, entries, and engines with their agents, on an
// address and ports that no other test uses. Its processes are named "platform", "entry-1",
// "engine-model-1", "agent-model-1", "engine-application-1", "agent-application-1" and so on, and
// end with it. To be used on one thread: the kernel ends a process with the thread that started it.
class TestDeployment {
public:
    // Starts all processes and waits until each entry admits calls and has tickets of each agent.
    // Throws std::runtime_error if that fails.
    explicit TestDeployment(const DeploymentOptions& options);
    ~TestDeployment();
    TestDeployment(const TestDeployment&) = delete;
    TestDeployment& operator=(const TestDeployment&) = delete;

    Endpoint platform() const { return endpoint("platform"); }
    // Where callers and operators connect.
    Endpoint entry(int number) const { return endpoint("entry-" + std::to_string(number)); }
    // Where engines listen and agents serve metrics, by the name of the process.
    Endpoint endpoint(const std::string& process) const { return endpoints_.at(process); }
    Endpoint link(const std::string& process) const { return links_.at(process); }
    ChildProcess& process(const std::string& name) { return *processes_.at(name); }

    // Starts an entry or the agent of an engine, again if it was started before.
    void startEntry(int number);
    void startAgent(const std::string& engine);

    // Returns whether an entry admits calls and has tickets of each agent.
    bool isReady(int entry) const;

    // Sets faults of the platform (see docs/stand-ins.md).
    void controlPlatform(const std::string& settings) const;

    // Returns how often the application engines have executed a booking with this key.
    std::uint64_t executions(const std::string& key) const;
    std::uint64_t executionsAt(const std::string& engine, const std::string& key) const;

    // Returns the document in force at an entry, its version in the header ETag.
    HttpResponse document(int entry) const;
    std::uint64_t version(int entry) const;

    // Replaces a section at an entry, based on a version. Returns the entry's answer.
    HttpResponse changeSection(int entry, const std::string& section, const std::string& text, std::uint64_t baseVersion) const;

    // Returns the decision on a change whose answer was "undecided", or the answer itself: whether it was accepted.
    bool isAccepted(int entry, const HttpResponse& response) const;

    // Returns a metric of a process by its name with labels, 0 if it does not exist.
    double metric(const std::string& process, const std::string& name) const;

private:
    Endpoint newEndpoint();
    void startPlatform();
    void startModelEngine(int number);
    void startApplicationEngine(int number);
    void registerInstance(const std::string& name, const std::string& role, const std::string& serves, const Endpoint& link, const std::string& callers) const;
    std::string slots() const;

    DeploymentOptions options_;
    std::string documentPath_;
    std::uint16_t nextPort_;
    std::map<std::string, Endpoint> endpoints_;
    std::map<std::string, Endpoint> links_;
    std::map<std::string, std::vector<std::string>> agentArguments_;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

}
