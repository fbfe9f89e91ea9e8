// Tracks the residency of models on a sidecar's upstream: load state, reserved memory, and the next orders to issue.
//
//     for (const auto& order : manager.tick(now, permits))  // execute it, then call manager.onOrderResult(...)
//
// Memory is reserved before a load order is issued. It is freed only when the model is absent from an index that was read
// after the last time at which any earlier order could take effect. An order that timed out may have succeeded or failed, and
// both cases are allowed for. A model is loaded only while its row is assigned to this upstream. Requests in progress are
// counted, and a model in use is never unloaded.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/placement/KeepAlivePolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace toucanstep::placement {

using OrderId = base::StrongNumber<struct OrderIdTag>;

enum class ResidencyState {
    // Not loaded.
    Assigned,
    // Memory is reserved; the load is waiting for permission to start.
    Reserved,
    Loading,
    Loaded,
    Unloading,
    // The outcome of an order is unknown, or the engine restarted: the memory stays reserved and the model gets no requests.
    Unknown,
};
std::string_view residencyStateName(ResidencyState);

// Properties of a model, from the configuration and from the host's checkpoint cache.
struct ModelSpec {
    base::ModelId model;
    base::Bytes memory;
    base::Duration loadTime {};
    std::optional<base::ModelId> baseModel;
};

enum class EngineModelState {
    Loading,
    Ready,
    Unloading,
};

struct EngineIndexEntry {
    base::ModelId model;
    EngineModelState state = EngineModelState::Ready;
};

struct EngineIndex {
    // When the read began; the index reflects all orders that took effect earlier.
    base::Instant readBegan;
    std::vector<EngineIndexEntry> entries;
};

enum class OrderKind {
    Load,
    Unload,
    ReadIndex,
    // Makes an engine that supports fencing reject all earlier orders; has no other effect.
    RaiseFence,
};

struct ResidencyOrder {
    OrderId id;
    OrderKind kind = OrderKind::ReadIndex;
    base::ModelId model;
    // Fencing epoch of this sidecar process; with `id` it forms the fencing token.
    base::Epoch epoch;
    base::Instant deadline;
};

enum class OrderOutcome {
    Done,
    // The engine rejected the order, which had no effect and will have none.
    Rejected,
    // No response by the deadline; the order may have taken effect or may still do so.
    TimedOut,
};

struct ResidencySettings {
    base::Bytes capacity;
    // Whether the engine rejects orders older than the newest one it has seen.
    bool fencing = false;
    // Longest time after sending at which an order can still take effect.
    base::Duration lateOrderHorizon = std::chrono::seconds(10);
    // Timeout of unloads, index reads and fence orders; for loads it is added to twice the expected load time.
    base::Duration orderTimeout = std::chrono::seconds(5);
    base::Duration indexInterval = std::chrono::seconds(5);
    // Minimum time between index reads while the state of some model is not settled.
    base::Duration unsettledIndexInterval = std::chrono::milliseconds(250);
};

// Called once per tick for each load that is ready to start; false keeps the model Reserved until a later tick. A preload for
// a predicted request has a deadline later than those of waiting callers.
using LoadPermission = std::function<bool(const base::ModelId&, base::Instant earliestDeadline)>;

class ResidencyManager {
public:
    // The epoch is this process's own fencing epoch, higher than that of its predecessor.
    ResidencyManager(ResidencySettings, std::unique_ptr<KeepAlivePolicy>, base::Epoch, base::Instant started);

    // Inputs.
    void setModelSpecs(std::vector<ModelSpec>);
    void grantRow(const base::ModelId&, base::Epoch);
    // The row is to be released: the model is unloaded once it is no longer in use; then mayRelease() becomes true.
    void withdrawRow(const base::ModelId&);
    void onIndex(const EngineIndex&, base::Instant now);
    void onOrderResult(OrderId, OrderOutcome, base::Instant now);
    // The engine process crashed or restarted.
    void onUpstreamCrashed(base::Instant now);
    // A request waits for the model. The keep-alive policy records it as an arrival.
    void addWaiter(const base::ModelId&, const base::RequestId&, base::Instant deadline, base::Instant now);
    // The request was canceled, was refused, or starts (in which case beginUse follows).
    void removeWaiter(const base::ModelId&, const base::RequestId&, base::Instant now);
    // Returns false if the model cannot be used now.
    bool beginUse(const base::ModelId&, base::Instant now);
    void endUse(const base::ModelId&, base::Instant now);

    // Makes all decisions that are due and returns the orders to execute.
    std::vector<ResidencyOrder> tick(base::Instant now, const LoadPermission&);

    // Queries.
    ResidencyState state(const base::ModelId&) const;
    bool usable(const base::ModelId&) const;
    bool holdsRow(const base::ModelId&) const;
    // The row may be released: the model is confirmed absent.
    bool mayRelease(const base::ModelId&) const;
    // The row was released.
    void dropRow(const base::ModelId&);
    // When the model can be used if nothing fails; nullopt without an assigned row or if the model can never fit.
    std::optional<base::Instant> expectedLoadEnd(const base::ModelId&, base::Instant now) const;
    base::Bytes reservedMemory() const;
    base::Bytes capacity() const { return m_settings.capacity; }
    std::vector<base::ModelId> loaded() const;
    // Whether orders of an earlier sidecar process may still take effect, so that no index is reliable yet.
    bool predecessorOrdersMayApply() const;

private:
    struct Entry {
        ModelSpec spec;
        std::optional<base::Epoch> row;
        bool withdrawn = false;
        ResidencyState state = ResidencyState::Assigned;
        std::optional<OrderId> order;
        // Index reads that began earlier are ignored for this model.
        base::Instant settledAt;
        base::Instant loadExpectedEnd;
        // Until these times an earlier load order, or an unload order that timed out, can still take effect.
        base::Instant lateLoadUntil;
        base::Instant lateUnloadUntil;
        int64_t inUse = 0;
        base::Instant idleSince;
        std::map<base::RequestId, base::Instant> waiters;
        // Set while a request is predicted; the model is preloaded for it if enough memory is free.
        std::optional<base::Instant> predictedUntil;
    };
    struct Pending {
        OrderKind kind = OrderKind::ReadIndex;
        base::ModelId model;
        base::Instant sent;
    };
    // An eviction candidate: a model and its resident adapters, which are unloaded before it.
    struct Victim {
        base::ModelId model;
        base::Bytes memory;
        double cost = 0;
    };
    using Orders = std::vector<ResidencyOrder>;

    Entry& entry(const base::ModelId&);
    const Entry* find(const base::ModelId&) const;
    std::vector<base::ModelId> residentAdapters(const base::ModelId&) const;
    bool evictable(const Entry&) const;
    std::optional<base::Instant> earliestWaiter(const Entry&) const;
    std::optional<base::Instant> loadDeadline(const Entry&) const;
    std::vector<base::ModelId> byEarliestDeadline(ResidencyState) const;
    IdleModel idleModel(const Entry&) const;
    base::Bytes memoryOf(const Entry&) const;
    bool mayLoad(const Entry&) const;
    bool unsettled() const;
    void markLoaded(Entry&, base::Instant now);
    void applyIndex(Entry&, std::optional<EngineModelState>, base::Instant readBegan, base::Instant now);
    void finishLoad(Entry&, OrderOutcome, base::Instant now);
    void finishUnload(Entry&, OrderOutcome, base::Instant sent, base::Instant now);
    void expireFencedOrders(base::Instant sent, base::Instant now);
    bool isPending(OrderKind) const;
    OrderId issueOrder(OrderKind, const base::ModelId&, base::Duration allowed, base::Instant now, Orders&);
    void unload(Entry&, base::Instant now, Orders&);
    void predictRequests(base::Instant now);
    void cancelUnneededReservations();
    void raiseFenceIfDue(base::Instant now, Orders&);
    void reserveMemory(base::Instant now, Orders&);
    std::vector<Victim> victims(const Entry& wanted, base::Instant now) const;
    bool makeRoom(const Entry& wanted, base::Bytes missing, base::Instant now, Orders&);
    void beginLoads(base::Instant now, const LoadPermission&, Orders&);
    void unloadUnneeded(base::Instant now, Orders&);
    void readIndexIfDue(base::Instant now, Orders&);

    ResidencySettings m_settings;
    std::unique_ptr<KeepAlivePolicy> m_policy;
    base::Epoch m_epoch;
    // An index read that began earlier does not prove that a model is absent.
    base::Instant m_predecessorOrdersUntil;
    bool m_fenceRaised = false;
    std::optional<base::Instant> m_lastIndexBegan;
    std::optional<base::Instant> m_lastIndexAsked;
    std::optional<base::Instant> m_crashedAt;
    std::map<base::ModelId, Entry> m_entries;
    std::map<OrderId, Pending> m_pending;
    OrderId m_lastOrder;
};

} // namespace toucanstep::placement
