#include "Support.h"
#include "toucanstep/config/Parser.h"

#include <algorithm>

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(Samples) {};

namespace {

std::shared_ptr<const Configuration> cleanSample(const std::string& name)
{
    auto parsed = parseConfiguration(name, readRepositoryFile(name));
    STRCMP_EQUAL("", parsed.findings.render().c_str());
    return parsed.configuration;
}

long adaptersOf(const Configuration& configuration)
{
    return std::count_if(configuration.models.begin(), configuration.models.end(), [](const Model& model) { return model.baseModel.has_value(); });
}

} // namespace

TEST(Samples, ClampwiseIsCleanAndOfTodaysSize)
{
    auto sample = cleanSample("samples/clampwise.json");
    CHECK_EQUAL(115, adaptersOf(*sample));
    CHECK_EQUAL(170, sample->models.size());
    CHECK_EQUAL(5, sample->accounts.size());
    CHECK_FALSE(sample->findService(base::ServiceId("sealing-orders"))->idempotent);
}

TEST(Samples, EncontrosIsCleanAndOfTodaysSize)
{
    auto sample = cleanSample("samples/encontros.json");
    CHECK_EQUAL(115, adaptersOf(*sample));
    CHECK_EQUAL(150, sample->models.size());
    CHECK_EQUAL(5, sample->accounts.size());
    CHECK_FALSE(sample->findService(base::ServiceId("seat-reservations"))->idempotent);
}

TEST(Samples, TheFirstTextIsCleanAndShort)
{
    cleanSample("samples/first.json");
    std::string text = readRepositoryFile("samples/first.json");
    CHECK_TRUE(std::count(text.begin(), text.end(), '\n') < 15);
}
