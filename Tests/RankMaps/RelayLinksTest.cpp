#include "RankMaps/RelayLinks.h"

#include "Core/ManualClock.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Damaskgrade {

namespace {

// Links that open when the test says so.
class FakeLinks : public ProcessLinks {
public:
    explicit FakeLinks(ProcessLinkHooks hooks)
        : hooks(std::move(hooks))
    {
    }

    void setTargets(const std::map<std::string, Endpoint>& targets) override { this->targets = targets; }

    bool send(const std::string&, const Frame& frame) override
    {
        if (isAnyOpen)
            sent.push_back(frame.type);
        return isAnyOpen;
    }

    bool isOpen(const std::string&) const override { return isAnyOpen; }
    std::size_t openCount() const override { return isAnyOpen ? targets.size() : 0; }

    void open()
    {
        isAnyOpen = true;
        for (const auto& [name, endpoint] : targets)
            hooks.onOpen(name);
    }

    ProcessLinkHooks hooks;
    std::map<std::string, Endpoint> targets;
    std::vector<std::string> sent;
    bool isAnyOpen { false };
};

struct RelayLinksFixture {
    ManualClock clock;
    FakeLinks* links { nullptr };
    RelayLinks relay { clock, [this](ProcessLinkHooks hooks) {
                          auto created = std::make_unique<FakeLinks>(std::move(hooks));
                          links = created.get();
                          return created; },
        [](const Frame&) {} };
    Endpoint receiver { "10.0.0.1", 7340 };
};

}

// Guards against a first map that is lost because the link to the next agent has yet to be opened.
TEST_CASE_FIXTURE(RelayLinksFixture, "a frame waits for its link, and of one type only the last is sent")
{
    relay.send(receiver, { "order", 0, { 1 } });
    relay.send(receiver, { "order", 0, { 2 } });
    relay.send(receiver, { "counts", 0, {} });
    CHECK(links->sent.empty());
    links->open();
    CHECK(links->sent == std::vector<std::string> { "counts", "order" });
}

// Guards against a frame of a controller that is long gone, which a delayed link delivers.
TEST_CASE_FIXTURE(RelayLinksFixture, "a frame that has waited for more than a second is not sent")
{
    relay.send(receiver, { "order", 0, {} });
    clock.advance(std::chrono::seconds(3));
    links->open();
    CHECK(links->sent.empty());
    relay.send(receiver, { "order", 0, {} });
    CHECK(links->sent.size() == 1);
}

// Guards against links to all agents that ever were in the group.
TEST_CASE_FIXTURE(RelayLinksFixture, "a link that is not used is closed")
{
    relay.send(receiver, { "order", 0, {} });
    CHECK(links->targets.size() == 1);
    clock.advance(std::chrono::seconds(20));
    relay.closeUnused();
    CHECK(relay.size() == 1);
    clock.advance(std::chrono::seconds(11));
    relay.closeUnused();
    CHECK(relay.size() == 0);
    CHECK(links->targets.empty());
}

}
