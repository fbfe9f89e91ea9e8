#include "toucanstep/direct/CrashAttribution.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace toucanstep::direct {

namespace {

// If no other trait explains as many crashes.
constexpr int64_t minCrashesOfRequest = 2;
constexpr int64_t minCrashesOfPart = 3;
// Whatever else explains the crashes, but for a part of other calls' prompts.
constexpr size_t maxCrashesOfRequest = 3;
// Different requests have to share a part, since one that is repeated is refused as a request.
constexpr size_t minRequestsOfPart = 2;
// Crashes that follow each other within this time may have a common cause other than a call.
constexpr auto sameCauseTime = std::chrono::milliseconds(50);
// What peers tell is rounded to milliseconds, and their reports take some time to arrive.
constexpr auto toldTimeError = std::chrono::milliseconds(5);
constexpr auto crashMemory = std::chrono::minutes(10);
// Many calls share a part, so that old crashes say little about it.
constexpr auto partMemory = std::chrono::seconds(60);
// Further crashes may show another cause for this long.
constexpr auto revisionTime = std::chrono::seconds(60);
// After the last call that was refused.
constexpr auto refusalTime = std::chrono::minutes(10);
constexpr auto settlingTime = std::chrono::seconds(3);
constexpr auto firstTrialInterval = std::chrono::minutes(10);
// Subtracted from what peers tell, so that a refusal that is told in circles still ends.
constexpr auto hopTimeReduction = std::chrono::seconds(1);
// News are repeated for this long, since datagrams may be lost.
constexpr auto tellingTime = std::chrono::seconds(2);
// Longer than peers take to hear of the crash that has shown another cause.
constexpr auto withdrawalMemory = std::chrono::seconds(10);
constexpr auto clearedGenerationTime = std::chrono::minutes(5);
constexpr size_t maxClearedPerGeneration = 4096;
constexpr size_t maxCrashes = 64;
constexpr size_t maxSuspectsPerCrash = 256;
constexpr size_t maxRefusals = 256;
// Per report; the rest follows in the next ones.
constexpr size_t maxTraitsTold = 1024;
constexpr size_t maxClearingsTold = 64;

CallTrait digestOf(std::string_view text)
{
    constexpr size_t digits = 16;
    constexpr int hexadecimal = 16;
    std::string digest = base::sha256Hex(text).substr(0, digits);
    return CallTrait(static_cast<int64_t>(std::strtoull(digest.c_str(), nullptr, hexadecimal)));
}

} // namespace

CallTrait requestTrait(const routing::RequestFingerprint& fingerprint) { return digestOf(base::concat("request\n", fingerprint)); }
CallTrait partTrait(std::string_view hash) { return digestOf(base::concat("part\n", hash)); }

CrashAttribution::Occurrence CrashAttribution::occurrenceOf(const Crash& crash, const CrashSuspect& suspect)
{
    return { crash.crashedAt, suspect.inFlight ? std::optional(crash.crashedAt - *suspect.inFlight) : std::nullopt };
}

int64_t CrashAttribution::countIndependent(std::vector<Occurrence>& occurrences)
{
    std::sort(occurrences.begin(), occurrences.end(), [](const auto& left, const auto& right) { return left.crashedAt < right.crashedAt; });
    int64_t count = 0;
    base::Instant last;
    for (const Occurrence& occurrence : occurrences) {
        bool sentAgain = occurrence.sentAt && *occurrence.sentAt + toldTimeError >= last;
        if (count && occurrence.crashedAt - last < sameCauseTime && !sentAgain)
            continue;
        ++count;
        last = occurrence.crashedAt;
    }
    return count;
}

void CrashAttribution::onCrash(const routing::CrashId& crash, base::Instant crashedAt, const std::vector<CrashSuspect>& suspects, base::Instant now)
{
    if (addSuspects(crash, crashedAt, suspects, true, now))
        judge(now);
    if (auto known = m_crashes.find(crash); known != m_crashes.end())
        known->second.toldUntil = now + tellingTime;
}

bool CrashAttribution::addSuspects(const routing::CrashId& id, base::Instant crashedAt, const std::vector<CrashSuspect>& suspects, bool own, base::Instant now)
{
    if (crashedAt + crashMemory <= now)
        return false;
    auto [place, isNew] = m_crashes.try_emplace(id);
    Crash& crash = place->second;
    crash.crashedAt = isNew ? crashedAt : std::min(crash.crashedAt, crashedAt);
    bool changed = false;
    for (const CrashSuspect& suspect : suspects) {
        CallTrait request = suspect.traits.request;
        auto known = crash.suspects.find(request);
        if (known == crash.suspects.end() && crash.suspects.size() >= maxSuspectsPerCrash)
            break;
        if (own)
            crash.own.insert(request);
        if (isCleared(request))
            crash.clearedRequests.insert(request);
        if (known == crash.suspects.end()) {
            crash.suspects.emplace(request, suspect);
            countStrikes(suspect.traits, 1);
            crash.knowsParts |= !suspect.traits.parts.empty();
            changed = true;
        } else if (suspect.inFlight && (!known->second.inFlight || *suspect.inFlight < *known->second.inFlight)) {
            // Of several calls that are alike, the one that was sent last.
            known->second.inFlight = suspect.inFlight;
            changed = true;
        }
    }
    if (m_crashes.size() > maxCrashes) {
        forget(std::min_element(m_crashes.begin(), m_crashes.end(), [](const auto& left, const auto& right) { return left.second.crashedAt < right.second.crashedAt; }));
        // Refusals stay although their evidence is pushed out.
        for (auto& [trait, refusal] : m_refusals)
            refusal.judgedAt.reset();
    }
    return changed;
}

void CrashAttribution::onCleared(const CallTraits& traits, base::Instant now)
{
    for (CallTrait part : traits.parts) {
        if (isStruck(part) || m_refusals.contains(part))
            clear(part, now);
        remember(part, now);
    }
    // Requests are too many to remember all that have been answered.
    if (isStruck(traits.request) || m_refusals.contains(traits.request)) {
        clear(traits.request, now);
        clearInCrashes(traits.request);
    }
}

// Peers may not know that the trait is harmless.
void CrashAttribution::clear(CallTrait trait, base::Instant now)
{
    remember(trait, now);
    if (m_refusals.erase(trait))
        base::LogLine("refusal_cleared").add("trait", trait).add("source", "answer");
    m_clearingsTold.try_emplace(trait, now + tellingTime);
}

// Crashes are remembered for longer than what has been cleared.
void CrashAttribution::clearInCrashes(CallTrait request)
{
    for (auto& [id, crash] : m_crashes) {
        if (crash.suspects.contains(request))
            crash.clearedRequests.insert(request);
    }
}

void CrashAttribution::forgetParts(Crash& crash)
{
    for (auto& [request, suspect] : crash.suspects) {
        countStrikes(suspect.traits, -1);
        suspect.traits.parts.clear();
        countStrikes(suspect.traits, 1);
    }
    crash.knowsParts = false;
}

void CrashAttribution::remember(CallTrait trait, base::Instant now)
{
    if (m_cleared.size() >= maxClearedPerGeneration || now - m_generationBegan >= clearedGenerationTime) {
        m_clearedBefore = std::exchange(m_cleared, {});
        m_generationBegan = now;
    }
    m_cleared.insert(trait.value());
}

bool CrashAttribution::isCleared(CallTrait trait) const
{
    return m_cleared.contains(trait.value()) || m_clearedBefore.contains(trait.value());
}

void CrashAttribution::countStrikes(const CallTraits& traits, int64_t change)
{
    auto count = [&](CallTrait trait) {
        int64_t& strikes = m_strikes[trait.value()];
        strikes += change;
        if (!strikes)
            m_strikes.erase(trait.value());
    };
    count(traits.request);
    for (CallTrait part : traits.parts)
        count(part);
}

std::map<routing::CrashId, CrashAttribution::Crash>::iterator CrashAttribution::forget(std::map<routing::CrashId, Crash>::iterator crash)
{
    for (const auto& [request, suspect] : crash->second.suspects)
        countStrikes(suspect.traits, -1);
    return m_crashes.erase(crash);
}

bool CrashAttribution::isSuspected(const CallTraits& traits) const
{
    if (m_crashes.empty())
        return false;
    if (!isCleared(traits.request) && isStruck(traits.request))
        return true;
    return std::any_of(traits.parts.begin(), traits.parts.end(), [&](CallTrait part) { return !isCleared(part) && isStruck(part); });
}

bool CrashAttribution::isRefused(CallTrait trait, base::Instant now) const
{
    auto found = m_refusals.find(trait);
    return found != m_refusals.end() && found->second.until > now;
}

bool CrashAttribution::hasRefusedTrait(const CallTraits& traits, base::Instant now) const
{
    return !m_refusals.empty() && (isRefused(traits.request, now) || std::any_of(traits.parts.begin(), traits.parts.end(), [&](CallTrait part) { return isRefused(part, now); }));
}

bool CrashAttribution::refuses(const CallTraits& traits, base::Instant now)
{
    if (!hasRefusedTrait(traits, now))
        return false;
    bool trial = m_makesTrials;
    auto each = [&](auto handle) {
        for (CallTrait trait : traits.parts)
            if (isRefused(trait, now))
                handle(m_refusals.at(trait));
        if (isRefused(traits.request, now))
            handle(m_refusals.at(traits.request));
    };
    each([&](Refusal& refusal) {
        refusal.until = std::max(refusal.until, now + refusalTime);
        trial &= refusal.nextTrial <= now;
    });
    if (!trial)
        return true;
    each([&](Refusal& refusal) {
        refusal.trialInterval *= 2;
        refusal.nextTrial = now + refusal.trialInterval;
    });
    return false;
}

std::optional<base::Instant> CrashAttribution::refusedUntil(const CallTraits& traits, base::Instant now) const
{
    std::optional<base::Instant> until;
    auto consider = [&](CallTrait trait) {
        if (isRefused(trait, now))
            until = std::max(until.value_or(now), m_refusals.at(trait).until);
    };
    consider(traits.request);
    for (CallTrait part : traits.parts)
        consider(part);
    return until;
}

void CrashAttribution::refuse(CallTrait trait, base::Instant until, std::optional<base::Instant> judgedAt, base::Instant now)
{
    auto withdrawn = m_withdrawn.find(trait);
    bool isOutdated = !judgedAt && withdrawn != m_withdrawn.end() && withdrawn->second > now;
    if (until <= now || isCleared(trait) || isOutdated)
        return;
    auto [place, isNew] = m_refusals.try_emplace(trait, Refusal { until, judgedAt, now + firstTrialInterval, firstTrialInterval });
    place->second.until = std::max(place->second.until, until);
    if (!isNew)
        return;
    m_newlyRefused.push_back(trait);
    if (m_refusals.size() > maxRefusals)
        m_refusals.erase(std::min_element(m_refusals.begin(), m_refusals.end(), [](const auto& left, const auto& right) { return left.second.until < right.second.until; }));
}

void CrashAttribution::refuseForGood(CallTrait request, base::Instant now)
{
    m_withdrawn.erase(request);
    refuse(request, now + refusalTime, std::nullopt, now);
    if (auto refused = m_refusals.find(request); refused != m_refusals.end())
        refused->second.judgedAt.reset();
}

bool CrashAttribution::isRevisable(const Refusal& refusal, base::Instant now)
{
    return refusal.judgedAt && now < *refusal.judgedAt + revisionTime;
}

bool CrashAttribution::isSettled(const Refusal& refusal, base::Instant now)
{
    return refusal.until > now && (!refusal.judgedAt || now >= *refusal.judgedAt + settlingTime);
}

bool CrashAttribution::isExplainedByPart(const Crash& crash, base::Instant now) const
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const auto& suspect) {
        const auto& parts = suspect.second.traits.parts;
        return std::any_of(parts.begin(), parts.end(), [&](CallTrait part) { return isRefused(part, now); });
    });
}

std::vector<CallTrait> CrashAttribution::repeatedlyCrashed(base::Instant now) const
{
    std::map<CallTrait, std::vector<Occurrence>> occurrences;
    for (const auto& [id, crash] : m_crashes) {
        if (isExplainedByPart(crash, now))
            continue;
        for (const auto& [request, suspect] : crash.suspects) {
            if (!isCleared(request) && !crash.clearedRequests.contains(request))
                occurrences[request].push_back(occurrenceOf(crash, suspect));
        }
    }
    std::vector<CallTrait> requests;
    for (auto& [request, crashes] : occurrences) {
        bool haveCommonCause = countIndependent(crashes) < minCrashesOfRequest;
        if (crashes.size() >= maxCrashesOfRequest && !haveCommonCause)
            requests.push_back(request);
    }
    return requests;
}

// A part that explains a crash also explains it for the calls that have the part. A request does not: one of its parts may be the cause.
template <typename Visitor>
void CrashAttribution::forEachPossibleCause(base::Instant now, Visitor visit) const
{
    auto isRefusedRequest = [&](const auto& suspect) { return isRefused(suspect.first, now); };
    for (const auto& [id, crash] : m_crashes) {
        const auto& suspects = crash.suspects;
        if (isExplainedByPart(crash, now))
            continue;
        bool explainedByRequest = std::any_of(suspects.begin(), suspects.end(), isRefusedRequest);
        for (const auto& suspect : suspects) {
            if (!explainedByRequest || isRefusedRequest(suspect))
                visit(crash, suspect.second);
        }
    }
}

std::vector<CrashAttribution::Candidate> CrashAttribution::candidates(base::Instant now) const
{
    absl::flat_hash_map<int64_t, std::vector<Occurrence>> occurrences;
    forEachPossibleCause(now, [&](const Crash& crash, const CrashSuspect& suspect) {
        auto add = [&](CallTrait trait, const Occurrence& occurrence) {
            if (!isCleared(trait) && !isRefused(trait, now))
                occurrences[trait.value()].push_back(occurrence);
        };
        if (!crash.clearedRequests.contains(suspect.traits.request))
            add(suspect.traits.request, occurrenceOf(crash, suspect));
        // Some call with a part that many calls share is always sent between two crashes.
        for (CallTrait part : suspect.traits.parts)
            add(part, { crash.crashedAt, std::nullopt });
    });

    int64_t most = minCrashesOfRequest;
    std::map<CallTrait, Candidate> found;
    for (auto& [trait, crashes] : occurrences) {
        int64_t independent = countIndependent(crashes);
        if (independent < most)
            continue;
        if (independent > most)
            found.clear();
        most = independent;
        found[CallTrait(trait)].independentCrashes = independent;
    }
    if (found.empty())
        return {};

    auto describe = [&](CallTrait trait, bool isPart, size_t position, const Crash& crash, CallTrait request) {
        auto entry = found.find(trait);
        if (entry == found.end())
            return;
        Candidate& candidate = entry->second;
        candidate.trait = trait;
        candidate.isPart = isPart;
        candidate.position = std::max(candidate.position, position);
        candidate.calls.emplace(crash.crashedAt, request);
        candidate.crashTimes.insert(crash.crashedAt);
        candidate.requests.insert(request);
    };
    forEachPossibleCause(now, [&](const Crash& crash, const CrashSuspect& suspect) {
        const CallTraits& traits = suspect.traits;
        describe(traits.request, false, 0, crash, traits.request);
        for (size_t index = 0; index < traits.parts.size(); ++index)
            describe(traits.parts[index], true, index, crash, traits.request);
    });
    std::vector<Candidate> candidates;
    for (auto& [trait, candidate] : found)
        candidates.push_back(std::move(candidate));
    return candidates;
}

// The trait that is in more crashes; of those, the one that is in fewer calls; of parts that come together, the one nearer to the end of the
// prompt, which is in fewer calls besides these.
bool CrashAttribution::explainsBetter(const Candidate& left, const Candidate& right)
{
    if (left.isPart != right.isPart)
        return left.isPart;
    if (left.crashTimes.size() != right.crashTimes.size())
        return left.crashTimes.size() > right.crashTimes.size();
    if (left.calls.size() != right.calls.size())
        return left.calls.size() < right.calls.size();
    return left.position > right.position;
}

std::optional<CallTrait> CrashAttribution::verdict(const std::vector<Candidate>& candidates)
{
    const Candidate* chosen = nullptr;
    for (const Candidate& candidate : candidates) {
        bool enough = candidate.isPart ? candidate.independentCrashes >= minCrashesOfPart && candidate.requests.size() >= minRequestsOfPart : candidate.independentCrashes >= minCrashesOfRequest;
        if (enough && (!chosen || explainsBetter(candidate, *chosen)))
            chosen = &candidate;
    }
    if (!chosen)
        return std::nullopt;
    // A rival has calls that the chosen trait is not in.
    bool hasRival = std::any_of(candidates.begin(), candidates.end(), [&](const Candidate& candidate) {
        return !std::includes(chosen->calls.begin(), chosen->calls.end(), candidate.calls.begin(), candidate.calls.end());
    });
    return hasRival && chosen->independentCrashes < minCrashesOfPart ? std::nullopt : std::optional(chosen->trait);
}

void CrashAttribution::judge(base::Instant now)
{
    std::map<CallTrait, Refusal> revised;
    for (auto entry = m_refusals.begin(); entry != m_refusals.end();) {
        auto current = entry++;
        if (isRevisable(current->second, now))
            revised.insert(m_refusals.extract(current));
    }
    std::vector<Candidate> undecided = candidates(now);
    while (auto trait = verdict(undecided)) {
        if (auto known = revised.find(*trait); known != revised.end())
            m_refusals.insert(revised.extract(known));
        else
            refuse(*trait, now + refusalTime, now, now);
        undecided = candidates(now);
    }
    for (CallTrait request : repeatedlyCrashed(now)) {
        if (auto known = revised.find(request); known != revised.end())
            m_refusals.insert(revised.extract(known));
        refuseForGood(request, now);
    }
    for (const auto& [trait, refusal] : revised) {
        m_withdrawn[trait] = now + withdrawalMemory;
        base::LogLine("refusal_withdrawn").add("trait", trait);
    }
    if (!undecided.empty())
        logUndecided(undecided);
}

void CrashAttribution::logUndecided(const std::vector<Candidate>& candidates)
{
    constexpr size_t maxLogged = 8;
    std::string traits;
    for (size_t index = 0; index < std::min(candidates.size(), maxLogged); ++index)
        traits += base::concat(index ? "," : "", candidates[index].trait);
    base::LogLine("crashes_undecided").add("candidates", candidates.size()).add("independent", candidates.front().independentCrashes).add("traits", traits);
}

CrashNews CrashAttribution::news(bool everything, base::Instant now)
{
    CrashNews news;
    // The newest first.
    std::multimap<base::Duration, const std::pair<const routing::CrashId, Crash>*> byAge;
    for (const auto& entry : m_crashes) {
        if (everything || entry.second.toldUntil > now)
            byAge.emplace(now - entry.second.crashedAt, &entry);
    }
    size_t traits = 0;
    for (const auto& [age, entry] : byAge) {
        const Crash& crash = entry->second;
        CrashReport report { entry->first, age, {} };
        for (const auto& [request, suspect] : crash.suspects) {
            if (!everything && !crash.own.contains(request))
                continue;
            CrashSuspect told { { request, {} }, suspect.inFlight };
            const auto& parts = suspect.traits.parts;
            std::copy_if(parts.begin(), parts.end(), std::back_inserter(told.traits.parts), [&](CallTrait part) { return !isCleared(part); });
            if (told.traits.parts.empty() && crash.clearedRequests.contains(request))
                continue;
            traits += 1 + told.traits.parts.size();
            if (traits > maxTraitsTold)
                break;
            report.suspects.push_back(std::move(told));
        }
        if (!report.suspects.empty())
            news.crashes.push_back(std::move(report));
    }
    std::erase_if(m_clearingsTold, [&](const auto& entry) { return entry.second <= now; });
    for (const auto& [trait, until] : m_clearingsTold) {
        if (news.cleared.size() < maxClearingsTold)
            news.cleared.push_back(trait);
    }
    for (const auto& [trait, refusal] : m_refusals) {
        if (isSettled(refusal, now) && refusal.until - hopTimeReduction > now)
            news.refusals.push_back({ trait, refusal.until - hopTimeReduction - now });
    }
    return news;
}

void CrashAttribution::onPeerNews(const CrashNews& news, base::Instant now)
{
    bool changed = false;
    for (CallTrait trait : news.cleared) {
        if (!isCleared(trait)) {
            changed = true;
            clearInCrashes(trait);
        }
        remember(trait, now);
        if (m_refusals.erase(trait))
            base::LogLine("refusal_cleared").add("trait", trait).add("source", "peer");
    }
    for (const CrashReport& report : news.crashes) {
        if (!addSuspects(report.crash, now - report.age, report.suspects, false, now))
            continue;
        changed = true;
        for (const CrashSuspect& suspect : report.suspects) {
            for (CallTrait part : suspect.traits.parts) {
                if (isCleared(part))
                    m_clearingsTold.try_emplace(part, now + tellingTime);
            }
        }
    }
    for (const TraitRefusal& refusal : news.refusals)
        refuse(refusal.trait, now + std::min<base::Duration>(refusal.remaining, refusalTime), std::nullopt, now);
    if (changed)
        judge(now);
}

void CrashAttribution::onStoredRefusal(CallTrait trait, base::Instant now)
{
    refuse(trait, now + refusalTime, std::nullopt, now);
}

void CrashAttribution::onStoredEnd(CallTrait trait, base::Instant now)
{
    auto found = m_refusals.find(trait);
    if (found != m_refusals.end() && !isRevisable(found->second, now))
        m_refusals.erase(found);
}

std::vector<CallTrait> CrashAttribution::settledRefusals(base::Instant now) const
{
    std::vector<CallTrait> traits;
    for (const auto& [trait, refusal] : m_refusals) {
        if (isSettled(refusal, now))
            traits.push_back(trait);
    }
    return traits;
}

std::vector<CallTrait> CrashAttribution::takeNewlyRefused()
{
    return std::exchange(m_newlyRefused, {});
}

void CrashAttribution::expire(base::Instant now)
{
    for (auto entry = m_crashes.begin(); entry != m_crashes.end();) {
        auto current = entry++;
        Crash& crash = current->second;
        bool partsExpired = crash.knowsParts && crash.crashedAt + partMemory <= now;
        // Without its parts, nothing would explain the crash for the other calls.
        if (crash.crashedAt + crashMemory <= now || (partsExpired && isExplainedByPart(crash, now)))
            forget(current);
        else if (partsExpired)
            forgetParts(crash);
    }
    std::erase_if(m_refusals, [&](const auto& entry) { return entry.second.until <= now; });
    std::erase_if(m_withdrawn, [&](const auto& entry) { return entry.second <= now; });
}

} // namespace toucanstep::direct
