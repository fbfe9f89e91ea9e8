// One caller's request, and one upstream's answer, in typed form. The formats live behind WireFormat (see WireFormat.h).

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace toucanstep::direct {

// An adapter of a model; empty for the model itself.
using AdapterId = base::StrongId<struct AdapterIdTag>;

// What has to be loaded for a call. Empty for a plain service.
struct ModelTarget {
    base::ModelId model;
    AdapterId adapter;

    bool empty() const { return model.empty(); }
    auto operator<=>(const ModelTarget&) const = default;
};

// A part of a prompt that other calls may share; `hash` names its content.
struct PromptSegment {
    std::string hash;
    base::Tokens tokens;
};

// What a caller says about its request beside method, target and body.
struct CallMetadata {
    base::RequestId id;
    // As shown by the caller; it goes no further than the gateway.
    std::string key;
    std::optional<base::Duration> timeLimit;
    ModelTarget target;
    base::Tokens promptTokens;
    base::Tokens maximumOutputTokens;
    bool declaresTokens = false;
    // In order; the last one belongs to the call itself or to its session.
    std::vector<PromptSegment> prompt;
    // The event behind which a stream goes on; empty for a new one.
    std::string resumeAfter;

    base::Tokens cost() const { return promptTokens + maximumOutputTokens; }
};

// What the gateway adds when it sends a call to an upstream.
struct ForwardedCall {
    base::UpstreamId upstream;
    base::ClientAccountId account;
    base::Duration timeLeft {};
    // 0 is the most urgent, lowestPriority the least.
    int64_t priority = 0;
    std::string resumeAfter;
};

constexpr int64_t lowestPriority = 9;

// What an upstream's head tells beside its status.
struct ResponseMetadata {
    base::RequestId id;
    // Proved by the upstream: the call has not run there.
    bool notRun = false;
    // The upstream vouches for the answer's bytes.
    bool hasSignature = false;
    bool streaming = false;
};

} // namespace toucanstep::direct
