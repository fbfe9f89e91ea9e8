// What one daemon program can be.

#pragma once

namespace toucanstepd {

// A gateway that talks to upstreams itself, on the users' platform. Returns the exit status.
int runDirect();
// A gateway or a sidecar of a fleet, from a settings file of the product's own. Returns the exit status.
int runFleet(int argc, char** argv);

} // namespace toucanstepd
