#include "toucanstep/scheduling/CallerMemory.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>

using namespace toucanstep;
using namespace toucanstep::scheduling;
using base::Bytes;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto step = std::chrono::milliseconds(100);
constexpr int64_t kib = 1024;
constexpr int64_t mib = 1024 * kib;

// Calls whose upstreams send as fast as they are read, in reads of 32 KiB, and whose callers take bytes at their own rates.
class Load {
public:
    struct Call {
        MemoryHolder holder;
        int64_t takesPerStep = 0;
        int64_t left = 16 * mib;
        int64_t held = 0;
        bool paused = false;
        bool ended = false;
        base::Instant lastRead = start;
        base::Duration longestUnread {};
    };
    explicit Load(CallerMemorySettings settings)
        : memory(settings)
    {
    }
    void add(const char* account, int64_t takesPerStep) { calls.push_back({ memory.add(base::ClientAccountId(account), now), takesPerStep }); }
    void advance(int steps)
    {
        for (int count = 0; count < steps; ++count, now += step) {
            apply(memory.tick(now));
            for (Call& call : calls) {
                for (int read = 0; read < 4 && !call.paused && !call.ended && call.left; ++read)
                    readOnce(call);
                int64_t taken = std::min(call.held, call.takesPerStep);
                call.held -= taken;
                if (taken && !call.ended)
                    apply(memory.onTaken(call.holder, { Bytes(), Bytes(call.held) }, now));
                if (!call.ended && call.left)
                    call.longestUnread = std::max(call.longestUnread, now - call.lastRead);
            }
            peak = std::max(peak, memory.held().value());
        }
    }
    int64_t ended() const
    {
        return std::count_if(calls.begin(), calls.end(), [](const Call& call) { return call.ended; });
    }

    CallerMemory memory;
    std::vector<Call> calls;
    base::Instant now = start;
    int64_t peak = 0;

private:
    void readOnce(Call& call)
    {
        int64_t size = std::min(32 * kib, call.left);
        call.left -= size;
        call.held += size;
        call.lastRead = now;
        apply(memory.onBuffered(call.holder, { Bytes(), Bytes(call.held) }, now));
    }
    void apply(const MemoryDecisions& decisions)
    {
        for (const auto& decision : decisions) {
            Call& call = *std::find_if(calls.begin(), calls.end(), [&](const Call& each) { return each.holder == decision.holder; });
            if (decision.action == MemoryAction::End)
                call.ended = true;
            else if (decision.action == MemoryAction::ReadPiece)
                readOnce(call);
            else
                call.paused = decision.action == MemoryAction::Pause;
        }
    }
};

} // namespace

TEST_GROUP(CallerMemory) {};

// Guards against the gateway's memory growing with callers that read nothing: 16 of them held 256 MB, which is what the simplest policy,
// to read all that comes, still gives.
TEST(CallerMemory, ReadingAllThatComesHoldsWhatCallersLeave)
{
    Load load { CallerMemorySettings { .perCall = Bytes(mib * mib), .perAccount = Bytes(mib * mib), .total = Bytes(mib * mib) } };
    for (int count = 0; count < 16; ++count)
        load.add("a", 0);
    load.advance(200);
    LONGS_EQUAL(256 * mib, load.peak);
}

// Guards against the same growth with the decision, and against a caller that reads being paused for good or ended because of the others.
TEST(CallerMemory, CallersThatReadNothingStayWithinTheBoundBesideOneThatReads)
{
    Load load { CallerMemorySettings {} };
    for (int count = 0; count < 256; ++count)
        load.add(count % 2 ? "a" : "b", 0);
    load.advance(20);
    load.add("c", 128 * kib);
    load.advance(300);
    CHECK_TRUE(load.peak <= 64 * mib + 32 * kib);
    CHECK_TRUE(load.calls.back().left == 0 && !load.calls.back().ended);
}

// Guards against answers that upstreams cut off because the gateway leaves them unread for seconds.
TEST(CallerMemory, APausedCallIsReadInPiecesUntilItsBound)
{
    Load load { CallerMemorySettings {} };
    load.add("a", 0);
    load.advance(60);
    CHECK_TRUE(load.calls[0].longestUnread < std::chrono::seconds(1));
    load.advance(600);
    CHECK_TRUE(load.peak <= mib && load.calls[0].left > 0);
    LONGS_EQUAL(0, load.ended());
}

// Guards against ending the calls of callers that read, where one that holds as much has read nothing for longer.
TEST(CallerMemory, TheCallWithTheLargestProductOfBytesAndUnreadTimeEndsFirst)
{
    CallerMemory memory(CallerMemorySettings { .perAccount = Bytes(10 * mib), .total = Bytes(10 * mib) });
    auto stalled = memory.add(base::ClientAccountId("a"), start);
    auto reading = memory.add(base::ClientAccountId("b"), start);
    memory.onBuffered(stalled, { Bytes(), Bytes(3 * mib) }, start);
    memory.onTaken(reading, { Bytes(), Bytes(6 * mib) }, start + std::chrono::seconds(8));
    auto decisions = memory.onBuffered(memory.add({}, start + std::chrono::seconds(8)), { Bytes(2 * mib), Bytes() }, start + std::chrono::seconds(9));
    LONGS_EQUAL(1, decisions.size());
    CHECK_TRUE(decisions[0].action == MemoryAction::End && decisions[0].holder == stalled);
    LONGS_EQUAL(8 * mib, memory.held().value());
}

// Guards against one account's slow callers ending the calls of others.
TEST(CallerMemory, AnAccountAtItsBoundEndsOnlyItsOwnCalls)
{
    Load load { CallerMemorySettings { .perAccount = Bytes(4 * mib) } };
    load.add("b", 0);
    for (int count = 0; count < 64; ++count)
        load.add("a", 0);
    load.advance(300);
    CHECK_TRUE(load.memory.heldBy(base::ClientAccountId("a")) <= Bytes(4 * mib));
    CHECK_TRUE(load.ended() > 0 && !load.calls[0].ended);
}

// Guards against bytes that are counted after their call has gone, and against a caller that reads but is never served.
TEST(CallerMemory, AnyMixOfReadersStaysWithinTheBoundsAndEveryReaderGetsOn)
{
    CHECK_PROPERTY([](uint32_t seed) {
        std::mt19937 random(seed);
        Load load { CallerMemorySettings { .perAccount = Bytes(8 * mib), .total = Bytes(16 * mib) } };
        for (size_t count = 1 + random() % 60; count; --count)
            load.add(random() % 2 ? "a" : "b", random() % 3 ? 0 : static_cast<int64_t>(kib * (16 + random() % 200)));
        load.advance(200);
        RC_ASSERT(load.peak <= 16 * mib);
        for (auto& call : load.calls) {
            RC_ASSERT(call.ended || !call.takesPerStep || call.left <= 16 * mib - std::min(16 * mib, 100 * std::min(call.takesPerStep, 32 * kib)));
            load.memory.remove(call.holder);
        }
        RC_ASSERT(!load.memory.held().value() && !load.memory.heldBy(base::ClientAccountId("a")).value());
    });
}
