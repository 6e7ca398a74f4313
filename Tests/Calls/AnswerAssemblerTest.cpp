#include "Calls/AnswerAssembler.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace Damaskgrade {

// Guards against missing, duplicate or unrelated text for any order, overlap and duplication of parts.
TEST_CASE("parts in any order are assembled to exactly the answer")
{
    CHECK(rc::check("parts in any order are assembled to exactly the answer", [] {
        std::string answer = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        AnswerAssembler assembler("call", 1000);
        assembler.beginAttempt(2);
        std::vector<PartMessage> parts;
        for (std::size_t offset = 0; offset < answer.size(); offset += 3)
            parts.push_back({ "call", 2, offset, answer.substr(offset, *rc::gen::inRange<std::size_t>(3, 8)) });
        std::vector<PartMessage> arrivals = parts;
        for (int extra = 0; extra < 4 && !parts.empty(); ++extra) {
            PartMessage unrelated = *rc::gen::elementOf(parts);
            arrivals.push_back(unrelated);
            unrelated.text = "FOREIGN";
            unrelated.attempt = *rc::gen::element(1u, 2u, 3u);
            if (unrelated.attempt == 2)
                unrelated.callId = "other";
            arrivals.push_back(unrelated);
        }
        std::string text;
        while (!arrivals.empty()) {
            std::size_t index = *rc::gen::inRange<std::size_t>(0, arrivals.size());
            text += assembler.accept(arrivals[index]);
            arrivals.erase(arrivals.begin() + static_cast<std::ptrdiff_t>(index));
            RC_ASSERT(answer.compare(0, text.size(), text) == 0);
            RC_ASSERT(!assembler.isComplete());
        }
        RC_ASSERT(text == answer);
        assembler.acceptEnd({ "call", 1, answer.size(), ResultCode::Ok, {} });
        RC_ASSERT(!assembler.isComplete());
        assembler.acceptEnd({ "call", 2, answer.size(), ResultCode::Ok, {} });
        RC_ASSERT(assembler.isComplete());
    }));
}

// Guards against accepting a truncated answer as complete, and against waiting for text that was never sent.
TEST_CASE("an attempt is complete only if its text has the total length of the end message")
{
    AnswerAssembler assembler("call", 1000);
    assembler.beginAttempt(1);
    assembler.accept({ "call", 1, 0, "abc" });
    assembler.acceptEnd({ "call", 1, 5, ResultCode::Ok, {} });
    CHECK(!assembler.isComplete());
    CHECK(assembler.accept({ "call", 1, 3, "de" }) == "de");
    CHECK(assembler.isComplete());
    assembler.beginAttempt(2);
    assembler.acceptEnd({ "call", 2, 4, ResultCode::Ok, {} });
    CHECK(assembler.isBroken());
}

// Guards against unlimited memory use for parts that arrive early.
TEST_CASE("an attempt is broken if its early parts exceed the buffer")
{
    AnswerAssembler assembler("call", 4);
    assembler.beginAttempt(1);
    assembler.accept({ "call", 1, 2, "cd" });
    CHECK(!assembler.isBroken());
    assembler.accept({ "call", 1, 8, "ijk" });
    CHECK(assembler.isBroken());
    assembler.beginAttempt(2);
    CHECK(!assembler.isBroken());
}

}
