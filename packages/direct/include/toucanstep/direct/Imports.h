// Makes the types of the libraries below known in this namespace by their short names.

#pragma once

#include "toucanstep/planner/DemandTracker.h"
#include "toucanstep/scheduling/QueueDiscipline.h"
#include "toucanstep/serving/Call.h"
#include "toucanstep/upstreams/FleetShare.h"

namespace toucanstep::direct {

using namespace serving;
using namespace upstreams;
using namespace scheduling;
using namespace planner;

} // namespace toucanstep::direct
