// The sidecar's table of the models on its upstream: what is loaded, what memory is taken, what to order next.
//
//     for (const auto& order : manager.tick(now, permits))  // carry it out, then manager.onOrderResult(...)
//
// Memory is taken before an order to load is given, and free again only once an index, read after the last moment at which
// any earlier order can still take effect, shows the model absent. After an order that timed out both outcomes are assumed.
// A model is loaded only under a row. A request's use is counted, and a model in use is never unloaded.

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
    // Memory is taken, the load waits for a permit.
    Reserved,
    Loading,
    Loaded,
    Unloading,
    // An order's outcome is not known, or the engine started again: memory stays taken, no request is given.
    Unknown,
};
std::string_view residencyStateName(ResidencyState);

// What the text and the host say of a model.
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
    // When the reading began: orders that took effect before it are seen.
    base::Instant readBegan;
    std::vector<EngineIndexEntry> entries;
};

enum class OrderKind {
    Load,
    Unload,
    ReadIndex,
    // Makes an engine that honours fencing refuse all earlier orders; changes nothing else.
    RaiseFence,
};

struct ResidencyOrder {
    OrderId id;
    OrderKind kind = OrderKind::ReadIndex;
    base::ModelId model;
    // The row's epoch, and the order's number within this sidecar process: together the fencing number.
    base::Epoch epoch;
    base::Instant deadline;
};

enum class OrderOutcome {
    Done,
    // The engine refused: the order had no effect and will have none.
    Rejected,
    // No answer by the deadline: may have had an effect, or have one later.
    TimedOut,
};

struct ResidencySettings {
    base::Bytes capacity;
    // The engine refuses an order older than the newest it has seen.
    bool fencing = false;
    // After it was sent, an order can take effect for this long at most.
    base::Duration lateOrderHorizon = std::chrono::seconds(10);
    // Given to loads beyond twice their expected time, and to unloads and index readings.
    base::Duration orderTimeout = std::chrono::seconds(5);
    base::Duration indexInterval = std::chrono::seconds(5);
    // Least time between two readings while something is not settled.
    base::Duration unsettledIndexInterval = std::chrono::milliseconds(250);
};

// Asked once for each load that is ready to begin; false keeps it Reserved until a later tick. A load for which nobody waits
// yet has a deadline behind those of all callers.
using LoadPermission = std::function<bool(const base::ModelId&, base::Instant earliestDeadline)>;

class ResidencyManager {
public:
    // `epoch` is the fencing epoch of this process's own identity, above that of its predecessor's.
    ResidencyManager(ResidencySettings, std::unique_ptr<KeepAlivePolicy>, base::Epoch, base::Instant started);

    // Inputs.
    void setModelSpecs(std::vector<ModelSpec>);
    void grantRow(const base::ModelId&, base::Epoch);
    // The row is to be given back: the model is unloaded once it is out of use; then mayRelease() turns true.
    void withdrawRow(const base::ModelId&);
    void onIndex(const EngineIndex&, base::Instant now);
    void onOrderResult(OrderId, OrderOutcome, base::Instant now);
    // The engine process died or started again.
    void onUpstreamCrashed(base::Instant now);
    // A request waits for the model; this is the arrival that keep-alive learns from.
    void addWaiter(const base::ModelId&, const base::RequestId&, base::Instant deadline, base::Instant now);
    // The waiter left, was refused, or starts (then beginUse follows).
    void removeWaiter(const base::ModelId&, const base::RequestId&, base::Instant now);
    // False if the model cannot be used now.
    bool beginUse(const base::ModelId&, base::Instant now);
    void endUse(const base::ModelId&, base::Instant now);

    // Takes all decisions that are due and returns the orders to give.
    std::vector<ResidencyOrder> tick(base::Instant now, const LoadPermission&);

    // Answers.
    ResidencyState state(const base::ModelId&) const;
    bool usable(const base::ModelId&) const;
    bool holdsRow(const base::ModelId&) const;
    // The row may be given back: the model is proved absent.
    bool mayRelease(const base::ModelId&) const;
    // The row was given back.
    void dropRow(const base::ModelId&);
    // When the model can be used if nothing fails; nothing without a row, or if it can never fit.
    std::optional<base::Instant> expectedLoadEnd(const base::ModelId&, base::Instant now) const;
    base::Bytes reservedMemory() const;
    base::Bytes capacity() const { return m_settings.capacity; }
    std::vector<base::ModelId> loaded() const;
    // Whether no index can be trusted yet, because orders of an earlier sidecar process may still land.
    bool predecessorMayAct() const;

private:
    struct Entry {
        ModelSpec spec;
        std::optional<base::Epoch> row;
        bool withdrawn = false;
        ResidencyState state = ResidencyState::Assigned;
        std::optional<OrderId> order;
        // Readings of the index that began earlier say nothing about this model.
        base::Instant settledAt;
        base::Instant loadExpectedEnd;
        // Until then an earlier order to load, or one to unload that timed out, can take effect.
        base::Instant lateLoadUntil;
        base::Instant lateUnloadUntil;
        int64_t inUse = 0;
        base::Instant idleSince;
        std::map<base::RequestId, base::Instant> waiters;
        // Set while a request is foreseen: the model is loaded for it if memory is free.
        std::optional<base::Instant> foreseenUntil;
    };
    struct Pending {
        OrderKind kind = OrderKind::ReadIndex;
        base::ModelId model;
        base::Instant sent;
    };
    // What can be unloaded together: a model with its loaded adapters.
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
    std::optional<base::Instant> wantedBy(const Entry&) const;
    std::vector<base::ModelId> byEarliestWish(ResidencyState) const;
    IdleModel idleModel(const Entry&) const;
    base::Bytes memoryOf(const Entry&) const;
    bool mayLoad(const Entry&) const;
    bool unsettled() const;
    void becomeLoaded(Entry&, base::Instant now);
    void applyIndex(Entry&, std::optional<EngineModelState>, base::Instant readBegan, base::Instant now);
    void finishLoad(Entry&, OrderOutcome, base::Instant now);
    void finishUnload(Entry&, OrderOutcome, base::Instant sent, base::Instant now);
    void fenceOff(base::Instant sent, base::Instant now);
    bool isPending(OrderKind) const;
    OrderId give(OrderKind, const base::ModelId&, base::Duration allowed, base::Instant now, Orders&);
    void unload(Entry&, base::Instant now, Orders&);
    void foresee(base::Instant now);
    void cancelUnwanted();
    void raiseFenceIfDue(base::Instant now, Orders&);
    void reserveWanted(base::Instant now, Orders&);
    std::vector<Victim> victims(const Entry& wanted, base::Instant now) const;
    bool makeRoom(const Entry& wanted, base::Bytes missing, base::Instant now, Orders&);
    void beginLoads(base::Instant now, const LoadPermission&, Orders&);
    void unloadUnneeded(base::Instant now, Orders&);
    void readIndexIfDue(base::Instant now, Orders&);

    ResidencySettings m_settings;
    std::unique_ptr<KeepAlivePolicy> m_policy;
    base::Epoch m_epoch;
    // No index that began before it is proof of absence.
    base::Instant m_predecessorUntil;
    bool m_fenceRaised = false;
    std::optional<base::Instant> m_lastIndexBegan;
    std::optional<base::Instant> m_lastIndexAsked;
    std::optional<base::Instant> m_crashedAt;
    std::map<base::ModelId, Entry> m_entries;
    std::map<OrderId, Pending> m_pending;
    OrderId m_lastOrder;
};

} // namespace toucanstep::placement
