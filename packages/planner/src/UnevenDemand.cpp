// The forecast, the slots and the permits of the weight store in a pass for a service with uneven demand.

#include "PlanningPass.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::planner {

namespace {

// An engine that states an absurd speed counts as one that is somewhat slow or fast.
constexpr double minWorkFactor = 0.25;
constexpr double maxWorkFactor = 4;
// Work factors change many times per second; a difference below this is no reason to prefer an engine.
constexpr double workFactorSteps = 4;
// The traffic of a failure domain oscillates by up to 55 % around its mean. A place is worth nothing only if the other replicas have
// slots for the next peak.
constexpr double peakOfMean = 1.55;

double boundedWorkFactor(const PlannedEngine& engine)
{
    // A comparison with NaN is false.
    return engine.workFactor > 0 ? std::clamp(engine.workFactor, minWorkFactor, maxWorkFactor) : 1;
}

} // namespace

void PlacementPlanner::PlanningPass::observeDemand()
{
    DemandForecast& forecast = m_uneven->forecast;
    forecast.beginPass(m_input.now, m_input.demandReportInterval);
    for (const auto& entry : m_input.demandByDomain) {
        if (m_models.contains(entry.model))
            forecast.add(entry.model, entry.domain, static_cast<double>(entry.calls));
    }
    if (m_input.demandByDomain.empty()) {
        for (const auto& entry : m_input.demand)
            forecast.add(entry.target.model, base::FailureDomain(), static_cast<double>(entry.waiting + entry.running));
    }
    forecast.endPass();
    for (auto& [id, model] : m_models) {
        model.meanCalls = forecast.meanCalls(id);
        if (model.traits && hasDemand(id))
            model.callsAhead = forecast.callsAhead(id, timeOfNextLoad(model));
    }
    for (const auto& entry : m_input.demandByDomain) {
        auto found = m_models.find(entry.model);
        if (found != m_models.end() && found->second.traits)
            found->second.callsAheadByDomain[entry.domain] = forecast.callsAhead(entry.model, entry.domain, timeOfNextLoad(found->second));
    }
}

void PlacementPlanner::PlanningPass::startPermits()
{
    std::vector<base::Instant> runningUntil;
    for (const Engine& engine : m_engines) {
        if (!loadsFromStore(*engine.state))
            continue;
        const auto& running = engine.state->running;
        // An overdue load still holds its permit.
        runningUntil.push_back(running ? std::max(running->expectedEnd, m_input.now + m_settings.overdueAllowance) : base::Instant::max());
    }
    m_uneven->permits.beginPass(m_input.now, std::move(runningUntil), m_input.maxStoreLoads);
}

double PlacementPlanner::PlanningPass::effectiveSlots(const PlannedEngine& engine)
{
    return static_cast<double>(engine.slots) / boundedWorkFactor(engine);
}

double PlacementPlanner::PlanningPass::slotsOfReplica() const
{
    if (m_slotsOfReplica == 0) {
        for (const Engine& engine : m_engines)
            m_slotsOfReplica += effectiveSlots(*engine.state) / static_cast<double>(m_engines.size());
    }
    return std::max(m_slotsOfReplica, 1.0);
}

void PlacementPlanner::PlanningPass::countSlots(Model& model, const PlannedEngine& engine, int sign)
{
    if (!m_uneven)
        return;
    double slots = sign * effectiveSlots(engine);
    model.slots = std::max(model.slots + slots, 0.0);
    double& inDomain = model.slotsByDomain[engine.domain];
    inDomain = std::max(inDomain + slots, 0.0);
}

ModelLoad PlacementPlanner::PlanningPass::loadOf(const Model& model) const
{
    return { model.demand.waiting, model.demand.running, model.demand.callsPerSecond, model.callsAhead, model.slots };
}

base::Duration PlacementPlanner::PlanningPass::timeOfNextLoad(const Model& model)
{
    return model.hasSpareLocalWeights ? model.traits->loadFromDisk : model.traits->loadFromStore;
}

base::Duration PlacementPlanner::PlanningPass::stepsOf(base::Duration time) const
{
    auto step = m_settings.evictionTime;
    return step > base::Duration::zero() ? (time + step / 2) / step * step : time;
}

double PlacementPlanner::PlanningPass::valueOfPlace(const Engine& engine, const Model& model) const
{
    if (!model.traits)
        return 0;
    // The engine's own copy on disk remains, so a reload takes no longer than that.
    bool onDisk = model.hasSpareLocalWeights || engine.state->onDisk.contains(model.traits->id);
    return ExpectedLoss::ofPlace(loadOf(model), effectiveSlots(*engine.state), onDisk ? model.traits->loadFromDisk : model.traits->loadFromStore);
}

bool PlacementPlanner::PlanningPass::isCoveredWithout(const Engine& engine, const Model& model) const
{
    if (model.demand.waiting || !m_uneven->forecast.hasTrend())
        return false;
    double calls = std::max({ static_cast<double>(model.demand.waiting + model.demand.running), model.callsAhead, peakOfMean * model.meanCalls });
    double others = model.slots - effectiveSlots(*engine.state);
    return calls <= others * m_settings.slotsInUseBeforeStoreLoad;
}

void PlacementPlanner::PlanningPass::compareUneven(const ReplicaRequest& request, Candidate& candidate) const
{
    if (!m_uneven)
        return;
    const PlannedEngine& engine = *candidate.engine->state;
    const Model& model = m_models.at(request.model->id);
    candidate.comparedTime = stepsOf(candidate.timeToReady);
    candidate.workFactor = std::round(boundedWorkFactor(engine) * workFactorSteps) / workFactorSteps;
    auto ahead = model.callsAheadByDomain.find(engine.domain);
    if (ahead == model.callsAheadByDomain.end())
        return;
    auto slots = model.slotsByDomain.find(engine.domain);
    candidate.uncovered = std::max<int64_t>(std::llround(ahead->second - (slots == model.slotsByDomain.end() ? 0 : slots->second)), 0);
}

void PlacementPlanner::PlanningPass::requirePermit(const ReplicaRequest& request, Candidate& candidate) const
{
    if (!m_uneven || candidate.source != LoadSource::WeightStore || !candidate.canStart)
        return;
    const StorePermits& permits = m_uneven->permits;
    // One permit is left to the next urgent request.
    size_t reserve = request.isUrgent() ? 0 : 1;
    bool permitted = candidate.victim ? permits.mayDrain(m_input.now + candidate.evictionDelay) : permits.mayStart(request.model->loadFromStore, reserve);
    candidate.canStart = permitted;
    candidate.lacksPermit = !permitted;
    // Callers are told when the model can be ready, which is not before a permit is free.
    if (!permitted)
        candidate.timeToReady += permits.untilFree();
}

} // namespace toucanstep::planner
