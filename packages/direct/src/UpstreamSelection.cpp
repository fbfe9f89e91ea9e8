#include "toucanstep/direct/UpstreamSelection.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <vector>

namespace toucanstep::direct {

namespace {

// The cost of an upstream is counted in calls whose answers have not begun. An engine reads prompts one after the other, so
// these are what a new call waits for, while calls that are being answered run side by side.

// All slots in use cost as much as this many calls: the engine's memory is short, and each step takes longer.
constexpr double crowdWeight = 8;
// A failure of late: two of them move calls away from an upstream that is idle.
constexpr double failureWeight = 4;
// An upstream that has stopped answering is used only if there is no other.
constexpr double silentWeight = 1000;
// Another failure domain costs bytes between domains; it decides only between upstreams that are about equally busy.
constexpr double otherDomainWeight = 0.4;
// Calls with the same beginning go to one upstream, which keeps it in its cache and need not read it again.
constexpr double promptPrefixWeight = 1.5;
// Several gateways that see the same upstreams idle must not all choose the same one: less than another domain costs.
constexpr double spreadWeight = 0.3;

bool mayTake(const UpstreamEntry& entry, const UpstreamQuery& query, base::Instant now)
{
    const UpstreamDescription& described = entry.description;
    return described.service == query.service && !described.draining && entry.avoidUntil <= now
        && !(query.triedUpstreams && query.triedUpstreams->contains(described.id));
}

// Of the upstreams that hold a target, the one with the lowest value is the home of a prompt's beginning: the same at
// every gateway, and for most prompts the same after another upstream has come or gone.
size_t homeOrder(const std::string& promptPrefix, const base::UpstreamId& upstream)
{
    return std::hash<std::string> {}(promptPrefix + '/' + upstream.value());
}

double spreadOf(const std::string& spreadKey, const base::UpstreamId& upstream)
{
    return spreadWeight * static_cast<double>(homeOrder(spreadKey, upstream)) / static_cast<double>(std::numeric_limits<size_t>::max());
}

double costOf(const UpstreamEntry& entry, const UpstreamQuery& query, base::Instant now)
{
    auto cost = static_cast<double>(entry.awaiting());
    cost += crowdWeight * static_cast<double>(entry.inFlight()) / static_cast<double>(entry.description.slots);
    cost += failureWeight * UpstreamTable::recentFailures(entry, now);
    if (UpstreamTable::silent(entry, now))
        cost += silentWeight;
    if (entry.description.domain != query.domain)
        cost += otherDomainWeight;
    return cost + spreadOf(query.spreadKey, entry.description.id);
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
    case BlockReason::Full:
        break;
    }
    return "full";
}

UpstreamSelection selectUpstream(const UpstreamTable& table, const UpstreamQuery& query, base::Instant now)
{
    bool anyUpstream = false;
    std::vector<const UpstreamEntry*> holders;
    for (const auto& [id, entry] : table.all()) {
        if (!mayTake(entry, query, now))
            continue;
        anyUpstream = true;
        if (!table.holds(entry, query.target, now))
            continue;
        holders.push_back(&entry);
    }
    const UpstreamEntry* home = nullptr;
    if (!query.promptPrefix.empty() && !holders.empty()) {
        home = *std::min_element(holders.begin(), holders.end(), [&](const auto* left, const auto* right) {
            return homeOrder(query.promptPrefix, left->description.id) < homeOrder(query.promptPrefix, right->description.id);
        });
    }
    const UpstreamEntry* best = nullptr;
    double bestCost = 0;
    for (const UpstreamEntry* entry : holders) {
        if (entry->inFlight() >= entry->description.slots)
            continue;
        double cost = costOf(*entry, query, now) + (home && entry != home ? promptPrefixWeight : 0);
        if (!best || cost < bestCost) {
            best = entry;
            bestCost = cost;
        }
    }
    if (best)
        return { BlockReason::None, best->description.id };
    if (!anyUpstream)
        return { BlockReason::NoUpstream, {} };
    return { holders.empty() ? BlockReason::NotLoaded : BlockReason::Full, {} };
}

} // namespace toucanstep::direct
