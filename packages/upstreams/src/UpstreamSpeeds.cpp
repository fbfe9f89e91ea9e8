#include "toucanstep/upstreams/UpstreamSpeeds.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace toucanstep::upstreams {

namespace {

// Long enough for several answers of each upstream at a gateway that gets one of it every few seconds.
constexpr base::Duration meanTime = std::chrono::seconds(30);
// What an upstream states changes several times a second.
constexpr base::Duration lateTime = std::chrono::seconds(1);
// Bounds how long many figures take to age: half of them is forgotten in 21 s, whatever their number.
constexpr double maxMeanWeight = 20;
// Usual speed counts as much as one figure.
constexpr double usualWeight = 1;
// A measured time includes the network and the calls beside it; ten count as much as one stated figure, so that chance does not take
// slots from an upstream that states usual speed.
constexpr double measuredWeight = 0.1;

// Queues at an upstream alone make its answers differ by less, as a mean over several.
constexpr double contradictionRatio = 2;
constexpr double agreementRatio = 1.5;
constexpr double minMeasured = 4;
constexpr auto contradictionTime = std::chrono::seconds(5);

double clampFactor(double factor) { return std::clamp(factor, UpstreamSpeeds::minFactor, UpstreamSpeeds::maxFactor); }

} // namespace

DecayingMean::DecayingMean(base::Duration timeConstant, double maxWeight)
    : m_timeConstant(base::toSeconds(timeConstant))
    , m_maxWeight(maxWeight)
{
}

double DecayingMean::weight(base::Instant now) const
{
    return m_weight > 0 ? m_weight * std::exp(-std::max(base::toSeconds(now - m_asOf), 0.0) / m_timeConstant) : 0;
}

void DecayingMean::add(double value, base::Instant now)
{
    m_weight = weight(now) + 1;
    m_mean += (value - m_mean) / m_weight;
    m_weight = std::min(m_weight, m_maxWeight);
    m_asOf = now;
}

void RunningMedian::add(double value)
{
    // Fast at first, then slow enough not to follow single values.
    constexpr double leastStep = 0.01;
    if (m_values == 0)
        m_value = value;
    else if (value != m_value)
        m_value *= std::exp(value > m_value ? std::max(leastStep, 1 / m_values) : -std::max(leastStep, 1 / m_values));
    ++m_values;
}

UpstreamSpeeds::Record::Record(StartId startId)
    : start(startId)
    , stated(meanTime, maxMeanWeight)
    , statedLately(lateTime, maxMeanWeight)
    , measured(meanTime, maxMeanWeight)
{
}

UpstreamSpeeds::Record& UpstreamSpeeds::recordOf(const base::UpstreamId& upstream, StartId start)
{
    auto [place, isNew] = m_records.try_emplace(upstream, start);
    if (!isNew && place->second.start != start)
        place->second = Record(start);
    return place->second;
}

const UpstreamSpeeds::Record* UpstreamSpeeds::find(const base::UpstreamId& upstream, StartId start) const
{
    auto found = m_records.find(upstream);
    return found == m_records.end() || found->second.start != start ? nullptr : &found->second;
}

void UpstreamSpeeds::onStated(const base::ServiceId& service, const base::UpstreamId& upstream, StartId start, const StatedLoad& load, base::Instant now)
{
    if (!load.workPercent)
        return;
    constexpr double percent = 100;
    double factor = clampFactor(static_cast<double>(*load.workPercent) / percent);
    Record& record = recordOf(upstream, start);
    record.service = service;
    record.hasStated = true;
    record.stated.add(factor, now);
    record.statedLately.add(factor, now);
    record.callsSinceStated = 0;
    m_services[service].stated.add(factor);
}

bool UpstreamSpeeds::onUnreadable(const base::UpstreamId& upstream)
{
    return m_unreadable.insert(upstream).second;
}

bool UpstreamSpeeds::onAnswerStarted(const base::UpstreamId& upstream, StartId start, const StartedAnswer& answer, base::Instant now)
{
    auto found = m_records.find(upstream);
    if (found == m_records.end() || found->second.start != start || !found->second.hasStated)
        return false;
    auto tokens = static_cast<uint64_t>(std::max<int64_t>(answer.prompt.value(), 0));
    auto size = std::min<size_t>(std::bit_width(tokens), promptSizes - 1);
    double seconds = base::toSeconds(answer.sinceSent) / static_cast<double>(1 + std::max<int64_t>(answer.awaitingBefore, 0));
    return addMeasured(found->second, m_services[found->second.service].startTimes[size], seconds, now);
}

bool UpstreamSpeeds::onAnswerEnded(const base::UpstreamId& upstream, StartId start, const EndedAnswer& answer, base::Instant now)
{
    // Fewer bytes may come in one or two packets, whose times say more about the network than about the upstream.
    constexpr int64_t leastBytes = 256;
    auto found = m_records.find(upstream);
    if (found == m_records.end() || found->second.start != start || !found->second.hasStated || answer.bytes < leastBytes)
        return false;
    double seconds = base::toSeconds(answer.streamed) / static_cast<double>(answer.bytes);
    return addMeasured(found->second, m_services[found->second.service].byteTimes, seconds, now);
}

bool UpstreamSpeeds::addMeasured(Record& record, RunningMedian& median, double seconds, base::Instant now)
{
    if (seconds <= 0)
        return false;
    median.add(seconds);
    record.measured.add(clampFactor(seconds / median.value()), now);
    return updateContradiction(record, now);
}

double UpstreamSpeeds::measuredFactor(const Record& record) const
{
    auto service = m_services.find(record.service);
    return clampFactor(record.measured.mean() * (service == m_services.end() ? 1 : service->second.stated.value()));
}

bool UpstreamSpeeds::updateContradiction(Record& record, base::Instant now)
{
    double ratio = measuredFactor(record) / record.stated.mean();
    bool known = record.measured.weight(now) >= minMeasured;
    bool before = record.contradicted;
    if (record.contradicted) {
        record.contradicted = !known || ratio > agreementRatio || ratio < 1 / agreementRatio;
        if (!record.contradicted)
            record.contradictedSince.reset();
    } else if (!known || (ratio < contradictionRatio && ratio > 1 / contradictionRatio)) {
        record.contradictedSince.reset();
    } else {
        record.contradictedSince = record.contradictedSince.value_or(now);
        record.contradicted = now - *record.contradictedSince >= contradictionTime;
    }
    return record.contradicted != before;
}

bool UpstreamSpeeds::onCall(const base::ServiceId& service, const base::UpstreamId& upstream, StartId start, base::Instant now)
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    bool due = trialDueSince(service, upstream, start, now).has_value();
    found->second.callsSinceTrial = due ? 0 : found->second.callsSinceTrial + 1;
    Record& record = recordOf(upstream, start);
    record.service = service;
    record.lastCall = now;
    ++record.callsSinceStated;
    return due;
}

void UpstreamSpeeds::expire(const std::function<bool(const base::UpstreamId&)>& isListed)
{
    absl::erase_if(m_records, [&](const auto& entry) { return !isListed(entry.first); });
    absl::erase_if(m_unreadable, [&](const auto& upstream) { return !isListed(upstream); });
}

double UpstreamSpeeds::workFactor(const base::UpstreamId& upstream, StartId start, base::Instant now) const
{
    const Record* record = find(upstream, start);
    if (!record || !record->hasStated)
        return 1;
    double stated = record->contradicted ? 0 : record->stated.weight(now);
    double measured = record->measured.weight(now) * (record->contradicted ? 1 : measuredWeight);
    double factor = (usualWeight + stated * record->stated.mean() + measured * measuredFactor(*record)) / (usualWeight + stated + measured);
    if (!record->contradicted) {
        double lately = record->statedLately.mean();
        double weight = record->statedLately.weight(now);
        // Other gateways have read the same figure and send calls too: a low figure draws fewer calls with each of this gateway's.
        if (lately < factor)
            weight /= static_cast<double>(1 + record->callsSinceStated);
        factor += (lately - factor) * weight / (usualWeight + weight);
    }
    return clampFactor(factor);
}

bool UpstreamSpeeds::hasStated(const base::UpstreamId& upstream, StartId start) const
{
    const Record* record = find(upstream, start);
    return record && record->hasStated;
}

bool UpstreamSpeeds::isContradicted(const base::UpstreamId& upstream, StartId start) const
{
    const Record* record = find(upstream, start);
    return record && record->contradicted;
}

std::optional<base::Instant> UpstreamSpeeds::trialDueSince(const base::ServiceId& service, const base::UpstreamId& upstream, StartId start, base::Instant now) const
{
    auto found = m_services.find(service);
    if (found == m_services.end() || found->second.callsSinceTrial < callsPerTrial)
        return std::nullopt;
    const Record* record = find(upstream, start);
    base::Instant last = record ? record->lastCall.value_or(base::Instant()) : base::Instant();
    return now - last >= trialInterval ? std::optional(last) : std::nullopt;
}

} // namespace toucanstep::upstreams
