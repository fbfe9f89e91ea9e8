// The reports that a gateway exchanges with its peers.

#include "GatewayCore.h"

#include "toucanstep/base/LogLine.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

constexpr auto demandInterval = std::chrono::milliseconds(200);
constexpr auto planReportInterval = std::chrono::milliseconds(300);
// Per gateway of the fleet: bound the rates at which the planner receives and sends complete reports.
constexpr auto demandIntervalPerGateway = std::chrono::milliseconds(10);
constexpr auto planIntervalPerGateway = std::chrono::milliseconds(25);
constexpr auto maxCompletePlanInterval = std::chrono::milliseconds(1200);
// Older reports of a peer are ignored. In a large fleet they last for some intervals.
constexpr auto minReportLifetime = std::chrono::milliseconds(1500);
constexpr int reportLifetimeIntervals = 6;
// The waiting accounts of all peers are added up at most this often, since that goes over all of them.
constexpr auto peerAccountsInterval = std::chrono::milliseconds(50);
// Exceeds twice maxCompletePlanInterval, at which the planner repeats its notices.
constexpr auto noticeLifetime = std::chrono::milliseconds(3000);

} // namespace

base::Duration GatewayCore::reportInterval() const
{
    return loadReportInterval(m_transport->peers().size() + 1);
}

base::Duration GatewayCore::reportLifetime() const
{
    return std::max<base::Duration>(minReportLifetime, m_relayedSending->relay().effectiveInterval() * reportLifetimeIntervals);
}

ReportSender GatewayCore::nextSender()
{
    return { m_settings.instance, m_incarnation, ++m_sequence, m_relayedSending->statesRelays() };
}

void GatewayCore::sendLoadReport()
{
    // The tick may come a little late.
    constexpr auto tolerance = std::chrono::milliseconds(10);
    base::Instant now = m_loop.now();
    if (now + tolerance < m_nextLoadReport)
        return;
    m_nextLoadReport = now + reportInterval();
    LoadReport report;
    report.sender = nextSender();
    if (auto state = m_calls.desiredState())
        report.configuration = state->version;
    report.directories = m_mirror.revisions();
    report.leaving = m_calls.stop().begun();
    report.domain = m_settings.domain;
    for (const auto& [id, entry] : m_calls.upstreams().all()) {
        if (entry.own.inFlight)
            report.use.push_back({ id, entry.own });
    }
    report.limits = m_calls.limits().report(m_incarnation, m_claimKeeper.claim().joiningSince().has_value(), m_loop.now());
    report.partRequests = m_calls.fleetShare().requests(now);
    report.partLoans = m_calls.fleetShare().takeLoans();
    report.crashes = m_calls.crashes().news(m_hasNewPeers, now);
    report.queued = m_calls.queuedCalls();
    m_calls.describeWaitingAccounts(report);
    report.callLimits = m_calls.callLimits().heardLately(now);
    report.availability = m_calls.availability().heardLately(now);
    m_relayedSending->sendToAll(m_loadChanges.next(std::move(report), std::exchange(m_hasNewPeers, false)));
}

void GatewayCore::sendDemand()
{
    base::Instant now = m_loop.now();
    if (now < m_nextDemand || !m_plannerPeer || isPlanner())
        return;
    m_nextDemand = now + demandInterval;
    bool complete = now >= m_nextCompleteDemand;
    if (complete)
        m_nextCompleteDemand = now + completeDemandInterval();
    DemandReport report { nextSender(), m_demandChanges.next(m_calls.demand().summary(now), complete), m_succession.handover(now), complete };
    if (complete || !report.demand.empty())
        m_transport->sendTo(*m_plannerPeer, report);
}

base::Duration GatewayCore::completeDemandInterval() const
{
    return std::max<base::Duration>(demandInterval, demandIntervalPerGateway * m_transport->peers().size());
}

void GatewayCore::setPlannerPeer(const base::InstanceId& planner)
{
    if (m_plannerPeer == planner)
        return;
    m_plannerPeer = planner;
    m_nextCompleteDemand = {};
}

void GatewayCore::sendPlan()
{
    base::Instant now = m_loop.now();
    if (!isPlanner() || now < m_nextPlanReport)
        return;
    m_nextPlanReport = now + planReportInterval;
    PlanReport report { nextSender(), m_election.leadership().fence(), m_engineController.notices(), m_expectedLoads, m_engineController.state(now) };
    onPlanReport(report);
    std::map<std::pair<base::UpstreamId, ModelTarget>, std::pair<StartId, bool>> notices;
    for (const auto& notice : report.notices)
        notices.emplace(std::pair(notice.upstream, notice.target), std::pair(notice.start, notice.loaded));
    auto changes = m_noticeChanges.takeChanges(notices);
    report.complete = now >= m_nextCompletePlan;
    if (report.complete) {
        m_nextCompletePlan = now + std::clamp<base::Duration>(planIntervalPerGateway * m_transport->peers().size(), planReportInterval, maxCompletePlanInterval);
    } else {
        report.notices.clear();
        for (const auto& [key, value] : changes) {
            if (value)
                report.notices.push_back({ key.first, value->first, key.second, value->second });
        }
        report.state = {};
    }
    m_relayedSending->sendToAll(report);
}

void GatewayCore::onReport(const FleetReport& report)
{
    if (const auto* load = std::get_if<LoadReport>(&report))
        onLoadReport(*load);
    else if (const auto* demand = std::get_if<DemandReport>(&report))
        onDemandReport(*demand);
    else if (const auto* plan = std::get_if<PlanReport>(&report))
        onPlanReport(*plan);
    else if (const auto* list = std::get_if<UpstreamListReport>(&report))
        onUpstreamListReport(*list);
}

// Groups of a bounded size keep the cost of serving copies bounded, and the traffic within a failure domain.
std::vector<base::InstanceId> GatewayCore::nearbyPeers() const
{
    constexpr size_t maxGroupSize = 8;
    std::vector<base::InstanceId> members;
    for (const auto& [id, peer] : m_peerLoads.peers()) {
        if (peer.domain == m_settings.domain)
            members.push_back(id);
    }
    auto self = members.insert(std::lower_bound(members.begin(), members.end(), m_settings.instance), m_settings.instance);
    size_t groups = (members.size() + maxGroupSize - 1) / maxGroupSize;
    auto own = static_cast<size_t>(self - members.begin());
    std::vector<base::InstanceId> nearby;
    for (size_t index = own % groups; index < members.size(); index += groups) {
        if (index != own)
            nearby.push_back(members[index]);
    }
    return nearby;
}

void GatewayCore::shareUpstreamList()
{
    auto confirmation = m_mirror.upstreamConfirmation();
    if (!confirmation || confirmation->asOf == m_lastSharedAnswer)
        return;
    m_lastSharedAnswer = confirmation->asOf;
    UpstreamListReport report { nextSender(), confirmation->revision, confirmation->lastChange };
    for (const auto& peer : nearbyPeers())
        m_transport->sendTo(peer, report);
}

void GatewayCore::onUpstreamListReport(const UpstreamListReport& report)
{
    auto peer = m_transport->peers().find(report.sender.instance);
    if (peer != m_transport->peers().end())
        m_mirror.onUpstreamsConfirmed({ peer->first.value(), peer->second }, { report.revision, report.lastChange, m_loop.now() });
}

void GatewayCore::onDemandReport(const DemandReport& report)
{
    m_peerDemand.apply(report, m_loop.now());
    if (report.handover && isPlanner())
        m_engineController.takeOver(*report.handover, m_loop.now());
    bool anyWaits = std::any_of(report.demand.begin(), report.demand.end(), [](const TargetDemand& demand) { return demand.waiting > 0; });
    if (anyWaits && isPlanner())
        scheduleCoalesced(m_planTimer, &GatewayCore::planNow, coalescingDelay);
}

void GatewayCore::onLoadReport(const LoadReport& report)
{
    base::Instant now = m_loop.now();
    // A peer that was not heard for a while does not know this gateway's state either.
    m_hasNewPeers |= !m_peerLoads.peers().contains(report.sender.instance);
    if (!m_peerLoads.apply(report, now))
        return;
    m_calls.limits().onReport(report.sender.instance, report.limits, now);
    if (auto since = m_claimKeeper.claim().joiningSince(); since && m_calls.limits().isAcknowledgedBy(report.limits, *since, now))
        m_claimKeeper.claim().onAcknowledged(report.sender.instance);
    m_calls.onPeerReport(report);
    m_calls.crashes().onPeerNews(report.crashes, now);
    m_calls.refuseCrashingCalls();
    m_calls.fleetShare().onPeerRequests(report.sender.instance, report.sender.incarnation.value(), report.partRequests, now);
    if (m_calls.fleetShare().onPeerLoans(report.sender.instance, report.partLoans, now)) {
        base::LogLine("parts_borrowed").add("from", report.sender.instance).add("resources", report.partLoans.size());
        m_metrics.count("toucanstep_parts_borrowed_total");
        m_calls.wakeWaiting();
    }
    for (const auto& heard : report.callLimits)
        m_calls.onPeerHeardCallLimit(heard);
    for (const auto& heard : report.availability)
        m_calls.onPeerHeardAvailability(heard);
    applyPeerLoads();
}

void GatewayCore::applyPeerLoads()
{
    auto changed = m_peerLoads.takeChanged();
    for (const auto& upstream : changed) {
        auto load = m_peerLoads.loads().find(upstream);
        m_calls.upstreams().setPeersLoad(upstream, load == m_peerLoads.loads().end() ? UpstreamLoad() : load->second);
    }
    bool queuedChanged = m_peerLoads.takeQueuedChanged();
    if (queuedChanged)
        m_calls.slotShare().setPeers(m_peerLoads.queued());
    m_peerAccountsChanged |= queuedChanged;
    if (m_peerAccountsChanged && m_calls.pressure() && m_loop.now() >= m_nextPeerAccounts) {
        m_peerAccountsChanged = false;
        m_nextPeerAccounts = m_loop.now() + peerAccountsInterval;
        m_calls.slotShare().setPeerAccounts(m_peerLoads.queuedAccounts());
    }
    if (queuedChanged || !changed.empty())
        m_calls.wakeWaiting();
}

void GatewayCore::onPlanReport(const PlanReport& report)
{
    if (report.fence < m_planFence)
        return;
    m_planFence = report.fence;
    if (report.complete)
        m_succession.onPlanReport(report.fence, report.state, m_loop.now());
    if (report.sender.instance != m_settings.instance) {
        setPlannerPeer(report.sender.instance);
        if (isPlanner() && report.fence > m_election.leadership().fence())
            m_election.resign("another gateway is planning with a newer fencing token");
    }
    base::Instant until = m_loop.now() + noticeLifetime;
    for (const auto& notice : report.notices)
        m_calls.upstreams().addNotice(notice, until);
    m_calls.setExpectedLoads(report.expected);
    m_calls.onPlannerReport();
    m_calls.wakeWaiting();
}

} // namespace toucanstep::direct
