#include "PrefixCache.h"

namespace toucanstep::fakes::internal {

namespace {
constexpr int64_t tokensPerBlock = 16;
constexpr size_t blockCharacters = tokensPerBlock * charactersPerToken;
constexpr uint64_t hashPrime = 1099511628211U;
} // namespace

uint64_t hashText(std::string_view text, uint64_t start)
{
    uint64_t hash = start;
    for (char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= hashPrime;
    }
    return hash;
}

PrefixCache::PrefixCache(int64_t tokens)
    : m_maximumBlocks(static_cast<size_t>(tokens / tokensPerBlock))
{
}

int64_t PrefixCache::take(std::string_view model, std::string_view prompt)
{
    int64_t matched = 0;
    bool matching = true;
    uint64_t hash = hashText(model);
    for (size_t begin = 0; begin + blockCharacters <= prompt.size(); begin += blockCharacters) {
        // Each block's hash contains those before it, so that equal blocks behind other beginnings differ.
        hash = hashText(prompt.substr(begin, blockCharacters), hash);
        auto found = m_blocks.find(hash);
        matching = matching && found != m_blocks.end();
        matched += matching ? tokensPerBlock : 0;
        if (found != m_blocks.end())
            m_order.erase(found->second);
        m_order.push_front(hash);
        m_blocks[hash] = m_order.begin();
    }
    while (m_order.size() > m_maximumBlocks) {
        m_blocks.erase(m_order.back());
        m_order.pop_back();
    }
    return matched;
}

void PrefixCache::clear()
{
    m_order.clear();
    m_blocks.clear();
}

} // namespace toucanstep::fakes::internal
