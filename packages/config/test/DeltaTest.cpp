#include "toucanstep/config/Delta.h"

#include "Support.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(Delta) {};

namespace {

Delta deltaOf(const std::string& before, const std::string& after)
{
    return makeDelta({ base::Revision(1), before }, { base::Revision(2), after });
}

std::optional<std::string> applied(const Delta& delta, const std::string& before)
{
    base::Error error;
    return base::valueOr(error, [&] { return applyDelta(delta, before); });
}

std::optional<Delta> decoded(const std::string& bytes)
{
    base::Error error;
    return base::valueOr(error, [&] { return decodeDelta(bytes); });
}

// Texts of few different lines, so that copies are found at many places.
rc::Gen<std::string> repetitiveText()
{
    auto line = rc::gen::element<std::string>("{\n", "  \"weight\": 1,\n", "  \"weight\": 12,\n", "}\n", "\n", "  \"burst\": 500, \"keys\": []\n", "end");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(line), [](const std::vector<std::string>& lines) {
        std::string text;
        for (const std::string& part : lines)
            text += part;
        return text;
    });
}

// One field of the sample changed.
std::string withOneFieldChanged(std::string text)
{
    size_t offset = text.find("\"burst\": 30000");
    CHECK_TRUE(offset != std::string::npos);
    return text.replace(offset, std::string("\"burst\": 30000").size(), "\"burst\": 45000");
}

} // namespace

TEST(Delta, ApplyingGivesExactlyTheOtherText)
{
    CHECK_PROPERTY_WITH((testing::PropertyOptions { .seed = 5, .maxSuccess = 2000 }), [] {
        std::string before = *repetitiveText();
        std::string after = *repetitiveText();
        RC_ASSERT(applied(deltaOf(before, after), before) == std::optional(after));
    });
    CHECK_PROPERTY_WITH((testing::PropertyOptions { .seed = 6, .maxSuccess = 500 }), [](const std::string& before, const std::string& after) {
        RC_ASSERT(applied(deltaOf(before, after), before) == std::optional(after));
    });
}

TEST(Delta, AnyEditOfASampleGivesExactlyTheOtherText)
{
    std::string before = readRepositoryFile("samples/encontros.json");
    CHECK_PROPERTY([&] {
        std::string after = before;
        int edits = *rc::gen::inRange(1, 6);
        for (int edit = 0; edit < edits; ++edit) {
            auto offset = *rc::gen::inRange<size_t>(0, after.size());
            auto length = *rc::gen::inRange<size_t>(0, 400);
            after.replace(offset, length, *rc::gen::element(std::string(), std::string("x"), before.substr(100, 300)));
        }
        RC_ASSERT(applied(deltaOf(before, after), before) == std::optional(after));
    });
}

TEST(Delta, TheWireFormReadsBackTheSame)
{
    CHECK_PROPERTY([] {
        Delta delta = deltaOf(*repetitiveText(), *repetitiveText());
        RC_ASSERT(decoded(encodeDelta(delta)) == std::optional(delta));
    });
}

TEST(Delta, ADeltaNeverGivesATextThatItWasNotMadeFor)
{
    // A node that holds another base than its peer believes would otherwise put a text in force that nobody published.
    std::string before = readRepositoryFile("samples/clampwise.json");
    std::string after = withOneFieldChanged(before);
    std::string otherBase = before;
    otherBase[40] = 'X';
    CHECK_FALSE(applied(deltaOf(before, after), otherBase).has_value());
    CHECK_FALSE(applied(deltaOf(before, after), "").has_value());
    CHECK_PROPERTY([&] {
        std::string bytes = encodeDelta(deltaOf(before, after));
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        auto delta = decoded(bytes);
        auto result = delta ? applied(*delta, before) : std::nullopt;
        RC_ASSERT(!result || *result == after);
    });
}

TEST(Delta, AHostileDeltaDoesNotGrowWithoutBound)
{
    std::string before(1000, 'x');
    Delta delta { .digest = std::string(64, '0'), .steps = std::vector<DeltaStep>(100000, CopyStep { 0, 1000 }) };
    CHECK_FALSE(applied(delta, before).has_value());
    CHECK_FALSE(applied({ .steps = { CopyStep { 999, SIZE_MAX } } }, before).has_value());
}

TEST(Delta, NestedBytesAreRefusedWithoutRecursion)
{
    // In MessagePack 0x91 opens a list of one element.
    CHECK_FALSE(decoded(std::string(1'000'000, '\x91')).has_value());
}

TEST(Delta, AChangeOfOneFieldIsSmallOnTheWire)
{
    for (const char* name : { "samples/clampwise.json", "samples/encontros.json" }) {
        std::string before = readRepositoryFile(name);
        size_t wire = encodeDelta(deltaOf(before, withOneFieldChanged(before))).size();
        UT_PRINT(base::concat(name, ": whole text ", before.size(), " bytes, delta of one field ", wire, " bytes").c_str());
        CHECK_TRUE(wire < 100);
    }
}
