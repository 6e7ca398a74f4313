#pragma once

#include "Core/Endpoint.h"
#include "Platform/ObjectStore.h"
#include "Transport/HttpClient.h"

namespace Damaskgrade {

// Accesses the object store over HTTP: PUT and GET /v1/objects/{key}, and GET /v1/objects?prefix=,
// which returns one key per line. Keys are percent-encoded.
class HttpObjectStore : public ObjectStore {
public:
    HttpObjectStore(EventLoop& loop, const Endpoint& server, std::chrono::milliseconds timeout);

    void put(const std::string& key, const std::string& value, std::function<void(ResultCode)> done) override;
    void get(const std::string& key, std::function<void(ResultCode, const std::string&)> done) override;
    void list(const std::string& prefix, std::function<void(ResultCode, const std::vector<std::string>&)> done) override;

private:
    HttpClient client_;
    Endpoint server_;
};

}
