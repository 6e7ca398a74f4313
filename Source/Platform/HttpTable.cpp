#include "Platform/HttpTable.h"

#include "Core/Error.h"
#include "Platform/TableJson.h"

#include <utility>

namespace Damaskgrade {

namespace {

TableReadResult readResult(const HttpResponse& response)
{
    if (response.status != 200)
        return {};
    try {
        return { ResultCode::Ok, decodeRows(response.body) };
    } catch (const Error&) {
        return {};
    }
}

TableWriteResult writeResult(const HttpResponse& response)
{
    if (response.status == 200)
        return { ResultCode::Ok };
    if (response.status == 409)
        return { ResultCode::TableConflict };
    return { ResultCode::TableUnavailable };
}

}

HttpTable::HttpTable(EventLoop& loop, const Endpoint& server, std::chrono::milliseconds timeout)
    : client_(loop, timeout)
    , server_(server)
{
}

void HttpTable::read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done)
{
    fetchRows("/v1/table/read", encodeReadRequest(keys), std::move(done));
}

void HttpTable::scan(const std::string& prefix, std::function<void(const TableReadResult&)> done)
{
    fetchRows("/v1/table/scan", encodeScanRequest(prefix), std::move(done));
}

void HttpTable::write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done)
{
    client_.send(
        server_, makeJsonPost("/v1/table/write", encodeWriteRequest(writes)),
        [done](const HttpResponse& response) { done(writeResult(response)); },
        [done](const HttpFailure&) { done({ ResultCode::TableUnavailable }); });
}

void HttpTable::fetchRows(const std::string& path, const std::string& body, std::function<void(const TableReadResult&)> done)
{
    client_.send(
        server_, makeJsonPost(path, body),
        [done](const HttpResponse& response) { done(readResult(response)); },
        [done](const HttpFailure&) { done({}); });
}

}
