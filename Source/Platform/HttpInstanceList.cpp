#include "Platform/HttpInstanceList.h"

#include "Core/Error.h"

namespace Damaskgrade {

HttpInstanceList::HttpInstanceList(EventLoop& loop, const Endpoint& server, std::chrono::milliseconds timeout)
    : client_(loop, timeout)
    , server_(server)
{
}

void HttpInstanceList::fetch(std::function<void(ResultCode, const std::vector<InstanceRecord>&)> done)
{
    HttpRequest request;
    request.target = "/v1/instances";
    client_.send(
        server_, request,
        [done](const HttpResponse& response) {
            if (response.status != 200) {
                done(ResultCode::InstanceListUnavailable, {});
                return;
            }
            std::vector<InstanceRecord> instances;
            try {
                instances = decodeInstances(response.body);
            } catch (const Error&) {
                done(ResultCode::InstanceListUnavailable, {});
                return;
            }
            done(ResultCode::Ok, instances);
        },
        [done](const HttpFailure&) { done(ResultCode::InstanceListUnavailable, {}); });
}

}
