#include "toucanstep/direct/DemandReportChanges.h"

#include <algorithm>
#include <cstdlib>

namespace toucanstep::direct {

namespace {

// A change of a number by less than this part of it is left to the next complete report.
constexpr int64_t notableParts = 4;

bool differsNotably(int64_t before, int64_t now)
{
    return (before == 0) != (now == 0) || std::abs(now - before) * notableParts > std::max(before, now);
}

bool differsNotably(const TargetDemand& before, const TargetDemand& now)
{
    return before.waiting != now.waiting || differsNotably(before.running, now.running)
        || differsNotably(before.arrivalsPerKilosecond, now.arrivalsPerKilosecond)
        || differsNotably(before.awaitingThousandths, now.awaitingThousandths);
}

} // namespace

std::vector<TargetDemand> DemandReportChanges::next(const std::vector<TargetDemand>& current, bool complete)
{
    std::vector<TargetDemand> changed;
    std::map<ModelTarget, TargetDemand> sent;
    for (const auto& entry : current) {
        auto before = m_sent.find(entry.target);
        bool send = complete || before == m_sent.end() || differsNotably(before->second, entry);
        if (send)
            changed.push_back(entry);
        sent.emplace(entry.target, send ? entry : before->second);
    }
    for (const auto& [target, before] : m_sent) {
        bool gone = !sent.contains(target);
        if (gone && !complete)
            changed.push_back({ target });
    }
    m_sent = std::move(sent);
    return changed;
}

void PeerDemand::apply(const DemandReport& report, base::Instant now)
{
    Gateway& gateway = m_gateways[report.sender.instance];
    if (report.complete)
        gateway.demand.clear();
    gateway.receivedAt = now;
    for (const auto& entry : report.demand)
        gateway.demand[entry.target] = entry;
}

void PeerDemand::expire(base::Duration lifetime, base::Instant now)
{
    std::erase_if(m_gateways, [&](const auto& entry) { return now - entry.second.receivedAt > lifetime; });
}

void PeerDemand::add(const TargetDemand& entry, std::map<ModelTarget, TargetDemand>& sums)
{
    TargetDemand& sum = sums[entry.target];
    sum.target = entry.target;
    sum.waiting += entry.waiting;
    sum.running += entry.running;
    sum.arrivalsPerKilosecond += entry.arrivalsPerKilosecond;
    sum.awaitingThousandths += entry.awaitingThousandths;
}

void PeerDemand::addTo(std::map<ModelTarget, TargetDemand>& sums) const
{
    for (const auto& [id, gateway] : m_gateways) {
        for (const auto& [target, entry] : gateway.demand)
            add(entry, sums);
    }
}

void PeerDemand::add(const TargetDemand& entry, const base::FailureDomain& domain, CallsByDomain& calls)
{
    if (entry.waiting || entry.running)
        calls[{ entry.target.model, domain }] += entry.waiting + entry.running;
}

void PeerDemand::addTo(CallsByDomain& calls, const std::function<base::FailureDomain(const base::InstanceId&)>& domainOf) const
{
    for (const auto& [id, gateway] : m_gateways) {
        base::FailureDomain domain = domainOf(id);
        for (const auto& [target, entry] : gateway.demand)
            add(entry, domain, calls);
    }
}

} // namespace toucanstep::direct
