#include "toucanstep/routing/Ids.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

// FNV-1a: stable over processes, so that gateways and engines' events name a prefix alike.
constexpr uint64_t hashStart = 14695981039346656037ULL;
constexpr uint64_t hashPrime = 1099511628211ULL;

uint64_t hashOnwards(uint64_t state, std::string_view text)
{
    for (unsigned char byte : text)
        state = (state ^ byte) * hashPrime;
    return state;
}

} // namespace

RequestFingerprint fingerprintOf(const base::ClientAccountId& account, std::string_view body)
{
    // The length in front keeps two different pairs from reading alike.
    return RequestFingerprint(base::sha256Hex(base::concat(account.value().size(), ":", account, body)));
}

std::vector<PrefixFingerprint> prefixesOf(const base::ModelId& model, std::string_view prompt)
{
    std::vector<PrefixFingerprint> prefixes;
    auto state = hashOnwards(hashStart, model.value());
    auto blocks = std::min(prompt.size() / prefixBlockBytes, maximumPrefixBlocks);
    for (size_t block = 0; block < blocks; ++block) {
        state = hashOnwards(state, prompt.substr(block * prefixBlockBytes, prefixBlockBytes));
        prefixes.emplace_back(static_cast<int64_t>(state));
    }
    return prefixes;
}

} // namespace toucanstep::routing
