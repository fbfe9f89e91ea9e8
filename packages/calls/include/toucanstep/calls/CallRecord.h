// The record of one non-idempotent call, one entry of the key-value service for (account, service, idempotency key).
//
// A record is claimed by compare-and-swap before the call runs and finished with the answer after. A claim with no
// answer means that the call may have run, and it is never run again. A tombstone says that no earlier attempt can
// run any more: each attempt's claim compares the revision its coordinator expected, and a tombstone changes it.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::calls {

// The caller's Idempotency-Key header.
using IdempotencyKey = base::StrongId<struct IdempotencyKeyTag>;
// Names one dispatch of a call to one sidecar; never used twice.
using AttemptId = base::StrongId<struct AttemptIdTag>;
// Names the process and the step that wrote a record; what a lost answer is settled by.
using RecordNonce = base::StrongId<struct RecordNonceTag>;
// The SHA-256 of the request's body in lower-case hexadecimal.
using BodyDigest = base::StrongId<struct BodyDigestTag>;
// Wall-clock time, for the records' retention only: it outlives processes, and monotonic time does not.
using UnixMilliseconds = base::StrongNumber<struct UnixMillisecondsTag>;

struct CallKey {
    base::ClientAccountId account;
    base::ServiceId service;
    IdempotencyKey key;

    friend auto operator<=>(const CallKey&, const CallKey&) = default;
    friend bool operator==(const CallKey&, const CallKey&) = default;
};

enum class RecordState {
    Claimed,
    Finished,
    Tombstone,
};

struct StoredAnswer {
    // The HTTP status of the service's answer.
    int status = 0;
    std::string contentType;
    std::string body;
    // Set where the body was above the bound and has been left out; a repeat is then told that the call ran.
    bool bodyDropped = false;

    friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

struct CallRecord {
    RecordState state = RecordState::Claimed;
    base::ServiceId service;
    AttemptId attempt;
    RecordNonce writer;
    BodyDigest body;
    UnixMilliseconds writtenAt;
    // Present where the call has finished.
    std::optional<StoredAnswer> answer;
    // The revision that wrote the record; not part of the stored value.
    base::Revision modified;

    friend bool operator==(const CallRecord&, const CallRecord&) = default;
};

inline constexpr std::string_view callRecordsPrefix = "/toucanstep/calls/";
inline constexpr int recordBuckets = 256;
// Records are spread over buckets by their hash, so that cleaning reads a bounded part at a time.
std::string bucketPrefix(int bucket);
std::string storageKey(const CallKey&);

std::string encodeRecord(const CallRecord&);
// Fails with Malformed where the value is not a record.
base::Result<CallRecord> decodeRecord(const base::KeyValue&);

// Cuts an answer to the bound: above it the body is dropped whole, never kept in part.
StoredAnswer boundedAnswer(StoredAnswer, base::Bytes limit);

// A write of one record under the condition that its entry still has the expected revision; zero means absent.
struct RecordWrite {
    std::string key;
    base::Revision expected;
    std::string value;
};

} // namespace toucanstep::calls
