#include "StoreMirror.h"

#include "DirectoryCodec.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/http1/Message.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

constexpr auto copyInterval = std::chrono::milliseconds(400);
// Time limit for the start of a peer's answer, and for each gap between its bytes.
constexpr auto copyIdleTimeout = std::chrono::milliseconds(900);
// Time limit for the whole answer; the largest desired state takes less on a 1 Mbit/s link.
constexpr auto copyTimeout = std::chrono::seconds(12);
// Far more than the entries of a thousand upstreams and the largest value of the store.
constexpr size_t maxCopyBytes = 16 * 1024 * 1024;

// Followed by the part's number, a slash and the revision that the requesting gateway has.
constexpr std::string_view copyTargetPrefix = "/fleet/directory/";
// The same where only the changes since that revision are wanted.
constexpr std::string_view changesTargetPrefix = "/fleet/changes/";

} // namespace

StoreMirror::StoreMirror(io::EventLoop& loop, base::KeyValueStore& store, http1::Client& client, StoreMirrorSettings settings, DirectoryListener& listener)
    : m_loop(loop)
    , m_store(store)
    , m_client(client)
    , m_settings(std::move(settings))
{
    const std::array<std::string, storePartCount> prefixes { m_settings.desiredStatePrefix, m_settings.upstreamPrefix, m_settings.fleetPrefix };
    for (size_t which = 0; which < storePartCount; ++which) {
        DirectorySettings directory;
        directory.prefix = prefixes[which];
        directory.outageThreshold = m_settings.outageThreshold;
        if (which == static_cast<size_t>(StorePart::Upstreams))
            directory.leasedPrefix = m_settings.upstreamPrefix;
        m_parts[which].directory = std::make_unique<Directory>(m_loop, m_store, directory, listener);
    }
}

void StoreMirror::start()
{
    for (auto& part : m_parts)
        part.directory->start();
}

bool StoreMirror::synced() const
{
    return std::all_of(m_parts.begin(), m_parts.end(), [](const Part& part) { return part.directory->synced(); });
}

std::vector<base::Revision> StoreMirror::revisions() const
{
    std::vector<base::Revision> revisions;
    for (const auto& part : m_parts)
        revisions.push_back(part.directory->revision());
    return revisions;
}

std::optional<base::Instant> StoreMirror::lastAnswer() const
{
    std::optional<base::Instant> last;
    for (const auto& part : m_parts)
        last = std::max(last, part.directory->lastAnswer());
    return last;
}

void StoreMirror::onUpstreamsConfirmed(const http1::Peer& peer, const DirectoryConfirmation& confirmation)
{
    constexpr auto which = static_cast<size_t>(StorePart::Upstreams);
    Part& upstreams = m_parts[which];
    if (!upstreams.directory->confirm(confirmation) && !upstreams.copying)
        copyFrom(which, peer, confirmation.asOf);
}

void StoreMirror::catchUp(const std::vector<CopySource>& sources, std::optional<base::Instant> storeAnswered)
{
    base::Instant now = m_loop.now();
    // An answer that is still arriving counts as data: a copy would only compete for bandwidth on the same link.
    auto heard = std::max({ lastAnswer(), m_store.lastProgress(), storeAnswered });
    if (heard && now - *heard < m_settings.silenceThreshold)
        return;
    for (size_t which = 0; which < storePartCount; ++which) {
        Part& part = m_parts[which];
        if (part.copying || now < part.nextCopy)
            continue;
        auto source = std::find_if(sources.begin(), sources.end(), [&](const CopySource& candidate) {
            return candidate.revisions.size() == storePartCount && candidate.revisions[which] > part.directory->revision();
        });
        if (source != sources.end())
            copyFrom(which, source->peer, std::nullopt);
    }
}

void StoreMirror::copyFrom(size_t which, const http1::Peer& source, std::optional<base::Instant> confirmed)
{
    base::Instant now = m_loop.now();
    Part& part = m_parts[which];
    part.copying = true;
    part.nextCopy = now + copyInterval;
    http1::FetchBounds bounds { now + copyIdleTimeout, now + copyTimeout, copyIdleTimeout, maxCopyBytes };
    std::string target = base::concat(confirmed ? changesTargetPrefix : copyTargetPrefix, which, "/", part.directory->revision());
    http1::fetch(m_loop, m_client, source, "GET", target, {}, "", bounds, [this, which, peer = source.name, confirmed](const base::Outcome<http1::FetchedAnswer>& outcome) { onCopy(which, peer, confirmed, outcome); });
}

void StoreMirror::onCopy(size_t which, const std::string& peer, std::optional<base::Instant> confirmed, const base::Outcome<http1::FetchedAnswer>& outcome)
{
    Part& part = m_parts[which];
    part.copying = false;
    const auto* answer = std::get_if<http1::FetchedAnswer>(&outcome);
    auto copy = answer ? decodeCopy(answer->body) : std::nullopt;
    if (!copy) {
        base::LogLine("directory_from_peer_failed").add("peer", peer).add("part", which).add("reason", answer ? "cannot decode the copy" : std::get<base::Error>(outcome).message);
        return;
    }
    if (part.directory->applyPeerCopy(*copy, confirmed) && !confirmed)
        base::LogLine("directory_from_peer").add("peer", peer).add("part", which).add("revision", part.directory->revision()).add("bytes", answer->body.size());
}

bool StoreMirror::isCopyRequest(std::string_view target)
{
    return target.starts_with(copyTargetPrefix) || target.starts_with(changesTargetPrefix);
}

std::optional<std::string> StoreMirror::copyResponse(std::string_view target) const
{
    bool onlyChanges = target.starts_with(changesTargetPrefix);
    target.remove_prefix(onlyChanges ? changesTargetPrefix.size() : copyTargetPrefix.size());
    size_t slash = target.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    auto which = http1::parseNumber(target.substr(0, slash));
    auto since = http1::parseNumber(target.substr(slash + 1));
    if (!which || !since || static_cast<size_t>(*which) >= storePartCount)
        return std::nullopt;
    const Directory& directory = *m_parts[static_cast<size_t>(*which)].directory;
    if (onlyChanges && !directory.knowsAllChangesSince(base::Revision(*since)))
        return std::nullopt;
    return encodeCopy(directory.copySince(base::Revision(*since)));
}

} // namespace toucanstep::direct
