// Makes the types of the libraries below known in this namespace by their short names.

#pragma once

#include "toucanstep/serving/Call.h"

namespace toucanstep::upstreams {

using namespace serving;

} // namespace toucanstep::upstreams
