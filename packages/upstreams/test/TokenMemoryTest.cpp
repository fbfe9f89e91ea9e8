#include "toucanstep/upstreams/TokenMemory.h"

#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::upstreams;
using base::Tokens;
using toucanstep::upstreams::testing::FleetModel;

namespace {

const base::UpstreamId engine("engine");
constexpr int64_t capacity = 1000;
// The settling time of the model leaves this much for calls.
constexpr auto longestCall = std::chrono::milliseconds(500);

struct TokenUser {
    TokenUser(const FleetShare& share, size_t number, int64_t start)
        : id("edge-" + std::to_string(number))
        , memory(TokenMemorySettings {}, share, id, start)
    {
        memory.setCapacity(engine, Tokens(capacity));
    }
    base::InstanceId id;
    TokenMemory memory;
    std::vector<std::pair<base::Instant, Tokens>> calls;
    std::vector<std::pair<base::InstanceId, TokenReport>> inbox;
    // Sends and hears no reports.
    bool isolated = false;
};

class Fleet : public FleetModel<TokenUser> {
public:
    // Calls of this many tokens at most, with this probability at each step of each gateway; nothing of the lost reports.
    struct Load {
        int64_t tokens = 100;
        double probability = 0.3;
        double lost = 0;
    };
    explicit Fleet(size_t size, uint32_t seed = 1)
        : FleetModel(0, [this](const FleetShare& share, size_t number) {
            auto made = std::make_unique<TokenUser>(share, number, ++m_starts);
            m_states[number] = made.get();
            return made;
        })
        , m_random(seed)
    {
        // Their states are entered in a member.
        for (size_t number = 0; number < size; ++number)
            start(number);
    }
    TokenUser& gateway(size_t number) { return *m_states.at(number); }
    void advance(int steps, const Load& load)
    {
        FleetModel::advance(steps, [&](TokenUser& gateway, base::Instant now) {
            std::erase_if(gateway.calls, [&](const auto& call) {
                if (call.first <= now)
                    gateway.memory.onEnded(engine, call.second);
                return call.first <= now;
            });
            for (auto& [from, report] : std::exchange(gateway.inbox, {}))
                gateway.memory.onReport(from, report, now);
            if (chance() < load.probability)
                add(gateway, 1 + static_cast<int64_t>(m_random() % static_cast<uint64_t>(load.tokens)), now);
            // Every 100 ms on average, at times of its own.
            if (chance() < 0.5)
                send(gateway, load.lost, now);
            std::erase_if(m_running, [&](const auto& call) { return call.first <= now; });
            int64_t sum = 0;
            for (const auto& [until, tokens] : m_running)
                sum += tokens;
            peak = std::max(peak, sum);
        });
    }
    bool add(TokenUser& gateway, int64_t tokens, base::Instant now)
    {
        if (!gateway.memory.mayAdd(engine, Tokens(tokens), now))
            return false;
        gateway.memory.onAdded(engine, Tokens(tokens));
        gateway.calls.emplace_back(now + longestCall, tokens);
        // The calls of a process that ends are counted as if the engine went on with them.
        m_running.emplace_back(now + longestCall, tokens);
        return true;
    }
    // How long a call of the first gateway waits while nothing else comes.
    base::Duration waitFor(int64_t tokens)
    {
        base::Instant from = now();
        while (!add(gateway(0), tokens, now()) && now() - from < std::chrono::seconds(5))
            advance(1, { 1, 0, 0 });
        return now() - from;
    }
    int64_t peak = 0;

private:
    double chance() { return std::uniform_real_distribution<>()(m_random); }
    void send(TokenUser& from, double lost, base::Instant now)
    {
        TokenReport report = from.memory.report(now);
        for (auto& [number, to] : m_states) {
            if (to != &from && !from.isolated && !to->isolated && chance() >= lost)
                to->inbox.emplace_back(from.id, report);
        }
    }

    int64_t m_starts = 0;
    std::map<size_t, TokenUser*> m_states;
    std::vector<std::pair<base::Instant, int64_t>> m_running;
    std::mt19937 m_random;
};

constexpr int steps(base::Duration time) { return static_cast<int>(time / Fleet::step); }
constexpr auto settled = std::chrono::seconds(20);

} // namespace

TEST_GROUP(TokenMemory) {};

// Guards against an engine that is given more than it holds and ends: by gateways that are killed, restarted, suspended or cut off from the
// store or from each other, by lost reports, and by lists that change.
TEST(TokenMemory, NoEngineIsEverGivenMoreThanItHolds)
{
    // 226 fleets were needed to find a loan that was not counted between two reports.
    constexpr toucanstep::testing::PropertyOptions options { .maxSuccess = 1000 };
    CHECK_PROPERTY_WITH(options, [](uint32_t seed) {
        Fleet fleet(*rc::gen::inRange<size_t>(1, 6), seed);
        Fleet::Load load { *rc::gen::element<int64_t>(50, 300, capacity), 0.5, *rc::gen::element(0.0, 0.3) };
        fleet.advance(steps(settled), load);
        for (int round = 0; round < 12; ++round) {
            if (*rc::gen::inRange(0, 3))
                fleet.disturb();
            else
                fleet.gateway(*rc::gen::inRange<size_t>(0, fleet.size())).isolated ^= true;
            fleet.advance(*rc::gen::inRange(1, steps(std::chrono::seconds(6))), load);
        }
        RC_ASSERT(fleet.peak <= capacity);
        RC_ASSERT(fleet.peak > 0);
    });
}

// Guards against calls that wait although the engine has room, since it is in the parts of gateways that do not use it.
TEST(TokenMemory, AGatewayUsesWhatItsPeersDoNot)
{
    Fleet fleet(8);
    fleet.advance(steps(settled), { 1, 0, 0 });
    CHECK_TRUE(fleet.waitFor(100) == base::Duration::zero());
    CHECK_TRUE(fleet.waitFor(300) <= std::chrono::milliseconds(400));
    CHECK_TRUE(fleet.waitFor(capacity) <= std::chrono::milliseconds(1600));
    CHECK_FALSE(fleet.gateway(0).memory.fits(engine, Tokens(capacity + 1)));
}

// Guards against a gateway that hears nobody and takes more than its part, or none.
TEST(TokenMemory, AGatewayThatHearsNobodyUsesItsPartAlone)
{
    Fleet fleet(4);
    fleet.advance(steps(settled), { 1, 0, 0 });
    fleet.gateway(0).isolated = true;
    fleet.advance(steps(std::chrono::seconds(1)), { 1, 0, 0 });
    CHECK_TRUE(fleet.waitFor(capacity / 4) == base::Duration::zero());
    CHECK_TRUE(fleet.waitFor(capacity / 4 + 1) >= std::chrono::seconds(5));
}
