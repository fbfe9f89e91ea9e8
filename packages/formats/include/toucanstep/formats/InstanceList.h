// Reads the platform's list of instances, in the shape of EndpointSlices.
//
// The list lags, and its answers may go back in time; whoever draws conclusions from an absence has to allow for both.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/formats/HttpClient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::formats {

struct ListedInstance {
    base::InstanceId instance;
    base::Endpoint endpoint;
    base::FailureDomain failureDomain;
    bool ready = false;
    bool terminating = false;
};

struct InstanceListing {
    std::vector<ListedInstance> instances;
    // The list's resource version where it has one.
    std::optional<uint64_t> version;
};

class InstanceList {
public:
    virtual ~InstanceList() = default;
    // All instances under one name. Calls back once, on the HTTP client's thread.
    virtual void read(std::string listName, base::Instant deadline, std::function<void(base::Outcome<InstanceListing>)>) = 0;
};

std::unique_ptr<InstanceList> makeInstanceList(std::string url, std::shared_ptr<HttpClient>);

} // namespace toucanstep::formats
