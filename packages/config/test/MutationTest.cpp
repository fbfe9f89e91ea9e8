#include "Support.h"
#include "toucanstep/config/Parser.h"
#include "toucanstep/testing/Property.h"

#include <algorithm>

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(Mutation) {};

namespace {

// Pieces that are likely to change what a text means.
rc::Gen<std::string> piece()
{
    return rc::gen::oneOf(
        rc::gen::element<std::string>("", "\"", "{", "}", "[", "]", ",", ":", "\\", "//", "/*", "*/", "\n", "null", "-1", "1e999", "\"1s\"", "99999999999999999999", "\xff"),
        rc::gen::arbitrary<std::string>());
}

std::string mutate(std::string text)
{
    int edits = *rc::gen::inRange(1, 4);
    for (int edit = 0; edit < edits && !text.empty(); ++edit) {
        auto offset = *rc::gen::inRange<size_t>(0, text.size());
        auto length = *rc::gen::inRange<size_t>(0, 12);
        text.replace(offset, length, *piece());
    }
    return text;
}

bool isInside(const base::Place& place, const std::string& text)
{
    auto lines = 1 + std::count(text.begin(), text.end(), '\n');
    return place.line >= 1 && place.line <= lines && place.column >= 1 && static_cast<size_t>(place.column) <= text.size() + 1;
}

void checkMutationsOf(const char* name, uint64_t seed)
{
    std::string sample = readRepositoryFile(name);
    CHECK_PROPERTY_WITH((testing::PropertyOptions { .seed = seed, .maxSuccess = 500 }), [&] {
        std::string text = mutate(sample);
        ParsedConfiguration parsed = parseConfiguration(name, text);
        RC_ASSERT((parsed.configuration != nullptr) != parsed.findings.hasErrors());
        for (const base::Finding& finding : parsed.findings.all()) {
            RC_ASSERT(isInside(finding.place, text));
            RC_ASSERT(!finding.message.empty());
        }
    });
}

} // namespace

TEST(Mutation, AChangedSampleGivesAConfigurationOrFindingsInsideTheText)
{
    checkMutationsOf("samples/first.json", 21);
    checkMutationsOf("samples/clampwise.json", 22);
    checkMutationsOf("samples/encontros.json", 23);
}
