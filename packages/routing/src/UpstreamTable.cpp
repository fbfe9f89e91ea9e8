#include "toucanstep/routing/UpstreamTable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace toucanstep::routing {

namespace {

void addToBacklog(std::vector<AccountBacklog>& backlog, const NewRequest& request)
{
    auto found = std::find_if(backlog.begin(), backlog.end(), [&](const auto& entry) { return entry.account == request.account; });
    if (found == backlog.end())
        backlog.push_back({ request.account, request.accountWeight, request.cost, base::Tokens() });
    else
        found->queued += request.cost;
}

} // namespace

bool UpstreamTable::report(const base::UpstreamId& upstream, UpstreamReport report, base::Instant now)
{
    auto& entry = m_entries[upstream];
    auto isNewer = std::tie(report.incarnation, report.sequence) > std::tie(entry.report.incarnation, entry.report.sequence);
    if (entry.reportedAt && !isNewer)
        return false;
    entry.unreported.erase(entry.unreported.begin(), entry.unreported.upper_bound(report.lastDispatchSeen));
    entry.report = std::move(report);
    entry.reportedAt = now;
    return true;
}

void UpstreamTable::setConnected(const base::UpstreamId& upstream, bool connected)
{
    m_entries[upstream].connected = connected;
}

void UpstreamTable::setTerminating(const base::UpstreamId& upstream, bool terminating)
{
    m_entries[upstream].terminating = terminating;
}

DispatchNumber UpstreamTable::dispatched(const base::UpstreamId& upstream, NewRequest request)
{
    auto& entry = m_entries[upstream];
    entry.lastDispatch += DispatchNumber(1);
    entry.unreported.emplace(entry.lastDispatch, std::move(request));
    return entry.lastDispatch;
}

void UpstreamTable::ended(const base::UpstreamId& upstream, DispatchNumber number)
{
    auto found = m_entries.find(upstream);
    if (found != m_entries.end())
        found->second.unreported.erase(number);
}

void UpstreamTable::erase(const base::UpstreamId& upstream)
{
    m_entries.erase(upstream);
}

const UpstreamEntry* UpstreamTable::find(const base::UpstreamId& upstream) const
{
    auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

UpstreamLoad UpstreamTable::currentLoad(const UpstreamEntry& entry)
{
    auto load = entry.report.load;
    for (const auto& [number, request] : entry.unreported) {
        if (load.inFlight >= load.slots) {
            addToBacklog(load.backlog, request);
            continue;
        }
        ++load.inFlight;
        load.inFlightTokens += request.cost;
    }
    return load;
}

} // namespace toucanstep::routing
