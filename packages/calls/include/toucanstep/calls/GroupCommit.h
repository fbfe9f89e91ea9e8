// Puts the writes of several calls into one transaction, so that the key-value service's write rate bounds the calls
// less.
//
//     commit.add(id, write, now);
//     for (Batch& batch : commit.poll(now)) store.commit(batch.transaction, ...);
//     for (WriteResult& result : commit.onOutcome(batchId, outcome)) ...
//
// With nothing in flight a write leaves at once; while the allowed number of batches is in flight the next ones gather,
// up to the bounds. A batch whose comparisons fail was not carried out at all and is sent again in halves, so that a
// member which lost its race fails alone. Of a batch without an answer every member is told Timeout.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/calls/CallRecord.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::calls {

using WriteId = base::StrongNumber<struct WriteIdTag>;
using BatchId = base::StrongNumber<struct BatchIdTag>;

struct GroupLimits {
    // Each member is one comparison and one operation; the service takes at most 128 operations.
    size_t members = 64;
    base::Bytes bytes { 512 * 1024 };
    size_t inFlight = 2;
    // The shortest time between two batches while none is full; bounds the write rate of one sidecar to 50 a second.
    base::Duration interval = std::chrono::milliseconds(20);
};

struct Batch {
    BatchId id;
    base::Transaction transaction;
};

struct WriteResult {
    WriteId id;
    base::Outcome<base::TransactionReply> outcome;
};

class GroupCommit {
public:
    explicit GroupCommit(GroupLimits);
    virtual ~GroupCommit() = default;

    void add(WriteId, RecordWrite, base::Instant now);
    // Takes back a write that was not sent yet; false where it was.
    bool withdraw(WriteId);
    // The batches to send now.
    std::vector<Batch> poll(base::Instant now);
    std::vector<WriteResult> onOutcome(BatchId, const base::Outcome<base::TransactionReply>&);
    // When poll() will next have something to send although nothing else happens.
    std::optional<base::Instant> wakeAt() const;

    size_t waiting() const { return m_waiting.size(); }
    uint64_t transactions() const { return m_transactions; }

protected:
    struct Member {
        WriteId id;
        RecordWrite write;
    };

    // Seeded faults of the tests override this.
    virtual std::vector<WriteResult> onComparisonFailed(std::vector<Member>, const base::TransactionReply&);
    void requeueInHalves(std::vector<Member>);

private:
    Batch makeBatch(std::vector<Member>, base::Instant now);
    std::vector<WriteResult> settle(const std::vector<Member>&, const base::Outcome<base::TransactionReply>&);
    std::vector<Member> gather();

    GroupLimits m_limits;
    std::deque<Member> m_waiting;
    // Parts of failed batches; they go first and are not joined with others.
    std::deque<std::vector<Member>> m_parts;
    std::map<BatchId, std::vector<Member>> m_inFlight;
    std::set<std::string> m_keysInFlight;
    std::optional<base::Instant> m_lastSentAt;
    int64_t m_counter = 0;
    uint64_t m_transactions = 0;
};

} // namespace toucanstep::calls
