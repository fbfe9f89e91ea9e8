// What a gateway knows of each upstream: the last report of its sidecar, and this gateway's own dispatches since.
//
// Every answer of a sidecar carries a report. A report names the highest dispatch number of this gateway that it already
// counts; dispatches above it are added by the gateway itself. Dispatches to one sidecar are numbered in sending order.

#pragma once

#include "toucanstep/routing/ExpectedWait.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>

namespace toucanstep::routing {

using DispatchNumber = base::StrongNumber<struct DispatchNumberTag>;

struct UpstreamReport {
    // Grows with each report of a sidecar process; `incarnation` with each start of that process. Older ones are dropped.
    int64_t incarnation = 0;
    int64_t sequence = 0;
    UpstreamLoad load;
    DispatchNumber lastDispatchSeen;
    bool leaving = false;
    // A suspected request runs alone there.
    bool quarantining = false;
};

struct UpstreamEntry {
    UpstreamReport report;
    std::optional<base::Instant> reportedAt;
    bool connected = false;
    // The platform's list says that it terminates.
    bool terminating = false;
    // Own dispatches that no report counts yet, and that have not ended.
    std::map<DispatchNumber, NewRequest> unreported;
    DispatchNumber lastDispatch;
};

class UpstreamTable {
public:
    // Returns false for a report that is older than the known one; it changes nothing.
    bool report(const base::UpstreamId&, UpstreamReport, base::Instant now);
    void setConnected(const base::UpstreamId&, bool);
    void setTerminating(const base::UpstreamId&, bool);
    DispatchNumber dispatched(const base::UpstreamId&, NewRequest);
    // The dispatch was answered, refused or given up.
    void ended(const base::UpstreamId&, DispatchNumber);
    void erase(const base::UpstreamId&);
    const UpstreamEntry* find(const base::UpstreamId&) const;

    // The reported figures with this gateway's unreported dispatches added.
    static UpstreamLoad currentLoad(const UpstreamEntry&);

private:
    absl::flat_hash_map<base::UpstreamId, UpstreamEntry> m_entries;
};

} // namespace toucanstep::routing
