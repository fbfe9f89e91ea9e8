#include "toucanstep/upstreams/FleetRetryBudget.h"

#include "toucanstep/base/Text.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::upstreams {

namespace {

constexpr int intervalsPerWindow = 100;
// Half of what is allowed is paid in each of the two ways that FleetRetryBudget.h describes.
constexpr double earnedFraction = 0.5;
constexpr int64_t reserveDivisor = 2;
// Keeps a fraction of a retry that is a whole one but for rounding.
constexpr double roundingError = 1e-9;

} // namespace

RecentCount::RecentCount(base::Duration span, base::Duration interval)
    : m_span(span)
    , m_interval(std::max<base::Duration>(interval, base::Duration(1)))
{
}

base::Instant RecentCount::beginOf(base::Instant time) const
{
    return base::Instant(time.time_since_epoch() / m_interval * m_interval);
}

void RecentCount::add(base::Instant now)
{
    base::Instant begin = beginOf(now);
    if (m_intervals.empty() || m_intervals.back().begin < begin)
        m_intervals.push_back({ begin, 0 });
    ++m_intervals.back().events;
    ++m_total;
}

void RecentCount::remove(base::Instant at)
{
    base::Instant begin = beginOf(at);
    auto found = std::find_if(m_intervals.begin(), m_intervals.end(), [&](const Interval& interval) { return interval.begin == begin && interval.events > 0; });
    if (found == m_intervals.end())
        return;
    --found->events;
    --m_total;
}

int64_t RecentCount::total(base::Instant now)
{
    while (!m_intervals.empty() && now - m_intervals.front().begin >= m_span) {
        m_total -= m_intervals.front().events;
        m_intervals.pop_front();
    }
    return m_total;
}

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetSettings settings, const FleetShare& share)
    : m_settings(settings)
    , m_share(share)
{
}

FleetRetryBudget::Service& FleetRetryBudget::serviceOf(const base::ServiceId& service)
{
    base::Duration interval = m_settings.window / intervalsPerWindow;
    // Calls leave the count up to an interval early and retries up to an interval late, never the other way round.
    return m_services.try_emplace(service, Service { RecentCount(m_settings.window, interval), RecentCount(m_settings.window + interval, interval) }).first->second;
}

void FleetRetryBudget::setServices(const std::vector<ServiceTraits>& services)
{
    std::erase_if(m_services, [&](const auto& entry) {
        return !entry.second.reserved && std::none_of(services.begin(), services.end(), [&](const ServiceTraits& service) { return service.id == entry.first; });
    });
    for (const auto& service : services)
        serviceOf(service.id);
}

int64_t FleetRetryBudget::earned(Service& service, base::Instant now) const
{
    double allowed = m_settings.ratio * earnedFraction * static_cast<double>(service.calls.total(now));
    return std::max<int64_t>(0, static_cast<int64_t>(std::floor(allowed + roundingError)) - service.earnedRetries.total(now));
}

void FleetRetryBudget::tick(base::Instant now)
{
    double windows = m_lastTick ? base::toSeconds(now - *m_lastTick) / base::toSeconds(m_settings.window) : 0;
    m_lastTick = now;
    for (auto& [id, service] : m_services) {
        auto part = static_cast<double>(m_share.part(base::concat("retries/", id), m_settings.slack / reserveDivisor, now));
        double refill = part > 0 && !service.hasPart ? base::toSeconds(m_share.settlingTime()) / base::toSeconds(m_settings.window) : windows;
        service.hasPart = part > 0;
        service.reserve = std::min(part, service.reserve + refill * part);
    }
}

void FleetRetryBudget::onCall(const base::ServiceId& service, base::Instant now)
{
    serviceOf(service).calls.add(now);
}

int64_t FleetRetryBudget::available(const base::ServiceId& service, base::Instant now)
{
    Service& state = serviceOf(service);
    int64_t reserve = m_share.isSettled(now) ? static_cast<int64_t>(std::floor(state.reserve + roundingError)) : 0;
    return earned(state, now) + reserve - state.reserved;
}

bool FleetRetryBudget::tryReserve(const base::ServiceId& service, base::Instant now)
{
    if (available(service, now) < 1)
        return false;
    ++serviceOf(service).reserved;
    return true;
}

std::optional<PaidRetry> FleetRetryBudget::pay(const base::ServiceId& service, base::Instant now)
{
    Service& state = serviceOf(service);
    cancel(service);
    if (earned(state, now) >= 1) {
        state.earnedRetries.add(now);
        return PaidRetry { now, false };
    }
    if (!m_share.isSettled(now) || state.reserve + roundingError < 1)
        return std::nullopt;
    state.reserve -= 1;
    return PaidRetry { now, true };
}

void FleetRetryBudget::cancel(const base::ServiceId& service)
{
    int64_t& reserved = serviceOf(service).reserved;
    reserved = std::max<int64_t>(0, reserved - 1);
}

void FleetRetryBudget::takeBack(const base::ServiceId& service, const PaidRetry& retry)
{
    Service& state = serviceOf(service);
    ++state.reserved;
    if (retry.fromReserve)
        state.reserve += 1;
    else
        state.earnedRetries.remove(retry.at);
}

} // namespace toucanstep::upstreams
