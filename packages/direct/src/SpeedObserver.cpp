#include "SpeedObserver.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::direct {

namespace {

int64_t toPercent(double factor)
{
    constexpr double percent = 100;
    return std::lround(factor * percent);
}

} // namespace

SpeedObserver::SpeedObserver(base::MetricsRegistry& metrics, bool enabled)
    : m_metrics(metrics)
    , m_enabled(enabled)
{
}

ObservedCall SpeedObserver::onSent(const base::ServiceId& service, const UpstreamEntry& entry, base::Tokens prompt, base::Instant now)
{
    const UpstreamDescription& described = entry.description;
    ObservedCall call { service, described.id, described.start, prompt, now, entry.awaiting(), std::nullopt, std::nullopt, 0 };
    if (m_enabled && m_speeds.hasStated(described.id, described.start))
        call.workPercent = toPercent(m_speeds.workFactor(described.id, described.start, now));
    if (m_enabled && m_speeds.onCall(service, described.id, described.start, now))
        m_metrics.count("toucanstep_trial_calls_total", base::concat("service=\"", service, "\""));
    return call;
}

void SpeedObserver::onHead(const ObservedCall& call, const ResponseMetadata& answer, bool accepted, base::Instant now)
{
    if (!m_enabled || (!answer.hasSignature && !answer.notRun))
        return;
    if (answer.statedLoadUnreadable) {
        m_metrics.count("toucanstep_unreadable_entries_total", "what=\"server_load\"");
        if (m_speeds.onUnreadable(call.upstream))
            base::LogLine("server_load_unreadable").add("upstream", call.upstream);
    }
    if (answer.statedLoad)
        m_speeds.onStated(call.service, call.upstream, call.start, *answer.statedLoad, now);
    if (accepted && !answer.streaming && m_speeds.onAnswerStarted(call.upstream, call.start, { call.prompt, now - call.sent, call.awaitingBefore }, now))
        logContradiction(call, now);
}

void SpeedObserver::onEvents(ObservedCall& call, size_t bytes, base::Instant now)
{
    if (!m_enabled || call.firstEvent)
        return;
    call.firstEvent = now;
    call.firstBytes = bytes;
    if (m_speeds.onAnswerStarted(call.upstream, call.start, { call.prompt, now - call.sent, call.awaitingBefore }, now))
        logContradiction(call, now);
}

void SpeedObserver::onEnded(const ObservedCall& call, size_t bytes, base::Instant lastPiece)
{
    if (!m_enabled || !call.firstEvent)
        return;
    if (m_speeds.onAnswerEnded(call.upstream, call.start, { lastPiece - *call.firstEvent, static_cast<int64_t>(bytes - std::min(bytes, call.firstBytes)) }, lastPiece))
        logContradiction(call, lastPiece);
}

void SpeedObserver::logContradiction(const ObservedCall& call, base::Instant now)
{
    bool begun = m_speeds.isContradicted(call.upstream, call.start);
    m_metrics.count("toucanstep_contradicted_speeds_total", begun ? "change=\"begun\"" : "change=\"ended\"");
    int64_t factor = toPercent(m_speeds.workFactor(call.upstream, call.start, now));
    base::LogLine("upstream_speed").add("upstream", call.upstream).add("work_percent", factor).add("source", begun ? "answers" : "stated");
}

void SpeedObserver::expire(const UpstreamTable& upstreams)
{
    if (m_speeds.size() > upstreams.all().size())
        m_speeds.expire([&](const base::UpstreamId& id) { return upstreams.all().contains(id); });
}

void SpeedObserver::writeGauges(const UpstreamTable& upstreams, base::Instant now)
{
    std::optional<double> least;
    std::optional<double> most;
    for (const auto& [id, entry] : upstreams.all()) {
        if (!m_speeds.hasStated(id, entry.description.start))
            continue;
        double factor = m_speeds.workFactor(id, entry.description.start, now);
        least = std::min(least.value_or(factor), factor);
        most = std::max(most.value_or(factor), factor);
    }
    if (!least)
        return;
    m_metrics.gauge("toucanstep_work_factor", "bound=\"least\"", *least);
    m_metrics.gauge("toucanstep_work_factor", "bound=\"most\"", *most);
}

} // namespace toucanstep::direct
