// A local replica of everything that the process needs from the platform's store. Its parts are read independently of each
// other, so that a large desired state does not delay the news of a departing upstream or a new gateway.
//
// While the store is silent, parts of which a peer has a newer revision are copied from that peer.
//
// Gateways that are close to each other share what the store answers about upstreams: one that has just been answered tells the
// others up to which revision it knows them. Those that lack changes copy these from it, and all put off their own next request.

#pragma once

#include "toucanstep/direct/Directory.h"
#include "toucanstep/http1/Client.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::direct {

enum class StorePart : size_t {
    // What the operators write: the desired state, which is one large value that seldom changes, and evacuations.
    DesiredState,
    Upstreams,
    // Gateways and the holder of the planner role.
    Fleet,
};
constexpr size_t storePartCount = 3;

struct StoreMirrorSettings {
    std::string desiredStatePrefix;
    std::string upstreamPrefix;
    std::string fleetPrefix;
    // See DirectorySettings.
    base::Duration outageThreshold {};
    // Time without data from the store after which peers are asked for copies.
    base::Duration silenceThreshold {};
};

// A peer that can be asked for a copy.
struct CopySource {
    http1::Peer peer;
    // Of its parts, as last reported by the peer.
    std::vector<base::Revision> revisions;
};

class StoreMirror {
public:
    StoreMirror(io::EventLoop&, base::KeyValueStore&, http1::Client&, StoreMirrorSettings, DirectoryListener&);

    void start();
    // Whether every part has been read.
    bool synced() const;
    const Directory& part(StorePart which) const { return *m_parts[static_cast<size_t>(which)].directory; }
    // One per part, in the order of StorePart.
    std::vector<base::Revision> revisions() const;
    // When the store last answered a read or a watch of any part.
    std::optional<base::Instant> lastAnswer() const;

    // Requests copies from peers if the store is silent; to be called several times a second. For each part the first
    // source with a newer revision is used.
    // `storeAnswered`: when the store last answered any call of this gateway.
    void catchUp(const std::vector<CopySource>& sources, std::optional<base::Instant> storeAnswered);
    // The last answer of the store about upstreams.
    std::optional<DirectoryConfirmation> upstreamConfirmation() const { return part(StorePart::Upstreams).confirmation(); }
    // Takes over what the store has answered a peer about upstreams.
    void onUpstreamsConfirmed(const http1::Peer&, const DirectoryConfirmation&);
    // Whether a request to this gateway asks for a copy, and the response body; nothing if the target is malformed.
    static bool isCopyRequest(std::string_view target);
    std::optional<std::string> copyResponse(std::string_view target) const;

private:
    struct Part {
        std::unique_ptr<Directory> directory;
        bool copying = false;
        base::Instant nextCopy;
    };

    // `confirmed`: when the peer got the store's answer, if it has said so.
    void copyFrom(size_t which, const http1::Peer&, std::optional<base::Instant> confirmed);
    void onCopy(size_t which, const std::string& peer, std::optional<base::Instant> confirmed, const base::Outcome<http1::FetchedAnswer>&);

    io::EventLoop& m_loop;
    base::KeyValueStore& m_store;
    http1::Client& m_client;
    StoreMirrorSettings m_settings;
    std::array<Part, storePartCount> m_parts;
};

} // namespace toucanstep::direct
