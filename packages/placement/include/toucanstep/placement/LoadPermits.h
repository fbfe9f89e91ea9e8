// Permits to load from the weight store, so that it is not driven beyond its full speed.
//
// A LoadPermits table lies at one gateway, the permits' home. Sidecars ask it before a load. The earliest waiting deadline
// goes first, the greater weight among equal ones. Permits are soft: one is lent until a point of time and then counts as
// given back, so a borrower that died takes nothing for long. FallbackLoadLimiter stands in while the home can't be reached.

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
    // Counts as given back after this point.
    base::Instant until;
};

struct PermitSettings {
    int64_t models = 4;
    int64_t adapters = 30;
    // A permit is lent for this many percent of the expected load time, and at least for `shortestLoan`.
    int64_t loanPercent = 300;
    base::Duration shortestLoan = std::chrono::seconds(5);
    // A request that was not repeated for this long is forgotten.
    base::Duration askAgainWithin = std::chrono::seconds(3);
};

class LoadPermits {
public:
    explicit LoadPermits(PermitSettings);
    // Asks, or asks again with a newer deadline; one request for each borrower and model. A permit that is already lent
    // to it is returned again, so a lost answer costs nothing.
    std::optional<PermitLease> requestPermit(const PermitRequest&, base::Instant now);
    // Nobody waits any more.
    void withdraw(const base::UpstreamId&, const base::ModelId&);
    void release(PermitId);
    // Lends what is free to the first in order, and returns what was lent by this call.
    std::vector<PermitLease> tick(base::Instant now);
    int64_t lent(PermitKind, base::Instant now) const;
    // When a permit is expected for this request if it were asked for now.
    base::Instant expectedAt(const PermitRequest&, base::Instant now) const;

private:
    struct Key {
        base::UpstreamId borrower;
        base::ModelId model;
        auto operator<=>(const Key&) const = default;
    };
    struct Waiting {
        PermitRequest request;
        base::Instant asked;
    };
    int64_t limit(PermitKind) const;
    void expire(base::Instant now);
    const PermitLease* findLent(const Key&) const;
    static bool before(const PermitRequest&, const PermitRequest&);

    PermitSettings m_settings;
    std::map<Key, Waiting> m_waiting;
    std::map<PermitId, PermitLease> m_lent;
    std::map<PermitId, base::Instant> m_expectedEnd;
    PermitId m_last;
};

struct FallbackLoadLimiterSettings {
    PermitSettings fleet;
    // Sidecars that share the store, as last heard.
    int64_t sidecars = 1;
};

// A sidecar's guess at its fair part while the home can't be reached: one load at a time, and the begins of its loads so
// far apart that all sidecars together, doing the same, begin loads no faster than the store completes them.
class FallbackLoadLimiter {
public:
    // `phase` in 0..999 thousandths delays the first load within the first interval; drawn at random by the caller.
    FallbackLoadLimiter(FallbackLoadLimiterSettings, int64_t phaseThousandths, base::Instant now);
    bool tryBegin(PermitKind, base::Duration loadTime, base::Instant now);
    void ended(PermitKind);

private:
    struct Lane {
        int64_t running = 0;
        base::Instant next;
        bool phased = false;
    };
    FallbackLoadLimiterSettings m_settings;
    int64_t m_phaseThousandths;
    Lane m_models;
    Lane m_adapters;
};

} // namespace toucanstep::placement
