// What an engine holds in accelerator memory, and the fencing numbers it has seen.

#pragma once

#include "toucanstep/fakes/FakeEngine.h"

#include <map>

namespace toucanstep::fakes::internal {

enum class ModelPhase {
    Loading,
    Ready,
    Unloading,
};

struct HeldModel {
    FakeCheckpoint checkpoint;
    ModelPhase phase = ModelPhase::Loading;
    // Tells this load from a later one of the same name.
    int64_t loadNumber = 0;
    // Requests that run or wait.
    int64_t requests = 0;
};

class EngineModels {
public:
    explicit EngineModels(base::Bytes memoryLimit)
        : m_memoryLimit(memoryLimit)
    {
    }

    // Notes the number, and says whether it is at least as great as any that was seen for that name.
    bool takeFence(base::Epoch);
    bool isFenceCurrent(base::Epoch fence) const { return fence >= m_fence; }

    HeldModel& hold(const FakeCheckpoint&);
    // Null where the name is not held.
    HeldModel* find(const std::string& name);
    void release(const std::string& name);
    // Forgets everything but the figures.
    void clear();
    const std::map<std::string, HeldModel>& held() const { return m_held; }

    // Adds the time since the last call to the figures. Comes before every change of what is ready or busy.
    void account(base::Instant now);
    void addTo(FakeEngineCounters&) const;

private:
    // Whether the model, or one of its adapters, has a request.
    bool isBusy(const std::string& name) const;

    base::Bytes m_memoryLimit;
    std::map<std::string, HeldModel> m_held;
    // The newest fencing number of any order: it stands for who gives orders, not for a model.
    base::Epoch m_fence;
    int64_t m_nextLoad = 1;
    base::Bytes m_inUse;
    base::Bytes m_peak;
    int64_t m_faults = 0;
    base::Instant m_accounted;
    base::Duration m_loadedTime {};
    base::Duration m_busyTime {};
};

} // namespace toucanstep::fakes::internal
