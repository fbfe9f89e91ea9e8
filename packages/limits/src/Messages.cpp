#include "toucanstep/limits/Messages.h"

#include <algorithm>

namespace toucanstep::limits {

namespace {

base::Tokens slice(base::Tokens whole, int count, int index)
{
    int64_t quotient = whole.value() / count;
    int64_t remainder = whole.value() % count;
    return base::Tokens(quotient + (index < remainder ? 1 : 0));
}

} // namespace

std::vector<BucketLimits> splitLimits(BucketLimits whole, int count)
{
    count = std::max(count, 1);
    std::vector<BucketLimits> slices;
    for (int index = 0; index < count; ++index)
        slices.push_back({ slice(whole.tokensPerSecond, count, index), slice(whole.burst, count, index) });
    return slices;
}

} // namespace toucanstep::limits
