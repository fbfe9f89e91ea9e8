#include "toucanstep/config/TextHistory.h"

#include "Support.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(TextHistory) {};

namespace {

std::optional<PublishedText> readBy(const TextHistory& reader, const std::string& answer)
{
    base::Error error;
    return base::valueOr(error, [&] { return reader.readAnswer(answer); });
}

std::string textOf(int version)
{
    std::string text = readRepositoryFile("samples/first.json");
    return text.replace(text.find("20000"), 5, std::to_string(20000 + version));
}

} // namespace

TEST(TextHistory, APeerThatIsOneVersionBehindGetsADelta)
{
    TextHistory ahead;
    TextHistory behind;
    ahead.add(base::Revision(1), textOf(1));
    behind.add(base::Revision(1), textOf(1));
    ahead.add(base::Revision(2), textOf(2));
    std::string answer = ahead.answerTo(base::Revision(1));
    CHECK_TRUE(answer.size() < 100);
    STRCMP_EQUAL(textOf(2).c_str(), readBy(behind, answer)->text.c_str());
    CHECK_EQUAL(0, ahead.answerTo(base::Revision(2)).size());
    CHECK_EQUAL(0, ahead.answerTo(base::Revision(7)).size());
}

TEST(TextHistory, AnAnswerFromATextThatIsNotHereIsRefused)
{
    TextHistory ahead;
    ahead.add(base::Revision(1), textOf(1));
    ahead.add(base::Revision(2), textOf(2));
    std::string answer = ahead.answerTo(base::Revision(1));
    CHECK_FALSE(readBy(TextHistory(), answer).has_value());
    STRCMP_EQUAL(textOf(2).c_str(), readBy(TextHistory(), ahead.answerTo({}))->text.c_str());
    CHECK_FALSE(readBy(TextHistory(), "").has_value());
}

TEST(TextHistory, AnyTwoNodesComeToTheSameText)
{
    CHECK_PROPERTY([] {
        TextHistory ahead(3);
        TextHistory behind(3);
        int versions = *rc::gen::inRange(1, 8);
        int reached = *rc::gen::inRange(0, versions);
        for (int version = 1; version <= versions; ++version) {
            ahead.add(base::Revision(version), textOf(version));
            if (version <= reached)
                behind.add(base::Revision(version), textOf(version));
        }
        auto got = readBy(behind, ahead.answerTo(base::Revision(reached)));
        RC_ASSERT(got.has_value());
        RC_ASSERT(got->version == base::Revision(versions));
        RC_ASSERT(got->text == textOf(versions));
    });
}
