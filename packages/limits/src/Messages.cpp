#include "toucanstep/limits/Messages.h"

#include <algorithm>

namespace toucanstep::limits {

namespace {

base::Tokens slice(base::Tokens total, int count, int index)
{
    int64_t quotient = total.value() / count;
    int64_t remainder = total.value() % count;
    return base::Tokens(quotient + (index < remainder ? 1 : 0));
}

} // namespace

std::vector<BucketLimits> splitLimits(BucketLimits total, int count)
{
    count = std::max(count, 1);
    std::vector<BucketLimits> slices;
    for (int index = 0; index < count; ++index)
        slices.push_back({ slice(total.tokensPerSecond, count, index), slice(total.burst, count, index) });
    return slices;
}

} // namespace toucanstep::limits
