// A stand-in for the platform's weight store: GET and HEAD of /weights/{name} over HTTP, slow or refusing when overdriven.
//
// A checkpoint's bytes are not moved: the answer's head comes at once, with the size in X-Checkpoint-Bytes, and a short body
// when the whole checkpoint would have arrived.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <map>
#include <memory>
#include <string>

namespace toucanstep::fakes {

struct FakeWeight {
    base::Bytes size;
    bool adapter = false;
};

struct FakeWeightStoreOptions {
    std::map<std::string, FakeWeight> weights;
    // Bytes a second that one load gets while no more than `fullSpeedLoads` run; beyond that they share its multiple.
    int64_t rate = 1'000'000'000;
    size_t fullSpeedLoads = 4;
    // With more adapters in flight than this, everything is slower by the factor.
    size_t adapterLimit = 30;
    double overdrivenFactor = 0.25;
    // With this many loads in flight, a further one is answered with 429.
    size_t refuseBeyond = 100;
};

struct FakeWeightStoreCounters {
    int64_t loads = 0;
    int64_t finishedLoads = 0;
    int64_t refusedLoads = 0;
    size_t loadsInFlight = 0;
    size_t peakLoadsInFlight = 0;
};

// Every call is safe from any thread.
class FakeWeightStore {
public:
    explicit FakeWeightStore(FakeWeightStoreOptions);
    ~FakeWeightStore();

    std::string url() const;
    // All loads run at this part of their speed; 1 is normal.
    void setSpeed(double factor);
    void setDown(bool);
    FakeWeightStoreCounters counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace toucanstep::fakes
