#include "toucanstep/node/InstanceTable.h"

#include "toucanstep/node/Keys.h"

#include <algorithm>

namespace toucanstep::node {

std::vector<const InstanceRow*> InstanceTable::gatewaysInOrder() const
{
    std::vector<const InstanceRow*> gateways = inList(gatewayListName);
    std::erase_if(gateways, [](const InstanceRow* row) { return !row->ready || row->terminating; });
    std::sort(gateways.begin(), gateways.end(), [](const InstanceRow* left, const InstanceRow* right) { return left->instance < right->instance; });
    return gateways;
}

} // namespace toucanstep::node
