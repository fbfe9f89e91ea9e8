// Bounds the memory that a gateway holds for its callers: request bodies, and answers that callers have not taken yet.
//
// Load pattern: many callers read slowly or not at all while upstreams send large answers, or callers send large requests slowly.
// An upstream is not read while its caller leaves more than the call's part of the memory unread. That part is half of the call's
// bound, and an eighth of the room below three quarters of the account's and of the gateway's bound: parts shrink as the memory fills, so
// calls whose callers read keep room however many others do not.
//
// Upstreams cut off an answer that stays unread for some seconds. So a paused upstream is read again in small pieces until the call's
// bound is reached; the last quarter of the other bounds is left for that. Where a piece or another byte finds no room within the account's
// or the gateway's bound, the call with the largest product of held bytes and time since its caller last took bytes ends.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/Imports.h"

#include <map>
#include <vector>

namespace toucanstep::scheduling {

// A call, or a request that is still being read.
using MemoryHolder = base::StrongNumber<struct MemoryHolderTag>;

struct CallerMemorySettings {
    base::Bytes perCall { 1024 * 1024 };
    base::Bytes perAccount { 32 * 1024 * 1024 };
    base::Bytes total { 64 * 1024 * 1024 };
    // A paused upstream is read this often, which is well within the time after which upstreams cut off unread answers.
    base::Duration pieceInterval = std::chrono::milliseconds(800);
    // Less does not make the kernel announce room to the upstream, see Client's receive buffer.
    base::Bytes piece { 32 * 1024 };
};

struct HeldBytes {
    base::Bytes request;
    base::Bytes answer;
};

enum class MemoryAction {
    // Do not read the call's upstream.
    Pause,
    Resume,
    // Read the paused upstream once, up to one piece.
    ReadPiece,
    // End the call so that its answer does not look whole. It is no longer counted.
    End,
};

struct MemoryDecision {
    MemoryHolder holder;
    MemoryAction action = MemoryAction::Pause;
    // For the log.
    base::Bytes held;
    base::Duration sinceTaken {};
};

using MemoryDecisions = std::vector<MemoryDecision>;

class CallerMemory {
public:
    explicit CallerMemory(CallerMemorySettings);

    // Without an account no account's bound applies: that of a request is not known before it is read.
    MemoryHolder add(const base::ClientAccountId&, base::Instant now);
    // Releases what it holds.
    void remove(MemoryHolder);
    // The holder holds this much now, after bytes were added.
    MemoryDecisions onBuffered(MemoryHolder, HeldBytes, base::Instant now);
    // The holder holds this much now, after its caller has taken bytes.
    MemoryDecisions onTaken(MemoryHolder, HeldBytes, base::Instant now);
    // What is due without an event. To be called several times a second.
    MemoryDecisions tick(base::Instant now);

    bool paused(MemoryHolder) const;
    base::Bytes held() const { return m_held; }
    base::Bytes heldBy(const base::ClientAccountId&) const;
    const CallerMemorySettings& settings() const { return m_settings; }

private:
    struct Holder {
        base::ClientAccountId account;
        HeldBytes held;
        base::Instant lastTaken;
        base::Instant nextPiece;
        bool paused = false;

        base::Bytes total() const { return held.request + held.answer; }
    };
    using Holders = std::map<MemoryHolder, Holder>;

    void set(Holder&, HeldBytes);
    // The answer bytes above which the holder's upstream is paused.
    base::Bytes pauseAbove(const Holder&) const;
    void pauseOrResume(MemoryHolder, Holder&, base::Instant now, MemoryDecisions&) const;
    // Ends holders until `more` fits into the bounds of the account and of the gateway.
    void makeRoom(const base::ClientAccountId&, base::Bytes more, base::Instant now, MemoryDecisions&);
    void endWorst(const base::ClientAccountId* account, base::Instant now, MemoryDecisions&);

    CallerMemorySettings m_settings;
    Holders m_holders;
    std::map<base::ClientAccountId, base::Bytes> m_heldByAccount;
    base::Bytes m_held;
    MemoryHolder m_last;
};

} // namespace toucanstep::scheduling
