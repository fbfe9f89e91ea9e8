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

const RequestFingerprint crashingRequest("crashing");

// Simulated sidecars, each with an upstream and its own strike set; strikes reach the other sidecars after a delay. Gateways are
// not simulated, since a gateway that has received a strike only refuses earlier than the sidecar would.
class SimulatedFleet {
public:
    SimulatedFleet(int upstreams, base::Duration delay)
        : m_delay(delay)
    {
        for (int index = 0; index < upstreams; ++index)
            m_upstreams.emplace_back();
    }

    // Returns whether the request was started.
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

    // Completes the requests in flight: the upstream crashes if crashingRequest is among them, and answers all otherwise.
    void run(size_t where, base::Instant now)
    {
        auto& upstream = m_upstreams[where];
        std::vector<RequestFingerprint> inFlight;
        bool crashes = false;
        for (const auto& [id, fingerprint] : upstream.inFlight) {
            upstream.gate.ended(id);
            inFlight.push_back(fingerprint);
            crashes = crashes || fingerprint == crashingRequest;
        }
        upstream.inFlight.clear();
        if (!crashes) {
            answered += inFlight.size();
            return;
        }
        ++crashCount;
        auto messages = upstream.quarantine.onCrash(CrashId(base::concat(where, "/", ++upstream.crashes)), inFlight, now);
        if (sharesStrikes)
            m_messages.push_back({ now + m_delay, messages });
    }

    void deliver(base::Instant now)
    {
        for (auto& message : m_messages)
            if (message.arrivesAt <= now)
                for (auto& upstream : m_upstreams)
                    upstream.quarantine.merge(message.strikes, now);
        std::erase_if(m_messages, [&](const auto& message) { return message.arrivesAt <= now; });
    }

    bool sharesStrikes = true;
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
        base::Instant arrivesAt;
        std::vector<StrikeMessage> strikes;
    };
    base::Duration m_delay;
    std::vector<Upstream> m_upstreams;
    std::vector<Message> m_messages;
    int64_t m_lastRequest = 0;
};

// The number of crashes if a caller sends the same body to a random upstream every second, up to 99 times, each time together
// with up to two other requests.
int crashesOfRepeatedSending(bool sharesStrikes, base::Duration delay, int upstreams)
{
    SimulatedFleet fleet(upstreams, delay);
    fleet.sharesStrikes = sharesStrikes;
    auto steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
        auto now = at(std::chrono::seconds(step));
        fleet.deliver(now);
        auto where = static_cast<size_t>(*rc::gen::inRange(0, upstreams));
        auto otherRequests = *rc::gen::inRange(0, 3);
        for (int other = 0; other < otherRequests; ++other)
            fleet.send(where, RequestFingerprint(base::concat("harmless", step, "/", other)), now);
        fleet.send(where, crashingRequest, now);
        fleet.run(where, now);
    }
    return fleet.crashCount;
}

} // namespace

TEST_GROUP(Quarantine) {};

TEST(Quarantine, TheSameBodySentAgainCrashesAtMostTwoUpstreams)
{
    // A prompt crashes the engine, and its client retries it after every failure through another gateway. Without the quarantine
    // all engines of the pool crash one after the other, and the responses of all callers are cut off.
    CHECK_PROPERTY([] { RC_ASSERT(crashesOfRepeatedSending(true, 0s, 5) <= 2); });
}

TEST(Quarantine, WithoutSharedStrikesMoreThanTwoCrashesOccur)
{
    CHECK_FALSE(testing::counterexample({}, [] { RC_ASSERT(crashesOfRepeatedSending(false, 0s, 5) <= 2); }).empty());
}

TEST(Quarantine, EachUpstreamCrashesAtMostTwiceEvenIfNoMessageArrives)
{
    // However late the messages are, a sidecar knows the crashes of its own upstream and refuses the request after the second.
    CHECK_PROPERTY([] {
        auto delay = std::chrono::seconds(*rc::gen::inRange(0, 200));
        RC_ASSERT(crashesOfRepeatedSending(true, delay, 3) <= 2 * 3);
    });
}

TEST(Quarantine, CrashesBeyondTwoAreLimitedByThePropagationDelay)
{
    // Since the requests are sent one after the other, a crash beyond the second needs a sidecar that has not yet received both
    // strikes. With a delay of d steps, at most d requests are sent between the second crash and the arrival of its strike.
    CHECK_PROPERTY([] {
        auto delay = *rc::gen::inRange(0, 4);
        RC_ASSERT(crashesOfRepeatedSending(true, std::chrono::seconds(delay), 20) <= 2 + delay);
    });
}

TEST(Quarantine, AHarmlessRequestWithAStrikeRunsInIsolationAndIsAnswered)
{
    SimulatedFleet fleet(2, 0s);
    RequestFingerprint harmless("harmless");
    CHECK_TRUE(fleet.send(0, harmless, at(0s)));
    CHECK_TRUE(fleet.send(0, crashingRequest, at(0s)));
    fleet.run(0, at(0s));
    fleet.deliver(at(0s));
    CHECK_TRUE(fleet.send(1, harmless, at(1s)));
    CHECK_FALSE(fleet.send(1, crashingRequest, at(1s)));
    fleet.run(1, at(1s));
    CHECK_EQUAL(1, fleet.answered);
    CHECK_TRUE(fleet.send(1, crashingRequest, at(2s)));
    fleet.run(1, at(2s));
    fleet.deliver(at(2s));
    CHECK_EQUAL(2, fleet.crashCount);
    CHECK_TRUE(fleet.send(1, harmless, at(3s)));
    CHECK_FALSE(fleet.send(0, crashingRequest, at(3s)));
}

TEST(Quarantine, AnIsolatedRequestIsNotStarved)
{
    // Guards against starvation of a request with one strike on a busy upstream: new requests kept starting, so the upstream was
    // never idle, and the request missed its deadline.
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

TEST(Quarantine, StrikesExpireAndTheRefusalHasTheRetryTime)
{
    Quarantine quarantine({});
    quarantine.onCrash(CrashId("a/1"), { crashingRequest }, at(0s));
    quarantine.onCrash(CrashId("b/1"), { crashingRequest }, at(60s));
    auto refusal = quarantine.refusal(crashingRequest, at(61s));
    CHECK_TRUE(refusal->code == base::RefusalCode::RequestQuarantined);
    CHECK_TRUE(refusal->ran == base::RanState::NotRun);
    CHECK_TRUE(*refusal->retryAt == at(10min));
    CHECK_TRUE(quarantine.state(crashingRequest, at(10min)) == QuarantineState::Isolated);
    CHECK_TRUE(quarantine.state(crashingRequest, at(11min)) == QuarantineState::Unrestricted);
    quarantine.expire(at(11min));
    CHECK_EQUAL(0, quarantine.size());
}

TEST(Quarantine, MergeIsCommutativeAndIdempotent)
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

TEST(Quarantine, StrikesExchangedInALoopExpire)
{
    Quarantine left({ .strikeLifetime = 10s });
    Quarantine right({ .strikeLifetime = 10s });
    left.onCrash(CrashId("a/1"), { crashingRequest }, at(0s));
    // Both sides keep exporting to each other, with a latency of half a second.
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

TEST(Quarantine, TheStrikeSetIsBoundedAndKeepsRefusedFingerprints)
{
    Quarantine quarantine({ .maximumStrikes = 10 });
    quarantine.onCrash(CrashId("a/1"), { crashingRequest }, at(0s));
    quarantine.onCrash(CrashId("a/2"), { crashingRequest }, at(0s));
    for (int index = 0; index < 100; ++index)
        quarantine.onCrash(CrashId(base::concat("b/", index)), { RequestFingerprint(base::concat(index)) }, at(1s));
    CHECK_TRUE(quarantine.size() <= 10);
    CHECK_TRUE(quarantine.state(crashingRequest, at(2s)) == QuarantineState::Refused);
}
