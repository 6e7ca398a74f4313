#pragma once

#include "Quarantine/PromptPart.h"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace Damaskgrade {

// The prompt parts that were most recently part of an answered prompt. Parts of several prompts are kept apart from those of a
// single one, so that a caller whose parts are always new displaces only parts of single prompts. Forgets the least recently
// used part of either kind when its share of the capacity is full.
class SoundParts {
public:
    SoundParts(std::size_t capacity, PromptPartHash hash);

    // Records a part of an answered prompt.
    void insert(PromptPart part);
    bool contains(PromptPart part) const { return positions_.count(part) != 0; }
    std::size_t size() const { return positions_.size(); }

private:
    // Most recently used first.
    using Order = std::list<PromptPart>;

    struct Position {
        Order::iterator entry;
        bool isShared { false };
    };

    void dropLast(Order& order);

    std::size_t maxSingle_;
    std::size_t maxShared_;
    Order single_;
    Order shared_;
    std::unordered_map<PromptPart, Position, PromptPartHash> positions_;
};

}
