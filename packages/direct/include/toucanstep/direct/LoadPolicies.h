// Which decisions under load a gateway takes, and their bounds. A deployment's settings choose them.

#pragma once

#include "toucanstep/base/StrongTypes.h"

#include <cstddef>
#include <cstdint>

namespace toucanstep::direct {

// Bounds of the memory that a gateway holds for callers that do not read their answers, or send their requests slowly.
struct CallerMemoryBounds {
    base::Bytes perCall { 1024 * 1024 };
    // Of all client accounts together.
    base::Bytes total { 64 * 1024 * 1024 };
    // The part of `total` that one client account may hold, in percent.
    int64_t accountPercent = 50;
};

struct LoadPolicies {
    // Callers compete for too little room: calls are ordered by client account and slack.
    bool pressure = false;
    // Speeds that upstreams state in their answers are used.
    bool statedSpeed = true;
    // Models are placed by the trend of their demand in each failure domain, at services whose upstreams state their speed.
    bool unevenDemand = true;
    // Reports between failure domains go through one gateway of each.
    bool relayReports = true;
    // In a smaller fleet the longer way costs more than the bytes that it saves.
    size_t relayFromGateways = 24;
    CallerMemoryBounds callerMemory;
};

} // namespace toucanstep::direct
