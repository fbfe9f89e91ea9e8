#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/Findings.h"
#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Metrics.h"
#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/testing/Property.h"

#include <absl/container/flat_hash_map.h>

using namespace toucanstep::base;

TEST_GROUP(Base) {};

TEST(Base, FindingsAreRenderedInTheOrderOfTheirPlaces)
{
    Findings findings;
    findings.add({ .place = { "a.json", 3, 1 }, .path = "x", .message = "late" });
    findings.add({ .place = { "a.json", 1, 2 }, .severity = Severity::Warning, .path = "y", .message = "early", .suggestion = "did you mean z?" });
    STRCMP_EQUAL("a.json:1:2: warning: y: early (did you mean z?)\na.json:3:1: error: x: late\n", findings.render().c_str());
    CHECK_TRUE(findings.hasErrors());
}

TEST(Base, RefusalNamesReadBackAsTheSameCode)
{
    for (int index = 0; index <= static_cast<int>(RefusalCode::Internal); ++index) {
        auto code = static_cast<RefusalCode>(index);
        CHECK_TRUE(refusalCodeFromName(refusalCodeName(code)) == code);
    }
    CHECK_TRUE(ranStateFromName("not_run") == RanState::NotRun);
    CHECK_FALSE(refusalCodeFromName("nonsense").has_value());
}

TEST(Base, LogValuesWithSpacesAreQuoted)
{
    LogLine line("routing");
    line.add("why", "two words").add("model", ModelId("m")).add("count", 3);
    STRCMP_EQUAL("event=routing why=\"two words\" model=m count=3", line.text().c_str());
}

TEST(Base, MetricsAreRenderedAsPrometheusText)
{
    MetricsRegistry metrics;
    metrics.count("requests_total", "code=\"ok\"", 2);
    metrics.observe("latency_seconds", "", 1.0);
    CHECK_EQUAL(2, metrics.counter("requests_total", "code=\"ok\""));
    STRCMP_CONTAINS("requests_total{code=\"ok\"} 2\n", metrics.render().c_str());
    STRCMP_CONTAINS("latency_seconds_count 1\n", metrics.render().c_str());
}

TEST(Base, ErrorsKeepTheirReason)
{
    Error error;
    auto value = valueOr(error, []() -> Result<int> { return fail(ErrorKind::Timeout, "reading"); });
    CHECK_FALSE(value.has_value());
    CHECK_TRUE(error.kind == ErrorKind::Timeout);
    STRCMP_EQUAL("reading", error.message.c_str());
}

TEST(Base, DigestsMatchPublishedVectors)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", sha256Hex("abc").c_str());
    STRCMP_EQUAL("f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8", hmacSha256Hex("key", "The quick brown fox jumps over the lazy dog").c_str());
    CHECK_TRUE(equalInConstantTime("same", "same"));
    CHECK_FALSE(equalInConstantTime("same", "some"));
}

TEST(Base, RemainingTimeIsNeverNegative)
{
    CHECK_PROPERTY([](int now, int deadline) {
        Instant start;
        RC_ASSERT(remaining(start + Duration(now), start + Duration(deadline)) >= Duration::zero());
    });
}

TEST(Base, EndpointsAreReadOnlyFromNumbers)
{
    CHECK_TRUE(parseEndpoint("127.0.0.1:80") == Endpoint({ "127.0.0.1", 80 }));
    CHECK_TRUE(parseEndpoint("[::1]:80") == Endpoint({ "::1", 80 }));
    STRCMP_EQUAL("[::1]:80", parseEndpoint("[::1]:80")->text().c_str());
    for (const char* wrong : { "", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "1.2.3:4", "[::1:80", "127.0.0.1: 80", "127.0.0.1:+80" })
        CHECK_FALSE(parseEndpoint(wrong).has_value());
}
