// Remembers the beginnings of prompts in blocks, as engines do with their KV cache, up to a number of tokens.

#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace toucanstep::fakes::internal {

// Engines differ in how they cut text; four characters are about a token of English.
constexpr int64_t charactersPerToken = 4;

class PrefixCache {
public:
    explicit PrefixCache(int64_t tokens);

    // Gives how many tokens at the prompt's beginning were remembered, and remembers the prompt.
    int64_t take(std::string_view model, std::string_view prompt);
    void clear();

private:
    size_t m_maximumBlocks;
    // The first is the latest used.
    std::list<uint64_t> m_order;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
};

// FNV-1a over 64 bits: short, and the same on every machine.
uint64_t hashText(std::string_view text, uint64_t start = 14695981039346656037U);

} // namespace toucanstep::fakes::internal
