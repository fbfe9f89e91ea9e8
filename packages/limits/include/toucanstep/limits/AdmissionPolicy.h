// The ways to limit client accounts over all gateways, behind one interface, so that they can be compared on the same
// arrivals. Shares are what the product runs; the others are baselines.
//
// One object stands for one gateway. Calls are synchronous: what a policy needs from elsewhere (another gateway's share,
// the central counter) is behind an abstract interface that the caller implements.

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
    virtual void setLimits(const base::ClientAccountId&, BucketLimits whole, base::Instant now) = 0;
    virtual PolicyDecision admit(const AccountCharge&, base::Instant now) = 0;
    // The answer has ended: gives back what an admitted request did not use.
    virtual void settle(const base::RequestId&, base::Tokens unused, base::Instant now) = 0;
};

// Carries a message to a holder and waits for its reply; nothing where no reply came in time.
class ChargeTransport {
public:
    virtual ~ChargeTransport() = default;
    virtual std::optional<ChargeReply> charge(const base::InstanceId& to, const ChargeRequest&) = 0;
    virtual void send(const base::InstanceId& to, const ChargeMessage&) = 0;
    // The shares of an account with their holders and latest hints.
    virtual std::vector<ShareView> shares(const base::ClientAccountId&, base::Instant now) = 0;
};

// Shares: the whole cost is charged to the holders of the account's shares.
class SharePolicy final : public AdmissionPolicy {
public:
    SharePolicy(ChargeOptions, ChargeTransport&);
    // Limits reach the holders through their ShareTable.
    void setLimits(const base::ClientAccountId&, BucketLimits, base::Instant) override { }
    PolicyDecision admit(const AccountCharge&, base::Instant now) override;
    void settle(const base::RequestId&, base::Tokens unused, base::Instant now) override;

private:
    ChargeOptions m_options;
    ChargeTransport& m_exchange;
    absl::flat_hash_map<base::RequestId, std::vector<ChargedPart>> m_admitted;
};

// Baseline: each of N gateways has 1/N of every limit for itself.
class StaticPolicy final : public AdmissionPolicy {
public:
    StaticPolicy(int gatewayIndex, int gatewayCount);
    void setLimits(const base::ClientAccountId&, BucketLimits whole, base::Instant now) override;
    PolicyDecision admit(const AccountCharge&, base::Instant now) override;
    void settle(const base::RequestId&, base::Tokens unused, base::Instant now) override;

private:
    int m_gatewayIndex;
    int m_gatewayCount;
    absl::flat_hash_map<base::ClientAccountId, ShareHolder> m_buckets;
    absl::flat_hash_map<base::RequestId, base::ClientAccountId> m_admitted;
};

// Grants parts of an account's tokens, each with a time after which it is void.
class LeaseAuthority {
public:
    struct Grant {
        base::Tokens amount;
        base::Instant expiresAt;
    };
    virtual ~LeaseAuthority() = default;
    // Takes up to `wanted` from the account's bucket; nothing where the authority can't be reached.
    virtual std::optional<Grant> acquire(const base::ClientAccountId&, base::Tokens wanted, base::Instant now) = 0;
    // When `amount` will be in the account's bucket.
    virtual std::optional<base::Instant> availableAt(const base::ClientAccountId&, base::Tokens amount, base::Instant now) = 0;
};

// Baseline: tokens are leased from an authority in blocks, and what a gateway holds is lost when the lease expires.
class LeasePolicy final : public AdmissionPolicy {
public:
    // `blocksPerBurst` blocks make up an account's burst.
    LeasePolicy(LeaseAuthority&, int64_t blocksPerBurst);
    void setLimits(const base::ClientAccountId&, BucketLimits whole, base::Instant now) override;
    PolicyDecision admit(const AccountCharge&, base::Instant now) override;
    // Unused tokens come back into the lease, as long as it runs.
    void settle(const base::RequestId&, base::Tokens unused, base::Instant now) override;

private:
    struct Leased {
        BucketLimits whole;
        base::Tokens amount;
        base::Instant expiresAt;
    };

    LeaseAuthority& m_authority;
    int64_t m_blocksPerBurst;
    absl::flat_hash_map<base::ClientAccountId, Leased> m_leased;
    absl::flat_hash_map<base::RequestId, base::ClientAccountId> m_admitted;
};

// One account's bucket in the key-value service.
class CounterStore {
public:
    struct Value {
        base::Revision revision;
        NanoTokens balance;
        base::Instant updatedAt;
    };
    virtual ~CounterStore() = default;
    // Nothing where the service can't be reached.
    virtual std::optional<Value> read(const base::ClientAccountId&) = 0;
    // True where the write took effect, false where another came first, nothing where the answer was lost.
    virtual std::optional<bool> compareAndSwap(const base::ClientAccountId&, const Value& next) = 0;
};

// Baseline: one bucket in the key-value service, read and compare-and-swapped for every request.
class CentralPolicy final : public AdmissionPolicy {
public:
    // Tries the swap `attempts` times before it refuses.
    CentralPolicy(CounterStore&, int attempts);
    void setLimits(const base::ClientAccountId&, BucketLimits whole, base::Instant now) override;
    PolicyDecision admit(const AccountCharge&, base::Instant now) override;
    // Adds what was not used, up to the burst, by another compare-and-swap. Unlike a share this keeps no record of how
    // full the bucket was in between, so an account can get more than its bound.
    void settle(const base::RequestId&, base::Tokens unused, base::Instant now) override;

private:
    CounterStore& m_store;
    int m_attempts;
    absl::flat_hash_map<base::ClientAccountId, BucketLimits> m_limits;
    absl::flat_hash_map<base::RequestId, base::ClientAccountId> m_admitted;
};

} // namespace toucanstep::limits
