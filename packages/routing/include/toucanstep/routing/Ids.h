// Identifiers shared by the router, the request queue and the quarantine.

#pragma once

#include "toucanstep/base/StrongTypes.h"

#include <string_view>
#include <vector>

namespace toucanstep::routing {

// SHA-256 over the client account and the body of a request; equal for repeated sends of the same call.
using RequestFingerprint = base::StrongId<struct RequestFingerprintTag>;
RequestFingerprint fingerprintOf(const base::ClientAccountId&, std::string_view body);

// Hash over the model and the first N blocks of a prompt; prompts for one model with the same first N blocks share it.
using PrefixFingerprint = base::StrongNumber<struct PrefixFingerprintTag>;

constexpr size_t prefixBlockBytes = 256;
constexpr size_t maximumPrefixBlocks = 32;

// The fingerprints of the prompt's prefixes that end at a whole block, shortest first, at most maximumPrefixBlocks.
std::vector<PrefixFingerprint> prefixesOf(const base::ModelId&, std::string_view prompt);

} // namespace toucanstep::routing
