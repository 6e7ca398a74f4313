#include "Quarantine/SoundParts.h"

namespace Damaskgrade {

SoundParts::SoundParts(std::size_t capacity)
    : capacity_(capacity)
{
}

void SoundParts::insert(PromptPart part)
{
    auto found = positions_.find(part);
    if (found != positions_.end()) {
        order_.splice(order_.begin(), order_, found->second);
        return;
    }
    if (positions_.size() >= capacity_) {
        positions_.erase(order_.back());
        order_.pop_back();
    }
    order_.push_front(part);
    positions_.emplace(part, order_.begin());
}

}
