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

// Waits until the condition holds. Returns false if it doesn't hold within 30 s.
bool waitUntil(const std::function<bool()>& condition);

struct DeploymentOptions {
    int entries { 3 };
    int modelEngines { 0 };
    int applicationEngines { 1 };
    // Duration of a call at an application engine, and of a step at a model engine.
    int serviceMilliseconds { 5 };
    int stepMilliseconds { 10 };
};

// A small deployment of real processes: a platform, entries, and engines with their agents, on a loopback address that
// no other test uses. The processes are named "platform", "entry-1", "engine-model-1", "agent-model-1",
// "engine-application-1", "agent-application-1" and so on, and are killed by the destructor. Use it on one thread only,
// because the kernel kills a process when the thread that started it exits.
class TestDeployment {
public:
    // Starts all processes and waits until each entry admits calls and has tickets from each agent.
    // Throws std::runtime_error if that fails.
    explicit TestDeployment(const DeploymentOptions& options);
    ~TestDeployment();
    TestDeployment(const TestDeployment&) = delete;
    TestDeployment& operator=(const TestDeployment&) = delete;

    Endpoint platform() const { return endpoint("platform"); }
    // Returns the address of an entry for callers and operators.
    Endpoint entry(int number) const { return endpoint("entry-" + std::to_string(number)); }
    // Returns the HTTP address of a process by its name. Agents serve their metrics there.
    Endpoint endpoint(const std::string& process) const { return endpoints_.at(process); }
    // Returns the link address of an entry or agent by the name of the process.
    Endpoint link(const std::string& process) const { return links_.at(process); }
    ChildProcess& process(const std::string& name) { return *processes_.at(name); }

    // Start an entry or the agent of an engine, or restart it with the same addresses.
    void startEntry(int number);
    void startAgent(const std::string& engine);

    // Returns whether an entry admits calls and has tickets from each agent.
    bool isReady(int entry) const;

    // Sets the injected faults of the platform (see docs/stand-ins.md). Throws std::runtime_error if that fails.
    void controlPlatform(const std::string& settings) const;

    // Return how often all application engines, or one of them, have executed a booking with this key.
    std::uint64_t executions(const std::string& key) const;
    std::uint64_t executionsAt(const std::string& engine, const std::string& key) const;

    // Returns the document in force at an entry, with its version in the header ETag.
    HttpResponse document(int entry) const;
    std::uint64_t version(int entry) const;

    // Replaces a section at an entry, as an edit of the document version baseVersion (If-Match). Returns the response.
    HttpResponse changeSection(int entry, const std::string& section, const std::string& text, std::uint64_t baseVersion) const;

    // Returns whether a change was accepted. If the response says that it is undecided, waits for the decision.
    bool isAccepted(int entry, const HttpResponse& response) const;

    // Returns the value of a metric of a process by its name with labels, or 0 if it doesn't exist.
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
