#include "Tool.h"

#include <filesystem>
#include <regex>
#include <set>

using namespace toucanstep::cli::test;

namespace {

namespace files = std::filesystem;

const std::string root = TOUCANSTEP_SOURCE_FOLDER;

// The content of all files with that ending in a folder, one after the other; nothing where there is no such folder.
std::string contentUnder(const files::path& folder, const std::string& ending)
{
    std::string all;
    if (!files::is_directory(folder))
        return all;
    for (const files::directory_entry& file : files::recursive_directory_iterator(folder)) {
        if (file.path().extension() == ending)
            all += contentOf(file.path().string());
    }
    return all;
}

// The same for folders of that name under packages.
std::string contentOfAll(const std::string& folder, const std::string& ending)
{
    std::string all;
    for (const files::directory_entry& package : files::directory_iterator(root + "/packages"))
        all += contentUnder(package.path() / folder, ending);
    return all;
}

// What the expression's first two groups match in a text, joined by `, ` where there are two.
std::set<std::string> matches(const std::string& text, const std::string& expression)
{
    std::regex compiled(expression);
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), compiled), end; match != end; ++match)
        found.insert(match->size() > 2 ? match->str(1) + ", " + match->str(2) : match->str(1));
    return found;
}

void checkGuideNames(const std::set<std::string>& names, size_t atLeast)
{
    std::string guide = contentOf(root + "/docs/OPERATORS-GUIDE.md");
    CHECK_TRUE(names.size() >= atLeast);
    for (const std::string& name : names) {
        bool named = guide.find("`" + name + "`") != std::string::npos || guide.find("`" + name + "{") != std::string::npos;
        CHECK_TRUE_TEXT(named, name.c_str());
    }
}

} // namespace

TEST_GROUP(Pages) {};

TEST(Pages, TheOperatorsGuideNamesEveryLogEvent)
{
    std::string sources = contentOfAll("src", ".cpp");
    checkGuideNames(matches(sources, "LogLine(?: [a-z]+)?\\(\"([a-z_]+)\"\\)"), 20);
    checkGuideNames(matches(sources, "logEntry\\(\"([a-z_]+)\""), 3);
}

TEST(Pages, TheOperatorsGuideNamesEveryMetric)
{
    checkGuideNames(matches(contentOfAll("src", ".cpp"), "\"(toucanstep_[a-z_]+)\""), 15);
}

TEST(Pages, TheOperatorsGuideNamesEveryRefusalCode)
{
    checkGuideNames(matches(contentOf(root + "/packages/base/src/Refusal.cpp"), "CodeRow \\{ RefusalCode::[A-Za-z]+, \"([a-z_]+)\""), 20);
}

TEST(Pages, TheOverviewNamesTestsThatExist)
{
    std::string sources = contentOfAll("test", ".cpp") + contentUnder(root + "/platform/test", ".cpp");
    std::set<std::string> tests = matches(sources, "TEST\\(([A-Za-z]+), ([A-Za-z]+)\\)");
    std::set<std::string> named = matches(contentOf(root + "/docs/design/0-overview.md"), "`([A-Za-z]+), ([A-Za-z]+)`");
    CHECK_TRUE(named.size() >= 30);
    for (const std::string& name : named)
        CHECK_TRUE_TEXT(tests.count(name) == 1, name.c_str());
}
