#include "Checks.h"

#include "toucanstep/base/Text.h"

namespace toucanstep::history::internal {

using base::HistoryEvent;
using base::HistoryKind;

std::vector<Break> checkWithdrawnKeys(const History& history, const CheckOptions& options)
{
    std::vector<Break> breaks;
    std::map<base::KeyFingerprint, HistoryEvent> withdrawn;
    auto offers = offersByRequest(history);
    for (const auto& event : history.events()) {
        if (event.kind == HistoryKind::KeyWithdrawn)
            withdrawn.try_emplace(event.key, event);
        bool usesKey = event.kind == HistoryKind::Admitted || event.kind == HistoryKind::WorkGiven || event.kind == HistoryKind::RunStarted;
        if (!usesKey)
            continue;
        auto offer = offers.find(event.request);
        const base::KeyFingerprint& key = event.key.empty() && offer != offers.end() ? offer->second.key : event.key;
        auto since = withdrawn.find(key);
        if (since != withdrawn.end() && event.at > since->second.at + options.withdrawnKeyGrace)
            breaks.push_back({ .message = base::concat("request ", event.request, " went on with a withdrawn key"), .events = { since->second, event } });
    }
    return breaks;
}

std::vector<Break> checkLeavingUpstreams(const History& history, const CheckOptions& options)
{
    std::vector<Break> breaks;
    std::map<base::UpstreamId, HistoryEvent> leaving;
    for (const auto& event : history.events()) {
        if (event.kind == HistoryKind::UpstreamLeaving)
            leaving.try_emplace(event.upstream, event);
        if (event.kind != HistoryKind::WorkGiven)
            continue;
        auto since = leaving.find(event.upstream);
        if (since != leaving.end() && event.at > since->second.at + options.leavingGrace)
            breaks.push_back({ .message = base::concat("upstream ", event.upstream, " was given new work while leaving"), .events = { since->second, event } });
    }
    return breaks;
}

std::vector<Break> checkConfigurations(const History& history, const CheckOptions&)
{
    std::vector<Break> breaks;
    std::map<base::InstanceId, HistoryEvent> inForce;
    for (const auto& event : history.events()) {
        if (event.kind != HistoryKind::ConfigurationInForce)
            continue;
        auto [known, isNew] = inForce.try_emplace(event.recorder, event);
        if (!isNew && event.version < known->second.version)
            breaks.push_back({ .message = base::concat("process ", event.recorder, " went back from version ", known->second.version, " to ", event.version), .events = { known->second, event } });
        known->second = event;
    }
    return breaks;
}

std::vector<Break> checkKeysSeen(const History& history, const CheckOptions&)
{
    std::vector<Break> breaks;
    for (const auto& event : history.events()) {
        if (event.kind == HistoryKind::RunStarted && event.keySeen)
            breaks.push_back({ .message = base::concat("upstream ", event.upstream, " saw the caller's key"), .events = { event } });
    }
    return breaks;
}

} // namespace toucanstep::history::internal
