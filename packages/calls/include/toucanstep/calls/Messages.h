// What a gateway and a sidecar tell one another about a non-idempotent call.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/calls/CallRecord.h"

#include <optional>
#include <string>

namespace toucanstep::calls {

// Names a caller's request at its gateway.
using CallId = base::StrongNumber<struct CallIdTag>;

// Sent to one sidecar, once. The remaining time travels in place of the deadline.
struct CallDispatch {
    AttemptId attempt;
    CallKey key;
    BodyDigest body;
    // The revision that the record's entry must still have: zero, or that of the tombstone which ended earlier attempts.
    base::Revision expected;
};

enum class ReplyKind {
    // The service's answer, or the stored one.
    Answered,
    // This attempt has not run and never will.
    NotRun,
    // A tombstone stands in the way: this attempt has not run, another that expects `tombstone` can.
    Tombstoned,
    // The record is claimed and has no answer.
    MayHaveRun,
    // The key was used with another body; this request has not run.
    KeyReused,
};

struct CallReply {
    AttemptId attempt;
    ReplyKind kind = ReplyKind::MayHaveRun;
    StoredAnswer answer;
    // Whether the answer was read from the record.
    bool repeated = false;
    base::Revision tombstone;
    // With MayHaveRun: another attempt holds the record and may still store its answer.
    bool mayFinish = false;
    // Why the attempt did not run.
    base::RefusalCode reason = base::RefusalCode::Internal;
};

// What the caller gets: an answer or a refusal.
struct CallResult {
    std::optional<StoredAnswer> answer;
    bool repeated = false;
    std::optional<base::Refusal> refusal;
};

} // namespace toucanstep::calls
