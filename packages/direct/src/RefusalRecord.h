// Keeps in the store which traits of calls are refused, since all gateways may end at once, and calls that crash upstreams go on coming.
//
// The planner writes the entries; gateways read them before they are ready.

#pragma once

#include "toucanstep/direct/CrashAttribution.h"
#include "toucanstep/direct/Directory.h"
#include "toucanstep/io/EventLoop.h"

#include <map>
#include <string_view>

namespace toucanstep::direct {

constexpr std::string_view refusalPrefix = "toucanstep/refusals/";

class RefusalRecord {
public:
    RefusalRecord(io::EventLoop&, base::KeyValueStore&, const Directory& fleet, CrashAttribution&);

    // Takes over an entry with that prefix.
    void onEntry(const base::KeyValue&);
    // Writes what the store does not have; to be called by the planner about once a second.
    void write();

private:
    std::vector<base::PutOperation> missing() const;
    void commit(std::vector<base::PutOperation>, base::LeaseId);

    io::EventLoop& m_loop;
    base::KeyValueStore& m_store;
    const Directory& m_fleet;
    CrashAttribution& m_crashes;
    // By key: when the entry has to be written again, before its lease ends.
    std::map<std::string, base::Instant> m_nextWrite;
    bool m_writing = false;
};

} // namespace toucanstep::direct
