#pragma once

#include "Platform/InstanceList.h"
#include "Transport/HttpClient.h"

namespace Damaskgrade {

// Fetches the instance list over HTTP with GET /v1/instances.
class HttpInstanceList : public InstanceList {
public:
    HttpInstanceList(EventLoop& loop, const Endpoint& server, std::chrono::milliseconds timeout);

    void fetch(std::function<void(ResultCode, const std::vector<InstanceRecord>&)> done) override;

private:
    HttpClient client_;
    Endpoint server_;
};

}
