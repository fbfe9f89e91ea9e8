#include "Arrivals.h"
#include "Callers.h"
#include "Quantile.h"
#include "RunResult.h"
#include "Scenario.h"
#include "toucanstep/testing/Property.h"

#include <nlohmann/json.hpp>

using namespace toucanstep;
using namespace toucanstep::bench;

namespace {

RunResult sampleResult()
{
    RunResult result;
    result.scenario = "burst";
    result.seed = 7;
    result.variant = "product";
    result.version = "abc";
    result.coldStartP99Milliseconds = 1250.5;
    result.boundBreaks = 0;
    result.requests = 165;
    result.extra["loads"] = 55;
    return result;
}

} // namespace

TEST_GROUP(Bench) {};

TEST(Bench, ArrivalsAscendWithinTheirProfileAndKeepTheRate)
{
    CHECK_PROPERTY([](uint16_t seed) {
        std::mt19937_64 generator(seed);
        ArrivalProfile profile { .perSecond = 200, .begin = std::chrono::seconds(3), .length = std::chrono::seconds(10), .swing = 0.5 };
        auto times = arrivals(profile, generator);
        RC_ASSERT(std::is_sorted(times.begin(), times.end()));
        RC_ASSERT(times.front() >= profile.begin);
        RC_ASSERT(times.back() < profile.begin + profile.length);
        // Half a swing is up and half of it down; 2000 are expected, with a standard deviation of about 45.
        RC_ASSERT(times.size() > 1600U && times.size() < 2800U);
    });
}

TEST(Bench, TheSameSeedGivesTheSameArrivals)
{
    std::mt19937_64 first(5);
    std::mt19937_64 second(5);
    CHECK(arrivals({ .perSecond = 50 }, first) == arrivals({ .perSecond = 50 }, second));
}

TEST(Bench, BurstsRaiseTheRateOnlyInTheirPart)
{
    ArrivalProfile profile { .perSecond = 10, .burstFactor = 5, .burstPeriod = std::chrono::seconds(10), .burstLength = std::chrono::seconds(2) };
    DOUBLES_EQUAL(50, rateAt(profile, std::chrono::seconds(1)), 1e-9);
    DOUBLES_EQUAL(10, rateAt(profile, std::chrono::seconds(5)), 1e-9);
    DOUBLES_EQUAL(50, rateAt(profile, std::chrono::seconds(11)), 1e-9);
}

TEST(Bench, QuantilesAreThoseOfTheWholeSample)
{
    std::vector<double> values;
    for (int value = 100; value >= 1; --value)
        values.push_back(value);
    DOUBLES_EQUAL(50, *quantile(values, 0.5), 1);
    DOUBLES_EQUAL(99, *quantile(values, 0.99), 1);
    DOUBLES_EQUAL(7, *quantile({ 7 }, 0.99), 1e-9);
    DOUBLES_EQUAL(7, *quantile({ 7, 3 }, 0.99), 1e-9);
    DOUBLES_EQUAL(3, *quantile({ 7, 3 }, 0.5), 1e-9);
    CHECK_FALSE(quantile({}, 0.5).has_value());
}

TEST(Bench, JsonHasEveryKeyAndNullWhereTheRunGivesNoMeasure)
{
    auto object = nlohmann::json::parse(toJson(sampleResult()));
    for (const char* key : { "scenario", "seed", "variant", "version", "cold_start_p50_ms", "cold_start_p95_ms", "cold_start_p99_ms", "cold_start_p99_ratio",
             "idle_accelerator_ratio", "worst_account", "wrongful_refusals", "bound_breaks", "requests", "answered", "refused", "cut", "duration_s" })
        CHECK_TEXT(object.contains(key), key);
    CHECK(object["idle_accelerator_ratio"].is_null());
    CHECK(object["answered"].is_null());
    LONGS_EQUAL(0, object["bound_breaks"].get<int>());
}

TEST(Bench, AResultComesBackFromItsJson)
{
    RunResult result = sampleResult();
    auto back = resultFromJson(toJson(result));
    CHECK(back.has_value());
    STRCMP_EQUAL(toJson(result).c_str(), toJson(*back).c_str());
    CHECK_FALSE(resultFromJson("{\"scenario\":").has_value());
    CHECK_FALSE(resultFromJson("[]").has_value());
}

TEST(Bench, TheReportPlotsWhatIsGivenAndSaysWhatIsNot)
{
    RunResult product = sampleResult();
    RunResult baseline = sampleResult();
    baseline.variant = "first<1>";
    baseline.coldStartP99Milliseconds.reset();
    std::string page = renderReport({ product, baseline });
    CHECK(page.find("<svg") != std::string::npos);
    CHECK(page.find("1250.5") != std::string::npos);
    CHECK(page.find("not given") != std::string::npos);
    CHECK(page.find("first<1>") == std::string::npos);
    CHECK(page.find("<h2>idle_accelerator_ratio</h2>") == std::string::npos);
}

TEST(Bench, AStreamIsWholeOnlyWithItsEndMark)
{
    bool whole = true;
    std::string event = "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n";
    STRCMP_EQUAL("one one ", answerOf(event + event, true, whole).c_str());
    CHECK_FALSE(whole);
    STRCMP_EQUAL("one ", answerOf(event + "data: [DONE]\n\n", true, whole).c_str());
    CHECK(whole);
}

TEST(Bench, EveryScenarioAndVariantIsFoundByItsName)
{
    for (const auto& scenario : allScenarios())
        CHECK(findScenario(scenario->name()) != nullptr);
    for (const Variant& variant : allVariants())
        CHECK(findVariant(variant.name) == &variant);
    CHECK(findScenario("none") == nullptr);
    CHECK(findVariant("none") == nullptr);
}
