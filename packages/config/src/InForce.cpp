#include "toucanstep/config/InForce.h"

#include <algorithm>
#include <tuple>

namespace toucanstep::config {

namespace {

const ConfigurationSource service {};

// Delays are drawn from the range between these shares of their nominal value, in percent.
constexpr int leastSpreadPercent = 75;
constexpr int mostSpreadPercent = 100;

} // namespace

InForce::InForce(InForceOptions options, uint64_t seed, base::Instant now)
    : m_options(options)
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
    , m_startDeadline(now + options.startWait)
{
    m_sources[service].nextAttempt = now;
}

base::Revision InForce::highestSeen() const
{
    base::Revision highest = std::max(m_version, m_candidate);
    for (const auto& [source, state] : m_sources)
        highest = std::max(highest, state.offered);
    return highest;
}

void InForce::addPeer(const base::InstanceId& peer, base::Instant now)
{
    m_sources.try_emplace({ peer }, SourceState { .lastHeard = now, .nextAttempt = now });
}

void InForce::forgetPeer(const base::InstanceId& peer)
{
    m_sources.erase({ peer });
}

InForceActions InForce::tick(base::Instant now)
{
    endExpiredFetches(now);
    InForceActions actions = installBestCopyAtStart(now);
    startPoll(now, actions);
    startPeerFetches(now, actions);
    return actions;
}

InForceActions InForce::onWatchEvent(base::Revision version, bool usable, base::Instant)
{
    if (usable)
        return takeText(service, version);
    m_sources[service].offered = std::max(m_sources[service].offered, version);
    return {};
}

InForceActions InForce::onVersionSeen(const base::InstanceId& peer, base::Revision version, base::Instant now)
{
    addPeer(peer, now);
    SourceState& state = m_sources[{ peer }];
    state.lastHeard = now;
    // Messages may come late and in another order; a peer's version only moves up. A replaced instance has another id.
    state.offered = std::max(state.offered, version);
    InForceActions actions;
    startPeerFetches(now, actions);
    return actions;
}

InForceActions InForce::onFetched(const ConfigurationSource& source, base::Revision version, FetchOutcome outcome, base::Instant now)
{
    auto found = m_sources.find(source);
    if (found != m_sources.end())
        noteOutcome(source, found->second, version, outcome, now);
    InForceActions actions;
    if (outcome == FetchOutcome::Text)
        actions = takeText(source, version);
    InForceActions further = tick(now);
    actions.insert(actions.end(), further.begin(), further.end());
    return actions;
}

void InForce::noteOutcome(const ConfigurationSource& source, SourceState& state, base::Revision version, FetchOutcome outcome, base::Instant now)
{
    state.fetchDeadline.reset();
    if (outcome == FetchOutcome::Failed || outcome == FetchOutcome::Unusable) {
        if (outcome == FetchOutcome::Unusable)
            state.offered = std::max(state.offered, version);
        backOff(state, now);
        return;
    }
    state.retryDelay = {};
    // What the source says itself corrects what was believed of it, or the node would ask it again and again in vain.
    state.offered = outcome == FetchOutcome::Text ? version : std::min(state.offered, m_version);
    state.nextAttempt = now + spread(source == service ? m_options.pollInterval : m_options.shortestRetry);
}

InForceActions InForce::takeText(const ConfigurationSource& source, base::Revision version)
{
    if (version <= m_version)
        return {};
    bool starting = m_version == base::Revision();
    // A peer that is cut off may hold an old text, in which a withdrawn key still works. A node that starts therefore takes
    // no single peer's word: it compares the copies of several for a moment, unless the service itself answers.
    if (starting && source.peer) {
        m_candidate = std::max(m_candidate, version);
        return {};
    }
    return install(std::max(m_candidate, version));
}

InForceActions InForce::install(base::Revision version)
{
    m_version = version;
    m_candidate = {};
    return { InstallAction { version } };
}

InForceActions InForce::installBestCopyAtStart(base::Instant now)
{
    if (m_candidate == base::Revision())
        return {};
    bool waiting = std::any_of(m_sources.begin(), m_sources.end(), [](const auto& entry) { return entry.second.fetchDeadline.has_value(); });
    if (waiting && now < m_startDeadline)
        return {};
    return install(m_candidate);
}

void InForce::startPoll(base::Instant now, InForceActions& actions)
{
    SourceState& state = m_sources[service];
    if (!state.fetchDeadline && state.nextAttempt <= now)
        startFetch(service, state, now, actions);
}

void InForce::startPeerFetches(base::Instant now, InForceActions& actions)
{
    size_t running = static_cast<size_t>(std::count_if(m_sources.begin(), m_sources.end(), [](const auto& entry) { return entry.first.peer && entry.second.fetchDeadline; }));
    size_t allowed = m_version == base::Revision() ? m_options.peerFetchesAtStart : m_options.peerFetches;
    for (; running < allowed; ++running) {
        auto best = bestPeer(now);
        if (best == m_sources.end())
            return;
        startFetch(best->first, best->second, now, actions);
    }
}

// Peers that have not failed come first, then those that are furthest ahead, then those heard last.
InForce::Sources::iterator InForce::bestPeer(base::Instant now)
{
    auto rank = [](const SourceState& state) { return std::tuple(-state.retryDelay.count(), state.offered, state.lastHeard); };
    auto best = m_sources.end();
    for (auto entry = m_sources.begin(); entry != m_sources.end(); ++entry) {
        const SourceState& state = entry->second;
        if (!entry->first.peer || state.fetchDeadline || state.nextAttempt > now || !isWanted(state))
            continue;
        if (best == m_sources.end() || rank(state) > rank(best->second))
            best = entry;
    }
    return best;
}

bool InForce::isWanted(const SourceState& state) const
{
    bool starting = m_version == base::Revision() && m_candidate == base::Revision();
    return starting || state.offered > std::max(m_version, m_candidate);
}

void InForce::startFetch(const ConfigurationSource& source, SourceState& state, base::Instant now, InForceActions& actions) const
{
    state.fetchDeadline = now + m_options.fetchTimeout;
    actions.emplace_back(FetchAction { source, *state.fetchDeadline, m_version });
}

void InForce::endExpiredFetches(base::Instant now)
{
    for (auto& [source, state] : m_sources) {
        if (!state.fetchDeadline || *state.fetchDeadline > now)
            continue;
        state.fetchDeadline.reset();
        backOff(state, now);
    }
}

void InForce::backOff(SourceState& state, base::Instant now)
{
    state.retryDelay = std::clamp(state.retryDelay * 2, m_options.shortestRetry, m_options.longestRetry);
    state.nextAttempt = now + spread(state.retryDelay);
}

base::Duration InForce::spread(base::Duration nominal)
{
    std::uniform_int_distribution<int> percent(leastSpreadPercent, mostSpreadPercent);
    return nominal * percent(m_random) / 100;
}

} // namespace toucanstep::config
