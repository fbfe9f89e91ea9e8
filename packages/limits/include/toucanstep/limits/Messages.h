// Shares of client accounts' limits, and the messages by which gateways charge one another's shares.
//
// A share is a slice of an account's rate and burst with one holder. The slices of an account sum to exactly its limits.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/limits/TokenBucket.h"

#include <string>
#include <variant>
#include <vector>

namespace toucanstep::limits {

// One try of a request to take tokens from one share. A retry of the same try carries the same id.
using ChargeId = base::StrongId<struct ChargeIdTag>;

struct ShareId {
    base::ClientAccountId account;
    // From 0; also the order in which gateways gather from several shares.
    int index = 0;

    friend auto operator<=>(const ShareId&, const ShareId&) = default;
    friend bool operator==(const ShareId&, const ShareId&) = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const ShareId& id)
    {
        return Hash::combine(std::move(state), id.account, id.index);
    }
};

// The slices of `whole` for `count` shares (at least one). Remainders go one token each to the first shares, so the
// slices sum to exactly `whole`.
std::vector<BucketLimits> splitLimits(BucketLimits whole, int count);

// The state of a share as its holder sees it; rides on every reply, and on other messages between gateways.
struct ShareHint {
    ShareId share;
    base::Epoch epoch;
    NanoTokens balance;
    BucketLimits limits;
};

struct ChargeRequest {
    ChargeId charge;
    ShareId share;
    // The epoch of the row by which the sender found the holder; another epoch is answered NotHolder.
    base::Epoch epoch;
    // Takes as much as is in balance between the two bounds, or nothing.
    base::Tokens minimum;
    base::Tokens wanted;
    // Set on the first share of a gathering: asks for the turn to gather, for this long at most. Zero asks for none.
    base::Duration lockTtl {};
    // Which request gathers; all its charges carry the same value.
    base::RequestId gatherer;
};

enum class ChargeResult {
    Granted,
    Insufficient,
    // Another request is gathering; ask again when `retryAfter` has passed.
    Busy,
    // The receiver does not hold the share in that epoch; nothing was taken.
    NotHolder,
};

struct ChargeReply {
    ChargeId charge;
    ChargeResult result = ChargeResult::NotHolder;
    base::Tokens granted;
    base::Duration retryAfter {};
    ShareHint hint;
};

// Gives back what a charge did not use; its first arrival settles the charge and later ones do nothing.
struct ChargeReturn {
    ChargeId charge;
    ShareId share;
    base::Epoch epoch;
    base::Tokens unused;
};

// Ends the turn to gather before its time.
struct GatherUnlock {
    ShareId share;
    base::Epoch epoch;
    base::RequestId gatherer;
};

// The balance of a share that its holder gave up on a planned stop. The holder has already dropped it.
struct Handover {
    ShareId share;
    // The giver's epoch; the taker holds the row in the next one.
    base::Epoch epoch;
    NanoTokens balance;
};

using ChargeMessage = std::variant<ChargeRequest, ChargeReturn, GatherUnlock>;

struct AddressedMessage {
    base::InstanceId to;
    ChargeMessage message;
};

} // namespace toucanstep::limits
