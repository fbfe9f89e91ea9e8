// Test oracle that checks an account's usage against its limits in every window. Does not use the library's token
// bucket.

#pragma once

#include "toucanstep/limits/TokenBucket.h"

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

namespace toucanstep::limits {

class WindowOracle {
public:
    // No gateway applies higher limits than these from `at` until the next call.
    void addLimits(base::Instant at, BucketLimits limits) { m_limits.push_back({ at, limits }); }
    void addUse(base::Instant at, int64_t tokens) { m_uses.push_back({ at, tokens }); }

    // Describes the first window with more than burst + rate x (window + allowance); empty if there is none.
    std::string firstViolation(base::Duration allowance = {}) const
    {
        auto uses = m_uses;
        std::stable_sort(uses.begin(), uses.end(), [](const Use& left, const Use& right) { return left.at < right.at; });
        for (size_t first = 0; first < uses.size(); ++first) {
            __int128 sum = 0;
            for (size_t last = first; last < uses.size(); ++last) {
                sum += static_cast<__int128>(uses[last].tokens) * nanoTokensPerToken;
                __int128 allowed = allowedBetween(uses[first].at - allowance, uses[last].at);
                if (sum > allowed)
                    return describe(uses[first].at, uses[last].at, sum, allowed);
            }
        }
        return {};
    }

private:
    struct Use {
        base::Instant at;
        int64_t tokens;
    };
    struct Limits {
        base::Instant from;
        BucketLimits limits;
    };

    __int128 allowedBetween(base::Instant start, base::Instant end) const
    {
        __int128 accrued = 0;
        int64_t burst = 0;
        for (size_t index = 0; index < m_limits.size(); ++index) {
            bool isLast = index + 1 == m_limits.size();
            base::Instant from = index ? std::max(start, m_limits[index].from) : start;
            base::Instant until = isLast ? end : std::min(end, m_limits[index + 1].from);
            if (until < from)
                continue;
            accrued += static_cast<__int128>((until - from).count()) * m_limits[index].limits.tokensPerSecond.value();
            burst = std::max(burst, m_limits[index].limits.burst.value());
        }
        return accrued + static_cast<__int128>(burst) * nanoTokensPerToken;
    }

    static std::string describe(base::Instant from, base::Instant to, __int128 sum, __int128 allowed)
    {
        std::ostringstream text;
        text << "window of " << (to - from).count() << " ns: used " << static_cast<double>(sum) / nanoTokensPerToken << " tokens, allowed "
             << static_cast<double>(allowed) / nanoTokensPerToken;
        return text.str();
    }

    std::vector<Limits> m_limits;
    std::vector<Use> m_uses;
};

} // namespace toucanstep::limits
