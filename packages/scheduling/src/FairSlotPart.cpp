#include "toucanstep/scheduling/FairSlotPart.h"

#include <algorithm>
#include <vector>

namespace toucanstep::scheduling {

namespace {

// Of an even part: an account with a lead gets as much, since the calls of others that are reported may wait for something else than
// these slots.
constexpr double leastPart = 0.1;

struct Claim {
    double own = 0;
    double total = 0;
    double lead = 0;

    double countedAt(double level) const { return std::clamp(level - lead, 0.0, total); }
};

// The level up to which each account counts, from its lead on, so that all of them together fill the slots.
double levelOf(const std::vector<Claim>& claims, double slots)
{
    // Halves the range this often: to less than a millionth of it.
    constexpr int steps = 40;
    double low = 0;
    double high = 0;
    for (const auto& claim : claims)
        high = std::max(high, claim.lead + claim.total);
    for (int step = 0; step < steps; ++step) {
        double level = (low + high) / 2;
        double filled = 0;
        for (const auto& claim : claims)
            filled += claim.countedAt(level);
        (filled > slots ? high : low) = level;
    }
    return high;
}

double leadOf(const LeadsByAccount& leads, const base::ClientAccountId& account)
{
    auto found = leads.find(account);
    return found == leads.end() ? 0 : std::max(found->second, 0.0);
}

} // namespace

double fairSlotPart(const CallsByAccount& own, const CallsByAccount& elsewhere, int64_t unlisted, double slots, const LeadsByAccount& leads)
{
    std::vector<Claim> claims;
    for (const auto& [account, calls] : own) {
        auto found = elsewhere.find(account);
        auto count = static_cast<double>(std::max<int64_t>(calls, 0));
        claims.push_back({ count, count + static_cast<double>(found == elsewhere.end() ? 0 : std::max<int64_t>(found->second, 0)), leadOf(leads, account) });
    }
    for (const auto& [account, calls] : elsewhere) {
        if (!own.contains(account))
            claims.push_back({ 0, static_cast<double>(std::max<int64_t>(calls, 0)), leadOf(leads, account) });
    }
    if (unlisted > 0)
        claims.push_back({ 0, static_cast<double>(unlisted) });
    std::erase_if(claims, [](const Claim& claim) { return claim.total <= 0; });
    // With less than a slot in an interval the proportions are those of one slot.
    double level = levelOf(claims, std::max(slots, 1.0));
    double least = leastPart * std::max(slots, 1.0) / static_cast<double>(std::max<size_t>(claims.size(), 1));
    double ownSum = 0;
    double sum = 0;
    for (const auto& claim : claims) {
        double counted = std::max(claim.countedAt(level), std::min(claim.total, least));
        ownSum += counted * claim.own / claim.total;
        sum += counted;
    }
    return sum > 0 ? ownSum / sum : 1;
}

} // namespace toucanstep::scheduling
