#include "toucanstep/placement/LoadPermits.h"

#include <algorithm>
#include <tuple>

namespace toucanstep::placement {

LoadPermits::LoadPermits(PermitSettings settings)
    : m_settings(settings)
{
}

int64_t LoadPermits::limit(PermitKind kind) const { return kind == PermitKind::Model ? m_settings.models : m_settings.adapters; }

bool LoadPermits::before(const PermitRequest& left, const PermitRequest& right)
{
    if (left.earliestDeadline != right.earliestDeadline)
        return left.earliestDeadline < right.earliestDeadline;
    if (left.weight != right.weight)
        return left.weight > right.weight;
    return std::tie(left.borrower, left.model) < std::tie(right.borrower, right.model);
}

void LoadPermits::expire(base::Instant now)
{
    std::erase_if(m_leases, [&](const auto& entry) { return entry.second.until <= now; });
    std::erase_if(m_expectedEnd, [&](const auto& entry) { return !m_leases.count(entry.first); });
    std::erase_if(m_waiting, [&](const auto& entry) { return entry.second.lastRequested + m_settings.requestExpiry < now; });
}

const PermitLease* LoadPermits::findLease(const Key& key) const
{
    for (const auto& [id, permit] : m_leases)
        if (permit.borrower == key.borrower && permit.model == key.model)
            return &permit;
    return nullptr;
}

std::optional<PermitLease> LoadPermits::requestPermit(const PermitRequest& request, base::Instant now)
{
    expire(now);
    Key key { request.borrower, request.model };
    if (const auto* lease = findLease(key))
        return *lease;
    m_waiting[key] = Waiting { request, now };
    tick(now);
    const auto* lease = findLease(key);
    return lease ? std::optional(*lease) : std::nullopt;
}

void LoadPermits::withdraw(const base::UpstreamId& borrower, const base::ModelId& model)
{
    m_waiting.erase(Key { borrower, model });
}

void LoadPermits::release(PermitId id)
{
    m_leases.erase(id);
    m_expectedEnd.erase(id);
}

int64_t LoadPermits::leasedCount(PermitKind kind, base::Instant now) const
{
    return std::count_if(m_leases.begin(), m_leases.end(), [&](const auto& entry) { return entry.second.kind == kind && entry.second.until > now; });
}

std::vector<PermitLease> LoadPermits::tick(base::Instant now)
{
    expire(now);
    std::vector<PermitLease> granted;
    for (auto kind : { PermitKind::Model, PermitKind::Adapter }) {
        while (leasedCount(kind, now) < limit(kind)) {
            auto first = m_waiting.end();
            for (auto place = m_waiting.begin(); place != m_waiting.end(); ++place)
                if (place->second.request.kind == kind && (first == m_waiting.end() || before(place->second.request, first->second.request)))
                    first = place;
            if (first == m_waiting.end())
                break;
            const auto& request = first->second.request;
            m_lastId += PermitId(1);
            auto leaseTime = std::max(m_settings.minimumLease, base::Duration(request.loadTime * m_settings.leasePercent / 100));
            PermitLease permit { m_lastId, request.borrower, request.model, kind, now + leaseTime };
            m_expectedEnd[m_lastId] = now + request.loadTime;
            m_leases.emplace(m_lastId, permit);
            granted.push_back(permit);
            m_waiting.erase(first);
        }
    }
    return granted;
}

base::Instant LoadPermits::expectedAt(const PermitRequest& request, base::Instant now) const
{
    // Simulates the running loads and the requests ahead of this one, assuming that each takes its expected time.
    std::vector<base::Instant> freeAt;
    for (const auto& [id, permit] : m_leases)
        if (permit.kind == request.kind && permit.until > now)
            freeAt.push_back(std::max(now, m_expectedEnd.at(id)));
    freeAt.resize(std::max(freeAt.size(), static_cast<size_t>(limit(request.kind))), now);
    std::vector<const PermitRequest*> ahead;
    for (const auto& [key, waiting] : m_waiting)
        if (waiting.request.kind == request.kind && before(waiting.request, request))
            ahead.push_back(&waiting.request);
    std::sort(ahead.begin(), ahead.end(), [](const auto* left, const auto* right) { return before(*left, *right); });
    for (const auto* other : ahead)
        *std::min_element(freeAt.begin(), freeAt.end()) += other->loadTime;
    return *std::min_element(freeAt.begin(), freeAt.end());
}

FallbackLoadLimiter::FallbackLoadLimiter(FallbackLoadLimiterSettings settings, int64_t phaseThousandths, base::Instant now)
    : m_settings(settings)
    , m_phaseThousandths(phaseThousandths)
{
    m_models.nextBegin = now;
    m_adapters.nextBegin = now;
}

bool FallbackLoadLimiter::tryBegin(PermitKind kind, base::Duration loadTime, base::Instant now)
{
    auto isModel = kind == PermitKind::Model;
    auto& lane = isModel ? m_models : m_adapters;
    auto permits = std::max<int64_t>(1, isModel ? m_settings.fleet.models : m_settings.fleet.adapters);
    // All sidecars together start at most `permits` loads during one load time.
    auto spacing = base::Duration(loadTime * std::max(permits, m_settings.sidecars) / permits);
    if (!lane.phaseApplied) {
        lane.phaseApplied = true;
        lane.nextBegin += base::Duration(spacing * m_phaseThousandths / 1000);
    }
    if (lane.running > 0 || now < lane.nextBegin)
        return false;
    ++lane.running;
    lane.nextBegin = now + spacing;
    return true;
}

void FallbackLoadLimiter::ended(PermitKind kind)
{
    auto& lane = kind == PermitKind::Model ? m_models : m_adapters;
    lane.running = std::max<int64_t>(0, lane.running - 1);
}

} // namespace toucanstep::placement
