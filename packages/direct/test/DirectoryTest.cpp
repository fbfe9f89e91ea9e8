#include "toucanstep/direct/Directory.h"
#include "DirectoryCodec.h"
#include "toucanstep/testing/Property.h"
#include "toucanstep/testing/Waiting.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace toucanstep;
using namespace toucanstep::direct;
using base::Revision;

namespace {

// A store whose answers are supplied by the test, on the loop's thread.
class ManualStore final : public base::KeyValueStore {
public:
    using ListCallback = std::function<void(base::Outcome<base::RangeReply>)>;
    void get(std::string, base::Instant, ListCallback) override { }
    void stat(std::string, base::Instant, ListCallback) override { }
    void list(std::string, base::Instant, ListCallback callback) override { listing = std::move(callback); }
    void summarize(std::string, base::Instant, std::function<void(base::Outcome<base::RangeSummary>)>) override { }
    void commit(base::Transaction, base::Instant, std::function<void(base::Outcome<base::TransactionReply>)>) override { }
    void grantLease(base::Duration, base::Instant, std::function<void(base::Outcome<base::LeaseId>)>) override { }
    void keepLeaseAlive(base::LeaseId, base::Instant, std::function<void(base::Outcome<base::LeaseId>)>) override { }
    std::unique_ptr<base::WatchHandle> watch(std::string, Revision from, std::shared_ptr<base::WatchListener> watcher) override
    {
        watchedFrom = from;
        listener = std::move(watcher);
        return std::make_unique<Handle>(*this);
    }
    class Handle final : public base::WatchHandle {
    public:
        explicit Handle(ManualStore& store)
            : m_store(store)
        {
        }
        void onLearned(Revision revision, base::Instant) override { m_store.learnedRevision = revision; }

    private:
        ManualStore& m_store;
    };

    ListCallback listing;
    std::shared_ptr<base::WatchListener> listener;
    Revision watchedFrom;
    Revision learnedRevision;
};

base::KeyValue entry(const std::string& key, int64_t modified, const std::string& value = "v") { return { key, value, Revision(modified), Revision(modified) }; }

base::WatchEvent removalEvent(const std::string& key, int64_t revision) { return { { key, "", Revision(), Revision(revision) }, true }; }

class RecordingListener final : public DirectoryListener {
public:
    void onEntry(const base::KeyValue& put) override
    {
        present.insert(put.key);
        ++puts;
    }
    void onRemoved(const std::string& key) override { present.erase(key); }
    std::set<std::string> present;
    int puts = 0;
};

// A clock that the test advances while the loop's thread reads it.
class SharedClock final : public base::Clock {
public:
    explicit SharedClock(std::shared_ptr<base::ManualClock> clock)
        : m_clock(std::move(clock))
    {
    }
    base::Instant now() const override { return m_clock->now(); }

private:
    std::shared_ptr<base::ManualClock> m_clock;
};

} // namespace

TEST_GROUP(Directory)
{
    std::shared_ptr<base::ManualClock> clock = std::make_shared<base::ManualClock>();
    io::EventLoop loop { std::make_unique<SharedClock>(clock) };
    ManualStore store;
    RecordingListener keys;
    std::unique_ptr<direct::Directory> directory;

    void setup() override
    {
        onLoop([this] {
            DirectorySettings settings;
            settings.leasedPrefix = "servers/";
            directory = std::make_unique<direct::Directory>(loop, store, settings, keys);
            directory->start();
        });
    }
    void teardown() override
    {
        onLoop([this] { directory.reset(); });
    }
    template <typename Task>
    void onLoop(Task task)
    {
        loop.runAndWait(task);
    }
    void answerList(std::vector<base::KeyValue> entries, int64_t revision)
    {
        onLoop([&] { store.listing(base::RangeReply { std::move(entries), Revision(revision) }); });
    }
    void deliverEvents(std::vector<base::WatchEvent> list, int64_t revision)
    {
        onLoop([&] { store.listener->onEvents(std::move(list), Revision(revision)); });
    }
    // Advances the clock and waits until timers that are due have run.
    void advance(base::Duration time)
    {
        clock->advance(time);
        onLoop([] {});
        onLoop([] {});
    }
};

TEST(Directory, WatchStartsAtTheListedRevision)
{
    answerList({ entry("a", 3) }, 7);
    LONGS_EQUAL(7, store.watchedFrom.value());
    deliverEvents({ { entry("b", 8), false }, removalEvent("a", 9) }, 9);
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
}

// Guards against a replica that stays behind: each watch after a slow list was sent more than a list, and was given up.
TEST(Directory, WhileSlowListsShowChangesTheyAreRepeatedInPlaceOfAWatch)
{
    constexpr auto slow = std::chrono::seconds(1);
    answerList({ entry("a", 3) }, 7);
    onLoop([this] { store.listener->onEnd({ base::ErrorKind::TooLarge, "" }); });
    advance(slow);
    answerList({ entry("a", 9) }, 9);
    LONGS_EQUAL(7, store.watchedFrom.value());
    advance(slow);
    advance(slow);
    answerList({ entry("a", 9) }, 12);
    LONGS_EQUAL(12, store.watchedFrom.value());
}

TEST(Directory, StaleEventsAreIgnored)
{
    answerList({ entry("a", 3) }, 7);
    deliverEvents({ { entry("a", 5), false } }, 7);
    LONGS_EQUAL(1, keys.puts);
}

TEST(Directory, OnlyTheLastOfSeveralChangesOfAKeyIsApplied)
{
    // Guards against calls being delayed on a slow core while every desired state of a burst is parsed.
    answerList({}, 7);
    deliverEvents({ { entry("a", 8), false }, { entry("a", 9), false }, { entry("a", 10), false } }, 10);
    LONGS_EQUAL(1, keys.puts);
    LONGS_EQUAL(10, directory->entries().at("a").modified.value());
}

TEST(Directory, KeysRemovedInCompactedHistoryAreRemoved)
{
    answerList({ entry("a", 3), entry("b", 4) }, 7);
    onLoop([this] { store.listener->onEnd({ base::ErrorKind::Rejected, "history" }); });
    advance(std::chrono::seconds(1));
    answerList({ entry("b", 4) }, 12);
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
}

TEST(Directory, EntriesThatExpiredInAnOutageAreKeptForAGracePeriod)
{
    // Guards against all engines being removed when the store returns: their entries expire during the outage, and each
    // engine writes its own again within two seconds.
    answerList({ entry("servers/a", 3), entry("servers/b", 4), entry("other", 5) }, 7);
    advance(std::chrono::seconds(5));
    deliverEvents({ removalEvent("servers/a", 8), removalEvent("servers/b", 9), removalEvent("other", 10) }, 10);
    CHECK_TRUE(keys.present == std::set<std::string>({ "servers/a", "servers/b" }));
    deliverEvents({ { entry("servers/a", 11), false } }, 11);
    advance(std::chrono::seconds(3));
    CHECK_TRUE(keys.present == std::set<std::string> { "servers/a" });
}

TEST(Directory, WithoutAnOutageARemovedEntryIsRemovedAtOnce)
{
    answerList({ entry("servers/a", 3) }, 7);
    deliverEvents({ removalEvent("servers/a", 8) }, 8);
    CHECK_TRUE(keys.present.empty());
}

TEST(Directory, OnlyANewerPeerCopyIsApplied)
{
    // Guards against restarting the watch with each peer copy: the watch would wait its poll delay again each time and never
    // query the store, and the gateways would go on copying from each other instead.
    answerList({ entry("a", 3) }, 7);
    onLoop([this] {
        CHECK_FALSE(directory->applyPeerCopy({ Revision(), Revision(7), { entry("x", 6) }, {} }));
        CHECK_TRUE(directory->applyPeerCopy({ Revision(), Revision(9), { entry("b", 9) }, {} }));
    });
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
    LONGS_EQUAL(7, store.watchedFrom.value());
}

TEST(Directory, ADeltaHoldsOnlyWhatChanged)
{
    answerList({ entry("a", 3), entry("b", 4), entry("c", 5) }, 7);
    deliverEvents({ { entry("a", 8), false }, removalEvent("b", 9) }, 9);
    DirectoryCopy copy = directory->copySince(Revision(7));
    LONGS_EQUAL(1, copy.entries.size());
    STRCMP_EQUAL("a", copy.entries[0].key.c_str());
    CHECK_TRUE(copy.removed == std::vector<std::string> { "b" });
    // Before the start of the removal log, the copy is a full snapshot.
    LONGS_EQUAL(0, directory->copySince(Revision(6)).since.value());
}

TEST(Directory, EntriesInTheirGracePeriodAreNotCopiedToPeers)
{
    // Guards against a gateway that never removes an engine that has left: its peer kept the entry for the grace period and
    // sent a copy without the removal, and the gateway's watch continued after the revision of the removal.
    answerList({ entry("servers/a", 3), entry("servers/b", 4) }, 7);
    advance(std::chrono::seconds(5));
    deliverEvents({ removalEvent("servers/a", 8) }, 9);
    CHECK_TRUE(keys.present.contains("servers/a"));
    CHECK_TRUE(directory->copySince(Revision(7)).removed == std::vector<std::string> { "servers/a" });
    LONGS_EQUAL(1, directory->copySince(Revision()).entries.size());
    advance(std::chrono::seconds(3));
    CHECK_TRUE(directory->copySince(Revision(7)).removed == std::vector<std::string> { "servers/a" });
}

TEST(Directory, PeerCopiesAreVerifiedOnceTheStoreIsReachable)
{
    answerList({ entry("a", 3) }, 7);
    onLoop([this] { directory->applyPeerCopy({ Revision(6), Revision(9), { entry("b", 9) }, {} }); });
    store.listing = nullptr;
    deliverEvents({}, 9);
    advance(std::chrono::seconds(1));
    CHECK_TRUE(store.listing != nullptr);
    answerList({ entry("b", 9) }, 10);
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
}

TEST(Directory, ADeltaFromALaterRevisionIsRejected)
{
    answerList({ entry("a", 3) }, 7);
    onLoop([this] {
        CHECK_FALSE(directory->applyPeerCopy({ Revision(8), Revision(9), { entry("b", 9) }, {} }));
        CHECK_TRUE(directory->applyPeerCopy({ Revision(6), Revision(9), { entry("b", 9) }, { "a" } }));
    });
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
}

// Guards against a call to the store by each gateway for what one of them has just been told.
TEST(Directory, APeersConfirmationWithoutChangesPutsOffTheNextCall)
{
    answerList({ entry("a", 3) }, 7);
    onLoop([this] {
        CHECK_TRUE(directory->confirm({ Revision(20), Revision(7), loop.now() }));
        LONGS_EQUAL(20, directory->revision().value());
        LONGS_EQUAL(20, store.learnedRevision.value());
        // Nothing is known of changes between 20 and 25.
        CHECK_FALSE(directory->confirm({ Revision(30), Revision(25), loop.now() }));
        LONGS_EQUAL(20, directory->revision().value());
        // An older confirmation says nothing.
        CHECK_TRUE(directory->confirm({ Revision(12), Revision(12), loop.now() }));
        LONGS_EQUAL(20, directory->revision().value());
    });
}

TEST(Directory, OnlyAnswersOfTheStoreAreConfirmedToPeers)
{
    // Guards against gateways that confirm each other's confirmations and never ask the store.
    answerList({ entry("a", 3) }, 6);
    CHECK_FALSE(directory->confirmation().has_value());
    deliverEvents({}, 7);
    base::Instant asOf = directory->confirmation()->asOf;
    advance(std::chrono::seconds(1));
    onLoop([this] { directory->confirm({ Revision(20), Revision(7), loop.now() }); });
    CHECK_TRUE(directory->confirmation()->asOf == asOf);
    LONGS_EQUAL(7, directory->confirmation()->revision.value());
}

// Guards against an engine that a gateway goes on using after it has left: a peer that has never seen the engine, as it came and
// went between two of the peer's answers, has to tell of its removal.
TEST(Directory, ADeltaNamesRemovedKeysThatTheReplicaHasNotSeen)
{
    answerList({ entry("a", 3) }, 7);
    deliverEvents({ { entry("b", 8), false }, removalEvent("b", 9) }, 9);
    CHECK_TRUE(directory->copySince(Revision(8)).removed == std::vector<std::string> { "b" });
    CHECK_TRUE(directory->confirmation()->lastChange.value() >= 9);
}

// The same for a key that came and went between two lists.
TEST(Directory, AfterANewListEarlierChangesAreNotAllKnown)
{
    answerList({ entry("a", 3) }, 7);
    onLoop([this] { store.listener->onEnd({ base::ErrorKind::Rejected, "history" }); });
    advance(std::chrono::seconds(1));
    answerList({ entry("a", 3) }, 12);
    CHECK_FALSE(directory->knowsAllChangesSince(Revision(9)));
    CHECK_TRUE(directory->knowsAllChangesSince(Revision(12)));
    deliverEvents({}, 14);
    CHECK_TRUE(directory->confirmation()->lastChange.value() >= 12);
}

TEST(Directory, CopiesRoundTripAndMalformedInputIsRejected)
{
    auto copy = decodeCopy(encodeCopy({ Revision(3), Revision(9), { entry("a", 8, std::string("\x00\xff", 2)) }, { "b" } }));
    CHECK_TRUE(copy.has_value());
    LONGS_EQUAL(3, copy->since.value());
    LONGS_EQUAL(9, copy->revision.value());
    LONGS_EQUAL(2, copy->entries.at(0).value.size());
    CHECK_TRUE(copy->removed == std::vector<std::string> { "b" });
    CHECK_FALSE(decodeCopy("").has_value());
    CHECK_FALSE(decodeCopy("\x94\x01\x02\x90\x01").has_value());
    CHECK_PROPERTY([](const std::string& bytes) { decodeCopy(bytes); });
}
