// A record of what the processes of a fleet decided and did, from which checkers prove the bounds.
//
// Every process appends events to its own file, one JSON object a line. The clock is the machine's steady clock, which
// all processes of one machine share, so that the files of a run can be merged by time.
//
//     recorder.record({ .kind = HistoryKind::Admitted, .at = clock.now(), .recorder = self, .request = id, ... });

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <string>
#include <string_view>

namespace toucanstep::base {

// What an event says, and which fields it fills besides `at` and `recorder`.
enum class HistoryKind {
    // An account's limits from now on: account, tokens (a second), burst.
    LimitInForce,
    // A caller sent a request: request, account, tokens (its whole cost), deadline, weight, key, and idempotencyKey if any.
    Offered,
    // A gateway let it in, with its whole cost charged: request, account, tokens, key. `at` is when it was let in.
    Admitted,
    // Tokens of an admitted request were not used: request, account, tokens.
    Refunded,
    // A caller got an answer: request, account, digest of what it got, complete (end mark seen).
    Answered,
    // A caller got a refusal: request, account, code, ran.
    Refused,
    // The first token reached the caller: request, model, cold (no replica was loaded at the offer), at.
    FirstToken,
    // An upstream was given a request: request, upstream.
    WorkGiven,
    // An upstream began to run a request: request, account, upstream, model, service, idempotencyKey, keySeen.
    RunStarted,
    // An upstream ended it: request, upstream, model, digest of the whole answer.
    RunEnded,
    // A replica was decided, or taken back, for an upstream: model, upstream.
    ReplicaDecided,
    ReplicaWithdrawn,
    // An upstream's engine holds a model from the start of the load to the end of the unload: model, upstream, bytes.
    ReplicaLoaded,
    ReplicaUnloaded,
    // Accelerator memory of an upstream: upstream, bytes.
    MemoryCapacity,
    // The operator withdrew a key: key.
    KeyWithdrawn,
    // An upstream began to leave: upstream.
    UpstreamLeaving,
    // A process has a configuration in force: version. `recorder` is unique to one start of a process.
    ConfigurationInForce,
};

constexpr int historyKindCount = static_cast<int>(HistoryKind::ConfigurationInForce) + 1;

struct HistoryEvent {
    HistoryKind kind = HistoryKind::Offered;
    Instant at;
    InstanceId recorder;
    RequestId request;
    ClientAccountId account;
    UpstreamId upstream;
    ModelId model;
    ServiceId service;
    KeyFingerprint key;
    std::string idempotencyKey;
    std::string digest;
    Tokens tokens;
    Tokens burst;
    Bytes bytes;
    Revision version;
    int64_t weight = 1;
    Instant deadline;
    RefusalCode code = RefusalCode::Internal;
    RanState ran = RanState::MayHaveRun;
    bool complete = false;
    bool cold = false;
    bool keySeen = false;
};

class HistoryRecorder {
public:
    virtual ~HistoryRecorder() = default;
    // May be called from any thread.
    virtual void record(const HistoryEvent&) = 0;
};

std::string_view historyKindName(HistoryKind);
// One line without its end; fields with their default value are left out.
std::string encodeHistoryEvent(const HistoryEvent&);
// Fails with ErrorKind::Malformed where the line is not an event, for example because its writer died halfway.
Result<HistoryEvent> decodeHistoryEvent(std::string_view line);

} // namespace toucanstep::base
