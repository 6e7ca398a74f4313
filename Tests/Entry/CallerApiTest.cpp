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

// Keeps the response of one request.
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

// Sends a booking of an unknown customer to an entry with this admission.
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

// Guards against a refusal of a repeated booking that denies the execution of its first send.
TEST_CASE("a refusal of a repeated request does not deny its execution")
{
    for (ResultCode admission : { ResultCode::NotReady, ResultCode::InstanceDraining, ResultCode::Ok }) {
        CHECK(book(admission, "0")->bodyContains("\"executed\":\"no\""));
        CHECK(book(admission, "1")->bodyContains("\"executed\":\"unknown\""));
    }
}

}
