#include "toucanstep/upstreams/UpstreamSelection.h"

#include "toucanstep/upstreams/DomainSpill.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>
#include <vector>

namespace toucanstep::upstreams {

namespace {

// The unit of an upstream's cost is one call whose answer has not started. An engine reads prompts one after the other, so a
// new call waits for these, while calls that are being answered run concurrently.

// Cost of having all slots in use: the engine is short of memory and each of its steps takes longer.
constexpr double occupancyWeight = 8;
// Cost of a recent failure: two of them move calls away even from an idle upstream.
constexpr double failureWeight = 4;
// Cost of having stopped answering: such an upstream is used only if there is no other.
constexpr double silentWeight = 1000;
// Cost of traffic to another failure domain; it decides only between upstreams that are about equally busy.
constexpr double otherDomainWeight = 0.4;
// Cost of not using the preferred upstream of a prompt prefix, which has the prefix in its cache and need not read it again.
constexpr double promptPrefixWeight = 1.5;
// Cost of being cold: a call that another upstream can run leaves the few calls that a cold one tolerates to others.
constexpr double coldWeight = 2;
// Cost of advertising a limit, or of having ended a pause: the same for the few calls that such an upstream takes.
constexpr double limitedWeight = 2;
// Keeps gateways that see the same idle upstreams from all choosing the same one; less than the cost of another domain.
constexpr double spreadWeight = 0.3;

// See uncertaintyOf(). The bounds keep the spread from outweighing a queue of three prompts, and another domain from costing more than
// two: a call that waits for more of them starts late.
constexpr double uncertaintyPerAwaiting = 4;
constexpr double maxUncertainty = 8;
constexpr double maxDomainUncertainty = 4;

// The part of an upstream's slots that are assumed free without a report, at most.
constexpr double maxEndedUnreported = 0.0625;

bool isCandidate(const UpstreamTable& table, const UpstreamEntry& entry, const UpstreamQuery& query, base::Instant now)
{
    const UpstreamDescription& described = entry.description;
    return described.service == query.service && !described.draining && !(query.availability && query.availability->isLeaving(described.id, described.start)) && entry.avoidUntil <= now && !table.isEvacuated(entry)
        && !(query.triedUpstreams && query.triedUpstreams->contains(described.id));
}

bool isAllowedRegion(const UpstreamEntry& entry, const UpstreamQuery& query)
{
    auto allows = [&](const std::set<base::RegionId>* regions) { return !regions || regions->empty() || regions->contains(entry.description.region); };
    return allows(query.routeRegions) && allows(query.accountRegions);
}

// Whether and when an upstream takes a call of this gateway, by what it has said of itself in its answers.
struct Admission {
    // Nothing if this gateway has no part of what the upstream takes.
    std::optional<base::Instant> from;
    // What limits the calls that it takes: CallLimit, Paused or None.
    BlockReason limitedBy = BlockReason::None;
    // The calls per second of this gateway that it takes; only for a limit.
    double rate = 0;
    // How many further calls it takes now.
    int64_t room = std::numeric_limits<int64_t>::max();
};

Admission admissionOf(const UpstreamEntry& entry, const UpstreamQuery& query, base::Instant now)
{
    const auto& id = entry.description.id;
    StartId start = entry.description.start;
    Admission admission { now };
    if (query.availability) {
        if (auto until = query.availability->pausedUntil(id, now))
            return { until, BlockReason::Paused, 0, 0 };
        if (auto most = query.availability->maxAwaiting(id, now)) {
            admission.limitedBy = BlockReason::Paused;
            admission.room = *most - entry.own.awaiting;
        }
    }
    if (query.callLimits && query.callLimits->limit(id, start, now)) {
        admission.limitedBy = BlockReason::CallLimit;
        admission.from = query.callLimits->nextCall(id, start, now);
        admission.rate = query.callLimits->ownRate(id, start, now);
    }
    return admission;
}

// When the upstream takes a call of this gateway; not before it is warm if the gateway has no part of its rate.
base::Instant acceptsFrom(const UpstreamEntry& entry, const UpstreamQuery& query, base::Instant now)
{
    if (entry.coldUntil <= now || !query.coldCallsPerSecond || !query.coldStarts)
        return now;
    auto next = query.coldStarts->nextCall(entry.description.id, *query.coldCallsPerSecond, now);
    return next ? std::min(*next, entry.coldUntil) : entry.coldUntil;
}

// Of how many calls at an upstream this gateway cannot know, relative to none: the more calls of peers await their answers on average,
// the more of them have been sent or have begun since the last reports. Costs that keep gateways apart grow with it, where
// upstreams state speeds: without that all gateways send to the same fast upstreams until the next reports.
double uncertaintyOf(const std::vector<const UpstreamEntry*>& holders, const UpstreamQuery& query)
{
    if (!query.speeds || holders.empty() || !query.speeds->hasStated(query.service))
        return 1;
    int64_t awaiting = 0;
    for (const UpstreamEntry* entry : holders)
        awaiting += entry->peers.awaiting;
    double mean = static_cast<double>(awaiting) / static_cast<double>(holders.size());
    return std::min(1 + uncertaintyPerAwaiting * mean, maxUncertainty);
}

double workFactorOf(const UpstreamEntry& entry, const UpstreamQuery& query, base::Instant now)
{
    return query.speeds ? query.speeds->workFactor(entry.description.id, entry.description.start, now) : 1;
}

// Calls that have ended count until they are reported, so that an upstream is given a little more than it has slots for. A slow
// upstream is given fewer calls, since each of them would take longer. A fast one is not given more than it states.
int64_t slotLimit(const UpstreamEntry& entry, double turnover, double workFactor)
{
    auto slots = static_cast<double>(entry.description.slots);
    int64_t limit = entry.description.slots + static_cast<int64_t>(slots * std::min(turnover, maxEndedUnreported));
    // Rounded: of few slots, a factor hardly above 1 would take a whole one.
    return workFactor > 1 ? std::max<int64_t>(1, std::lround(static_cast<double>(limit) / workFactor)) : limit;
}

// Rendezvous hash: of the upstreams that hold a target, the one with the lowest value is preferred for a prompt prefix. It
// is the same at every gateway, and for most prefixes it stays the same when another upstream is added or removed.
size_t affinityHash(const std::string& promptPrefix, const base::UpstreamId& upstream)
{
    return std::hash<std::string> {}(promptPrefix + '/' + upstream.value());
}

double spreadCost(const std::string& spreadKey, const base::UpstreamId& upstream)
{
    return spreadWeight * static_cast<double>(affinityHash(spreadKey, upstream)) / static_cast<double>(std::numeric_limits<size_t>::max());
}

double costOf(const UpstreamEntry& entry, const UpstreamQuery& query, const Admission& admission, double workFactor, double uncertainty, base::Instant now)
{
    auto cost = static_cast<double>(entry.awaiting()) * workFactor;
    cost += occupancyWeight * static_cast<double>(entry.inFlight()) / static_cast<double>(entry.description.slots) * workFactor;
    // The call itself, whose prompt takes longer or shorter than usual too.
    cost += workFactor - 1;
    cost += failureWeight * UpstreamTable::recentFailures(entry, now);
    if (UpstreamTable::isUnresponsive(entry, now))
        cost += silentWeight;
    if (entry.description.domain != query.domain)
        cost += otherDomainWeight * std::min(uncertainty, maxDomainUncertainty);
    if (entry.coldUntil > now)
        cost += coldWeight;
    if (admission.limitedBy != BlockReason::None)
        cost += limitedWeight;
    return cost + spreadCost(query.spreadKey, entry.description.id) * uncertainty;
}

// The upstream that has had no call of this gateway for longest, if one is due for a trial call, see UpstreamSpeeds.
class TrialChoice {
public:
    void offer(const UpstreamEntry& entry, const UpstreamQuery& query, const Admission& admission, base::Instant now)
    {
        const UpstreamDescription& described = entry.description;
        if (!query.speeds || admission.limitedBy != BlockReason::None || entry.coldUntil > now || UpstreamTable::isUnresponsive(entry, now) || UpstreamTable::recentFailures(entry, now) >= 1)
            return;
        auto since = query.speeds->trialDueSince(described.service, described.id, described.start, now);
        if (!since)
            return;
        double tieBreak = spreadCost(query.spreadKey, described.id);
        if (m_entry && std::tie(*since, tieBreak) >= std::tie(m_since, m_tieBreak))
            return;
        m_entry = &entry;
        m_since = *since;
        m_tieBreak = tieBreak;
    }

    // Trial calls do not leave the gateway's failure domain unless the call would leave it anyway.
    const UpstreamEntry* instead(const UpstreamEntry* best, const base::FailureDomain& own) const
    {
        return m_entry && (m_entry->description.domain == own || best->description.domain != own) ? m_entry : nullptr;
    }

private:
    const UpstreamEntry* m_entry = nullptr;
    base::Instant m_since;
    double m_tieBreak = 0;
};

} // namespace

std::string_view toText(BlockReason blockReason)
{
    switch (blockReason) {
    case BlockReason::None:
        return "nothing";
    case BlockReason::NoUpstream:
        return "no_upstream";
    case BlockReason::NotLoaded:
        return "not_loaded";
    case BlockReason::AdapterNotLoaded:
        return "adapter_not_loaded";
    case BlockReason::Full:
        return "full";
    case BlockReason::Cold:
        return "cold";
    case BlockReason::CallLimit:
        return "call_limit";
    case BlockReason::Paused:
        return "paused";
    case BlockReason::OutsideRegions:
        break;
    }
    return "outside_regions";
}

UpstreamSelection selectUpstream(const UpstreamTable& table, const UpstreamQuery& query, base::Instant now)
{
    bool anyUpstream = false;
    bool anyOutsideRegions = false;
    bool modelLoaded = false;
    std::vector<const UpstreamEntry*> holders;
    for (const auto& [id, entry] : table.all()) {
        if (!isCandidate(table, entry, query, now))
            continue;
        if (!isAllowedRegion(entry, query)) {
            anyOutsideRegions = true;
            continue;
        }
        anyUpstream = true;
        if (!table.holds(entry, query.target, now)) {
            modelLoaded = modelLoaded || (!query.target.adapter.empty() && table.holds(entry, { query.target.model, AdapterId() }, now));
            continue;
        }
        holders.push_back(&entry);
    }
    const UpstreamEntry* preferred = nullptr;
    if (!query.promptPrefix.empty() && !holders.empty()) {
        preferred = *std::min_element(holders.begin(), holders.end(), [&](const auto* left, const auto* right) {
            return affinityHash(query.promptPrefix, left->description.id) < affinityHash(query.promptPrefix, right->description.id);
        });
    }
    double leavingCost = query.promptsInTime ? additionalLeavingCost(roomIn(query.domain, holders, now), *query.promptsInTime) : 0;
    const UpstreamEntry* best = nullptr;
    double bestCost = 0;
    BlockReason bestLimitedBy = BlockReason::None;
    int64_t freeSlots = 0;
    int64_t inFlight = 0;
    std::optional<base::Instant> acceptedFrom;
    // Of the upstreams that take few calls or none for now, the earliest.
    BlockReason deferredBy = BlockReason::None;
    std::optional<base::Instant> deferredTo;
    double limitedRate = 0;
    bool anyFull = false;
    std::vector<base::UpstreamId> limitedUpstreams;
    TrialChoice trial;
    double uncertainty = uncertaintyOf(holders, query);
    for (const UpstreamEntry* entry : holders) {
        inFlight += entry->inFlight();
        double workFactor = workFactorOf(*entry, query, now);
        int64_t free = slotLimit(*entry, query.turnover, workFactor) - entry->inFlight();
        Admission admission = admissionOf(*entry, query, now);
        if (!admission.from || *admission.from > now || admission.room <= 0) {
            limitedRate += admission.rate;
            if (admission.limitedBy == BlockReason::CallLimit)
                limitedUpstreams.push_back(entry->description.id);
            if (deferredBy == BlockReason::None || (admission.from && (!deferredTo || *admission.from < *deferredTo))) {
                deferredBy = admission.limitedBy;
                deferredTo = admission.from;
            }
            continue;
        }
        free = std::min(free, admission.room);
        if (free <= 0) {
            anyFull = true;
            continue;
        }
        if (base::Instant from = acceptsFrom(*entry, query, now); from > now) {
            acceptedFrom = std::min(acceptedFrom.value_or(from), from);
            limitedUpstreams.push_back(entry->description.id);
            continue;
        }
        freeSlots += free;
        double cost = costOf(*entry, query, admission, workFactor, uncertainty, now) + (preferred && entry != preferred ? promptPrefixWeight : 0);
        cost += entry->description.domain != query.domain ? leavingCost : 0;
        if (!best || cost < bestCost) {
            best = entry;
            bestCost = cost;
            bestLimitedBy = admission.limitedBy;
        }
        trial.offer(*entry, query, admission, now);
    }
    if (const UpstreamEntry* tried = best ? trial.instead(best, query.domain) : nullptr)
        return { BlockReason::None, tried->description.id, freeSlots, inFlight };
    if (best)
        return { BlockReason::None, best->description.id, freeSlots, inFlight, std::nullopt, 0, bestLimitedBy };
    if (!anyUpstream)
        return { anyOutsideRegions ? BlockReason::OutsideRegions : BlockReason::NoUpstream, {} };
    if (acceptedFrom)
        return { BlockReason::Cold, {}, 0, inFlight, std::min(*acceptedFrom, deferredTo.value_or(*acceptedFrom)), 0, BlockReason::None, std::move(limitedUpstreams) };
    if (deferredBy != BlockReason::None && !anyFull)
        return { deferredBy, {}, 0, inFlight, deferredTo, limitedRate, BlockReason::None, std::move(limitedUpstreams) };
    if (!holders.empty())
        return { BlockReason::Full, {}, 0, inFlight };
    return { modelLoaded ? BlockReason::AdapterNotLoaded : BlockReason::NotLoaded, {} };
}

} // namespace toucanstep::upstreams
