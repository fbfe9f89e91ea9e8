#include "toucanstep/config/Parser.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(Parser) {};

namespace {

const char* const smallText = R"({
  // One kind, one account, one pool.
  "kinds": { "narrative": { "weight": 5, "defaultTimeout": "12s" } },
  "accounts": { "farm": { "tokensPerSecond": 100, "burst": 500,
    "keys": [{ "sha256": "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", "note": "office" }] } },
  "pools": { "language": { "kind": "engines", "memory": "24GiB" }, },
  "models": {
    "clamp": { "pool": "language", "kind": "narrative", "memory": "14GiB" },
    "cane": { "baseModel": "clamp", "memory": "200MiB" },
  },
})";

// The text with one part replaced; fails the test where the part does not stand in the text.
std::string changed(const std::string& part, const std::string& replacement)
{
    std::string text = smallText;
    size_t offset = text.find(part);
    CHECK_TRUE(offset != std::string::npos);
    return text.replace(offset, part.size(), replacement);
}

std::string findingsOf(const std::string& text)
{
    return parseConfiguration("t.json", text).findings.render();
}

} // namespace

TEST(Parser, ACleanTextGivesATypedConfiguration)
{
    auto parsed = parseConfiguration("t.json", smallText, base::Revision(7));
    STRCMP_EQUAL("", parsed.findings.render().c_str());
    const Configuration& configuration = *parsed.configuration;
    CHECK_EQUAL(7, configuration.version.value());
    CHECK_EQUAL(12000, base::toMilliseconds(configuration.findKind(KindId("narrative"))->defaultTimeout));
    const ClientAccount* account = configuration.findAccountByKey(base::KeyFingerprint("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
    STRCMP_EQUAL("farm", account->id.value().c_str());
    POINTERS_EQUAL(nullptr, configuration.findAccountByKey(base::KeyFingerprint("00")));
    STRCMP_EQUAL("language", configuration.findPool(base::PoolId("language"))->listName.c_str());
}

TEST(Parser, AnAdapterTakesPoolAndKindFromItsBaseModel)
{
    auto parsed = parseConfiguration("t.json", smallText);
    const Model* adapter = parsed.configuration->findModel(base::ModelId("cane"));
    STRCMP_EQUAL("language", adapter->pool.value().c_str());
    STRCMP_EQUAL("narrative", adapter->kind.value().c_str());
    CHECK_EQUAL(200 << 20, adapter->checkpoint.value());
}

TEST(Parser, AnUnknownFieldNamesTheNearestOne)
{
    STRCMP_EQUAL("t.json:3:42: error: kinds.narrative.defaultTimout: unknown field (did you mean \"defaultTimeout\"?)\n",
        findingsOf(changed("\"defaultTimeout\"", "\"defaultTimout\"")).c_str());
}

TEST(Parser, EveryFindingComesInOneReport)
{
    std::string text = changed("\"weight\": 5", "\"weight\": 5000");
    text.replace(text.find("\"burst\": 500"), 12, "\"burst\": \"x\"");
    text.replace(text.find("24GiB"), 5, "24GB");
    text.replace(text.find("\"pool\": \"language\""), 18, "\"pool\": \"langage\"");
    STRCMP_EQUAL("t.json:3:39: error: kinds.narrative.weight: must lie between 1 and 1000\n"
                 "t.json:4:60: error: accounts.farm.burst: must be a whole number, and is a text\n"
                 "t.json:6:57: error: pools.language.memory: \"24GB\" is no size (a whole number followed by B, KiB, MiB, GiB or TiB, as in \"24GiB\")\n"
                 "t.json:8:24: error: models.clamp.pool: there is no \"langage\" in pools (did you mean \"language\"?)\n",
        findingsOf(text).c_str());
}
