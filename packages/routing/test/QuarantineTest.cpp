#include "toucanstep/routing/Quarantine.h"
#include "Fixtures.h"
#include "toucanstep/testing/Property.h"

#include <algorithm>
#include <map>
#include <random>

using namespace toucanstep;
using namespace toucanstep::routing;
using namespace toucanstep::routing::fixtures;

namespace {

const RequestFingerprint culprit("culprit");

// Sidecars, each with an upstream and its own strike set; strikes reach the others after a delay. Gateways hold no state
// of their own here: a gateway that has heard a strike only refuses earlier than the sidecar would.
class Fleet {
public:
    Fleet(int upstreams, base::Duration delay)
        : m_delay(delay)
    {
        for (int index = 0; index < upstreams; ++index)
            m_upstreams.emplace_back();
    }

    // True if it is now in flight there.
    bool send(size_t where, const RequestFingerprint& fingerprint, base::Instant now)
    {
        auto& upstream = m_upstreams[where];
        auto state = upstream.quarantine.state(fingerprint, now);
        if (!upstream.gate.mayStart(state, static_cast<int64_t>(upstream.inFlight.size()), now))
            return false;
        base::RequestId id(base::concat(++m_lastRequest));
        upstream.gate.started(id, state);
        upstream.inFlight.emplace(id, fingerprint);
        return true;
    }

    // The upstream meets what is in flight: it crashes if the culprit is among it, and answers all otherwise.
    void run(size_t where, base::Instant now)
    {
        auto& upstream = m_upstreams[where];
        std::vector<RequestFingerprint> inFlight;
        bool crashes = false;
        for (const auto& [id, fingerprint] : upstream.inFlight) {
            upstream.gate.ended(id);
            inFlight.push_back(fingerprint);
            crashes = crashes || fingerprint == culprit;
        }
        upstream.inFlight.clear();
        if (!crashes) {
            answered += inFlight.size();
            return;
        }
        ++crashCount;
        auto messages = upstream.quarantine.onCrash(CrashId(base::concat(where, "/", ++upstream.crashes)), inFlight, now);
        if (shares)
            m_messages.push_back({ now + m_delay, messages });
    }

    void deliver(base::Instant now)
    {
        for (auto& message : m_messages)
            if (message.arrives <= now)
                for (auto& upstream : m_upstreams)
                    upstream.quarantine.merge(message.strikes, now);
        std::erase_if(m_messages, [&](const auto& message) { return message.arrives <= now; });
    }

    bool shares = true;
    int crashCount = 0;
    size_t answered = 0;

private:
    struct Upstream {
        Quarantine quarantine { {} };
        IsolationGate gate { 1s };
        std::map<base::RequestId, RequestFingerprint> inFlight;
        int crashes = 0;
    };
    struct Message {
        base::Instant arrives;
        std::vector<StrikeMessage> strikes;
    };
    base::Duration m_delay;
    std::vector<Upstream> m_upstreams;
    std::vector<Message> m_messages;
    int64_t m_lastRequest = 0;
};

// A caller that sends the same body again after each failure, to upstreams at random, for up to five minutes.
int crashesOfRepeatedSending(bool shares, base::Duration delay, int upstreams)
{
    Fleet fleet(upstreams, delay);
    fleet.shares = shares;
    auto steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
        auto now = at(std::chrono::seconds(step));
        fleet.deliver(now);
        auto where = static_cast<size_t>(*rc::gen::inRange(0, upstreams));
        auto neighbours = *rc::gen::inRange(0, 3);
        for (int neighbour = 0; neighbour < neighbours; ++neighbour)
            fleet.send(where, RequestFingerprint(base::concat("innocent", step, "/", neighbour)), now);
        fleet.send(where, culprit, now);
        fleet.run(where, now);
    }
    return fleet.crashCount;
}

} // namespace

TEST_GROUP(Quarantine) {};

TEST(Quarantine, TheSameBodySentAgainCrashesAtMostTwoUpstreams)
{
    // A prompt crashes the engine. Its caller's client sends it again after every failure, each time through another
    // gateway, and all engines of the pool go down one after the other; everyone's answers are cut.
    CHECK_PROPERTY([] { RC_ASSERT(crashesOfRepeatedSending(true, 0s, 5) <= 2); });
}

TEST(Quarantine, TheCheckFailsWhenStrikesAreNotShared)
{
    CHECK_FALSE(testing::counterexample({}, [] { RC_ASSERT(crashesOfRepeatedSending(false, 0s, 5) <= 2); }).empty());
}

TEST(Quarantine, EachUpstreamCrashesAtMostTwiceEvenIfNoMessageArrives)
{
    // With the messages late by any time, a sidecar still knows its own crashes: two for each upstream that was reached.
    CHECK_PROPERTY([] {
        auto delay = std::chrono::seconds(*rc::gen::inRange(0, 200));
        RC_ASSERT(crashesOfRepeatedSending(true, delay, 3) <= 2 * 3);
    });
}

TEST(Quarantine, BesidesTwoOnlyWhatWasSentBeforeTheNewsCrashes)
{
    // Sent one after the other, a crash beyond the second needs an upstream that has not yet heard of both. With a delay
    // of d steps these are at most the d sendings that follow each of the two crashes.
    CHECK_PROPERTY([] {
        auto delay = *rc::gen::inRange(0, 4);
        RC_ASSERT(crashesOfRepeatedSending(true, std::chrono::seconds(delay), 20) <= 2 + delay);
    });
}

TEST(Quarantine, AnInnocentNeighbourRunsAloneAndIsAnswered)
{
    Fleet fleet(2, 0s);
    RequestFingerprint innocent("innocent");
    CHECK_TRUE(fleet.send(0, innocent, at(0s)));
    CHECK_TRUE(fleet.send(0, culprit, at(0s)));
    fleet.run(0, at(0s));
    fleet.deliver(at(0s));
    CHECK_TRUE(fleet.send(1, innocent, at(1s)));
    CHECK_FALSE(fleet.send(1, culprit, at(1s)));
    fleet.run(1, at(1s));
    CHECK_EQUAL(1, fleet.answered);
    CHECK_TRUE(fleet.send(1, culprit, at(2s)));
    fleet.run(1, at(2s));
    fleet.deliver(at(2s));
    CHECK_EQUAL(2, fleet.crashCount);
    CHECK_TRUE(fleet.send(1, innocent, at(3s)));
    CHECK_FALSE(fleet.send(0, culprit, at(3s)));
}

TEST(Quarantine, ARequestThatMustRunAloneIsNotHeldBackForEver)
{
    // An innocent request with a strike waits on a busy upstream. New requests kept starting, the upstream was never
    // idle, and the caller's deadline passed.
    IsolationGate gate(1s);
    base::RequestId suspect("s");
    gate.isolatedRequestQueued(at(0s));
    CHECK_TRUE(gate.mayStart(QuarantineState::Unrestricted, 3, at(0s)));
    CHECK_FALSE(gate.mayStart(QuarantineState::Isolated, 3, at(0s)));
    CHECK_FALSE(gate.mayStart(QuarantineState::Unrestricted, 3, at(1s)));
    CHECK_TRUE(gate.mayStart(QuarantineState::Isolated, 0, at(1s)));
    gate.started(suspect, QuarantineState::Isolated);
    CHECK_FALSE(gate.mayStart(QuarantineState::Unrestricted, 1, at(2s)));
    gate.ended(suspect);
    gate.isolatedRequestQueued(at(2s));
    CHECK_TRUE(gate.mayStart(QuarantineState::Unrestricted, 0, at(2s)));
}

TEST(Quarantine, StrikesEndAndTheRefusalSaysWhen)
{
    Quarantine quarantine({});
    quarantine.onCrash(CrashId("a/1"), { culprit }, at(0s));
    quarantine.onCrash(CrashId("b/1"), { culprit }, at(60s));
    auto refusal = quarantine.refusal(culprit, at(61s));
    CHECK_TRUE(refusal->code == base::RefusalCode::RequestQuarantined);
    CHECK_TRUE(refusal->ran == base::RanState::NotRun);
    CHECK_TRUE(*refusal->retryAt == at(10min));
    CHECK_TRUE(quarantine.state(culprit, at(10min)) == QuarantineState::Isolated);
    CHECK_TRUE(quarantine.state(culprit, at(11min)) == QuarantineState::Unrestricted);
    quarantine.expire(at(11min));
    CHECK_EQUAL(0, quarantine.size());
}

TEST(Quarantine, MergingInAnyOrderAndTwiceGivesTheSame)
{
    CHECK_PROPERTY([] {
        auto strike = rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(-1, 20)), [](const auto& parts) {
            return StrikeMessage { RequestFingerprint(base::concat(std::get<0>(parts))), CrashId(base::concat(std::get<1>(parts))),
                std::chrono::seconds(std::get<2>(parts)) };
        });
        auto strikes = *rc::gen::container<std::vector<StrikeMessage>>(strike);
        auto order = strikes;
        std::shuffle(order.begin(), order.end(), std::mt19937_64(*rc::gen::arbitrary<uint64_t>()));
        Quarantine left({});
        Quarantine right({});
        Quarantine twice({});
        left.merge(strikes, at(0s));
        right.merge(order, at(0s));
        twice.merge(strikes, at(0s));
        twice.merge(order, at(0s));
        RC_ASSERT(left.size() == right.size());
        RC_ASSERT(left.size() == twice.size());
        for (int seconds = 0; seconds < 20; ++seconds)
            for (int index = 0; index < 3; ++index) {
                RequestFingerprint fingerprint(base::concat(index));
                auto when = at(std::chrono::seconds(seconds));
                RC_ASSERT(left.state(fingerprint, when) == right.state(fingerprint, when));
                RC_ASSERT(left.state(fingerprint, when) == twice.state(fingerprint, when));
            }
    });
}

TEST(Quarantine, StrikesPassedInACircleDieOut)
{
    Quarantine left({ .strikeLifetime = 10s });
    Quarantine right({ .strikeLifetime = 10s });
    left.onCrash(CrashId("a/1"), { culprit }, at(0s));
    // Each message takes half a second, in both directions, without end.
    for (int step = 1; step <= 60; ++step) {
        auto now = at(500ms * step);
        auto toRight = left.exportStrikes(now - 500ms);
        auto toLeft = right.exportStrikes(now - 500ms);
        right.merge(toRight, now);
        left.merge(toLeft, now);
        left.expire(now);
        right.expire(now);
    }
    CHECK_EQUAL(0, left.size());
    CHECK_EQUAL(0, right.size());
}

TEST(Quarantine, TheSetIsBoundedAndKeepsWhatIsRefused)
{
    Quarantine quarantine({ .maximumStrikes = 10 });
    quarantine.onCrash(CrashId("a/1"), { culprit }, at(0s));
    quarantine.onCrash(CrashId("a/2"), { culprit }, at(0s));
    for (int index = 0; index < 100; ++index)
        quarantine.onCrash(CrashId(base::concat("b/", index)), { RequestFingerprint(base::concat(index)) }, at(1s));
    CHECK_TRUE(quarantine.size() <= 10);
    CHECK_TRUE(quarantine.state(culprit, at(2s)) == QuarantineState::Refused);
}
