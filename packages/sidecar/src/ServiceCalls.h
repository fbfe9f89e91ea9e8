// Calls of a plain service: idempotent ones are passed through, the others claim their record first and run at most once.
//
// Runs on the traffic loop.

#pragma once

#include "toucanstep/calls/CallExecutor.h"
#include "toucanstep/calls/GroupCommit.h"
#include "toucanstep/formats/HttpClient.h"
#include "toucanstep/node/Node.h"
#include "toucanstep/peers/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>

namespace toucanstep::sidecar::internal {

// The service's whole answer, or the reason why there is none.
using ServiceAnswered = std::function<void(formats::HttpReply)>;
using CallReplied = std::function<void(const calls::CallReply&)>;

class ServiceCalls {
public:
    explicit ServiceCalls(node::Node&);
    ~ServiceCalls();

    void passThrough(const peers::RunRequest&, base::Instant deadline, ServiceAnswered);
    // Claims, runs and stores; the reply comes exactly once.
    void runOnce(const calls::CallDispatch&, const peers::RunRequest&, base::Instant deadline, std::function<void()> began, CallReplied);
    void tick();

private:
    struct OnceCall {
        peers::RunRequest request;
        base::Instant deadline;
        // Called when the claim stands and the service is about to be called.
        std::function<void()> began;
        CallReplied replied;
    };

    base::Instant now() const { return m_node.traffic().now(); }
    void perform(const calls::ExecutorActions&);
    void perform(const calls::SubmitWrite&);
    void perform(const calls::ReadRecord&);
    void perform(const calls::RunCall&);
    void perform(const calls::SendReply&);
    void pollCommits();
    void onCommitted(calls::BatchId, const base::Outcome<base::TransactionReply>&);
    void onRan(const calls::AttemptId&, const formats::HttpReply&);

    node::Node& m_node;
    calls::CallExecutor m_executor;
    calls::GroupCommit m_commits;
    absl::flat_hash_map<calls::AttemptId, OnceCall> m_calls;
    std::map<calls::WriteId, calls::AttemptId> m_writes;
    int64_t m_counter = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace toucanstep::sidecar::internal
