#include "StoreMirror.h"

#include "DirectoryCodec.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/http1/Message.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

constexpr auto copyInterval = std::chrono::milliseconds(400);
// A peer's answer begins within this time, and is given up where nothing of it comes for as long.
constexpr auto copySilence = std::chrono::milliseconds(900);
// It is whole within this time: the largest text passes a link of 1 Mbit/s in it.
constexpr auto longestCopy = std::chrono::seconds(12);

// The part's number and the revision that the asking gateway has follow, with a slash between.
constexpr std::string_view copyTarget = "/fleet/directory/";

} // namespace

StoreMirror::StoreMirror(io::EventLoop& loop, base::KeyValueStore& store, http1::Client& client, StoreMirrorSettings settings, DirectoryListener& listener)
    : m_loop(loop)
    , m_store(store)
    , m_client(client)
    , m_settings(std::move(settings))
{
    const std::array<std::string, storeParts> prefixes { m_settings.textPrefix, m_settings.upstreamPrefix, m_settings.fleetPrefix };
    for (size_t which = 0; which < storeParts; ++which) {
        DirectorySettings directory;
        directory.prefix = prefixes[which];
        directory.outageAfter = m_settings.outageAfter;
        if (which == static_cast<size_t>(StorePart::Upstreams))
            directory.lapsingPrefix = m_settings.upstreamPrefix;
        m_parts[which].directory = std::make_unique<Directory>(m_loop, m_store, directory, listener);
    }
}

void StoreMirror::start()
{
    for (auto& part : m_parts)
        part.directory->start();
}

bool StoreMirror::known() const
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

void StoreMirror::catchUp(const std::vector<CopySource>& sources)
{
    base::Instant now = m_loop.now();
    // An answer that is still arriving counts: a copy would only take a part of the same link.
    auto heard = std::max(lastAnswer(), m_store.lastProgress());
    if (heard && now - *heard < m_settings.silence)
        return;
    for (size_t which = 0; which < storeParts; ++which) {
        Part& part = m_parts[which];
        if (part.copying || now < part.nextCopy)
            continue;
        auto source = std::find_if(sources.begin(), sources.end(), [&](const CopySource& candidate) {
            return candidate.revisions.size() == storeParts && candidate.revisions[which] > part.directory->revision();
        });
        if (source != sources.end())
            copyFrom(which, *source);
    }
}

void StoreMirror::copyFrom(size_t which, const CopySource& source)
{
    base::Instant now = m_loop.now();
    Part& part = m_parts[which];
    part.copying = true;
    part.nextCopy = now + copyInterval;
    http1::FetchBounds bounds { now + copySilence, now + longestCopy, copySilence };
    std::string target = base::concat(copyTarget, which, "/", part.directory->revision());
    http1::fetch(m_loop, m_client, source.peer, "GET", target, {}, "", bounds, [this, which, peer = source.peer.name](const base::Outcome<http1::FetchedAnswer>& outcome) { onCopy(which, peer, outcome); });
}

void StoreMirror::onCopy(size_t which, const std::string& peer, const base::Outcome<http1::FetchedAnswer>& outcome)
{
    Part& part = m_parts[which];
    part.copying = false;
    const auto* answer = std::get_if<http1::FetchedAnswer>(&outcome);
    auto copy = answer ? decodeCopy(answer->body) : std::nullopt;
    if (!copy) {
        base::LogLine("directory_from_peer_failed").add("peer", peer).add("part", which).add("reason", answer ? "the copy cannot be read" : std::get<base::Error>(outcome).message);
        return;
    }
    if (part.directory->adopt(*copy))
        base::LogLine("directory_from_peer").add("peer", peer).add("part", which).add("revision", part.directory->revision()).add("bytes", answer->body.size());
}

bool StoreMirror::asksForCopy(std::string_view target)
{
    return target.starts_with(copyTarget);
}

std::optional<std::string> StoreMirror::copyFor(std::string_view target) const
{
    target.remove_prefix(copyTarget.size());
    size_t slash = target.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    auto which = http1::parseNumber(target.substr(0, slash));
    auto since = http1::parseNumber(target.substr(slash + 1));
    if (!which || !since || static_cast<size_t>(*which) >= storeParts)
        return std::nullopt;
    return encodeCopy(m_parts[static_cast<size_t>(*which)].directory->copySince(base::Revision(*since)));
}

} // namespace toucanstep::direct
