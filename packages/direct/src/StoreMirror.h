// This process's copy of all that it needs of the platform's store, in parts that are read independently of each other: an
// answer with a large text holds up neither an upstream that leaves nor a gateway that comes.
//
// While the store is silent, parts that a peer has newer are copied from there.

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
    // The desired state: one large value that seldom changes.
    Text,
    Upstreams,
    // Gateways, and the planner's duty.
    Fleet,
};
constexpr size_t storeParts = 3;

struct StoreMirrorSettings {
    std::string textPrefix;
    std::string upstreamPrefix;
    std::string fleetPrefix;
    // See DirectorySettings.
    base::Duration outageAfter {};
    // Without a byte of the store for this long a peer is asked.
    base::Duration silence {};
};

// A peer that may be asked for a copy.
struct CopySource {
    http1::Peer peer;
    // Of its parts, as it last reported them.
    std::vector<base::Revision> revisions;
};

class StoreMirror {
public:
    StoreMirror(io::EventLoop&, base::KeyValueStore&, http1::Client&, StoreMirrorSettings, DirectoryListener&);

    void start();
    // Every part has been read.
    bool known() const;
    const Directory& part(StorePart which) const { return *m_parts[static_cast<size_t>(which)].directory; }
    // Of the parts, in their order.
    std::vector<base::Revision> revisions() const;
    // When the store last answered a read or a watch of any part.
    std::optional<base::Instant> lastAnswer() const;

    // Asks for copies from peers where the store is silent; to be called several times a second. The sources are tried in
    // the order in which they come.
    void catchUp(const std::vector<CopySource>& sources);
    // Whether a request to this gateway is for a copy, and the answer to it; nothing where the target cannot be read.
    static bool asksForCopy(std::string_view target);
    std::optional<std::string> copyFor(std::string_view target) const;

private:
    struct Part {
        std::unique_ptr<Directory> directory;
        bool copying = false;
        base::Instant nextCopy;
    };

    void copyFrom(size_t which, const CopySource&);
    void onCopy(size_t which, const std::string& peer, const base::Outcome<http1::FetchedAnswer>&);

    io::EventLoop& m_loop;
    base::KeyValueStore& m_store;
    http1::Client& m_client;
    StoreMirrorSettings m_settings;
    std::array<Part, storeParts> m_parts;
};

} // namespace toucanstep::direct
