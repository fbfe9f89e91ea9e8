// Typed metadata of a caller's request and of an upstream's response. WireFormat.h converts it from and to the wire.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace toucanstep::serving {

// An adapter of a model; empty for the base model.
using AdapterId = base::StrongId<struct AdapterIdTag>;

// The model and adapter that a call needs loaded. Empty for a plain service.
struct ModelTarget {
    base::ModelId model;
    AdapterId adapter;

    bool empty() const { return model.empty(); }
    auto operator<=>(const ModelTarget&) const = default;
};

// A segment of a prompt that other calls may share; `hash` identifies its content.
struct PromptSegment {
    std::string hash;
    base::Tokens tokens;
};

// What a caller's headers state about its request.
struct CallMetadata {
    base::RequestId id;
    // The caller's credential; it is not forwarded to upstreams.
    std::string key;
    std::optional<base::Duration> timeLimit;
    ModelTarget target;
    base::Tokens promptTokens;
    base::Tokens maximumOutputTokens;
    bool declaresTokens = false;
    // In prompt order; the last segment is specific to the call or its session.
    std::vector<PromptSegment> prompt;
    // The id of the event after which a stream resumes; empty for a new stream.
    std::string resumeAfter;

    base::Tokens cost() const { return promptTokens + maximumOutputTokens; }
};

// Metadata that the gateway adds when it sends a call to an upstream.
struct ForwardedCall {
    base::UpstreamId upstream;
    base::ClientAccountId account;
    base::Duration timeLeft {};
    // From 0, the most urgent, to lowestPriority.
    int64_t priority = 0;
    std::string resumeAfter;
};

constexpr int64_t lowestPriority = 9;

// What an upstream states of itself in an answer.
struct StatedLoad {
    int64_t running = 0;
    int64_t waiting = 0;
    int64_t slots = 1;
    // How long work takes there at this moment, 100 being usual; nothing if the upstream does not state it.
    std::optional<int64_t> workPercent;

    bool operator==(const StatedLoad&) const = default;
};

// Metadata from the head of an upstream's response.
struct ResponseMetadata {
    base::RequestId id;
    // The upstream proves that the call has not run there.
    bool notRun = false;
    // The response carries the upstream's signature.
    bool hasSignature = false;
    bool streaming = false;
    // The calls per second that the upstream takes from all gateways together; nothing if it advertises none.
    std::optional<double> callLimit;
    // It advertises a limit that is no number.
    bool callLimitUnreadable = false;
    // The upstream leaves: it takes no new calls.
    bool leaving = false;
    // The upstream has turned the call away and asks this gateway for no further one for so long.
    std::optional<base::Duration> retryAfter;
    // It asks for a time that is no number.
    bool retryAfterUnreadable = false;
    std::optional<StatedLoad> statedLoad;
    // It states a load that is not one, see StatedLoad.
    bool statedLoadUnreadable = false;
};

} // namespace toucanstep::serving
