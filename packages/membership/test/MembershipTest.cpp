#include "MembershipFleet.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep::base;
using namespace toucanstep::membership;
using toucanstep::testing::PropertyOptions;

namespace {

const Instant start { std::chrono::hours(1) };

Entry entryOf(const std::string& instance, int64_t startNonce, int64_t counter, MemberState state = MemberState::Ready)
{
    Entry entry { .instance = InstanceId(instance), .address = "10.0.0.1:7400", .state = state };
    entry.version = { StartNonce(startNonce), counter };
    return entry;
}

Membership nodeWithout(const std::string& instance)
{
    return Membership({}, entryOf(instance, 1, 1), {}, start);
}

void hear(Membership& node, const Entry& entry)
{
    node.onMessage(Delta { InstanceId("other"), { entry } }, start);
}

auto entryGenerator()
{
    return rc::gen::exec([] {
        auto state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
        return entryOf("x", *rc::gen::inRange(1, 4), *rc::gen::inRange(1, 6), state);
    });
}

// What may happen to a fleet between two ticks.
void disturb(MembershipFleet& fleet, int kind, int target)
{
    int index = 3 + target % (fleet.size() - 3);
    switch (kind) {
    case 0:
        fleet.stop(index);
        break;
    case 1:
        fleet.start(index);
        break;
    case 2:
        if (fleet.isUp(index))
            fleet.node(index).setState(MemberState::Leaving, fleet.now());
        break;
    case 3:
        fleet.setCut(index);
        break;
    case 4:
        fleet.setCut(0);
        break;
    case 5:
        if (fleet.isUp(index)) {
            Hints hints = fleet.node(index).self().hints;
            hints.strikes.push_back(concat("strike-", target));
            fleet.node(index).setHints(hints);
        }
        break;
    default:
        fleet.run(1 + target % 20);
        break;
    }
}

} // namespace

TEST_GROUP(Membership) {};

TEST(Membership, AllLiveNodesConvergeOnceMessagesArrive)
{
    PropertyOptions options { .seed = 21, .maxSuccess = 40, .maxSize = 30 };
    CHECK_PROPERTY_WITH(options, [] {
        MembershipFleet fleet(*rc::gen::inRange<uint64_t>(1, 1000));
        for (int index = 0; index < 12; ++index)
            fleet.addNode(index < 7 ? Role::Gateway : Role::Sidecar);
        fleet.setFaults(*rc::gen::inRange(0, 30), *rc::gen::inRange(0, 30));
        auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 1000)));
        for (auto [kind, target] : events)
            disturb(fleet, kind, target);
        fleet.setFaults(0, 0);
        fleet.setCut(0);
        int ticks = 0;
        while (ticks < 400 && !fleet.converged()) {
            fleet.tick();
            ++ticks;
        }
        RC_ASSERT(fleet.converged());
    });
}

// A gateway gets SIGTERM while a fifth of the messages are lost. Whoever has not heard that it leaves sends it requests
// that it must refuse; so the state has to reach all, not only those whom it told itself.
TEST(Membership, LeavingReachesAllThoughMessagesAreLost)
{
    MembershipFleet fleet(5);
    for (int index = 0; index < 30; ++index)
        fleet.addNode(index < 12 ? Role::Gateway : Role::Sidecar);
    fleet.introduceAll();
    fleet.run(5);
    fleet.setFaults(20, 0);
    fleet.node(7).setState(MemberState::Leaving, fleet.now());
    auto someoneBelievesItReady = [&fleet] {
        for (int reader = 0; reader < fleet.size(); ++reader) {
            if (fleet.node(reader).find(MembershipFleet::instanceId(7))->state < MemberState::Leaving)
                return true;
        }
        return false;
    };
    int ticks = 0;
    for (; ticks < 100 && someoneBelievesItReady(); ++ticks)
        fleet.tick();
    CHECK_COMPARE(ticks, <, 100);
    // Nor does anybody take it for ready again later.
    fleet.run(50);
    CHECK_FALSE(someoneBelievesItReady());
}

TEST(Membership, AnOlderEntryNeverReplacesANewerOne)
{
    CHECK_PROPERTY([] {
        Membership node = nodeWithout("reader");
        std::optional<Entry> best;
        for (const Entry& entry : *rc::gen::container<std::vector<Entry>>(entryGenerator())) {
            hear(node, entry);
            bool isNews = best ? std::tie(entry.version, entry.state) > std::tie(best->version, best->state) : entry.state != MemberState::Gone;
            if (isNews)
                best = entry;
            const Entry* known = node.find(InstanceId("x"));
            RC_ASSERT((known != nullptr) == best.has_value());
            if (best)
                RC_ASSERT(*known == *best);
        }
    });
}

// A process dies and is found gone. A message from before, held up somewhere, arrives at a node that had heard so; if it
// brought the member back, requests would go to a dead address until it was found gone again.
TEST(Membership, ALateMessageDoesNotBringAGoneMemberBack)
{
    Membership node = nodeWithout("reader");
    hear(node, entryOf("x", 1, 4, MemberState::Ready));
    hear(node, entryOf("x", 1, 4, MemberState::Gone));
    hear(node, entryOf("x", 1, 4, MemberState::Ready));
    LONGS_EQUAL(1, node.members().size());
    hear(node, entryOf("x", 2, 1, MemberState::Ready));
    LONGS_EQUAL(2, node.members().size());
}

TEST(Membership, TombstonesAreForgottenInTheEnd)
{
    Membership node = nodeWithout("reader");
    hear(node, entryOf("x", 1, 4, MemberState::Ready));
    hear(node, entryOf("x", 1, 4, MemberState::Gone));
    RandomGenerator random(1);
    node.tick(start + std::chrono::minutes(9), random);
    CHECK_TRUE(node.find(InstanceId("x")) != nullptr);
    node.tick(start + std::chrono::minutes(10), random);
    CHECK_TRUE(node.find(InstanceId("x")) == nullptr);
}

// A live process was paused for long enough to be declared gone. When it goes on it learns so and says that it lives;
// without that it would stay without requests although it is well.
TEST(Membership, AMemberDeclaredGoneByMistakeComesBack)
{
    Membership node = nodeWithout("x");
    hear(node, entryOf("x", 1, 1, MemberState::Gone));
    LONGS_EQUAL(2, node.self().version.counter);
    CHECK_TRUE(node.self().state == MemberState::Ready);
}

// A node loses its network, hears nobody and comes back after a while. If it had declared everybody gone, its word would
// spread and all members would have to contradict it at once.
TEST(Membership, ANodeThatIsCutOffDeclaresFewGone)
{
    MembershipFleet fleet(9);
    for (int index = 0; index < 40; ++index)
        fleet.addNode(Role::Gateway);
    fleet.introduceAll();
    fleet.run(20);
    fleet.setCut(39);
    fleet.run(300);
    CHECK_COMPARE(fleet.node(39).members().size(), >=, 34);
    LONGS_EQUAL(39, fleet.node(0).members().size());
}

TEST(Membership, TellsWhomItHeardAndWhen)
{
    Membership node = nodeWithout("reader");
    hear(node, entryOf("x", 1, 1));
    CHECK_TRUE(node.heardWithin(InstanceId("other"), std::chrono::seconds(2), start + std::chrono::seconds(2)));
    CHECK_FALSE(node.heardWithin(InstanceId("other"), std::chrono::seconds(2), start + std::chrono::seconds(3)));
    // What others say about a member is not a sign of life of that member.
    CHECK_FALSE(node.heardWithin(InstanceId("x"), std::chrono::hours(1), start));
}

TEST(Membership, KeepsItsByteBudgetInEveryTick)
{
    MembershipOptions options { .bytesPerTick = 1500 };
    MembershipFleet fleet(3, options);
    for (int index = 0; index < 100; ++index)
        fleet.addNode(Role::Gateway);
    fleet.introduceAll();
    for (int round = 0; round < 30; ++round) {
        fleet.clearTraffic();
        for (int index = 10; index < 60; ++index)
            fleet.node(index).setState(MemberState::Leaving, fleet.now());
        fleet.tick();
        for (int index = 0; index < fleet.size(); ++index) {
            // Signs of life of some 30 bytes each go out above the budget.
            CHECK_COMPARE(fleet.traffic(index).sent, <=, options.bytesPerTick + 30 * fleet.traffic(index).messages);
        }
    }
}

// A new configuration is in force everywhere within a second, and all nodes want to say so. If they all did at once, their
// messages would crowd out what is urgent, such as that a gateway leaves.
TEST(Membership, HintsThatAllNodesChangeAtOnceAreToldOneAfterTheOther)
{
    MembershipFleet fleet(6);
    for (int index = 0; index < 100; ++index)
        fleet.addNode(Role::Gateway);
    fleet.introduceAll();
    fleet.run(30);
    for (int index = 0; index < fleet.size(); ++index) {
        Hints hints = fleet.node(index).self().hints;
        hints.configuration = Revision(999'999);
        fleet.node(index).setHints(hints);
    }
    auto told = [&fleet] {
        int count = 0;
        for (int index = 0; index < fleet.size(); ++index)
            count += fleet.node(index).self().hints.configuration == Revision(999'999) ? 1 : 0;
        return count;
    };
    fleet.run(5);
    CHECK_COMPARE(told(), <, 50);
    fleet.run(20);
    LONGS_EQUAL(100, told());
}

// At full size the buckets that differ are together larger than a tick's budget, most of which fresh changes take. A node
// that had fallen behind got nothing but signs of life, and learnt that a gateway leaves only after a minute.
TEST(Membership, ANodeThatIsFarBehindGetsSomethingFromEveryDigest)
{
    Membership node = nodeWithout("reader");
    for (int index = 0; index < 1500; ++index) {
        Entry entry = entryOf(concat("member-", index), 1, 1);
        entry.address = concat("10.0.1.", index, ":7400");
        entry.role = index < 350 ? Role::Gateway : Role::Sidecar;
        hear(node, entry);
    }
    RandomGenerator random(1);
    node.tick(start + std::chrono::seconds(1), random);
    Digest nothing { InstanceId("member-7"), Revision(1), std::vector<uint32_t>(digestBuckets, 0) };
    auto answers = node.onMessage(nothing, start + std::chrono::seconds(1));
    LONGS_EQUAL(1, answers.size());
    const auto& versions = std::get<Versions>(answers.at(0).message);
    CHECK_COMPARE(versions.buckets.size(), >, 0);
    CHECK_COMPARE(versions.items.size(), >, 0);
}

TEST_GROUP(MembershipEncoding) {};

TEST(MembershipEncoding, MessagesReadBackAsTheyWere)
{
    Entry entry = entryOf("x", 1'700'000'000'000'000'000, 3, MemberState::Leaving);
    entry.hints = { Revision(7), { { ClientAccountId("farm"), 1, Tokens(500) } }, { "abc" } };
    Error error;
    auto delta = valueOr(error, [&] { return decodeMessage(encodeMessage(Delta { InstanceId("a"), { entry } })); });
    CHECK_TRUE(delta.has_value());
    CHECK_TRUE(std::get<Delta>(*delta).entries.at(0) == entry);
    Versions versions { InstanceId("a"), { 1, 63 }, { { 1, 2 }, { 0xffffffff, 4 } }, { { 5, 6 } } };
    auto read = valueOr(error, [&] { return decodeMessage(encodeMessage(versions)); });
    CHECK_TRUE(std::get<Versions>(*read).items == versions.items);
    CHECK_TRUE(std::get<Versions>(*read).wanted == versions.wanted);
}

TEST(MembershipEncoding, DigestsHaveOneSizeWhateverTheyHold)
{
    Digest empty { InstanceId("a"), Revision(1), std::vector<uint32_t>(digestBuckets, 0) };
    Digest full { InstanceId("a"), Revision(1), std::vector<uint32_t>(digestBuckets, 0xffffffff) };
    LONGS_EQUAL(encodeMessage(empty).size(), encodeMessage(full).size());
}

// Another process on the network sends rubbish to a node's port, or a connection mixes up its bytes. The node must drop it
// and live on, whatever it says about lengths and however deep it nests.
TEST(MembershipEncoding, RubbishIsRefusedAndNeverCrashes)
{
    auto isRefused = [](const std::string& bytes) {
        Error error;
        bool read = valueOr(error, [&] { return decodeMessage(bytes); }).has_value();
        return !read && error.kind == ErrorKind::Malformed;
    };
    CHECK_TRUE(isRefused(std::string(60'000, '\x91')));
    CHECK_TRUE(isRefused(std::string("\xdd\xff\xff\xff\xff", 5)));
    CHECK_TRUE(isRefused(std::string(100'000, '\0')));
    CHECK_TRUE(isRefused(""));
    CHECK_TRUE(isRefused(encodeMessage(Delta { InstanceId("a"), { entryOf("x", 1, INT64_MAX) } })));
    std::string good = encodeMessage(Delta { InstanceId("a"), { entryOf("x", 1, 1) } });
    CHECK_PROPERTY_WITH((PropertyOptions { .maxSuccess = 2000 }), [&good] {
        std::string bytes = good;
        for (int change = *rc::gen::inRange(1, 4); change > 0; --change)
            bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        Error error;
        auto message = valueOr(error, [&] { return decodeMessage(bytes); });
        if (message)
            RC_ASSERT(encodeMessage(*message).size() <= maximumMessageBytes);
    });
}
