#include "toucanstep/scheduling/CallTimes.h"

#include <CppUTest/TestHarness.h>
#include <limits>

using namespace toucanstep;
using namespace toucanstep::scheduling;
using std::chrono::milliseconds;

TEST_GROUP(LongestCalls)
{
    CallTimes times;
    ModelQueue queue { base::ServiceId("engines"), base::ModelId("m") };
};

TEST(LongestCalls, NothingIsExpectedOfAServiceThatEndedNoCall)
{
    CHECK_FALSE(times.longestExpected(queue, base::Tokens(10)).has_value());
}

TEST(LongestCalls, TheLongestGrowsWithTheOutput)
{
    times.onCallEnded(queue, milliseconds(100), milliseconds(1000), base::Tokens(100));
    auto shortCall = *times.longestExpected(queue, base::Tokens(10));
    auto longCall = *times.longestExpected(queue, base::Tokens(1000));
    CHECK_TRUE(shortCall >= milliseconds(200));
    CHECK_TRUE(shortCall < milliseconds(1000));
    CHECK_TRUE(longCall >= milliseconds(10'100));
}

// Guards against a stop that cuts the slowest calls: their average would be shorter than the time left.
TEST(LongestCalls, TheSlowestOfTheRecentCallsCounts)
{
    times.onCallEnded(queue, milliseconds(100), milliseconds(5000), base::Tokens(100));
    for (int count = 0; count < 10; ++count)
        times.onCallEnded(queue, milliseconds(100), milliseconds(500), base::Tokens(100));
    CHECK_TRUE(*times.longestExpected(queue, base::Tokens(100)) >= milliseconds(4500));
    for (int count = 0; count < 1000; ++count)
        times.onCallEnded(queue, milliseconds(100), milliseconds(500), base::Tokens(100));
    CHECK_TRUE(*times.longestExpected(queue, base::Tokens(100)) < milliseconds(1500));
}

// Guards against a stop that refuses far more calls than it would cut.
TEST(LongestCalls, OneSlowCallSaysLittleOfTheUsualOnes)
{
    for (int count = 0; count < 50; ++count)
        times.onCallEnded(queue, milliseconds(100), milliseconds(500), base::Tokens(100));
    times.onCallEnded(queue, milliseconds(100), milliseconds(5000), base::Tokens(100));
    CHECK_TRUE(*times.expected(queue, base::Tokens(100)) < milliseconds(1500));
    CHECK_TRUE(*times.longestExpected(queue, base::Tokens(100)) > milliseconds(5000));
}

// Guards against an overflow by a caller that states an absurd number of tokens.
TEST(LongestCalls, AnAbsurdOutputIsExpectedToTakeLong)
{
    times.onCallEnded(queue, milliseconds(100), milliseconds(1000), base::Tokens(1));
    CHECK_TRUE(*times.longestExpected(queue, base::Tokens(std::numeric_limits<int64_t>::max())) >= std::chrono::hours(1));
}

// Guards against a stream that is cut since the one call before it, of a model that is seldom asked for, was short.
TEST(LongestCalls, AModelWithFewCallsIsExpectedToBeAsSlowAsItsService)
{
    ModelQueue other { queue.service, base::ModelId("other") };
    times.onCallEnded(other, milliseconds(10), milliseconds(10), base::Tokens(100));
    times.onCallEnded(queue, milliseconds(100), milliseconds(1000), base::Tokens(100));
    CHECK_TRUE(*times.longestExpected(other, base::Tokens(100)) >= milliseconds(1000));
    for (int count = 0; count < 100; ++count)
        times.onCallEnded(other, milliseconds(10), milliseconds(10), base::Tokens(100));
    CHECK_TRUE(*times.longestExpected(other, base::Tokens(100)) < milliseconds(100));
}
