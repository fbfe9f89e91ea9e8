// Runs one scenario in one variant from the start of the fleet to its measures.

#pragma once

#include "Scenario.h"

#include <iosfwd>

namespace toucanstep::bench {

struct RunOptions {
    std::string scenario;
    uint64_t seed = 1;
    std::string daemonProgram;
    std::string sampleFile;
    std::string version;
    // Leaves settings, logs and histories behind.
    bool keepFolder = false;
};

// Nothing where the fleet did not come up; `log` says why.
std::optional<RunResult> runScenario(const RunOptions&, const Variant&, std::ostream& log);

} // namespace toucanstep::bench
