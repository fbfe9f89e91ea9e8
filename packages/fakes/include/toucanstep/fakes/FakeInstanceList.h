// A stand-in for the platform's list of instances: EndpointSlice-shaped JSON over HTTP, which lags and can go back in time.
//
//     FakeInstanceList list({ .lag = std::chrono::seconds(2) });
//     list.put("gateways", { .instance = InstanceId("gw-1"), .endpoint = { "127.0.0.1", 7000 }, .failureDomain = FailureDomain("a") });

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <memory>
#include <string>

namespace toucanstep::fakes {

struct FakeInstance {
    base::InstanceId instance;
    base::Endpoint endpoint;
    base::FailureDomain failureDomain;
    bool ready = true;
    bool terminating = false;
};

struct FakeInstanceListOptions {
    // Answers show the state as of this long ago.
    base::Duration lag = base::Duration::zero();
};

// Every call is safe from any thread.
class FakeInstanceList {
public:
    explicit FakeInstanceList(const FakeInstanceListOptions& = {});
    ~FakeInstanceList();

    std::string url() const;

    // Adds the instance to the list of that name, or changes it. Each change is one resource version.
    void put(const std::string& listName, const FakeInstance&);
    void remove(const std::string& listName, const base::InstanceId&);

    void setLag(base::Duration);
    // The next answers show the state as of this many versions before the one that they would have shown.
    void goBack(uint64_t versions, int answers);
    void setDown(bool);

    int64_t reads() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace toucanstep::fakes
