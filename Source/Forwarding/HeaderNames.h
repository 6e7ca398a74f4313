#pragma once

#include <string>

namespace Damaskgrade {

// Names of the headers that callers and backend servers use. An adapter provides them.
struct HeaderNames {
    std::string requestId;
    // Milliseconds that the caller still waits.
    std::string deadline;
    // Proof that a response is the backend server's own.
    std::string signature;
    std::string customer;
    // Id of the server that alone may execute the request.
    std::string expectedServer;
    // Running requests, waiting requests and slots of a server.
    std::string serverLoad;
    // The server states that it did not execute the request.
    std::string notExecuted;
    std::string engineUrgency;
    std::string lastEventId;
    std::string retryAfter;
    std::string credentials;
    // The scheme before the key in the credentials, with its space.
    std::string keyScheme;
};

}
