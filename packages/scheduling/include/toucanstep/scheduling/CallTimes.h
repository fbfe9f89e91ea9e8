// Learns from recent calls how long upstreams take to start and to end an answer.
//
// Averages tell whether a queued call can still be in time. Where a call must not be cut, the longest of the recent calls count.
//
// A queued call is in time only if its answer can still start within the latency target after it is sent. Without the
// estimate, overloaded gateways send calls that have waited for almost their whole target, and every answer starts late.

#pragma once

#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/serving/Demand.h"

#include <algorithm>
#include <map>
#include <optional>

namespace toucanstep::scheduling {

class CallTimes {
public:
    void onAnswerStarted(const ModelQueue& queue, base::Duration sinceSent) { add(m_starts, queue, sinceSent); }
    void onAnswerEnded(const ModelQueue& queue, base::Duration sinceSent) { add(m_ends, queue, sinceSent); }
    // A whole answer: the time from its arrival to its first byte and from there to its end. `output` is what the call allowed, 0 if
    // it stated nothing.
    void onCallEnded(const ModelQueue& queue, base::Duration untilStart, base::Duration sinceStart, base::Tokens output)
    {
        add(m_pastCalls.try_emplace(queue).first->second, untilStart, sinceStart, output);
        add(m_pastCallsOfServices.try_emplace(queue.service).first->second, untilStart, sinceStart, output);
    }

    // How long a call takes that is like the recent ones of its model, or of its service if the model had few. Nothing if there were
    // none of the service either.
    std::optional<base::Duration> expected(const ModelQueue& queue, base::Tokens output) const
    {
        const PastCalls* calls = pastCalls(queue);
        return calls ? std::optional(toDuration(calls->usual, output)) : std::nullopt;
    }
    // The same for a call that is as slow as the slowest recent ones.
    std::optional<base::Duration> longestExpected(const ModelQueue& queue, base::Tokens output) const
    {
        const PastCalls* calls = pastCalls(queue);
        return calls ? std::optional(toDuration(calls->longest, output)) : std::nullopt;
    }

    // The time to keep free for the start of an answer; never more than half of the latency target, so that a slow upstream
    // does not make every call late on arrival.
    base::Duration startReserve(const ModelQueue& queue, base::Duration latencyTarget) const
    {
        auto found = m_starts.find(queue);
        if (found == m_starts.end())
            return base::Duration::zero();
        auto expected = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(found->second * spreadFactor));
        return std::min<base::Duration>(expected, latencyTarget / 2);
    }

    // The part of the running calls that end within the interval, from 0 to 1; 0 if no call has ended yet.
    double turnover(const ModelQueue& queue, base::Duration interval) const
    {
        auto found = m_ends.find(queue);
        if (found == m_ends.end() || found->second <= 0)
            return 0;
        return std::min(base::toSeconds(interval) / found->second, 1.0);
    }

private:
    // In seconds.
    struct Pace {
        double start = 0;
        double perToken = 0;
    };
    struct PastCalls {
        int64_t count = 0;
        Pace usual;
        Pace longest;
    };

    const PastCalls* pastCalls(const ModelQueue& queue) const
    {
        auto ofModel = m_pastCalls.find(queue);
        if (ofModel != m_pastCalls.end() && ofModel->second.count >= callsToKnowModel)
            return &ofModel->second;
        auto ofService = m_pastCallsOfServices.find(queue.service);
        return ofService == m_pastCallsOfServices.end() ? nullptr : &ofService->second;
    }

    static base::Duration toDuration(const Pace& pace, base::Tokens output)
    {
        // Callers may state any number of tokens.
        double seconds = std::min((pace.start + pace.perToken * tokensOf(output)) * growth, mostSeconds);
        return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    }

    static double tokensOf(base::Tokens output) { return static_cast<double>(std::max<int64_t>(output.value(), 1)); }

    static void add(PastCalls& calls, base::Duration untilStart, base::Duration sinceStart, base::Tokens output)
    {
        double start = base::toSeconds(untilStart);
        double perToken = base::toSeconds(sinceStart) / tokensOf(output);
        double weight = calls.count++ ? weightOfNewest : 1;
        calls.usual.start += weight * (start - calls.usual.start);
        calls.usual.perToken += weight * (perToken - calls.usual.perToken);
        calls.longest.start = std::max(start, calls.longest.start * keptOfLongest);
        calls.longest.perToken = std::max(perToken, calls.longest.perToken * keptOfLongest);
    }

    // Exponential moving averages, in seconds.
    using Averages = std::map<ModelQueue, double>;

    static void add(Averages& averages, const ModelQueue& queue, base::Duration sample)
    {
        auto [place, isNew] = averages.try_emplace(queue, base::toSeconds(sample));
        if (!isNew)
            place->second += weightOfNewest * (base::toSeconds(sample) - place->second);
    }

    static constexpr double weightOfNewest = 0.1;
    // Covers most answers, which start later than the average now and then.
    static constexpr double spreadFactor = 1.5;

    static constexpr int64_t callsToKnowModel = 30;
    static constexpr double mostSeconds = 86'400;
    // Calls take longer where more of them run at a time than before.
    static constexpr double growth = 1.2;
    // An unusually long call is forgotten over some hundred others.
    static constexpr double keptOfLongest = 0.99;

    Averages m_starts;
    Averages m_ends;
    std::map<ModelQueue, PastCalls> m_pastCalls;
    std::map<base::ServiceId, PastCalls> m_pastCallsOfServices;
};

} // namespace toucanstep::scheduling
