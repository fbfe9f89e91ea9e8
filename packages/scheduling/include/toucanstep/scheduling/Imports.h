// Makes the types of the libraries below known in this namespace by their short names.

#pragma once

#include "toucanstep/serving/Call.h"
#include "toucanstep/upstreams/FleetShare.h"

namespace toucanstep::scheduling {

using namespace serving;
using namespace upstreams;

} // namespace toucanstep::scheduling
