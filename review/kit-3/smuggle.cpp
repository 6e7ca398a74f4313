// A client sends a request whose body is announced with a transfer coding other than chunked. The body looks like a request.
#include "Kit.h"

using namespace Kit;

int main(int, char** arguments)
{
    record.open(std::string(arguments[1]) + "/record.txt");
    Store store("127.61.0.1");
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 1; i <= 3; ++i)
        engines.push_back(std::make_unique<Engine>(store, "127.61.1." + std::to_string(i), "i-" + std::to_string(i), "app", 6, 0.03));
    putConfiguration(store, { makeRoute("book", "/book/", "app", "non_idempotent", 1, 1500) }, "app");
    Gateway gateway(store, "127.61.2.1", "edge-a-1");

    const std::vector<std::string> codings { "identity", "gzip" };
    for (const std::string& coding : codings) {
        std::string innerId = "inner-" + coding;
        std::string body = requestHead("POST", "/book/inner", innerId, 1500) + "Content-Length: 4\r\n\r\nwork";
        std::string framing = hasTrouble() ? "Transfer-Encoding: " + coding : "Content-Length: " + std::to_string(body.size());
        int socket = connectTo(gateway.callers(), 3);
        record.write("the client sends outer-" + coding + " with \"" + framing + "\"; its body of " + std::to_string(body.size()) + " bytes looks like request " + innerId);
        sendAll(socket, requestHead("POST", "/book/outer", "outer-" + coding, 1500) + framing + "\r\n\r\n" + body);
        Reader reader(socket);
        Message answer;
        while (reader.read(answer, true))
            record.write("the client gets " + answer.start + " for request " + answer.header("X-Damaskgrade-Request-Id"));
        record.write("then: " + reader.error());
        ::close(socket);
    }

    int smuggled = 0;
    for (const std::unique_ptr<Engine>& engine : engines) {
        for (const auto& [id, count] : engine->runs())
            smuggled += id.rfind("inner-", 0) == 0 ? count : 0;
    }
    int code = verdict(smuggled > 0, std::to_string(smuggled) + " requests that were sent inside the body of another one were run");
    gateway.end();
    std::_Exit(code);
}
