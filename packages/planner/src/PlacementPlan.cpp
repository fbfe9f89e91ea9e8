#include "toucanstep/planner/PlacementPlan.h"

#include "PlanningPass.h"

#include <algorithm>

namespace toucanstep::planner {

std::string_view toText(LoadSource source)
{
    switch (source) {
    case LoadSource::WeightStore:
        return "store";
    case LoadSource::HostMemory:
        return "memory";
    case LoadSource::Disk:
        break;
    }
    return "disk";
}

std::string_view toText(PlacementObstacle obstacle)
{
    switch (obstacle) {
    case PlacementObstacle::NoPermit:
        return "no_permit";
    case PlacementObstacle::NoEngine:
        return "no_engine";
    case PlacementObstacle::Memory:
        return "memory";
    case PlacementObstacle::OrderInProgress:
        break;
    }
    return "order_in_progress";
}

PlacementPlanner::PlacementPlanner(PlacementSettings settings)
    : m_settings(settings)
{
}

Placement PlacementPlanner::plan(const PlacementInput& input)
{
    if (!input.traits)
        return {};
    std::set<base::UpstreamId> engines;
    for (const auto& engine : input.engines)
        engines.insert(engine.id);
    if (!std::includes(m_knownEngines.begin(), m_knownEngines.end(), engines.begin(), engines.end()))
        m_lastNewEngine = input.now;
    m_knownEngines = std::move(engines);
    return PlanningPass(*this, input).run();
}

} // namespace toucanstep::planner
