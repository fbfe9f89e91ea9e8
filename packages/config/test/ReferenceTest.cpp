#include "Support.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/config/Schema.h"

#include <sstream>

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(Reference) {};

namespace {

// Every line that the table in code gives has to stand on the page as it is.
void checkPage(const std::string& name, const std::vector<const ObjectSchema*>& schemas)
{
    std::string page = readRepositoryFile(name);
    std::istringstream reference(renderReference(schemas));
    for (std::string line; std::getline(reference, line);)
        CHECK_TRUE_TEXT(page.find(line + "\n") != std::string::npos, base::concat(name, " lacks the line: ", line).c_str());
}

} // namespace

TEST(Reference, EveryFieldOfTheTextStandsOnItsPage)
{
    checkPage("docs/TEXT-REFERENCE.md", allTextSchemas());
}

TEST(Reference, EveryFieldOfTheSettingsStandsOnItsPage)
{
    checkPage("docs/SETTINGS.md", { &settingsSchema() });
}
