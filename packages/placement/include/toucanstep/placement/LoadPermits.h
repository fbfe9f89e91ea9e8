// Limits concurrent loads from the weight store, so that they don't exceed its bandwidth.
//
// One gateway, the home of the permits, keeps the LoadPermits table; sidecars request a permit from it before each load.
// Waiting requests are ordered by earliest deadline, then by greater weight. A permit is a lease that expires, so a borrower
// that crashed blocks it only for a limited time. Sidecars use FallbackLoadLimiter while that gateway is unreachable.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace toucanstep::placement {

using PermitId = base::StrongNumber<struct PermitIdTag>;

enum class PermitKind {
    Model,
    Adapter,
};

struct PermitRequest {
    base::UpstreamId borrower;
    base::ModelId model;
    PermitKind kind = PermitKind::Model;
    base::Instant earliestDeadline;
    int64_t weight = 1;
    base::Duration loadTime {};
};

struct PermitLease {
    PermitId id;
    base::UpstreamId borrower;
    base::ModelId model;
    PermitKind kind = PermitKind::Model;
    // Expiry time of the lease.
    base::Instant until;
};

struct PermitSettings {
    int64_t models = 4;
    int64_t adapters = 30;
    // Lease duration in percent of the expected load time; never shorter than `minimumLease`.
    int64_t leasePercent = 300;
    base::Duration minimumLease = std::chrono::seconds(5);
    // A waiting request expires if it is not repeated within this time.
    base::Duration requestExpiry = std::chrono::seconds(3);
};

class LoadPermits {
public:
    explicit LoadPermits(PermitSettings);
    // Requests a permit, or repeats the request with an updated deadline; there is one request per borrower and model.
    // Idempotent: a permit already leased to the borrower is returned again, so a lost response leaks no permit.
    std::optional<PermitLease> requestPermit(const PermitRequest&, base::Instant now);
    // Cancels a waiting request that no caller needs any more.
    void withdraw(const base::UpstreamId&, const base::ModelId&);
    void release(PermitId);
    // Leases free permits to the waiting requests in order and returns the leases granted by this call.
    std::vector<PermitLease> tick(base::Instant now);
    int64_t leasedCount(PermitKind, base::Instant now) const;
    // Estimates when this request would get a permit if it were made now.
    base::Instant expectedAt(const PermitRequest&, base::Instant now) const;

private:
    struct Key {
        base::UpstreamId borrower;
        base::ModelId model;
        auto operator<=>(const Key&) const = default;
    };
    struct Waiting {
        PermitRequest request;
        base::Instant lastRequested;
    };
    int64_t limit(PermitKind) const;
    void expire(base::Instant now);
    const PermitLease* findLease(const Key&) const;
    static bool before(const PermitRequest&, const PermitRequest&);

    PermitSettings m_settings;
    std::map<Key, Waiting> m_waiting;
    std::map<PermitId, PermitLease> m_leases;
    std::map<PermitId, base::Instant> m_expectedEnd;
    PermitId m_lastId;
};

struct FallbackLoadLimiterSettings {
    PermitSettings fleet;
    // Last known number of sidecars that share the store.
    int64_t sidecars = 1;
};

// Estimates a sidecar's fair share of the store while the permits' gateway is unreachable: one load of each kind at a time,
// with the load starts spaced so that all sidecars together start loads no faster than the store completes them.
class FallbackLoadLimiter {
public:
    // `phaseThousandths`, 0..999, delays the first load by that fraction of the first interval. The caller chooses it at
    // random.
    FallbackLoadLimiter(FallbackLoadLimiterSettings, int64_t phaseThousandths, base::Instant now);
    bool tryBegin(PermitKind, base::Duration loadTime, base::Instant now);
    void ended(PermitKind);

private:
    struct Lane {
        int64_t running = 0;
        base::Instant nextBegin;
        bool phaseApplied = false;
    };
    FallbackLoadLimiterSettings m_settings;
    int64_t m_phaseThousandths;
    Lane m_models;
    Lane m_adapters;
};

} // namespace toucanstep::placement
