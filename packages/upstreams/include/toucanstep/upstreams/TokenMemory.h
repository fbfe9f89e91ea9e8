// Bounds the tokens (prompt and maximum output) of the calls in flight at an engine, over all gateways, to what its memory holds.
//
// Load pattern: long prompts and answers at many engines with little memory; calls that fit the slots exceed it, and the engine ends.
//
// Each gateway has the part of the capacity that FleetShare gives it. A gateway that has room lends some to one that lacks it: its reports
// state a grant for each borrower, and the borrower's reports state what it still holds of it. A gateway adds a call only if
//
//     own tokens + the call's <= own part - lent + grants that were heard lately,
//
// where `lent` to a peer is the largest of the present grant, of what the peer holds, and of the grants that it may not have heard. What a
// borrower uses is therefore always counted by its lender, whatever reports are lost, delayed or never sent, and the sum over all gateways
// is at most the sum of the parts. Parts used within a call's time of each other add up to the capacity if FleetShare's settling time is
// at least 2 * maxListAge + 2 s + peerSilence + the longest time of a call: by then the calls are over that were made by an earlier part,
// an earlier grant or an earlier process of the same gateway.
//
// A gateway that has just started or is cut off from the store has no part until it has settled; one that does not hear its peers uses its
// part alone.

#pragma once

#include "toucanstep/upstreams/FleetShare.h"
#include "toucanstep/upstreams/Imports.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace toucanstep::upstreams {

struct TokenMemorySettings {
    // A grant that was not confirmed for this long is not used any more.
    base::Duration peerSilence = std::chrono::milliseconds(350);
    // What a process that has ended or left the list may still hold counts for this long.
    base::Duration departedRetention = std::chrono::seconds(13);
    // A grant stays for this long after the borrower needed more.
    base::Duration wantTime = std::chrono::seconds(1);
    // A call that has waited for this long is given all that its lenders have.
    base::Duration longWait = std::chrono::milliseconds(300);
};

struct TokenGrant {
    base::UpstreamId upstream;
    base::InstanceId borrower;
    int64_t borrowerStart = 0;
    base::Tokens amount;
};

struct TokenHold {
    base::UpstreamId upstream;
    base::InstanceId lender;
    base::Tokens amount;
};

struct TokenWant {
    base::UpstreamId upstream;
    // What the gateway lacks.
    base::Tokens amount;
    // For how long it has lacked it.
    base::Duration age {};
};

struct HeardGrants {
    base::InstanceId lender;
    int64_t lenderStart = 0;
    // Of the last report.
    int64_t sequence = 0;
};

// Each report is complete: what it does not name is zero.
struct TokenReport {
    // Of the process that sends it.
    int64_t start = 0;
    int64_t sequence = 0;
    std::vector<TokenGrant> grants;
    std::vector<HeardGrants> heard;
    std::vector<TokenHold> holds;
    std::vector<TokenWant> wants;
};

class TokenMemory {
public:
    // FleetShare must be used for nothing else, and outlive this.
    TokenMemory(TokenMemorySettings, const FleetShare&, base::InstanceId self, int64_t start);

    // Zero: the upstream's tokens are not bounded.
    void setCapacity(const base::UpstreamId&, base::Tokens);
    // Otherwise the call can never run there.
    bool fits(const base::UpstreamId&, base::Tokens) const;
    // Whether the call may be sent there now. If not, the gateway asks its peers for room.
    bool mayAdd(const base::UpstreamId&, base::Tokens, base::Instant now);
    void onAdded(const base::UpstreamId&, base::Tokens);
    void onEnded(const base::UpstreamId&, base::Tokens);
    base::Tokens inUse(const base::UpstreamId&) const;

    // To be sent to all peers at each interval.
    TokenReport report(base::Instant now);
    void onReport(const base::InstanceId& peer, const TokenReport&, base::Instant now);

private:
    struct Loan {
        // As a lender.
        int64_t granted = 0;
        int64_t held = 0;
        base::Instant lastWanted;
        // Grants by the sequence of the report that stated them, which the borrower may not have heard.
        std::vector<std::pair<int64_t, int64_t>> unheard;
        // As a borrower.
        int64_t offered = 0;
        int64_t holding = 0;

        int64_t lent() const;
        bool empty() const { return !lent() && !offered && !holding; }
    };
    struct Want {
        int64_t amount = 0;
        base::Instant since;
        base::Instant last;
    };
    struct Departed {
        int64_t amount = 0;
        base::Instant until;
    };
    struct Engine {
        int64_t capacity = 0;
        int64_t own = 0;
        std::map<base::InstanceId, Loan> loans;
        std::vector<Departed> departed;
        std::optional<Want> want;
        std::map<base::InstanceId, Want> peerWants;
    };
    struct Peer {
        int64_t start = 0;
        int64_t sequence = 0;
        base::Instant lastHeard;
    };

    bool isHeard(const base::InstanceId&, base::Instant now) const;
    // The gateway's own part, less what it has lent.
    int64_t ownRoom(const base::UpstreamId&, const Engine&, base::Instant now) const;
    int64_t borrowed(const Engine&, base::Instant now) const;
    void updateGrants(const base::UpstreamId&, Engine&, base::Instant now);
    void updateHolds(const base::UpstreamId&, Engine&, base::Instant now);
    void append(const base::UpstreamId&, Engine&, TokenReport&, base::Instant now) const;
    void onNewStart(const base::InstanceId& peer, base::Instant now);

    TokenMemorySettings m_settings;
    const FleetShare& m_share;
    base::InstanceId m_self;
    int64_t m_start;
    int64_t m_sequence = 0;
    std::map<base::UpstreamId, Engine> m_engines;
    std::map<base::InstanceId, Peer> m_peers;
};

} // namespace toucanstep::upstreams
