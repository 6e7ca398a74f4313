#pragma once

#include "Quarantine/PromptPart.h"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace Damaskgrade {

// The prompt parts that were most recently part of an answered prompt. Forgets the least recently used part when it is full.
class SoundParts {
public:
    explicit SoundParts(std::size_t capacity);

    void insert(PromptPart part);
    bool contains(PromptPart part) const { return positions_.count(part) != 0; }
    std::size_t size() const { return positions_.size(); }

private:
    std::size_t capacity_;
    // Most recently used first.
    std::list<PromptPart> order_;
    std::unordered_map<PromptPart, std::list<PromptPart>::iterator> positions_;
};

}
