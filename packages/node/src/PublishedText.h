// Versions of the operators' text as they are published.

#pragma once

#include "toucanstep/config/Configuration.h"
#include "toucanstep/config/TextHistory.h"

#include <memory>

namespace toucanstep::node::internal {

// Parses a published text; a text that does not parse is logged and left aside, since the check before publishing
// makes it a sign of a newer format, and the version in force goes on.
std::shared_ptr<const config::Configuration> parsePublished(const config::PublishedText&);

} // namespace toucanstep::node::internal
