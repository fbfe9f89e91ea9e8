// Shares of client accounts' limits, and the messages that gateways exchange to charge shares held elsewhere.
//
// A share is a slice of an account's rate and burst and has a single holder. The slices of an account sum to exactly
// its limits.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/limits/TokenBucket.h"

#include <string>
#include <variant>
#include <vector>

namespace toucanstep::limits {

// Identifies one attempt of a request to take tokens from one share. A retransmission carries the same id.
using ChargeId = base::StrongId<struct ChargeIdTag>;

struct ShareId {
    base::ClientAccountId account;
    // Zero-based; also the order in which gateways gather from several shares.
    int index = 0;

    friend auto operator<=>(const ShareId&, const ShareId&) = default;
    friend bool operator==(const ShareId&, const ShareId&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const ShareId& id)
    {
        return Hash::combine(std::move(state), id.account, id.index);
    }
};

// Splits `total` into `count` slices (at least one). The remainder is distributed one token each to the first slices,
// so that the slices sum to exactly `total`.
std::vector<BucketLimits> splitLimits(BucketLimits total, int count);

// State of a share as seen by its holder. Included in every charge reply and piggybacked on other messages between
// gateways.
struct ShareHint {
    ShareId share;
    base::Epoch epoch;
    NanoTokens balance;
    BucketLimits limits;
};

struct ChargeRequest {
    ChargeId charge;
    ShareId share;
    // Epoch of the assignment row in which the sender found the holder. A holder in another epoch replies NotHolder.
    base::Epoch epoch;
    // The holder takes as much as is available between the two bounds, or nothing.
    base::Tokens minimum;
    base::Tokens wanted;
    // Set on the first charge of a gather: requests the gather lock for at most this time. Zero requests no lock.
    base::Duration lockTtl {};
    // The gathering request; the same on all its charges.
    base::RequestId gatherer;
};

enum class ChargeResult {
    Granted,
    Insufficient,
    // Another request holds the gather lock; retry after `retryAfter`.
    Busy,
    // The receiver does not hold the share in the given epoch; nothing was taken.
    NotHolder,
};

struct ChargeReply {
    ChargeId charge;
    ChargeResult result = ChargeResult::NotHolder;
    base::Tokens granted;
    base::Duration retryAfter {};
    ShareHint hint;
};

// Returns the unused tokens of a charge. The first copy settles the charge; further copies have no effect.
struct ChargeReturn {
    ChargeId charge;
    ShareId share;
    base::Epoch epoch;
    base::Tokens unused;
};

// Releases the gather lock before it expires.
struct GatherUnlock {
    ShareId share;
    base::Epoch epoch;
    base::RequestId gatherer;
};

// Balance of a share released by its holder in a planned shutdown. The sender has already dropped it.
struct Handover {
    ShareId share;
    // Epoch of the previous holder; the new holder has the row in the next epoch.
    base::Epoch epoch;
    NanoTokens balance;
};

using ChargeMessage = std::variant<ChargeRequest, ChargeReturn, GatherUnlock>;

struct AddressedMessage {
    base::InstanceId to;
    ChargeMessage message;
};

} // namespace toucanstep::limits
