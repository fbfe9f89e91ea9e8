// The instances that the platform lists, as last read: gateways, and the sidecars of each pool.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/StrongTypes.h"

#include <string>
#include <vector>

namespace toucanstep::node {

struct InstanceRow {
    base::InstanceId instance;
    // Where the process of the system on that instance is reached.
    base::Endpoint peer;
    base::FailureDomain failureDomain;
    std::string listName;
    bool ready = false;
    bool terminating = false;
};

struct InstanceTable {
    std::vector<InstanceRow> rows;

    const InstanceRow* find(const base::InstanceId& instance) const
    {
        for (const InstanceRow& row : rows) {
            if (row.instance == instance)
                return &row;
        }
        return nullptr;
    }

    // The gateways that take new work, in the order of their ids. The first of them is where work goes that one gateway
    // does for all: everybody who has read the same list means the same one.
    std::vector<const InstanceRow*> gatewaysInOrder() const;

    std::vector<const InstanceRow*> inList(std::string_view listName) const
    {
        std::vector<const InstanceRow*> found;
        for (const InstanceRow& row : rows) {
            if (row.listName == listName)
                found.push_back(&row);
        }
        return found;
    }
};

} // namespace toucanstep::node
