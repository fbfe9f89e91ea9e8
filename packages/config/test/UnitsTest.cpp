#include "toucanstep/config/Units.h"

#include "toucanstep/config/Nearest.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep;
using namespace toucanstep::config;

TEST_GROUP(Units) {};

TEST(Units, KnownUnitsAreRead)
{
    CHECK_EQUAL(750, base::toMilliseconds(*parseDuration("750ms")));
    CHECK_EQUAL(300'000, base::toMilliseconds(*parseDuration("5m")));
    CHECK_EQUAL(int64_t { 24 } << 30, parseSize("24GiB")->value());
}

TEST(Units, AnythingElseIsRefused)
{
    for (const char* text : { "", "s", "5", "5 s", "5sec", "1.5s", "+5s", "9223372036854775807d", "99999999999999999999s" })
        CHECK_FALSE_TEXT(parseDuration(text).has_value(), text);
    for (const char* text : { "", "24", "24GB", "24gib", "0x1KiB", "9223372036854775807KiB" })
        CHECK_FALSE_TEXT(parseSize(text).has_value(), text);
}

TEST(Units, WhatIsFormattedReadsBackTheSame)
{
    CHECK_PROPERTY([](uint32_t number) {
        base::Duration duration = std::chrono::milliseconds(number);
        RC_ASSERT(parseDuration(formatDuration(duration)) == std::optional(duration));
        base::Bytes size(int64_t { number } << (number % 31));
        RC_ASSERT(parseSize(formatSize(size)) == std::optional(size));
    });
}

TEST(Units, TheNearestNameIsTheOneWithFewestChanges)
{
    CHECK_EQUAL(3, editDistance("kitten", "sitting"));
    STRCMP_EQUAL("weight", nearestName("wieght", { "burst", "weight", "keys" })->c_str());
    CHECK_FALSE(nearestName("entirely", { "burst", "weight", "keys" }).has_value());
}
