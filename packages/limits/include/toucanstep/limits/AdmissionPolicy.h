// Policies that limit client accounts across all gateways, behind a common interface so that they can be compared on
// the same arrivals. The product charges shares, as SharePolicy does; the others are baselines.
//
// One object represents one gateway. Calls are synchronous: what a policy needs from elsewhere (another gateway's
// share, the central counter) is behind an abstract interface that the caller implements.

#pragma once

#include "toucanstep/limits/ChargeCoordinator.h"
#include "toucanstep/limits/ShareTable.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace toucanstep::limits {

struct PolicyDecision {
    bool admitted = false;
    base::RefusalCode code = base::RefusalCode::RateLimited;
    std::optional<base::Instant> retryAt;
};

class AdmissionPolicy {
public:
    virtual ~AdmissionPolicy() = default;
    virtual void setLimits(const base::ClientAccountId&, BucketLimits total, base::Instant now) = 0;
    virtual PolicyDecision admit(const AccountCharge&, base::Instant now) = 0;
    // Called when the response has ended; returns the unused tokens of an admitted request.
    virtual void settle(const base::RequestId&, base::Tokens unused, base::Instant now) = 0;
};

// Delivers messages to share holders. charge() waits for the reply and returns nullopt if none arrives in time.
class ChargeTransport {
public:
    virtual ~ChargeTransport() = default;
    virtual std::optional<ChargeReply> charge(const base::InstanceId& to, const ChargeRequest&) = 0;
    virtual void send(const base::InstanceId& to, const ChargeMessage&) = 0;
    // All shares of an account with their holders and latest hints.
    virtual std::vector<ShareView> shares(const base::ClientAccountId&, base::Instant now) = 0;
};

// Charges the full cost to the holders of the account's shares.
class SharePolicy final : public AdmissionPolicy {
public:
    SharePolicy(ChargeOptions, ChargeTransport&);
    // Not used here: holders get the limits through their ShareTable.
    void setLimits(const base::ClientAccountId&, BucketLimits, base::Instant) override { }
    PolicyDecision admit(const AccountCharge&, base::Instant now) override;
    void settle(const base::RequestId&, base::Tokens unused, base::Instant now) override;

private:
    ChargeOptions m_options;
    ChargeTransport& m_transport;
    absl::flat_hash_map<base::RequestId, std::vector<ChargedPart>> m_admitted;
};

// Baseline: each of N gateways enforces 1/N of every limit on its own.
class StaticPolicy final : public AdmissionPolicy {
public:
    StaticPolicy(int gatewayIndex, int gatewayCount);
    void setLimits(const base::ClientAccountId&, BucketLimits total, base::Instant now) override;
    PolicyDecision admit(const AccountCharge&, base::Instant now) override;
    void settle(const base::RequestId&, base::Tokens unused, base::Instant now) override;

private:
    int m_gatewayIndex;
    int m_gatewayCount;
    absl::flat_hash_map<base::ClientAccountId, ShareHolder> m_buckets;
    absl::flat_hash_map<base::RequestId, base::ClientAccountId> m_admitted;
};

// Grants parts of an account's tokens as leases that expire.
class LeaseAuthority {
public:
    struct Grant {
        base::Tokens amount;
        base::Instant expiresAt;
    };
    virtual ~LeaseAuthority() = default;
    // Takes up to `wanted` tokens from the account's bucket. Returns nullopt if the authority is unreachable.
    virtual std::optional<Grant> acquire(const base::ClientAccountId&, base::Tokens wanted, base::Instant now) = 0;
    // Earliest time at which the account's bucket holds `amount`.
    virtual std::optional<base::Instant> availableAt(const base::ClientAccountId&, base::Tokens amount, base::Instant now) = 0;
};

// Baseline: gateways lease tokens in blocks from an authority; tokens left when the lease expires are lost.
class LeasePolicy final : public AdmissionPolicy {
public:
    // A block is an account's burst divided by `blocksPerBurst`.
    LeasePolicy(LeaseAuthority&, int64_t blocksPerBurst);
    void setLimits(const base::ClientAccountId&, BucketLimits total, base::Instant now) override;
    PolicyDecision admit(const AccountCharge&, base::Instant now) override;
    // Returns unused tokens to the lease if it has not expired.
    void settle(const base::RequestId&, base::Tokens unused, base::Instant now) override;

private:
    struct Leased {
        BucketLimits total;
        base::Tokens amount;
        base::Instant expiresAt;
    };

    LeaseAuthority& m_authority;
    int64_t m_blocksPerBurst;
    absl::flat_hash_map<base::ClientAccountId, Leased> m_leased;
    absl::flat_hash_map<base::RequestId, base::ClientAccountId> m_admitted;
};

// Stores each account's bucket in the key-value service.
class CounterStore {
public:
    struct Value {
        base::Revision revision;
        NanoTokens balance;
        base::Instant updatedAt;
    };
    virtual ~CounterStore() = default;
    // Returns nullopt if the service is unreachable.
    virtual std::optional<Value> read(const base::ClientAccountId&) = 0;
    // Returns true if the write took effect, false if another write came first, nullopt if the reply was lost.
    virtual std::optional<bool> compareAndSwap(const base::ClientAccountId&, const Value& next) = 0;
};

// Baseline: one bucket per account in the key-value service, read and updated by compare-and-swap on every request.
class CentralPolicy final : public AdmissionPolicy {
public:
    // Refuses a request after `attempts` failed compare-and-swap operations.
    CentralPolicy(CounterStore&, int attempts);
    void setLimits(const base::ClientAccountId&, BucketLimits total, base::Instant now) override;
    PolicyDecision admit(const AccountCharge&, base::Instant now) override;
    // Adds the unused tokens, up to the burst, by compare-and-swap. Unlike ShareHolder, this does not record how full
    // the bucket was since the charge, so an account can exceed its bound.
    void settle(const base::RequestId&, base::Tokens unused, base::Instant now) override;

private:
    CounterStore& m_store;
    int m_attempts;
    absl::flat_hash_map<base::ClientAccountId, BucketLimits> m_limits;
    absl::flat_hash_map<base::RequestId, base::ClientAccountId> m_admitted;
};

} // namespace toucanstep::limits
