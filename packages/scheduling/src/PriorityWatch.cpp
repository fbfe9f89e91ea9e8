#include "toucanstep/scheduling/PriorityWatch.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::scheduling {

namespace {

// Calls are compared over this many seconds.
constexpr int64_t windowSeconds = 5;
// With fewer calls the parts say little.
constexpr double minCalls = 20;
// Smaller differences, in standard deviations, may be chance.
constexpr double significance = 3;

// Time constant of the calls sent lately.
constexpr double memorySeconds = 1;
// Fewer calls say nothing of the slots that are left.
constexpr double minSent = 3;
constexpr double maxUrgentPart = 0.95;

int64_t secondOf(base::Instant now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

double SentPriorities::callsAt(const Sent& sent, base::Instant now)
{
    return sent.calls * std::exp(-std::max(base::toSeconds(now - sent.last), 0.0) / memorySeconds);
}

void SentPriorities::onSent(const ModelQueue& queue, int64_t priority, base::Instant now)
{
    Sent& sent = m_sent[queue][priority];
    sent.calls = callsAt(sent, now) + 1;
    sent.last = now;
}

double SentPriorities::moreUrgentPart(const ModelQueue& queue, int64_t priority, base::Instant now) const
{
    auto found = m_sent.find(queue);
    if (found == m_sent.end())
        return 0;
    double moreUrgent = 0;
    double all = 0;
    for (const auto& [each, sent] : found->second) {
        double calls = callsAt(sent, now);
        all += calls;
        moreUrgent += each < priority ? calls : 0;
    }
    return all < minSent ? 0 : std::min(moreUrgent / all, maxUrgentPart);
}

bool SentPriorities::lessUrgentSent(const ModelQueue& queue, int64_t priority, base::Instant since) const
{
    auto found = m_sent.find(queue);
    if (found == m_sent.end())
        return false;
    return std::any_of(found->second.upper_bound(priority), found->second.end(), [&](const auto& entry) { return entry.second.last >= since; });
}

void PriorityWatch::onEnded(const base::ServiceId& service, int64_t priority, bool inTime, base::Instant now)
{
    auto& seconds = m_services[service][priority];
    if (seconds.empty() || seconds.back().number != secondOf(now))
        seconds.push_back({ secondOf(now), 0, 0 });
    ++seconds.back().calls;
    seconds.back().inTime += inTime ? 1 : 0;
}

PriorityWatch::Sum PriorityWatch::sumOf(const std::deque<Second>& seconds)
{
    Sum sum;
    for (const auto& second : seconds) {
        sum.calls += static_cast<double>(second.calls);
        sum.inTime += static_cast<double>(second.inTime);
    }
    return sum;
}

std::vector<PriorityInversion> PriorityWatch::inversions(base::Instant now)
{
    std::vector<PriorityInversion> found;
    for (auto& [service, priorities] : m_services) {
        std::map<int64_t, Sum> sums;
        for (auto& [priority, seconds] : priorities) {
            while (!seconds.empty() && seconds.front().number <= secondOf(now) - windowSeconds)
                seconds.pop_front();
            if (Sum sum = sumOf(seconds); sum.calls >= minCalls)
                sums.emplace(priority, sum);
        }
        for (auto urgent = sums.begin(); urgent != sums.end(); ++urgent) {
            for (auto other = std::next(urgent); other != sums.end(); ++other) {
                double pooled = (urgent->second.inTime + other->second.inTime) / (urgent->second.calls + other->second.calls);
                double deviation = std::sqrt(pooled * (1 - pooled) * (1 / urgent->second.calls + 1 / other->second.calls));
                PriorityInversion inversion { service, urgent->first, other->first, urgent->second.inTime / urgent->second.calls, other->second.inTime / other->second.calls };
                if (inversion.lessUrgentInTime - inversion.urgentInTime <= significance * deviation)
                    continue;
                auto [reported, isNew] = m_reported.try_emplace(std::tuple(service, urgent->first, other->first), now);
                if (!isNew && now - reported->second < std::chrono::seconds(windowSeconds))
                    continue;
                reported->second = now;
                found.push_back(inversion);
            }
        }
    }
    return found;
}

} // namespace toucanstep::scheduling
