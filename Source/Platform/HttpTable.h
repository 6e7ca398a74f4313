#pragma once

#include "Core/Endpoint.h"
#include "Platform/Table.h"
#include "Transport/HttpClient.h"

namespace Damaskgrade {

// Accesses the table service over HTTP. See TableJson.h for the request and response bodies.
class HttpTable : public Table {
public:
    HttpTable(EventLoop& loop, const Endpoint& server, std::chrono::milliseconds timeout);

    void read(const std::vector<std::string>& keys, std::function<void(const TableReadResult&)> done) override;
    void scan(const std::string& prefix, std::function<void(const TableReadResult&)> done) override;
    void write(const std::vector<TableWrite>& writes, std::function<void(const TableWriteResult&)> done) override;

private:
    void fetchRows(const std::string& path, const std::string& body, std::function<void(const TableReadResult&)> done);

    HttpClient client_;
    Endpoint server_;
};

}
