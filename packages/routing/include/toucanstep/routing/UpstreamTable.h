// A gateway's view of each upstream: the last load report of its sidecar, and this gateway's own dispatches since then.
//
// Every response of a sidecar carries a report. A report contains the highest dispatch number of this gateway that it
// includes; the gateway adds later dispatches itself. Dispatches to one sidecar are numbered in sending order.

#pragma once

#include "toucanstep/routing/ExpectedWait.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>

namespace toucanstep::routing {

using DispatchNumber = base::StrongNumber<struct DispatchNumberTag>;

struct UpstreamReport {
    // `sequence` increases with each report of a sidecar process, `incarnation` with each start of that process. Reports that
    // are not newer than the last one are dropped.
    int64_t incarnation = 0;
    int64_t sequence = 0;
    UpstreamLoad load;
    DispatchNumber lastDispatchSeen;
    bool leaving = false;
    // The upstream is running a suspected request in isolation.
    bool quarantining = false;
};

struct UpstreamEntry {
    UpstreamReport report;
    std::optional<base::Instant> reportedAt;
    bool connected = false;
    // The platform's instance list shows it as terminating.
    bool terminating = false;
    // This gateway's dispatches that have not ended and that no report includes yet.
    std::map<DispatchNumber, NewRequest> unreported;
    DispatchNumber lastDispatch;
};

class UpstreamTable {
public:
    // Ignores a report that is not newer than the last one, and returns false.
    bool report(const base::UpstreamId&, UpstreamReport, base::Instant now);
    void setConnected(const base::UpstreamId&, bool);
    void setTerminating(const base::UpstreamId&, bool);
    DispatchNumber dispatched(const base::UpstreamId&, NewRequest);
    // The dispatch was answered, refused or abandoned.
    void ended(const base::UpstreamId&, DispatchNumber);
    void erase(const base::UpstreamId&);
    const UpstreamEntry* find(const base::UpstreamId&) const;

    // The reported load plus this gateway's unreported dispatches.
    static UpstreamLoad currentLoad(const UpstreamEntry&);

private:
    absl::flat_hash_map<base::UpstreamId, UpstreamEntry> m_entries;
};

} // namespace toucanstep::routing
