#include "Checks.h"

#include "toucanstep/base/Text.h"

#include <set>

namespace toucanstep::history::internal {

using base::HistoryKind;

std::vector<Break> checkReplicas(const History& history, const CheckOptions&)
{
    std::vector<Break> breaks;
    std::map<base::ModelId, std::set<base::UpstreamId>> decided;
    std::map<base::ModelId, std::set<base::UpstreamId>> loaded;
    for (const auto& event : history.events()) {
        if (event.kind == HistoryKind::ReplicaDecided)
            decided[event.model].insert(event.upstream);
        else if (event.kind == HistoryKind::ReplicaWithdrawn)
            decided[event.model].erase(event.upstream);
        else if (event.kind == HistoryKind::ReplicaLoaded)
            loaded[event.model].insert(event.upstream);
        else if (event.kind == HistoryKind::ReplicaUnloaded)
            loaded[event.model].erase(event.upstream);
        else
            continue;
        size_t loadedCount = loaded[event.model].size();
        size_t decidedCount = decided[event.model].size();
        bool mayExceed = event.kind == HistoryKind::ReplicaLoaded || event.kind == HistoryKind::ReplicaWithdrawn;
        if (mayExceed && loadedCount > decidedCount)
            breaks.push_back({ .message = base::concat("model ", event.model, ": ", loadedCount, " replicas loaded, ", decidedCount, " decided"), .events = { event } });
    }
    return breaks;
}

std::vector<Break> checkMemory(const History& history, const CheckOptions&)
{
    std::vector<Break> breaks;
    std::map<base::UpstreamId, base::Bytes> capacity;
    std::map<base::UpstreamId, std::map<base::ModelId, base::HistoryEvent>> loaded;
    for (const auto& event : history.events()) {
        if (event.kind == HistoryKind::MemoryCapacity)
            capacity[event.upstream] = event.bytes;
        else if (event.kind == HistoryKind::ReplicaUnloaded)
            loaded[event.upstream].erase(event.model);
        if (event.kind != HistoryKind::ReplicaLoaded)
            continue;
        loaded[event.upstream][event.model] = event;
        base::Bytes sum;
        Break found;
        for (const auto& [model, load] : loaded[event.upstream]) {
            sum += load.bytes;
            found.events.push_back(load);
        }
        auto known = capacity.find(event.upstream);
        if (known == capacity.end())
            found.message = base::concat("upstream ", event.upstream, " loads with no capacity recorded");
        else if (sum > known->second)
            found.message = base::concat("upstream ", event.upstream, " holds ", sum, " bytes of ", known->second);
        if (!found.message.empty())
            breaks.push_back(std::move(found));
    }
    return breaks;
}

} // namespace toucanstep::history::internal
