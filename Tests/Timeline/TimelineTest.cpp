#include "Core/Error.h"
#include "Core/ManualClock.h"
#include "Timeline/EventRecorder.h"
#include "Timeline/TimelineReader.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace Damaskgrade {

namespace {

constexpr std::chrono::seconds interval { 10 };

// How the object store handles a write.
enum class StoreFault {
    None,
    // The write is not applied.
    Outage,
    // The write is applied and reported as failed.
    LostAcknowledgement,
};

// One process with its event recorder.
struct Process {
    Process(const ManualClock& clock, const std::string& instance, const std::string& incarnation, std::size_t maxEvents = 100)
        : hybridClock(clock)
        , recorder(hybridClock, { instance, incarnation, maxEvents, 50, interval })
    {
    }

    void record(const std::string& subject) { recorder.record(EventKind::MapSwitched, subject, ""); }

    // Returns whether a batch was due.
    bool write(TimePoint now, std::map<std::string, std::string>& objects, StoreFault fault = StoreFault::None)
    {
        std::optional<TimelineBatch> batch = recorder.takeBatch(now);
        if (!batch)
            return false;
        if (fault != StoreFault::Outage)
            objects[timelineKey(*batch)] = encodeTimelineBatch(*batch);
        recorder.finishWrite(fault == StoreFault::None ? ResultCode::Ok : ResultCode::ObjectStoreUnavailable);
        return true;
    }

    HybridClock hybridClock;
    EventRecorder recorder;
};

TimelineReader readAll(const std::map<std::string, std::string>& objects)
{
    TimelineReader reader;
    for (const auto& [key, text] : objects)
        reader.add(text);
    return reader;
}

std::vector<std::string> subjects(const TimelineReader& reader)
{
    std::vector<std::string> list;
    for (const TimelineEvent& event : reader.events(0))
        list.push_back(event.subject);
    return list;
}

using Subjects = std::vector<std::string>;

}

// Guards against a write rate that grows with the event rate.
TEST_CASE("a process writes at most one object per interval")
{
    ManualClock clock;
    std::map<std::string, std::string> objects;
    Process process(clock, "entry-1", "a");
    for (int second = 0; second < 100; ++second) {
        process.record("s");
        process.write(clock.now(), objects);
        clock.advance(std::chrono::seconds(1));
    }
    CHECK(objects.size() == 10);
}

// Guards against events that are lost when the store is unavailable.
TEST_CASE("batches are kept during an outage")
{
    ManualClock clock;
    std::map<std::string, std::string> objects;
    Process process(clock, "entry-1", "a");
    for (const char* subject : { "1", "2", "3" }) {
        process.record(subject);
        CHECK(process.write(clock.now(), objects, StoreFault::Outage));
        clock.advance(interval);
    }
    CHECK(objects.empty());
    while (process.write(clock.now(), objects))
        clock.advance(interval);
    CHECK(subjects(readAll(objects)) == Subjects { "1", "2", "3" });
    CHECK(process.recorder.unstoredCount() == 0);
}

// Guards against a second copy of a batch whose acknowledgement was lost.
TEST_CASE("a lost acknowledgement leaves no duplicates")
{
    ManualClock clock;
    std::map<std::string, std::string> objects;
    Process process(clock, "entry-1", "a");
    process.record("1");
    CHECK(process.write(clock.now(), objects, StoreFault::LostAcknowledgement));
    process.record("2");
    clock.advance(interval);
    CHECK(process.write(clock.now(), objects));
    CHECK(objects.size() == 1);
    clock.advance(interval);
    CHECK(process.write(clock.now(), objects));
    CHECK(subjects(readAll(objects)) == Subjects { "1", "2" });
}

// Guards against a shortened batch that overwrites the complete one in the store.
TEST_CASE("events dropped after a lost acknowledgement stay in the store")
{
    ManualClock clock;
    std::map<std::string, std::string> objects;
    Process process(clock, "entry-1", "a", 3);
    for (const char* subject : { "1", "2", "3" })
        process.record(subject);
    CHECK(process.write(clock.now(), objects, StoreFault::LostAcknowledgement));
    process.record("4");
    CHECK(process.recorder.dropped() == 1);
    for (int round = 0; round < 3; ++round) {
        clock.advance(interval);
        process.write(clock.now(), objects);
    }
    CHECK(subjects(readAll(objects)) == Subjects { "1", "2", "3", "4" });
}

// Guards against a restarted process that overwrites objects of its previous incarnation.
TEST_CASE("the events of a restarted process follow those before the restart")
{
    ManualClock clock;
    std::map<std::string, std::string> objects;
    for (const char* incarnation : { "b", "a" }) {
        Process process(clock, "entry-1", incarnation);
        process.record(incarnation);
        CHECK(process.write(clock.now(), objects));
        clock.advance(std::chrono::milliseconds(1));
    }
    CHECK(subjects(readAll(objects)) == Subjects { "b", "a" });
}

// Guards against ordering by wall clock, which can show effects before their causes.
TEST_CASE("the receipt of a message comes after its sending, regardless of the wall clocks")
{
    ManualClock fast;
    ManualClock slow;
    fast.advance(std::chrono::seconds(5));
    Process sender(fast, "z", "a");
    Process receiver(slow, "b", "a");
    sender.record("cause");
    receiver.hybridClock.observe(sender.hybridClock.tick());
    receiver.record("effect");
    TimelineReader reader;
    reader.add(receiver.recorder.liveBatch());
    reader.add(sender.recorder.liveBatch());
    CHECK(subjects(reader) == Subjects { "cause", "effect" });
}

// Guards against one damaged object that hides all others, and against a list that looks complete without it.
TEST_CASE("unreadable batches are counted and reported")
{
    ManualClock clock;
    Process process(clock, "entry-1", "a");
    process.record("\xff raw bytes");
    TimelineReader reader;
    reader.add(R"({"instance":"x"})");
    reader.add(R"({"instance":"x","incarnation":"y","dropped":7,"events":[{"time":"00","kind":"A","subject":"","detail":""}]})");
    reader.add(R"({"instance":"x","incarnation":"y","dropped":7,"events":[{"time":"0000000000010000","kind":"Newer","subject":"s","detail":"d"}]})");
    reader.add(encodeTimelineBatch(process.recorder.liveBatch()));
    CHECK(reader.unreadable() == 2);
    CHECK(reader.events(0).size() == 2);
    CHECK(reader.formatText(0).rfind("1970-01-01T00:00:00.001Z+0 x/y Other s: d\n", 0) == 0);
    CHECK(reader.formatText(0).find("incomplete: 7 events dropped, 2 sources unreadable\n") != std::string::npos);
    CHECK(reader.formatJson(0).find("\"unreadable\": 2") != std::string::npos);
}

// Guards against an event that is neither in the timeline nor counted as dropped, and against duplicate events.
TEST_CASE("no event is lost silently during outages, lost acknowledgements and a full buffer")
{
    bool propertyHolds = rc::check([] {
        ManualClock clock;
        std::map<std::string, std::string> objects;
        Process process(clock, "entry-1", "a", 8);
        std::uint64_t recorded = 0;
        int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            for (int count = *rc::gen::inRange(0, 5); count > 0; --count)
                process.record(std::to_string(recorded++));
            clock.advance(std::chrono::seconds(*rc::gen::inRange(0, 15)));
            StoreFault fault = *rc::gen::element(StoreFault::None, StoreFault::Outage, StoreFault::LostAcknowledgement);
            std::optional<TimelineBatch> batch = process.recorder.takeBatch(clock.now());
            if (!batch)
                continue;
            // Events may be recorded while the write is in progress.
            for (int count = *rc::gen::inRange(0, 5); count > 0; --count)
                process.record(std::to_string(recorded++));
            if (fault != StoreFault::Outage)
                objects[timelineKey(*batch)] = encodeTimelineBatch(*batch);
            process.recorder.finishWrite(fault == StoreFault::None ? ResultCode::Ok : ResultCode::ObjectStoreUnavailable);
        }
        TimelineReader reader = readAll(objects);
        reader.add(process.recorder.liveBatch());
        std::vector<TimelineEvent> events = reader.events(0);
        for (std::size_t index = 1; index < events.size(); ++index)
            RC_ASSERT(std::stoull(events[index - 1].subject) < std::stoull(events[index].subject));
        RC_ASSERT(events.size() <= recorded);
        RC_ASSERT(events.size() + process.recorder.dropped() >= recorded);
        RC_ASSERT(process.recorder.liveBatch().events.size() <= 8);
    });
    CHECK(propertyHolds);
}

}
