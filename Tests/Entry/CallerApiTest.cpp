#include "Entry/CallerApi.h"
#include "Core/ManualClock.h"
#include "Platform/Table.h"

#include <doctest/doctest.h>

namespace Damaskgrade {

namespace {

class UnusedTable : public Table {
public:
    void read(const std::vector<std::string>&, std::function<void(const TableReadResult&)>) override { }
    void scan(const std::string&, std::function<void(const TableReadResult&)>) override { }
    void write(const std::vector<TableWrite>&, std::function<void(const TableWriteResult&)>) override { }
};

// Records the response body of one request.
class RecordedExchange : public HttpExchange {
public:
    explicit RecordedExchange(HttpRequest request)
        : request_(std::move(request))
    {
    }

    const HttpRequest& request() const override { return request_; }
    void respond(HttpResponse response) override { body_ = response.body; }
    void beginStream(HttpResponse) override { }
    void write(std::string_view) override { }
    void endStream() override { }
    void abort() override { }
    std::size_t pendingBytes() const override { return 0; }
    void setCloseHandler(std::function<void()>) override { }

    bool bodyContains(const std::string& text) const { return body_.find(text) != std::string::npos; }

private:
    HttpRequest request_;
    std::string body_;
};

// Sends a non-idempotent request from an unknown customer to an entry with the given admission result.
std::shared_ptr<RecordedExchange> book(ResultCode admission, const std::string& retryAttempt)
{
    ManualClock clock;
    Random random(1);
    HybridClock hybridClock(clock);
    UnusedTable table;
    CallService calls(clock, random, hybridClock, table, "zone", CallServiceHooks());
    Document document;
    CallerApi api(clock, random, calls, { [admission] { return admission; }, [&]() -> const Document& { return document; } });
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/services/stock/reserve";
    request.headers = { { "Idempotency-Key", "key" }, { "Retry-Attempt", retryAttempt } };
    std::shared_ptr<RecordedExchange> exchange = std::make_shared<RecordedExchange>(request);
    api.handle(exchange);
    return exchange;
}

}

// Guards against refusing a retried non-idempotent request with executed "no", although its first attempt
// may have been executed.
TEST_CASE("the refusal of a retried request reports its execution as unknown")
{
    for (ResultCode admission : { ResultCode::NotReady, ResultCode::InstanceDraining, ResultCode::Ok }) {
        CHECK(book(admission, "0")->bodyContains("\"executed\":\"no\""));
        CHECK(book(admission, "1")->bodyContains("\"executed\":\"unknown\""));
    }
}

}
