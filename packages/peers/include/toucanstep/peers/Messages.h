// The messages of a request's way from gateway to sidecar and back, in MessagePack.
//
// A gateway calls Method("run") with a RunRequest, or Method("attach") with an AttachRequest after its connection was
// lost. The sidecar answers with RunEvents. Chunks are numbered from 0, so that a gateway that attaches again takes up
// exactly where it was; the answer is whole only once an AnswerEnd has come.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <string>
#include <string_view>
#include <variant>

namespace toucanstep::peers {

inline constexpr std::string_view runMethod = "run";
inline constexpr std::string_view attachMethod = "attach";

enum class TargetKind {
    Model,
    Service,
};

struct RunRequest {
    base::RequestId request;
    // Distinguishes the dispatches of one request; grows with each.
    int64_t attempt = 0;
    base::ClientAccountId account;
    base::KeyFingerprint key;
    // The version that the gateway has in force.
    base::Revision configuration;
    // Time left for the whole answer when the message was sent.
    base::Duration remaining {};
    std::string kind;
    TargetKind target = TargetKind::Model;
    // The model's or the service's id.
    std::string targetId;
    std::string httpMethod;
    std::string path;
    std::string idempotencyKey;
    std::string contentType;
    base::Tokens promptTokens;
    base::Tokens maximumTokens;
    bool stream = false;
    // Fingerprint of account and body, by which requests that crash upstreams are recognized.
    std::string fingerprint;
    std::string body;
};

struct AttachRequest {
    base::RequestId request;
    // The first chunk that the gateway has not got.
    int64_t nextChunk = 0;
};

// What the sidecar knows about itself exactly; it travels on every event.
struct SidecarLoad {
    int64_t running = 0;
    int64_t queued = 0;
    base::Tokens queuedTokens;
    bool leaving = false;
    base::Revision configuration;
};

// The upstream has begun to answer.
struct AnswerStart {
    int status = 200;
    std::string contentType;
};

struct AnswerChunk {
    int64_t index = 0;
    std::string bytes;
};

struct AnswerEnd {
    // How many chunks the whole answer has.
    int64_t chunks = 0;
    // Prompt and completion tokens as counted; what was charged above it goes back.
    base::Tokens usedTokens;
    // True where the request found its model not loaded.
    bool cold = false;
};

struct AnswerRefused {
    base::RefusalCode code = base::RefusalCode::Internal;
    base::RanState ran = base::RanState::MayHaveRun;
    std::string message;
    // Time until asking again may succeed; negative where nobody knows.
    base::Duration retryAfter { -1 };
};

using RunEventBody = std::variant<AnswerStart, AnswerChunk, AnswerEnd, AnswerRefused>;

struct RunEvent {
    base::RequestId request;
    SidecarLoad load;
    RunEventBody body;
};

std::string encode(const RunRequest&);
std::string encode(const AttachRequest&);
std::string encode(const RunEvent&);

// Each fails with ErrorKind::Malformed where the bytes are not that message.
base::Result<RunRequest> decodeRunRequest(std::string_view);
base::Result<AttachRequest> decodeAttachRequest(std::string_view);
base::Result<RunEvent> decodeRunEvent(std::string_view);

// Between a refusal with a local deadline and the form in which the remaining time travels.
AnswerRefused toMessage(const base::Refusal&, base::Instant now);
base::Refusal toRefusal(const AnswerRefused&, base::Instant now);

} // namespace toucanstep::peers
