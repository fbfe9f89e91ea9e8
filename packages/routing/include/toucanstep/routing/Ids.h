// Identifiers that routing shares with the queue and the quarantine.

#pragma once

#include "toucanstep/base/StrongTypes.h"

#include <string_view>
#include <vector>

namespace toucanstep::routing {

// SHA-256 over the client account and the body of a request: the same call sent again has the same one.
using RequestFingerprint = base::StrongId<struct RequestFingerprintTag>;
RequestFingerprint fingerprintOf(const base::ClientAccountId&, std::string_view body);

// A hash over the first N blocks of a prompt; two prompts share it if they share these blocks.
using PrefixFingerprint = base::StrongNumber<struct PrefixFingerprintTag>;

constexpr size_t prefixBlockBytes = 256;
constexpr size_t maximumPrefixBlocks = 32;

// One fingerprint for each whole block of the prompt, shortest prefix first, at most maximumPrefixBlocks.
std::vector<PrefixFingerprint> prefixesOf(const base::ModelId&, std::string_view prompt);

} // namespace toucanstep::routing
