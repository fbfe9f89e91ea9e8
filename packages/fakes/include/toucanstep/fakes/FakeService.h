// A stand-in for a plain service, such as one that takes orders: answers any path, and counts what it ran.
//
// It does not look for repeated calls: running one twice is what a test wants to see.

#pragma once

#include "toucanstep/base/Time.h"
#include "toucanstep/formats/HttpServer.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanstep::fakes {

struct FakeServiceOptions {
    // A call runs this long before it takes effect and is answered.
    base::Duration delay = base::Duration::zero();
    // A call whose body holds this word crashes the service: every connection is dropped, and it is down for a while.
    std::string poisonWord;
    base::Duration crashDowntime = std::chrono::milliseconds(200);
};

// Every call is safe from any thread.
class FakeService {
public:
    explicit FakeService(FakeServiceOptions = {});
    ~FakeService();

    std::string url() const;
    uint16_t port() const;

    void setDelay(base::Duration);
    // The next calls take effect, and their connections are cut without an answer.
    void cutAfterRunning(int calls);
    // The next calls are answered with this status, and do not take effect.
    void failNext(int calls, int status);
    void setDown(bool);

    // How often a call with that Idempotency-Key took effect; calls without one are counted under the empty key.
    int64_t runs(const std::string& idempotencyKey) const;
    std::map<std::string, int64_t> allRuns() const;
    int64_t crashes() const;
    // The newest ten thousand calls at most, in the order in which they arrived.
    std::vector<formats::HttpRequest> requests() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace toucanstep::fakes
