// Versions of the operators' text as they are published.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/config/Configuration.h"
#include "toucanstep/peers/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace toucanstep::node::internal {

// The text of a version, as the service or a peer holds it.
struct PublishedText {
    base::Revision version;
    std::string text;
};

// Parses a published text; a text that does not parse is logged and left aside, since the check before publishing
// makes it a sign of a newer format, and the version in force goes on.
std::shared_ptr<const config::Configuration> parsePublished(const PublishedText&);

} // namespace toucanstep::node::internal
