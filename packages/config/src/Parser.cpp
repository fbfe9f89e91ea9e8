#include "toucanstep/config/Parser.h"

#include "Draft.h"
#include "JsonReader.h"
#include "toucanstep/base/Text.h"

namespace toucanstep::config {

namespace {

template <typename Entity>
std::vector<Entity> entitiesOf(std::vector<internal::DraftEntry<Entity>> entries)
{
    std::vector<Entity> entities;
    entities.reserve(entries.size());
    for (internal::DraftEntry<Entity>& entry : entries)
        entities.push_back(std::move(entry.entity));
    return entities;
}

std::shared_ptr<const Configuration> makeConfiguration(internal::Draft draft, base::Revision version)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    configuration->kinds = entitiesOf(std::move(draft.kinds));
    configuration->accounts = entitiesOf(std::move(draft.accounts));
    configuration->pools = entitiesOf(std::move(draft.pools));
    configuration->models = entitiesOf(std::move(draft.models));
    configuration->services = entitiesOf(std::move(draft.services));
    configuration->loads = draft.loads;
    configuration->buildIndexes();
    return configuration;
}

} // namespace

ParsedConfiguration parseConfiguration(std::string_view file, std::string_view text, base::Revision version)
{
    ParsedConfiguration parsed;
    if (text.size() > longestConfigurationText) {
        parsed.findings.add({ .place = { std::string(file), 1, 1 },
            .message = base::concat("the text has ", text.size(), " bytes, and the key-value service holds values up to ", longestConfigurationText) });
        return parsed;
    }
    auto root = internal::readJson(file, text, parsed.findings);
    if (!root)
        return parsed;
    internal::ReadContext context { std::string(file), parsed.findings };
    internal::Draft draft = internal::readDraft(*root, context);
    internal::checkDraft(draft, context);
    if (!parsed.findings.hasErrors())
        parsed.configuration = makeConfiguration(std::move(draft), version);
    return parsed;
}

} // namespace toucanstep::config
