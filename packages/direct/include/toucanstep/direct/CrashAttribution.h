// Finds what the calls that crash upstreams have in common, and refuses the calls that have it.
//
// An upstream runs many calls at once, and all of them break off when it crashes. Which of them was the cause is learned from several
// crashes. A call has traits: the request as a whole, and each part of its prompt but the last, which belongs to the call or its
// session. Each gateway tells the others the traits of its calls that broke off at a crash before their answers had gone on for a while.
// An answer that is complete, or has gone on for a while, clears the traits of its call at every gateway. A trait is refused once
// enough crashes have it in common.
//
// A crash that a refused trait explains is no evidence against the other calls that ran there. Crashes that happen at the same time count
// as one, since a common cause, such as a lost network link, is more likely than several calls. That does not hold for a request that was
// sent again after the first of them.
//
// Which of two requests that are always at the same upstreams is the cause cannot be told. Once a request was in three crashes
// that cannot all have one common cause it is refused whatever else explains them, so that the crashes under one request have a bound.
//
// The verdict depends only on the crashes and clearings that a gateway has heard of. Their merging is commutative and idempotent, so
// gateways that have heard the same refuse the same.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/routing/Quarantine.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace toucanstep::direct {

// Digest of a request or of a part of a prompt.
using CallTrait = base::StrongNumber<struct CallTraitTag>;

CallTrait requestTrait(const routing::RequestFingerprint&);
// `hash` identifies the content of a part of a prompt.
CallTrait partTrait(std::string_view hash);

struct CallTraits {
    CallTrait request;
    // In prompt order, without the last part of the prompt.
    std::vector<CallTrait> parts;
};

// A call that ran at an upstream when it crashed.
struct CrashSuspect {
    CallTraits traits;
    // From its sending to the crash; nothing if that is not known.
    std::optional<base::Duration> inFlight;
};

// What gateways tell each other.
struct CrashReport {
    routing::CrashId crash;
    // Since the crash.
    base::Duration age {};
    std::vector<CrashSuspect> suspects;
};

struct TraitRefusal {
    CallTrait trait;
    base::Duration remaining {};
};

struct CrashNews {
    std::vector<CrashReport> crashes;
    std::vector<CallTrait> cleared;
    std::vector<TraitRefusal> refusals;
};

class CrashAttribution {
public:
    // The upstream has crashed while these calls of this gateway were in flight.
    void onCrash(const routing::CrashId&, base::Instant crashedAt, const std::vector<CrashSuspect>&, base::Instant now);
    // An answer has shown that the call's traits crash nothing.
    void onCleared(const CallTraits&, base::Instant now);
    // Whether a call with these traits is refused. Refusals that still happen keep the trait refused.
    bool refuses(const CallTraits&, base::Instant now);
    // Whether one of the traits has been in a crash and is not cleared: sending the call again may crash another upstream.
    bool isSuspected(const CallTraits&) const;
    // When the refusal of calls with these traits ends, unless more of them come.
    std::optional<base::Instant> refusedUntil(const CallTraits&, base::Instant now) const;
    // Only one gateway lets a call with a refused trait through from time to time, to find out whether it was refused wrongly.
    void setMakesTrials(bool makesTrials) { m_makesTrials = makesTrials; }

    // `everything`: also what other gateways have told, for a gateway that may have heard nothing of it.
    CrashNews news(bool everything, base::Instant now);
    void onPeerNews(const CrashNews&, base::Instant now);
    // What the store has kept.
    void onStoredRefusal(CallTrait, base::Instant now);
    void onStoredEnd(CallTrait, base::Instant now);

    bool isRefused(CallTrait, base::Instant now) const;
    bool isCleared(CallTrait) const;
    // Without those that are so recent that the next crash may show another cause.
    std::vector<CallTrait> settledRefusals(base::Instant now) const;
    // Returns and forgets the traits that have been refused since the last call.
    std::vector<CallTrait> takeNewlyRefused();
    void expire(base::Instant now);

private:
    struct Crash {
        base::Instant crashedAt;
        // By request.
        std::map<CallTrait, CrashSuspect> suspects;
        // Of this gateway's own calls.
        std::set<CallTrait> own;
        base::Instant toldUntil;
        // Suspects that have been answered since.
        std::set<CallTrait> clearedRequests;
        bool knowsParts = false;
    };
    struct Refusal {
        base::Instant until;
        // When this gateway has refused the trait by the crashes that it knows; nothing if it has been told.
        std::optional<base::Instant> judgedAt;
        base::Instant nextTrial;
        base::Duration trialInterval {};
    };
    // A trait that may have caused the crashes that have it in common.
    struct Candidate {
        CallTrait trait;
        bool isPart = false;
        // In the prompts; the largest if they differ.
        size_t position = 0;
        int64_t independentCrashes = 0;
        std::set<base::Instant> crashTimes;
        std::set<std::pair<base::Instant, CallTrait>> calls;
        std::set<CallTrait> requests;
    };

    // When and after which sending a request was in a crash.
    struct Occurrence {
        base::Instant crashedAt;
        std::optional<base::Instant> sentAt;
    };

    bool addSuspects(const routing::CrashId&, base::Instant crashedAt, const std::vector<CrashSuspect>&, bool own, base::Instant now);
    static Occurrence occurrenceOf(const Crash&, const CrashSuspect&);
    // Crashes that no common cause can explain: they lie apart in time, or the request was sent again after the crash before.
    static int64_t countIndependent(std::vector<Occurrence>&);
    void clear(CallTrait, base::Instant now);
    void clearInCrashes(CallTrait request);
    void forgetParts(Crash&);
    void remember(CallTrait, base::Instant now);
    void refuse(CallTrait, base::Instant until, std::optional<base::Instant> judgedAt, base::Instant now);
    // Whether the evidence for the refusal is still known, so that further crashes may show another cause.
    static bool isRevisable(const Refusal&, base::Instant now);
    // Whether others are told of the refusal.
    static bool isSettled(const Refusal&, base::Instant now);
    // Refuses traits until none has evidence enough; withdraws revisable refusals for which there is no longer evidence enough.
    void judge(base::Instant now);
    // The traits that most independent crashes have in common.
    std::vector<Candidate> candidates(base::Instant now) const;
    // The call may have caused its crash: no other call there has a refused trait.
    template <typename Visitor>
    void forEachPossibleCause(base::Instant now, Visitor) const;
    static bool explainsBetter(const Candidate&, const Candidate&);
    static std::optional<CallTrait> verdict(const std::vector<Candidate>&);
    static void logUndecided(const std::vector<Candidate>&);
    // Some call there has a refused part.
    bool isExplainedByPart(const Crash&, base::Instant now) const;
    // The requests that were in so many crashes that they are refused although others were there too.
    std::vector<CallTrait> repeatedlyCrashed(base::Instant now) const;
    // The refusal is not withdrawn by further crashes, and told and stored at once.
    void refuseForGood(CallTrait request, base::Instant now);
    bool hasRefusedTrait(const CallTraits&, base::Instant now) const;
    bool isStruck(CallTrait trait) const { return m_strikes.contains(trait.value()); }
    void countStrikes(const CallTraits&, int64_t change);
    std::map<routing::CrashId, Crash>::iterator forget(std::map<routing::CrashId, Crash>::iterator);

    std::map<routing::CrashId, Crash> m_crashes;
    // The suspects that have the trait, over all crashes.
    absl::flat_hash_map<int64_t, int64_t> m_strikes;
    std::map<CallTrait, Refusal> m_refusals;
    // Until when peers and the store may still say that a trait is refused which this gateway no longer refuses.
    std::map<CallTrait, base::Instant> m_withdrawn;
    std::vector<CallTrait> m_newlyRefused;
    // Two generations bound the number and the age of the traits that are known to be harmless.
    absl::flat_hash_set<int64_t> m_cleared;
    absl::flat_hash_set<int64_t> m_clearedBefore;
    base::Instant m_generationBegan;
    // Until when peers are told that a trait is cleared.
    std::map<CallTrait, base::Instant> m_clearingsTold;
    bool m_makesTrials = false;
};

} // namespace toucanstep::direct
