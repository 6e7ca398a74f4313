#include "RankMaps/ControlBudget.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace Damaskgrade {

namespace {

constexpr double minimumLinkBytesPerSecond = 1000;

}

ControlBudget::ControlBudget(double linkBytesPerSecond)
    : linkBytesPerSecond_(std::max(linkBytesPerSecond, minimumLinkBytesPerSecond))
{
}

std::chrono::milliseconds ControlBudget::transmissionTime(std::size_t bytes) const
{
    return periodOf(bytes, 1);
}

std::chrono::milliseconds ControlBudget::periodOf(std::size_t bytes, double share) const
{
    double seconds = static_cast<double>(bytes) / (linkBytesPerSecond_ * share);
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(seconds * 1000)));
}

}
