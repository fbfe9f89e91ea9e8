#include "toucanstep/upstreams/UpstreamSelection.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::upstreams;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };

UpstreamDescription engine(const std::string& id, const std::string& model, int64_t slots = 4)
{
    UpstreamDescription description;
    description.id = base::UpstreamId(id);
    description.service = base::ServiceId("narrator");
    description.domain = base::FailureDomain("a");
    description.slots = slots;
    description.loaded[base::ModelId(model)];
    return description;
}

UpstreamQuery asks(const std::string& model, const std::string& adapter = "")
{
    UpstreamQuery query;
    query.service = base::ServiceId("narrator");
    query.target = { base::ModelId(model), AdapterId(adapter) };
    query.domain = base::FailureDomain("a");
    return query;
}

} // namespace

TEST_GROUP(UpstreamSelection)
{
    UpstreamTable table;
    base::Instant now = start;

    std::string chosen(const UpstreamQuery& query)
    {
        UpstreamSelection choice = selectUpstream(table, query, now);
        return choice.blockReason == BlockReason::None ? choice.upstream.value() : "";
    }
    BlockReason blockReason(const UpstreamQuery& query) { return selectUpstream(table, query, now).blockReason; }
};

TEST(UpstreamSelection, ChoosesLeastBusyEngineThatHoldsTheModel)
{
    table.put(engine("one", "m"), now);
    table.put(engine("two", "m"), now);
    table.put(engine("other", "n"), now);
    table.onDispatched(base::UpstreamId("one"), now);
    STRCMP_EQUAL("two", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, SpreadsSimultaneousCallsOfSeveralGatewaysOverIdleUpstreams)
{
    // Guards against a queue at one engine while others are idle: gateways that do not know each other's calls yet see the same
    // idle engines, and each would choose the first in the list.
    for (const char* id : { "one", "two", "three" })
        table.put(engine(id, "m"), now);
    std::set<std::string> used;
    for (int call = 0; call < 30; ++call) {
        UpstreamQuery query = asks("m");
        query.spreadKey = std::to_string(call);
        used.insert(chosen(query));
    }
    LONGS_EQUAL(3, used.size());
}

TEST(UpstreamSelection, CountsCallsOfOtherGateways)
{
    table.put(engine("one", "m"), now);
    table.put(engine("two", "m"), now);
    table.setPeersLoad({ { base::UpstreamId("one"), { 3, 3 } } });
    STRCMP_EQUAL("two", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, PrefersEngineWithFewerPromptsInPrefillQueue)
{
    // Guards against late first tokens while another engine is free: an engine with many slots looked idle although a dozen
    // prompts were queued there, and prefix affinity sent more calls to it.
    table.put(engine("one", "m", 128), now);
    table.put(engine("two", "m", 128), now);
    UpstreamQuery query = asks("m");
    query.promptPrefix = "5c1e07a2";
    std::string home = chosen(query);
    std::string other = home == "one" ? "two" : "one";
    for (int call = 0; call < 4; ++call)
        table.onDispatched(base::UpstreamId(home), now);
    for (int call = 0; call < 12; ++call) {
        table.onDispatched(base::UpstreamId(other), now);
        table.onAnswerBegun(base::UpstreamId(other));
    }
    STRCMP_EQUAL(other.c_str(), chosen(query).c_str());
    // The responses have begun, so prefix affinity decides again.
    for (int call = 0; call < 4; ++call)
        table.onAnswerBegun(base::UpstreamId(home));
    STRCMP_EQUAL(home.c_str(), chosen(query).c_str());
}

TEST(UpstreamSelection, ReportsTheBlockReason)
{
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::NoUpstream);
    table.put(engine("one", "m", 1), now);
    CHECK_TRUE(blockReason(asks("n")) == BlockReason::NotLoaded);
    CHECK_TRUE(blockReason(asks("m", "a1")) == BlockReason::AdapterNotLoaded);
    CHECK_TRUE(blockReason(asks("n", "a1")) == BlockReason::NotLoaded);
    table.onDispatched(base::UpstreamId("one"), now);
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::Full);
}

// Guards against the crash of an engine that has just started: gateways that cannot know the others' calls saw an idle engine
// and sent it all that waited.
TEST(UpstreamSelection, AColdEngineGetsNoCallFromAGatewayWithoutAPartOfItsRate)
{
    FleetShare share({}, base::InstanceId("edge-1"));
    ColdStartLimit unsettled({}, share);
    UpstreamDescription cold = engine("one", "m");
    cold.coldFor = std::chrono::seconds(3);
    table.put(cold, now);
    UpstreamQuery query = asks("m");
    query.coldStarts = &unsettled;
    query.coldCallsPerSecond = 29;
    UpstreamSelection choice = selectUpstream(table, query, now);
    CHECK_TRUE(choice.blockReason == BlockReason::Cold);
    CHECK_TRUE(choice.acceptedFrom == now + std::chrono::seconds(3));
    table.put(engine("two", "m"), now);
    STRCMP_EQUAL("two", chosen(query).c_str());
    now += std::chrono::seconds(3);
    table.remove(base::UpstreamId("two"));
    STRCMP_EQUAL("one", chosen(query).c_str());
}

// Guards against an overloaded upstream that goes on getting calls although another one holds the model.
TEST(UpstreamSelection, AnUpstreamThatAdvertisesALimitGetsNoCallFromAGatewayWithoutAPartOfIt)
{
    FleetShare share({}, base::InstanceId("edge-1"));
    UpstreamCallLimits limits(share);
    UpstreamDescription limited = engine("one", "m");
    table.put(limited, now);
    UpstreamQuery query = asks("m");
    query.callLimits = &limits;
    STRCMP_EQUAL("one", chosen(query).c_str());
    limits.onAnswer(limited.id, limited.start, 2.0, now);
    UpstreamSelection choice = selectUpstream(table, query, now);
    CHECK_TRUE(choice.blockReason == BlockReason::CallLimit);
    CHECK_FALSE(choice.acceptedFrom.has_value());
    table.put(engine("two", "m"), now);
    STRCMP_EQUAL("two", chosen(query).c_str());
    // A free slot of the other one is waited for.
    UpstreamEntry* other = table.find(base::UpstreamId("two"));
    for (int64_t call = 0; call < other->description.slots; ++call)
        table.onDispatched(other->description.id, now);
    CHECK_TRUE(selectUpstream(table, query, now).blockReason == BlockReason::Full);
}

// Guards against an upstream that gets calls within the pause for which it has asked, and all calls at once at its end.
TEST(UpstreamSelection, AnUpstreamGetsNoCallInItsPauseAndFewAfterIt)
{
    UpstreamAvailability availability;
    UpstreamDescription pausing = engine("one", "m");
    table.put(pausing, now);
    UpstreamQuery query = asks("m");
    query.availability = &availability;
    base::Instant end = now + std::chrono::seconds(3);
    availability.onPauseAsked(pausing.id, pausing.start, end, now);
    // The list shows it anew.
    table.remove(pausing.id);
    table.put(pausing, now);
    UpstreamSelection choice = selectUpstream(table, query, now);
    CHECK_TRUE(choice.blockReason == BlockReason::Paused);
    CHECK_TRUE(choice.acceptedFrom == end);
    now = end;
    choice = selectUpstream(table, query, now);
    CHECK_TRUE(choice.blockReason == BlockReason::None && choice.limitedBy == BlockReason::Paused);
    LONGS_EQUAL(1, choice.freeSlots);
    table.onDispatched(pausing.id, now);
    CHECK_TRUE(selectUpstream(table, query, now).blockReason == BlockReason::Paused);
    table.onAnswerBegun(pausing.id);
    availability.onAccepted(pausing.id, now);
    LONGS_EQUAL(2, selectUpstream(table, query, now).freeSlots);
}

// Guards against calls to a domain that the operator has emptied, and against a rush to its engines afterwards: they may have
// become cold meanwhile, which the list shows only later.
TEST(UpstreamSelection, AnEvacuatedDomainGetsNoCallsAndIsColdAfterwards)
{
    FleetShare share({}, base::InstanceId("edge-1"));
    ColdStartLimit unsettled({}, share);
    table.put(engine("one", "m"), now);
    UpstreamQuery query = asks("m");
    query.coldStarts = &unsettled;
    query.coldCallsPerSecond = 29;
    table.evacuate(base::FailureDomain("a"));
    CHECK_TRUE(blockReason(query) == BlockReason::NoUpstream);
    table.endEvacuation(base::FailureDomain("a"), now + std::chrono::seconds(3));
    CHECK_TRUE(blockReason(query) == BlockReason::Cold);
    now += std::chrono::seconds(3);
    STRCMP_EQUAL("one", chosen(query).c_str());
}

// Guards against a call that runs outside the regions to which its route or its account is bound.
TEST(UpstreamSelection, ACallRunsOnlyInTheRegionsOfItsRouteAndItsAccount)
{
    UpstreamDescription north = engine("one", "m");
    north.region = base::RegionId("north");
    UpstreamDescription south = engine("two", "m");
    south.region = base::RegionId("south");
    table.put(north, now);
    table.put(south, now);
    std::set<base::RegionId> both { base::RegionId("north"), base::RegionId("south") };
    std::set<base::RegionId> onlySouth { base::RegionId("south") };
    std::set<base::RegionId> elsewhere { base::RegionId("west") };
    UpstreamQuery query = asks("m");
    query.routeRegions = &both;
    query.accountRegions = &onlySouth;
    STRCMP_EQUAL("two", chosen(query).c_str());
    query.routeRegions = &elsewhere;
    CHECK_TRUE(blockReason(query) == BlockReason::OutsideRegions);
}

TEST(UpstreamSelection, DrainingEngineGetsNoNewCalls)
{
    UpstreamDescription leaving = engine("one", "m");
    leaving.draining = true;
    table.put(leaving, now);
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::NoUpstream);
}

TEST(UpstreamSelection, TriedUpstreamIsNotChosenAgain)
{
    table.put(engine("one", "m"), now);
    std::set<base::UpstreamId> tried { base::UpstreamId("one") };
    UpstreamQuery query = asks("m");
    query.triedUpstreams = &tried;
    CHECK_TRUE(blockReason(query) == BlockReason::NoUpstream);
}

TEST(UpstreamSelection, FailingEngineGetsFewerCallsUntilFailuresDecay)
{
    // Guards against losing a share of the calls to an engine that fails them while its health check succeeds.
    table.put(engine("one", "m"), now);
    table.put(engine("two", "m"), now);
    table.onDispatched(base::UpstreamId("two"), now);
    table.onFailure(base::UpstreamId("one"), now);
    STRCMP_EQUAL("two", chosen(asks("m")).c_str());
    now += std::chrono::seconds(20);
    STRCMP_EQUAL("one", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, UnreachableUpstreamIsSkippedForAWhile)
{
    table.put(engine("one", "m"), now);
    table.onUnreachable(base::UpstreamId("one"), now);
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::NoUpstream);
    now += std::chrono::seconds(1);
    STRCMP_EQUAL("one", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, UnresponsiveEngineIsTheLastChoice)
{
    table.put(engine("one", "m"), now);
    table.put(engine("two", "m"), now);
    table.onDispatched(base::UpstreamId("one"), now);
    now += std::chrono::seconds(2);
    for (int count = 0; count < 3; ++count)
        table.onDispatched(base::UpstreamId("two"), now);
    STRCMP_EQUAL("two", chosen(asks("m")).c_str());
    table.onBytesReceived(base::UpstreamId("one"), now);
    STRCMP_EQUAL("one", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, CallsWithASharedPromptGoToOneEngine)
{
    for (const char* id : { "one", "two", "three" })
        table.put(engine(id, "m", 32), now);
    UpstreamQuery query = asks("m");
    query.promptPrefix = "5c1e07a2";
    std::string first = chosen(query);
    table.onDispatched(base::UpstreamId(first), now);
    STRCMP_EQUAL(first.c_str(), chosen(query).c_str());
}

TEST(UpstreamSelection, PlannerNoticeOverridesTheListUntilItExpires)
{
    table.put(engine("one", "m"), now);
    table.addNotice({ base::UpstreamId("one"), StartId(), { base::ModelId("n"), AdapterId() }, true }, now + std::chrono::seconds(1));
    table.addNotice({ base::UpstreamId("one"), StartId(), { base::ModelId("m"), AdapterId() }, false }, now + std::chrono::seconds(1));
    STRCMP_EQUAL("one", chosen(asks("n")).c_str());
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::NotLoaded);
    now += std::chrono::seconds(1);
    STRCMP_EQUAL("one", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, RestartedEngineLosesTheOldState)
{
    table.put(engine("one", "m"), now);
    table.addNotice({ base::UpstreamId("one"), StartId(), { base::ModelId("n"), AdapterId() }, true }, now + std::chrono::seconds(9));
    table.onFailure(base::UpstreamId("one"), now);
    UpstreamDescription again = engine("one", "m");
    again.start = StartId(7);
    table.put(again, now);
    CHECK_TRUE(blockReason(asks("n")) == BlockReason::NotLoaded);
    DOUBLES_EQUAL(0, UpstreamTable::recentFailures(*table.find(base::UpstreamId("one")), now), 0.001);
}
