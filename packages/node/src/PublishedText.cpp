#include "PublishedText.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/config/Parser.h"
#include "toucanstep/node/Keys.h"

namespace toucanstep::node::internal {

std::shared_ptr<const config::Configuration> parsePublished(const config::PublishedText& published)
{
    config::ParsedConfiguration parsed = config::parseConfiguration(configurationKey, published.text, published.version);
    if (!parsed.configuration) {
        base::LogLine("configuration_rejected").add("version", published.version).add("findings", parsed.findings.render());
        return nullptr;
    }
    return parsed.configuration;
}

} // namespace toucanstep::node::internal
