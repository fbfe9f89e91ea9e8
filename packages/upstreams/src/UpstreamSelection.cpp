#include "toucanstep/upstreams/UpstreamSelection.h"

#include "toucanstep/upstreams/DomainSpill.h"

#include <algorithm>
#include <functional>
#include <limits>
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

// Calls that have ended count until they are reported, so that an upstream is given a little more than it has slots for.
int64_t slotLimit(const UpstreamEntry& entry, double turnover)
{
    auto slots = static_cast<double>(entry.description.slots);
    return entry.description.slots + static_cast<int64_t>(slots * std::min(turnover, maxEndedUnreported));
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

double costOf(const UpstreamEntry& entry, const UpstreamQuery& query, const Admission& admission, base::Instant now)
{
    auto cost = static_cast<double>(entry.awaiting());
    cost += occupancyWeight * static_cast<double>(entry.inFlight()) / static_cast<double>(entry.description.slots);
    cost += failureWeight * UpstreamTable::recentFailures(entry, now);
    if (UpstreamTable::isUnresponsive(entry, now))
        cost += silentWeight;
    if (entry.description.domain != query.domain)
        cost += otherDomainWeight;
    if (entry.coldUntil > now)
        cost += coldWeight;
    if (admission.limitedBy != BlockReason::None)
        cost += limitedWeight;
    return cost + spreadCost(query.spreadKey, entry.description.id);
}

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
    for (const UpstreamEntry* entry : holders) {
        inFlight += entry->inFlight();
        int64_t free = slotLimit(*entry, query.turnover) - entry->inFlight();
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
        double cost = costOf(*entry, query, admission, now) + (preferred && entry != preferred ? promptPrefixWeight : 0);
        cost += entry->description.domain != query.domain ? leavingCost : 0;
        if (!best || cost < bestCost) {
            best = entry;
            bestCost = cost;
            bestLimitedBy = admission.limitedBy;
        }
    }
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
