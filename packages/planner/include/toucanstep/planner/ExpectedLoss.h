// What a model loses without a further replica, and what the loss of a place on an engine costs.
//
// Load pattern: one model needs several further replicas while many models that are loaded nowhere have one waiting caller each.
// In the order of arrival, or with all models that are loaded nowhere first, the weight store spends a load of some seconds on
// each single caller while hundreds of calls of the busy model are late.

#pragma once

#include "toucanstep/planner/Imports.h"

namespace toucanstep::planner {

// The demand for a model and what serves it.
struct ModelLoad {
    int64_t waiting = 0;
    int64_t running = 0;
    double callsPerSecond = 0;
    // Expected calls in progress when a further replica would be ready.
    double callsAhead = 0;
    // Slots of the replicas that are ready or being loaded, each divided by its engine's work factor.
    double slots = 0;
};

class ExpectedLoss {
public:
    // How long a call of the model occupies a slot, from the calls that run and their rate.
    static double callSeconds(const ModelLoad&);
    // Calls per second that are late or refused without a further replica of that many slots, and would be served with it.
    static double withoutReplica(const ModelLoad&, double slotsOfReplica);
    // Calls that are late if a replica of that many slots is lost and loaded again when it is needed: those that the other replicas
    // cannot serve.
    static double ofPlace(const ModelLoad&, double slotsOfPlace, base::Duration reload);

    // The loss per second of the time that the load takes.
    static double perLoadSecond(double lossPerSecond, base::Duration loadTime);
    // Order of requests: the loss per second of load time plus an aging term. A request that was not placed for `turnTime` comes before
    // each new one, whatever the loss of that, and older requests come in the order of their age.
    static double rank(double perLoadSecond, double largestPerLoadSecond, base::Duration unplacedFor, base::Duration turnTime);
};

} // namespace toucanstep::planner
