#include "platform/Codecs.h"
#include "platform/SettingsFile.h"

#include "Core/Error.h"

#include <doctest/doctest.h>

#include <sstream>

namespace Damaskgrade::Platform {

// Guards against accidental changes of the names in the platform's catalog.
TEST_CASE("a catalog is decoded into routes, services and customers")
{
    Catalog catalog = decodeCatalog(R"({"Version":7,"Routes":[
        {"Name":"r1","Host":"h","Prefix":"/a/","Kind":"streaming","TimeoutMs":8000,"TargetLatencyMs":400,"Priority":1,
         "TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],"MaxAttempts":2,"StreamResume":true,"TargetGapMs":120},
        {"Name":"r2","Host":"h","Prefix":"/b/","Kind":"something new","Service":"s2"}],
        "Services":[{"Name":"s1","HealthPath":"/health","MaxConnections":4,"Engine":{"Slots":12,"Sets":4,"Experts":64,"Placements":5,"Spare":2}}],
        "Limits":{"IdleTimeoutMs":15000},"Tenants":[{"Name":"t","ApiKeys":["k1","k2"],"Priority":1}]})");
    CHECK(catalog.version() == 7);
    const Route* first = catalog.findRoute("h", "/a/x");
    REQUIRE(first);
    CHECK(first->kind == RequestKind::Streaming);
    CHECK(first->isRetryable());
    CHECK(first->services.size() == 2);
    CHECK(first->targetGap == std::chrono::milliseconds(120));
    // Requests of an unknown kind must not be retried.
    CHECK(catalog.findRoute("h", "/b/x")->kind == RequestKind::NonIdempotent);
    CHECK(catalog.findCustomer("k2")->name == "t");
    CHECK(!catalog.findCustomer("k3"));
    REQUIRE(catalog.findService("s1")->engine);
    CHECK(catalog.findService("s1")->engine->expertSlotsPerRank == 5);
    CHECK_THROWS_AS(decodeCatalog("{\"Version\":\"x\"}"), Error);
    CHECK_THROWS_AS(decodeCatalog("not json"), Error);
}

// Guards against a service that opens to every caller when the last key is withdrawn, and against a document that withdraws keys
// and does not take effect because of another entry.
TEST_CASE("a catalog requires a key once it has a field for customers, of whatever form")
{
    const std::string start = R"({"Version":7,"Routes":[{"Host":"h","Prefix":"/a/","Service":"s1"}])";
    CHECK(!decodeCatalog(start + "}").requiresKey());
    for (const std::string& form : std::vector<std::string> { "[]", "{}", "null", "false", "7", R"("")", R"("k")", "[null]", "[7]", R"(["k"])", "[[]]", "[{}]",
             R"({"Name":"t","ApiKeys":["k"]})", R"({"t":{"Name":"t","ApiKeys":["k"]}})", R"([{"ApiKeys":["k"]}])", R"([{"Name":"","ApiKeys":["k"]}])",
             R"([{"Name":7,"ApiKeys":["k"]}])", R"([{"Name":"t"}])", R"([{"Name":"t","ApiKeys":null}])", R"([{"Name":"t","ApiKeys":[]}])",
             R"([{"Name":"t","ApiKeys":"k"}])", R"([{"Name":"t","ApiKeys":{"k":"k"}}])", R"([{"Name":"t","ApiKeys":[""]}])",
             R"([{"Name":"t","ApiKeys":[null,7,["k"],{"k":"k"}]}])" }) {
        CAPTURE(form);
        std::optional<Catalog> catalog;
        std::string text = start;
        text.append(R"(,"Tenants":)").append(form).append("}");
        CHECK_NOTHROW(catalog = decodeCatalog(text));
        if (!catalog)
            continue;
        CHECK(catalog->requiresKey());
        CHECK(catalog->keyCount() == 0);
        CHECK(!catalog->findCustomer("k"));
        CHECK(!catalog->findCustomer(""));
        CHECK(catalog->findRoute("h", "/a/x"));
    }
    Catalog partlyUnreadable = decodeCatalog(start + R"(,"Tenants":[{"Name":"t","ApiKeys":["k1",7,"k2"],"Priority":"first"},null,{"Name":"u","ApiKeys":["k3"],"Priority":2}]})");
    CHECK(partlyUnreadable.customerCount() == 2);
    CHECK(partlyUnreadable.keyCount() == 3);
    REQUIRE(partlyUnreadable.findCustomer("k2"));
    CHECK(partlyUnreadable.findCustomer("k2")->name == "t");
    CHECK(!partlyUnreadable.findCustomer("k2")->priority);
    REQUIRE(partlyUnreadable.findCustomer("k3"));
    CHECK(partlyUnreadable.findCustomer("k3")->priority == 2);
}

// Guards against accidental changes of the names of an engine's times, and against a wrong value that makes a catalog invalid.
TEST_CASE("the times of an engine are decoded, and values of a wrong type or below zero count as not stated")
{
    Catalog catalog = decodeCatalog(R"({"Version":7,"Routes":[{"Host":"h","Prefix":"/a/","Kind":"streaming","Service":"s1","StickySessions":true}],
        "Services":[{"Name":"s1","ColdStartS":3.0,"ColdPerS":17.0,"Engine":{"Slots":10,"KvCapacity":411666,"Stride":7,"step_ms":4.84,"per_seq_ms":0.435,
            "context_per_k":0.0132,"read_per_s":74800.0,"pairs_per_m":0.232,"usual":{"prompt":868,"answer":158},"ExpertShare":0.85,
            "delays":[{"From":"a","Target":"b","delay_ms":0.5},{"From":"a","Target":"c","delay_ms":40},{"delay_ms":"far"},7]}},
        {"Name":"s2","ColdStartS":"soon","ColdPerS":-1,"Engine":{"Stride":-3,"step_ms":"slow","usual":[]}},
        {"Name":"s3","ColdStartS":1e300,"Engine":{"Stride":1e300}}]})");
    CHECK(catalog.findRoute("h", "/a/x")->hasStickySessions);
    const ServiceSpecification* service = catalog.findService("s1");
    CHECK(service->coldStartTime == std::chrono::milliseconds(3000));
    CHECK(service->coldRequestsPerSecond == 17);
    CHECK(service->engine->stepsPerPass == 7);
    CHECK(service->engine->stepMilliseconds == 4.84);
    CHECK(service->engine->requestMillisecondsPerStep == 0.435);
    CHECK(service->engine->contextMillisecondsPerStep == 0.0132);
    CHECK(service->engine->promptTokensPerSecond == 74800);
    CHECK(service->engine->millisecondsPerMillionPairs == 0.232);
    CHECK(service->engine->expertShare == 0.85);
    CHECK(service->engine->tokenCapacity == 411666);
    CHECK(service->engine->usualPromptTokens == 868);
    CHECK(service->engine->usualAnswerTokens == 158);
    CHECK(service->engine->zoneDelayMilliseconds == 40);
    const ServiceSpecification* invalid = catalog.findService("s2");
    CHECK(invalid->coldStartTime == std::chrono::milliseconds(0));
    CHECK(invalid->coldRequestsPerSecond == 0);
    CHECK(invalid->engine->stepsPerPass == 1);
    CHECK(invalid->engine->stepMilliseconds == 0);
    CHECK(invalid->engine->usualPromptTokens == 0);
    CHECK(catalog.findService("s3")->engine->stepsPerPass == 1000000000);
    CHECK(catalog.findService("s3")->coldStartTime == std::chrono::seconds(1000000000));
}

// Guards against requests to servers from malformed rows that other writers left in the store.
TEST_CASE("a row with a missing field, a wrong type or an unknown state is ignored")
{
    std::string validRecord = R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":12,"State":"draining","ColdRemainingMs":0,"Sequence":4,"born":5})";
    std::optional<ServerRecord> server = decodeServer("i-1", validRecord);
    REQUIRE(server);
    CHECK(server->isDraining);
    CHECK(server->startedAt == 5);
    CHECK(server->remainingWarmUp == std::chrono::milliseconds(0));
    CHECK(!decodeServer("i-2", R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":"many","State":"ready"})"));
    CHECK(!decodeServer("i-3", R"({"Service":"s","Address":"nowhere","Zone":"z","Slots":1,"State":"ready"})"));
    CHECK(!decodeServer("i-4", R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":1,"State":"asleep"})"));
    CHECK(!decodeServer("i-5", "\xff\xfe"));
}

// Guards against a server that counts as warm because the time that its row states is missing or invalid.
TEST_CASE("an unreadable remaining cold time is unknown, and the rest of the row is used")
{
    auto remaining = [](const std::string& field) {
        std::optional<ServerRecord> server = decodeServer("i-1", R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":12,"State":"ready")" + field + "}");
        REQUIRE(server);
        return server->remainingWarmUp;
    };
    CHECK(remaining(R"(,"ColdRemainingMs":1500)") == std::chrono::milliseconds(1500));
    CHECK(remaining(R"(,"ColdRemainingMs":0.2)") == std::chrono::milliseconds(1));
    CHECK(remaining(R"(,"ColdRemainingMs":1e300)") == std::chrono::hours(1));
    for (std::string field : { "", R"(,"ColdRemainingMs":-1)", R"(,"ColdRemainingMs":"0")", R"(,"ColdRemainingMs":null)", R"(,"ColdRemainingMs":[])" })
        CHECK(!remaining(field));
}

// Guards against settings for cold servers that are not read, and against an invalid one that ends the process or lifts the bound.
TEST_CASE("the settings for cold servers are read, and invalid ones have the strictest effect")
{
    auto read = [](const std::string& lines) {
        std::istringstream input("NodeName=n\nZone=z\nIp=10.1.0.40\nListen.Front=10.1.0.40:8227\nListen.Readiness=10.1.0.40:8220\nListen.Directory=10.1.0.40:8224\nInternalPorts=7340,7355\n" + lines);
        GatewaySettings settings = gatewaySettings(SettingsFile::read(input));
        return std::make_pair(settings.coldOverage, settings.coldSlack);
    };
    CHECK(read("") == std::make_pair(1.0, 0.0));
    CHECK(read("Bounds.ColdOverage=1.5\nBounds.ColdSlack=5\n") == std::make_pair(1.5, 5.0));
    for (std::string invalid : { "-1", "many", "nan", "inf", "1e999" }) {
        std::string lines = "Bounds.ColdOverage=";
        lines.append(invalid).append("\nBounds.ColdSlack=").append(invalid).append("\n");
        CHECK(read(lines) == std::make_pair(1.0, 0.0));
    }
}

// Guards against settings that are read from the wrong field, and against invalid settings without an error message.
TEST_CASE("settings are read by their dotted names, and the error for a missing field contains its name")
{
    std::istringstream input("NodeName=n\nZone=z\nIp=10.1.0.40\nListen.Front=10.1.0.40:8227\nListen.Readiness=10.1.0.40:8220\n"
                             "Listen.Directory=10.1.0.40:8224\nInternalPorts=7340,7355\nSeedNodes=10.1.0.40:8229,10.2.0.29:8229\nBounds.GraceS=9\nUnknown=1\n");
    GatewaySettings settings = gatewaySettings(SettingsFile::read(input));
    CHECK(settings.callers == Endpoint { "10.1.0.40", 8227 });
    CHECK(settings.link == Endpoint { "10.1.0.40", 7340 });
    CHECK(settings.seedLinks.size() == 2);
    CHECK(settings.seedLinks[1] == Endpoint { "10.2.0.29", 7340 });
    CHECK(settings.shutdownGrace == std::chrono::milliseconds(9000));
    std::istringstream empty("Zone=z\n");
    SettingsFile file = SettingsFile::read(empty);
    CHECK_THROWS_WITH_AS(file.text("NodeName"), "settings field NodeName is missing", Error);
    std::istringstream broken("no equals sign\n");
    CHECK_THROWS_AS(SettingsFile::read(broken), Error);
}

// Guards against a successful response without addresses, which callers would use as a valid result.
TEST_CASE("a request for addresses fails with 503 if there are none")
{
    HttpRequest request;
    request.target = "/-/resolve?Name=h";
    CHECK(encodeAddresses(request, {}).status == 503);
    CHECK(decodeCallerZone(request).empty());
    request.target = "/-/resolve?Name=h&Region=sul&Zone=sul-a";
    CHECK(decodeCallerZone(request) == "sul-a");
    HttpResponse response = encodeAddresses(request, { { { "10.0.0.1", 80 } }, std::chrono::milliseconds(2000) });
    CHECK(response.status == 200);
    CHECK(response.body == R"({"Addresses":["10.0.0.1:80"],"TtlS":2.0})");
}

// Guards against prompts that are told apart by their last part, which no two requests share.
TEST_CASE("the parts of a prompt are decoded without the last one and without their sizes")
{
    CHECK(decodePromptParts("5c1e07a2:800,91bd3f06:410, e4402b7d:250") == std::vector<PromptPart> { 0x5c1e07a2, 0x91bd3f06 });
    CHECK(decodePromptParts("5c1e07a2:800").empty());
    CHECK(decodePromptParts("").empty());
    // An identifier in another form is still told apart from others.
    std::vector<PromptPart> parts = decodePromptParts("system-prompt:3,another:4,last:5");
    REQUIRE(parts.size() == 2);
    CHECK(parts[0] != parts[1]);
    CHECK(parts == decodePromptParts("system-prompt:9,another:9,x:1"));
}

// Guards against invalid lengths that are taken for long prefixes, and against identifiers that differ from the quarantine's.
TEST_CASE("all parts of a prompt are decoded with their sizes, up to the first invalid one")
{
    DecodedPrompt prompt = decodePromptSegments("5c1e07a2:800, 91bd3f06:410 ,system-prompt:250");
    CHECK(prompt.isValid);
    REQUIRE(prompt.segments.size() == 3);
    CHECK(prompt.segments[0] == PromptSegment { 0x5c1e07a2, 800 });
    CHECK(prompt.segments[1] == PromptSegment { 0x91bd3f06, 410 });
    CHECK(prompt.segments[2] == PromptSegment { decodePromptParts("system-prompt:1,x:1").front(), 250 });
    CHECK(decodePromptSegments("").isValid);
    for (const char* invalid : { "-5", "4294967296", "99999999999999999999", "", "1.5", "x", "5 6" }) {
        CAPTURE(invalid);
        DecodedPrompt broken = decodePromptSegments("a:1,b:" + std::string(invalid) + ",c:3");
        CHECK(!broken.isValid);
        CHECK(broken.segments == std::vector<PromptSegment> { { 0xa, 1 } });
    }
    CHECK(!decodePromptSegments("a").isValid);
    CHECK(!decodePromptSegments(":7").isValid);
    CHECK(!decodePromptSegments("a:1,,b:1").isValid);
}

}
