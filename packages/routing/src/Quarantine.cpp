#include "toucanstep/routing/Quarantine.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

constexpr int64_t strikesThatRefuse = 2;

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
    auto [place, isNew] = crashes.emplace(strike.crash, strike.expires);
    if (!isNew) {
        // The earlier end wins, so that a strike heard again over a slow path does not live longer.
        place->second = std::min(place->second, strike.expires);
        return;
    }
    ++m_strikes;
    if (m_strikes <= m_settings.maximumStrikes)
        return;
    expire(now);
    if (m_strikes > m_settings.maximumStrikes)
        dropOne();
}

// What is refused is kept longest: dropping a lone strike costs one more crash at most, dropping a pair may cost two.
void Quarantine::dropOne()
{
    auto rank = [](const auto& entry) {
        auto latest = std::max_element(entry.second.begin(), entry.second.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        return std::pair(static_cast<int64_t>(entry.second.size()) >= strikesThatRefuse, latest->second);
    };
    auto victim = std::min_element(m_byFingerprint.begin(), m_byFingerprint.end(), [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    m_strikes -= victim->second.size();
    m_byFingerprint.erase(victim);
}

void Quarantine::expire(base::Instant now)
{
    for (auto entry = m_byFingerprint.begin(); entry != m_byFingerprint.end();) {
        m_strikes -= std::erase_if(entry->second, [&](const auto& crash) { return crash.second <= now; });
        entry = entry->second.empty() ? m_byFingerprint.erase(entry) : std::next(entry);
    }
}

QuarantineState Quarantine::state(const RequestFingerprint& fingerprint, base::Instant now) const
{
    auto entry = m_byFingerprint.find(fingerprint);
    if (entry == m_byFingerprint.end())
        return QuarantineState::Unrestricted;
    auto living = std::count_if(entry->second.begin(), entry->second.end(), [&](const auto& crash) { return crash.second > now; });
    if (living >= strikesThatRefuse)
        return QuarantineState::Refused;
    return living > 0 ? QuarantineState::Isolated : QuarantineState::Unrestricted;
}

std::optional<base::Refusal> Quarantine::refusal(const RequestFingerprint& fingerprint, base::Instant now) const
{
    if (state(fingerprint, now) != QuarantineState::Refused)
        return std::nullopt;
    std::vector<base::Instant> ends;
    for (const auto& [crash, expires] : m_byFingerprint.find(fingerprint)->second)
        ends.push_back(expires);
    // It may run again once fewer than two strikes live: when the last but one ends.
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return base::Refusal { base::RefusalCode::RequestQuarantined, base::RanState::NotRun, "this request was running at two crashes of upstreams", ends[1] };
}

std::vector<StrikeMessage> Quarantine::exportStrikes(base::Instant now) const
{
    std::vector<StrikeMessage> messages;
    for (const auto& [fingerprint, crashes] : m_byFingerprint)
        for (const auto& [crash, expires] : crashes)
            if (expires - m_settings.hopAllowance > now)
                messages.push_back({ fingerprint, crash, expires - m_settings.hopAllowance - now });
    return messages;
}

IsolationGate::IsolationGate(base::Duration patience)
    : m_patience(patience)
{
}

void IsolationGate::isolatedRequestQueued(base::Instant now)
{
    if (!m_waitingSince && !m_alone)
        m_waitingSince = now;
}

bool IsolationGate::mayStart(QuarantineState state, int64_t inFlight, base::Instant now) const
{
    if (state == QuarantineState::Refused || m_alone)
        return false;
    if (state == QuarantineState::Isolated)
        return inFlight == 0;
    return !m_waitingSince || now - *m_waitingSince < m_patience;
}

void IsolationGate::started(const base::RequestId& request, QuarantineState state)
{
    if (state != QuarantineState::Isolated)
        return;
    m_alone = request;
    m_waitingSince.reset();
}

void IsolationGate::ended(const base::RequestId& request)
{
    if (m_alone == request)
        m_alone.reset();
}

} // namespace toucanstep::routing
