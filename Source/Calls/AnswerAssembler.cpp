#include "Calls/AnswerAssembler.h"

#include <utility>

namespace Damaskgrade {

AnswerAssembler::AnswerAssembler(std::string callId, std::size_t maxEarlyBytes, std::uint64_t startOffset)
    : callId_(std::move(callId))
    , maxEarlyBytes_(maxEarlyBytes)
    , offset_(startOffset)
{
}

void AnswerAssembler::beginAttempt(std::uint32_t attempt)
{
    attempt_ = attempt;
    earlyParts_.clear();
    earlyBytes_ = 0;
    end_.reset();
    isBroken_ = false;
}

std::string AnswerAssembler::accept(const PartMessage& part)
{
    if (!isCurrent(part.callId, part.attempt))
        return {};
    if (part.offset > offset_) {
        bufferEarlyPart(part);
        return {};
    }
    std::string ready;
    std::uint64_t known = offset_ - part.offset;
    if (known < part.text.size())
        ready = part.text.substr(known);
    std::uint64_t reached = offset_ + ready.size();
    while (!earlyParts_.empty() && earlyParts_.begin()->first <= reached) {
        auto first = earlyParts_.begin();
        std::uint64_t overlap = reached - first->first;
        if (overlap < first->second.size())
            ready += first->second.substr(overlap);
        earlyBytes_ -= first->second.size();
        earlyParts_.erase(first);
        reached = offset_ + ready.size();
    }
    offset_ = reached;
    if (end_ && end_->code == ResultCode::Ok && end_->total < offset_)
        isBroken_ = true;
    return ready;
}

bool AnswerAssembler::acceptEnd(const EndMessage& end)
{
    if (!isCurrent(end.callId, end.attempt))
        return false;
    if (end_)
        return true;
    end_ = end;
    if (end.code == ResultCode::Ok && end.total < offset_)
        isBroken_ = true;
    return true;
}

bool AnswerAssembler::isComplete() const
{
    return end_ && end_->code == ResultCode::Ok && end_->total == offset_;
}

bool AnswerAssembler::isCurrent(const std::string& callId, std::uint32_t attempt)
{
    if (callId == callId_ && attempt == attempt_)
        return true;
    ++ignoredParts_;
    return false;
}

void AnswerAssembler::bufferEarlyPart(const PartMessage& part)
{
    std::string& kept = earlyParts_[part.offset];
    if (part.text.size() <= kept.size())
        return;
    if (earlyBytes_ + part.text.size() - kept.size() > maxEarlyBytes_) {
        if (kept.empty())
            earlyParts_.erase(part.offset);
        isBroken_ = true;
        return;
    }
    earlyBytes_ += part.text.size() - kept.size();
    kept = part.text;
}

}
