// The sidecar's queue in front of its upstream.
//
// makeFairQueue() shares the upstream by deficit round robin in tokens: over client accounts by their weight, and within
// an account over its kinds of request by theirs, so an account gains nothing by using many kinds. makeFifoQueue() is the
// baseline. Removing and expiring cost time linear in the queue; choosing is linear in accounts, kinds and skipped requests.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/routing/ExpectedWait.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::routing {

struct QueuedRequest {
    base::RequestId id;
    base::ClientAccountId account;
    base::KeyFingerprint key;
    base::ModelId model;
    int64_t accountWeight = 1;
    // The kind's name tells flows of one account apart; its weight shares the account's part.
    std::string kind;
    int64_t kindWeight = 1;
    // Prompt and most completion tokens.
    base::Tokens cost;
    // Beyond this point starting is of no use.
    base::Instant latestStart;
};

struct RefusedRequest {
    QueuedRequest request;
    base::Refusal refusal;
};

// Whether a request could start now, for example because its model is loaded.
using Eligible = std::function<bool(const QueuedRequest&)>;

class RequestQueue {
public:
    virtual ~RequestQueue() = default;
    // Refuses at once, with NotRun, a request whose latest start lies before now + expectedWait.
    virtual std::optional<base::Refusal> push(QueuedRequest, base::Duration expectedWait, base::Instant now) = 0;
    // The next request to start; nothing if none is eligible. Requests past their latest start are never given.
    virtual std::optional<QueuedRequest> pop(base::Instant now, const Eligible&) = 0;
    // Takes out what can no longer start in time.
    virtual std::vector<RefusedRequest> takeExpired(base::Instant now) = 0;
    // The caller left; its place is free at once. False if it is not queued.
    virtual bool cancel(const base::RequestId&) = 0;
    // A withdrawn key's, or a removed account's requests, refused NotRun.
    virtual std::vector<RefusedRequest> removeKey(const base::KeyFingerprint&) = 0;
    virtual std::vector<RefusedRequest> removeAccount(const base::ClientAccountId&) = 0;
    virtual size_t size() const = 0;
    // Accounts with queued requests, and those that were served lately, as of the last start.
    virtual std::vector<AccountBacklog> backlog() const = 0;
};

struct FairQueueSettings {
    // Tokens that a flow of weight 1 gets in one round.
    base::Tokens quantum { 256 };
};

std::unique_ptr<RequestQueue> makeFairQueue(FairQueueSettings);
// Baseline: first in, first out among the eligible.
std::unique_ptr<RequestQueue> makeFifoQueue();

} // namespace toucanstep::routing
