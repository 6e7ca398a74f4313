#pragma once

#include "Configuration/ChangeProtocol.h"
#include "Core/Random.h"
#include "Transport/EventLoop.h"
#include "Transport/HttpServer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Damaskgrade {

struct AdministrationHooks {
    // Throws Error(DocumentInvalid) if the text is not a valid document.
    std::function<void(const ConfigurationText&)> validate;
    // Returns the status of this entry as JSON.
    std::function<std::string()> status;
    // Returns the recent events of this entry as JSON.
    std::function<std::string()> timeline;
};

// Serves the administration API of an entry: configuration sections, changes, status and timeline.
class AdministrationApi {
public:
    AdministrationApi(EventLoop& loop, const Clock& clock, Random& random, ChangeProtocol& protocol, AdministrationHooks hooks);

    // Handles the request if its path belongs to the administration API. Returns whether it does.
    bool handle(const std::shared_ptr<HttpExchange>& exchange);

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    void route(const Exchange& exchange, std::string_view path);
    const CommittedDocument& documentInForce() const;
    void getDocument(const Exchange& exchange) const;
    void getSection(const Exchange& exchange, const std::string& section) const;
    void putSection(const Exchange& exchange, const std::string& section);
    void checkDocument(const Exchange& exchange) const;
    void getChange(const Exchange& exchange, const std::string& id) const;
    void getHistory(const Exchange& exchange) const;
    void respondWhenDecided(const Exchange& exchange, const std::string& id);
    void respondToDecidedChanges();

    struct PendingChange {
        Exchange exchange;
        TimePoint submittedAt;
    };

    const Clock& clock_;
    Random& random_;
    ChangeProtocol& protocol_;
    AdministrationHooks hooks_;
    std::multimap<std::string, PendingChange> pendingChanges_;
    std::unique_ptr<Timer> timer_;
};

}
