#include "Routing/PrefixCacheIndex.h"

namespace Damaskgrade {

PrefixCacheIndex::PrefixCacheIndex(std::size_t maximumBlocksPerServer)
    : maximumBlocks_(maximumBlocksPerServer)
{
}

void PrefixCacheIndex::apply(std::string_view server, gsl::span<const CacheEvent> events)
{
    if (events.empty())
        return;
    ServerBlocks& blocks = servers_[std::string(server)];
    for (const CacheEvent& event : events)
        applyEvent(blocks, event);
}

void PrefixCacheIndex::discard(std::string_view server)
{
    std::map<std::string, ServerBlocks, std::less<>>::iterator found = servers_.find(server);
    if (found != servers_.end())
        servers_.erase(found);
}

std::size_t PrefixCacheIndex::hitBlocks(std::string_view server, gsl::span<const std::uint64_t> prefix) const
{
    std::map<std::string, ServerBlocks, std::less<>>::const_iterator found = servers_.find(server);
    if (found == servers_.end())
        return 0;
    std::size_t count = 0;
    while (count < prefix.size() && found->second.positions.count(prefix[count]) > 0)
        ++count;
    return count;
}

std::size_t PrefixCacheIndex::knownBlocks(std::string_view server) const
{
    std::map<std::string, ServerBlocks, std::less<>>::const_iterator found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.positions.size();
}

void PrefixCacheIndex::applyEvent(ServerBlocks& blocks, const CacheEvent& event)
{
    // Ignore a duplicate or reordered event: its sequence number was already applied or counted as a gap.
    if (blocks.hasSequence && event.sequence < blocks.nextSequence)
        return;
    if (blocks.hasSequence && event.sequence > blocks.nextSequence) {
        ++gapCount_;
        blocks.order.clear();
        blocks.positions.clear();
    }
    blocks.hasSequence = true;
    blocks.nextSequence = event.sequence + 1;
    if (event.kind == CacheEventKind::Stored)
        store(blocks, event.prefixHash);
    else
        evict(blocks, event.prefixHash);
}

void PrefixCacheIndex::store(ServerBlocks& blocks, std::uint64_t hash)
{
    evict(blocks, hash);
    blocks.order.push_front(hash);
    blocks.positions[hash] = blocks.order.begin();
    if (blocks.positions.size() > maximumBlocks_)
        evict(blocks, blocks.order.back());
}

void PrefixCacheIndex::evict(ServerBlocks& blocks, std::uint64_t hash)
{
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>::iterator found = blocks.positions.find(hash);
    if (found == blocks.positions.end())
        return;
    blocks.order.erase(found->second);
    blocks.positions.erase(found);
}

}
