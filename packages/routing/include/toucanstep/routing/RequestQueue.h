// The request queue of a sidecar in front of its upstream.
//
// makeFairQueue() returns a hierarchical fair queue that shares the upstream by deficit round robin in tokens: between client
// accounts by their weights, and within an account between its kinds of request by the kinds' weights, so an account gains
// nothing by using many kinds. makeFifoQueue() is the baseline for comparisons. Removal and expiry take time linear in the
// length of the queue; pop() is linear in the number of accounts, kinds and skipped requests.

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
    // Requests of one kind form one flow within the account; the weights of the kinds divide the account's share.
    std::string kind;
    int64_t kindWeight = 1;
    // Prompt tokens plus the maximum of completion tokens.
    base::Tokens cost;
    // A request that starts later than this cannot meet its deadline.
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
    // Returns a refusal with NotRun, without queueing, if the latest start of the request is before now + expectedWait.
    virtual std::optional<base::Refusal> push(QueuedRequest, base::Duration expectedWait, base::Instant now) = 0;
    // Removes and returns the next request to start, if any is eligible. Never returns a request past its latest start.
    virtual std::optional<QueuedRequest> pop(base::Instant now, const Eligible&) = 0;
    // Removes the requests that are past their latest start.
    virtual std::vector<RefusedRequest> takeExpired(base::Instant now) = 0;
    // Removes a request whose caller is gone. Returns false if it is not queued.
    virtual bool cancel(const base::RequestId&) = 0;
    // Remove the requests of a withdrawn key or a removed account, with the refusal NotRun.
    virtual std::vector<RefusedRequest> removeKey(const base::KeyFingerprint&) = 0;
    virtual std::vector<RefusedRequest> removeAccount(const base::ClientAccountId&) = 0;
    virtual size_t size() const = 0;
    // Accounts with queued requests or recent service. Service rates are as of the last pop().
    virtual std::vector<AccountBacklog> backlog() const = 0;
};

struct FairQueueSettings {
    // Tokens added to a flow of weight 1 in each round.
    base::Tokens quantum { 256 };
};

std::unique_ptr<RequestQueue> makeFairQueue(FairQueueSettings);
// Baseline for comparisons: first in, first out among the eligible requests.
std::unique_ptr<RequestQueue> makeFifoQueue();

} // namespace toucanstep::routing
