#include "toucanstep/routing/Quarantine.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

constexpr int64_t refusalThreshold = 2;

} // namespace

Quarantine::Quarantine(QuarantineSettings settings)
    : m_settings(settings)
{
}

std::vector<StrikeMessage> Quarantine::onCrash(const CrashId& crash, const std::vector<RequestFingerprint>& inFlight, base::Instant now)
{
    std::vector<StrikeMessage> messages;
    for (const auto& fingerprint : inFlight) {
        add({ fingerprint, crash, now + m_settings.strikeLifetime }, now);
        messages.push_back({ fingerprint, crash, m_settings.strikeLifetime });
    }
    return messages;
}

void Quarantine::merge(const std::vector<StrikeMessage>& messages, base::Instant now)
{
    for (const auto& message : messages)
        add({ message.fingerprint, message.crash, now + std::min(message.remaining, m_settings.strikeLifetime) }, now);
}

void Quarantine::add(const Strike& strike, base::Instant now)
{
    if (strike.expires <= now)
        return;
    auto& crashes = m_byFingerprint[strike.fingerprint];
    auto [known, isNew] = crashes.emplace(strike.crash, strike.expires);
    if (!isNew) {
        // The earlier expiry wins, so that a strike received again over a slow path is not extended.
        known->second = std::min(known->second, strike.expires);
        return;
    }
    ++m_strikeCount;
    if (m_strikeCount <= m_settings.maximumStrikes)
        return;
    expire(now);
    if (m_strikeCount > m_settings.maximumStrikes)
        evictOneFingerprint();
}

// Evicts fingerprints that are not refused first, then those that expire first. Evicting a single strike allows at most one more
// crash; evicting two strikes of one fingerprint may allow two.
void Quarantine::evictOneFingerprint()
{
    auto rank = [](const auto& entry) {
        auto latest = std::max_element(entry.second.begin(), entry.second.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        return std::pair(static_cast<int64_t>(entry.second.size()) >= refusalThreshold, latest->second);
    };
    auto evicted = std::min_element(m_byFingerprint.begin(), m_byFingerprint.end(), [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    m_strikeCount -= evicted->second.size();
    m_byFingerprint.erase(evicted);
}

void Quarantine::expire(base::Instant now)
{
    for (auto entry = m_byFingerprint.begin(); entry != m_byFingerprint.end();) {
        m_strikeCount -= std::erase_if(entry->second, [&](const auto& crash) { return crash.second <= now; });
        entry = entry->second.empty() ? m_byFingerprint.erase(entry) : std::next(entry);
    }
}

QuarantineState Quarantine::state(const RequestFingerprint& fingerprint, base::Instant now) const
{
    auto entry = m_byFingerprint.find(fingerprint);
    if (entry == m_byFingerprint.end())
        return QuarantineState::Unrestricted;
    auto unexpired = std::count_if(entry->second.begin(), entry->second.end(), [&](const auto& crash) { return crash.second > now; });
    if (unexpired >= refusalThreshold)
        return QuarantineState::Refused;
    return unexpired > 0 ? QuarantineState::Isolated : QuarantineState::Unrestricted;
}

std::optional<base::Refusal> Quarantine::refusal(const RequestFingerprint& fingerprint, base::Instant now) const
{
    if (state(fingerprint, now) != QuarantineState::Refused)
        return std::nullopt;
    std::vector<base::Instant> expiries;
    for (const auto& [crash, expires] : m_byFingerprint.find(fingerprint)->second)
        expiries.push_back(expires);
    // The request may run again once fewer than two strikes are unexpired, which is when the second to last one expires.
    std::sort(expiries.begin(), expiries.end(), std::greater<>());
    return base::Refusal { base::RefusalCode::RequestQuarantined, base::RanState::NotRun, "this request was running at two crashes of upstreams", expiries[1] };
}

std::vector<StrikeMessage> Quarantine::exportStrikes(base::Instant now) const
{
    std::vector<StrikeMessage> messages;
    for (const auto& [fingerprint, crashes] : m_byFingerprint)
        for (const auto& [crash, expires] : crashes)
            if (expires - m_settings.hopTimeReduction > now)
                messages.push_back({ fingerprint, crash, expires - m_settings.hopTimeReduction - now });
    return messages;
}

IsolationGate::IsolationGate(base::Duration maximumWait)
    : m_maximumWait(maximumWait)
{
}

void IsolationGate::isolatedRequestQueued(base::Instant now)
{
    if (!m_waitingSince && !m_isolatedRequest)
        m_waitingSince = now;
}

bool IsolationGate::mayStart(QuarantineState state, int64_t inFlight, base::Instant now) const
{
    if (state == QuarantineState::Refused || m_isolatedRequest)
        return false;
    if (state == QuarantineState::Isolated)
        return inFlight == 0;
    return !m_waitingSince || now - *m_waitingSince < m_maximumWait;
}

void IsolationGate::started(const base::RequestId& request, QuarantineState state)
{
    if (state != QuarantineState::Isolated)
        return;
    m_isolatedRequest = request;
    m_waitingSince.reset();
}

void IsolationGate::ended(const base::RequestId& request)
{
    if (m_isolatedRequest == request)
        m_isolatedRequest.reset();
}

} // namespace toucanstep::routing
