// The gateway's part in calls that may run only once: attempts, tombstones, and what may be said of a lost hop.
//
// Runs on the traffic loop.

#pragma once

#include "toucanstep/calls/CallCoordinator.h"
#include "toucanstep/gateway/CallerRequest.h"
#include "toucanstep/node/Node.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace toucanstep::gateway::internal {

// What the owner of the requests does for a call: one dispatch to a sidecar, and the final answer.
class OnceCallHost {
public:
    virtual ~OnceCallHost() = default;
    // Sends the attempt to a sidecar that was not tried yet. False where there is none: certainly not sent.
    virtual bool sendAttempt(const base::RequestId&, const calls::CallDispatch&, base::Instant deadline) = 0;
    virtual void finishCall(const base::RequestId&, const calls::CallResult&) = 0;
};

class OnceCalls {
public:
    OnceCalls(node::Node&, OnceCallHost&);
    ~OnceCalls();

    void begin(const base::RequestId&, const CallerRequest&);
    // The reply of a sidecar, as it came.
    void onReply(const std::string& encoded);
    void onNotSent(const calls::AttemptId&);
    void onHopLost(const calls::AttemptId&);
    void tick();

private:
    base::Instant now() const { return m_node.traffic().now(); }
    void perform(const calls::CoordinatorActions&);
    void perform(const calls::SendAttempt&);
    void perform(const calls::WriteTombstone&);
    void perform(const calls::ReadCallRecord&);
    void perform(const calls::FinishCall&);

    node::Node& m_node;
    OnceCallHost& m_host;
    calls::CallCoordinator m_coordinator;
    std::map<calls::CallId, base::RequestId> m_requests;
    int64_t m_counter = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace toucanstep::gateway::internal
