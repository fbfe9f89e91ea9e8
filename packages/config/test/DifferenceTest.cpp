#include "toucanstep/config/Difference.h"

#include "Support.h"
#include "toucanstep/config/Parser.h"

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(Difference) {};

namespace {

Configuration sample()
{
    auto parsed = parseConfiguration("samples/clampwise.json", readRepositoryFile("samples/clampwise.json"));
    CHECK_TRUE(parsed.configuration != nullptr);
    return *parsed.configuration;
}

} // namespace

TEST(Difference, ATextHasNoneToItself)
{
    Configuration reordered = sample();
    std::swap(reordered.models.front(), reordered.models.back());
    reordered.version = base::Revision(9);
    CHECK_TRUE(difference(sample(), reordered).empty());
}

TEST(Difference, EachChangeIsNamedByItsPath)
{
    Configuration after = sample();
    after.accounts.at(4).burst = base::Tokens(31000);
    after.accounts.at(4).keys = { base::KeyFingerprint("ab") };
    after.models.at(0).id = base::ModelId("renamed");
    after.services.at(2).retention = std::chrono::hours(1);
    after.loads.concurrentLoads = 3;
    std::string withdrawn = sample().accounts.at(4).keys.at(0).value();
    std::string expected = "changed accounts.bel-air-agronomy.burst: 30000 -> 31000\n"
                           "dropped accounts.bel-air-agronomy.keys["
        + withdrawn + "]\n"
                      "added accounts.bel-air-agronomy.keys[ab]\n"
                      "dropped models.narrative-cane-top\n"
                      "added models.renamed\n"
                      "changed services.sealing-orders.retention: 3d -> 1h\n"
                      "changed loads.concurrentLoads: 4 -> 3\n";
    STRCMP_EQUAL(expected.c_str(), renderDifference(difference(sample(), after)).c_str());
}
