// Learns from recent calls how long upstreams take to start and to end an answer.
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

    Averages m_starts;
    Averages m_ends;
};

} // namespace toucanstep::scheduling
