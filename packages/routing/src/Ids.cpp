#include "toucanstep/routing/Ids.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

// FNV-1a gives the same hash in every process, so that gateways and the engines' cache events use the same fingerprints.
constexpr uint64_t fnvOffsetBasis = 14695981039346656037ULL;
constexpr uint64_t fnvPrime = 1099511628211ULL;

uint64_t updateHash(uint64_t state, std::string_view text)
{
    for (unsigned char byte : text)
        state = (state ^ byte) * fnvPrime;
    return state;
}

} // namespace

RequestFingerprint fingerprintOf(const base::ClientAccountId& account, std::string_view body)
{
    // The length prefix makes the encoding unambiguous: different pairs never give the same input.
    return RequestFingerprint(base::sha256Hex(base::concat(account.value().size(), ":", account, body)));
}

std::vector<PrefixFingerprint> prefixesOf(const base::ModelId& model, std::string_view prompt)
{
    std::vector<PrefixFingerprint> prefixes;
    auto state = updateHash(fnvOffsetBasis, model.value());
    auto blocks = std::min(prompt.size() / prefixBlockBytes, maximumPrefixBlocks);
    for (size_t block = 0; block < blocks; ++block) {
        state = updateHash(state, prompt.substr(block * prefixBlockBytes, prefixBlockBytes));
        prefixes.emplace_back(static_cast<int64_t>(state));
    }
    return prefixes;
}

} // namespace toucanstep::routing
