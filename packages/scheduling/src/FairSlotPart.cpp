#include "toucanstep/scheduling/FairSlotPart.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace toucanstep::scheduling {

namespace {

struct Claim {
    double own = 0;
    double total = 0;
};

// The number of calls up to which each account counts, so that all of them together fill the slots.
double levelOf(const std::vector<Claim>& claims, double slots)
{
    std::vector<double> totals;
    for (const auto& claim : claims)
        totals.push_back(claim.total);
    std::sort(totals.begin(), totals.end());
    double left = slots;
    for (size_t index = 0; index < totals.size(); ++index) {
        double level = left / static_cast<double>(totals.size() - index);
        if (level <= totals[index])
            return level;
        left -= totals[index];
    }
    return std::numeric_limits<double>::max();
}

} // namespace

double fairSlotPart(const CallsByAccount& own, const CallsByAccount& elsewhere, int64_t unlisted, double slots)
{
    std::vector<Claim> claims;
    for (const auto& [account, calls] : own) {
        auto found = elsewhere.find(account);
        auto count = static_cast<double>(std::max<int64_t>(calls, 0));
        claims.push_back({ count, count + static_cast<double>(found == elsewhere.end() ? 0 : std::max<int64_t>(found->second, 0)) });
    }
    for (const auto& [account, calls] : elsewhere) {
        if (!own.contains(account))
            claims.push_back({ 0, static_cast<double>(std::max<int64_t>(calls, 0)) });
    }
    if (unlisted > 0)
        claims.push_back({ 0, static_cast<double>(unlisted) });
    std::erase_if(claims, [](const Claim& claim) { return claim.total <= 0; });
    // With less than a slot in an interval the proportions are those of one slot.
    double level = levelOf(claims, std::max(slots, 1.0));
    double ownSum = 0;
    double sum = 0;
    for (const auto& claim : claims) {
        double counted = std::min(claim.total, level);
        ownSum += counted * claim.own / claim.total;
        sum += counted;
    }
    return sum > 0 ? ownSum / sum : 1;
}

} // namespace toucanstep::scheduling
