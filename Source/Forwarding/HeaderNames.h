#pragma once

#include <string>

namespace Damaskgrade {

// Names of the headers that callers and backend servers use. An adapter provides them.
struct HeaderNames {
    std::string requestId;
    // Time left until the caller's deadline, in milliseconds.
    std::string deadline;
    // Proves that a response was made by the backend server.
    std::string signature;
    std::string customer;
    // Id of the only server that may execute the request.
    std::string expectedServer;
    // Running requests, queued requests and slots of a server.
    std::string serverLoad;
    // Requests per second that a server takes from all entries together, stated only while it needs a limit.
    std::string rateLimit;
    // Milliseconds for which a server is still cold, 0 if it is warm.
    std::string remainingWarmUp;
    // "1" if the server leaves and must not be sent further requests.
    std::string leaving;
    // The server states that it did not execute the request.
    std::string notExecuted;
    std::string engineUrgency;
    std::string lastEventId;
    // The parts of the prompt, in a format of the adapter.
    std::string promptParts;
    std::string retryAfter;
    std::string credentials;
    // The scheme before the key in the credentials, including the space.
    std::string keyScheme;
};

}
