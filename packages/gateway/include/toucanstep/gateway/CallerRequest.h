// Turns a caller's HTTP request into a typed one, or into the refusal that the caller gets.
//
// Pure: no clock is read and nothing is looked up outside the configuration that is passed in.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/config/Configuration.h"
#include "toucanstep/formats/HttpServer.h"
#include "toucanstep/peers/Messages.h"

#include <string>
#include <variant>

namespace toucanstep::gateway {

// Longer waits than this are cut to it, in seconds.
inline constexpr int64_t longestTimeoutSeconds = 600;
// Completion tokens that are charged where a request names no maximum.
inline constexpr base::Tokens defaultMaximumTokens { 256 };
// Bytes of a prompt that count as one token. Callers' prompts are charged before any tokenizer has seen them.
inline constexpr int64_t bytesPerToken = 4;

struct CallerRequest {
    base::ClientAccountId account;
    base::KeyFingerprint key;
    peers::TargetKind target = peers::TargetKind::Model;
    std::string targetId;
    config::KindId kind;
    base::PoolId pool;
    // Absolute, from the caller's Request-Timeout or the kind's default.
    base::Instant deadline;
    base::Tokens promptTokens;
    base::Tokens maximumTokens;
    bool stream = false;
    // False for a service call that must run at most once.
    bool idempotent = true;
    std::string idempotencyKey;
    std::string httpMethod;
    // The path as the upstream sees it.
    std::string path;
    std::string contentType;
    std::string body;
    // The prompt's text, for prefix affinity.
    std::string prompt;
    std::string fingerprint;

    base::Tokens cost() const { return promptTokens + maximumTokens; }
};

// What the caller asked that needs no upstream.
struct ModelListRequest {
    base::ClientAccountId account;
};

using ParsedCallerRequest = std::variant<CallerRequest, ModelListRequest, base::Refusal>;

ParsedCallerRequest parseCallerRequest(const formats::HttpRequest&, const config::Configuration&, base::Instant now);

// The one JSON shape of refusals.
std::string refusalBody(const base::Refusal&, base::Instant now);
formats::HttpHeaders refusalHeaders(const base::Refusal&, base::Instant now);
// The list of models in OpenAI's shape.
std::string modelListBody(const config::Configuration&);

} // namespace toucanstep::gateway
