#include "EngineModels.h"

#include <algorithm>

namespace toucanstep::fakes::internal {

bool EngineModels::takeFence(base::Epoch fence)
{
    if (!isFenceCurrent(fence))
        return false;
    m_fence = fence;
    return true;
}

HeldModel& EngineModels::hold(const FakeCheckpoint& checkpoint)
{
    m_inUse += checkpoint.size;
    m_peak = std::max(m_peak, m_inUse);
    m_faults += m_inUse > m_memoryLimit ? 1 : 0;
    HeldModel& model = m_held[checkpoint.name];
    model = { .checkpoint = checkpoint, .loadNumber = m_nextLoad++ };
    return model;
}

HeldModel* EngineModels::find(const std::string& name)
{
    auto found = m_held.find(name);
    return found == m_held.end() ? nullptr : &found->second;
}

void EngineModels::release(const std::string& name)
{
    auto found = m_held.find(name);
    if (found == m_held.end())
        return;
    m_inUse -= found->second.checkpoint.size;
    m_held.erase(found);
}

void EngineModels::clear()
{
    m_held.clear();
    m_fence = base::Epoch();
    m_inUse = base::Bytes(0);
}

void EngineModels::account(base::Instant now)
{
    base::Duration passed = now - m_accounted;
    m_accounted = now;
    for (const auto& [name, model] : m_held) {
        // An adapter uses its model's accelerator time, not its own.
        if (model.phase == ModelPhase::Loading || !model.checkpoint.baseName.empty())
            continue;
        m_loadedTime += passed;
        m_busyTime += isBusy(name) ? passed : base::Duration::zero();
    }
}

bool EngineModels::isBusy(const std::string& name) const
{
    return std::any_of(m_held.begin(), m_held.end(), [&](const auto& entry) {
        const HeldModel& model = entry.second;
        return model.requests > 0 && (entry.first == name || model.checkpoint.baseName == name);
    });
}

void EngineModels::addTo(FakeEngineCounters& counters) const
{
    counters.memoryFaults = m_faults;
    counters.memoryInUse = m_inUse;
    counters.peakMemory = m_peak;
    counters.loadedTime = m_loadedTime;
    counters.busyTime = m_busyTime;
}

} // namespace toucanstep::fakes::internal
