#include "Quarantine/SoundParts.h"

namespace Damaskgrade {

SoundParts::SoundParts(std::size_t capacity, PromptPartHash hash)
    : maxSingle_(capacity / 2)
    , maxShared_(capacity - maxSingle_)
    , positions_(0, hash)
{
}

void SoundParts::insert(PromptPart part)
{
    auto found = positions_.find(part);
    if (found == positions_.end()) {
        if (single_.size() >= maxSingle_)
            dropLast(single_);
        single_.push_front(part);
        positions_.emplace(part, Position { single_.begin(), false });
        return;
    }
    Position& position = found->second;
    if (!position.isShared && shared_.size() >= maxShared_)
        dropLast(shared_);
    shared_.splice(shared_.begin(), position.isShared ? shared_ : single_, position.entry);
    position.isShared = true;
}

void SoundParts::dropLast(Order& order)
{
    positions_.erase(order.back());
    order.pop_back();
}

}
