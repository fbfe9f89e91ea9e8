// What the path of gateway and sidecar costs: latency beside calls straight to the stand-in engine, throughput, memory.

#pragma once

#include "Scenario.h"

#include <memory>

namespace toucanstep::bench {

// One request at a time, alternating between the path and the engine itself; then as many as one gateway and sidecar carry.
std::unique_ptr<Scenario> makeLatencyScenario();
// Resident memory of a gateway and a sidecar, idle and under five hundred streams.
std::unique_ptr<Scenario> makeMemoryScenario();

} // namespace toucanstep::bench
