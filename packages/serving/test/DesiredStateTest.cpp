#include "toucanstep/serving/DesiredState.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::serving;

TEST_GROUP(DesiredState) {};

TEST(DesiredState, LongestPathPrefixOfTheHostWins)
{
    DesiredState state;
    for (const char* prefix : { "/a/", "/a/b/", "/" }) {
        Route route;
        route.id = RouteId(prefix);
        route.host = "farm.example";
        route.prefix = prefix;
        state.routes.push_back(route);
    }
    state.buildIndexes();
    STRCMP_EQUAL("/a/b/", state.findRoute("farm.example:80", "/a/b/c")->id.value().c_str());
    STRCMP_EQUAL("/a/", state.findRoute("farm.example", "/a/x")->id.value().c_str());
    STRCMP_EQUAL("/", state.findRoute("farm.example", "/x")->id.value().c_str());
    CHECK_TRUE(state.findRoute("other.example", "/a/") == nullptr);
}
