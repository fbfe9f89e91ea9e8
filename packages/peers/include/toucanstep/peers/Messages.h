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

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace toucanstep::peers {

inline constexpr std::string_view runMethod = "run";
inline constexpr std::string_view attachMethod = "attach";
inline constexpr std::string_view reportMethod = "report";

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
    // Numbers this gateway's dispatches to this sidecar, so that its reports can say which they count.
    int64_t dispatchNumber = 0;
    // Set for calls that may run only once: the attempt as node/CallCodec.h writes it.
    std::string callDispatch;
    std::string body;
};

struct AttachRequest {
    base::RequestId request;
    int64_t attempt = 0;
    // The first chunk that the gateway has not got.
    int64_t nextChunk = 0;
};

// What one client account has queued at a sidecar.
struct AccountQueue {
    base::ClientAccountId account;
    int64_t weight = 1;
    base::Tokens queued;
    // Tokens a second that the account got lately.
    base::Tokens servedPerSecond;
};

enum class ModelPhase {
    Cold,
    Loading,
    Loaded,
};

// What the sidecar knows about itself exactly. It travels with the first and the last event of an answer.
struct SidecarReport {
    // Grows with each start of the process, and with each report of one process.
    int64_t incarnation = 0;
    int64_t sequence = 0;
    int64_t slots = 1;
    int64_t tokensPerSecond = 1;
    int64_t inFlight = 0;
    base::Tokens inFlightTokens;
    // The highest dispatch number of the receiving gateway that these figures count.
    int64_t lastDispatchSeen = 0;
    bool leaving = false;
    bool quarantining = false;
    base::Revision configuration;
    // The state of the request's model; the end of its load as remaining time, negative where it is not known.
    ModelPhase phase = ModelPhase::Cold;
    base::Duration loadRemaining { -1 };
    std::vector<AccountQueue> queues;
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

// The reply to a call that may run only once, as node/CallCodec.h writes it.
struct AnswerCall {
    std::string reply;
};

// The answer to Method("report"): nothing but the report.
struct AnswerReport { };

using RunEventBody = std::variant<AnswerStart, AnswerChunk, AnswerEnd, AnswerRefused, AnswerCall, AnswerReport>;

struct RunEvent {
    base::RequestId request;
    std::optional<SidecarReport> report;
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
