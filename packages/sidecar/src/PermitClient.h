// Gets permits of the weight store from their home, a gateway, and guesses a fair part while the home can't be reached.
//
// Runs on the traffic loop. Permission is asked again and again by the caller; each call tells what is known so far.

#pragma once

#include "toucanstep/node/Node.h"
#include "toucanstep/placement/LoadPermits.h"

#include <map>
#include <memory>
#include <optional>

namespace toucanstep::sidecar::internal {

struct PermitNeed {
    base::ModelId model;
    placement::PermitKind kind = placement::PermitKind::Model;
    base::Instant earliestDeadline;
    int64_t weight = 1;
    base::Duration loadTime {};
};

class PermitClient {
public:
    explicit PermitClient(node::Node&);
    ~PermitClient();

    // True once the load may begin. False: asked for; call again.
    bool permitted(const PermitNeed&);
    // The load has ended, or is not wanted any more.
    void done(const base::ModelId&);

private:
    struct Entry {
        PermitNeed need;
        int64_t permit = 0;
        base::Instant lentUntil;
        bool asking = false;
        base::Instant nextAsk;
        // Began on the local guess.
        bool local = false;
    };

    base::Instant now() const { return m_node.traffic().now(); }
    std::optional<base::Endpoint> home() const;
    void ask(Entry&);
    void onAnswer(const base::ModelId&, const base::Outcome<std::string>&);
    bool guess(Entry&);

    node::Node& m_node;
    std::map<base::ModelId, Entry> m_entries;
    std::unique_ptr<placement::FallbackLoadLimiter> m_local;
    bool m_homeReachable = true;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace toucanstep::sidecar::internal
