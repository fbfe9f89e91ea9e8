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

// A store whose answers the test gives by hand, on the loop's thread.
class HandStore final : public base::KeyValueStore {
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
        return std::make_unique<base::WatchHandle>();
    }

    ListCallback listing;
    std::shared_ptr<base::WatchListener> listener;
    Revision watchedFrom;
};

base::KeyValue entry(const std::string& key, int64_t modified, const std::string& value = "v") { return { key, value, Revision(modified), Revision(modified) }; }

base::WatchEvent removal(const std::string& key, int64_t revision) { return { { key, "", Revision(), Revision(revision) }, true }; }

class Keys final : public DirectoryListener {
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

// A clock that the test turns while the loop's thread reads it.
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
    HandStore store;
    Keys keys;
    std::unique_ptr<direct::Directory> directory;

    void setup() override
    {
        onLoop([this] {
            DirectorySettings settings;
            settings.lapsingPrefix = "servers/";
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
    void answer(std::vector<base::KeyValue> entries, int64_t revision)
    {
        onLoop([&] { store.listing(base::RangeReply { std::move(entries), Revision(revision) }); });
    }
    void events(std::vector<base::WatchEvent> list, int64_t revision)
    {
        onLoop([&] { store.listener->onEvents(std::move(list), Revision(revision)); });
    }
    // Time passes, and what was due has run.
    void pass(base::Duration time)
    {
        clock->advance(time);
        onLoop([] {});
        onLoop([] {});
    }
};

TEST(Directory, AWatchGoesOnFromTheRevisionThatWasRead)
{
    answer({ entry("a", 3) }, 7);
    LONGS_EQUAL(7, store.watchedFrom.value());
    events({ { entry("b", 8), false }, removal("a", 9) }, 9);
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
}

TEST(Directory, AnAnswerFromBeforeChangesNothing)
{
    answer({ entry("a", 3) }, 7);
    events({ { entry("a", 5), false } }, 7);
    LONGS_EQUAL(1, keys.puts);
}

TEST(Directory, OfSeveralChangesOfOneKeyTheLastCounts)
{
    // On a slow core calls would wait while each of a storm of desired states is read in turn.
    answer({}, 7);
    events({ { entry("a", 8), false }, { entry("a", 9), false }, { entry("a", 10), false } }, 10);
    LONGS_EQUAL(1, keys.puts);
    LONGS_EQUAL(10, directory->entries().at("a").modified.value());
}

TEST(Directory, WhatWentInLostHistoryIsGone)
{
    answer({ entry("a", 3), entry("b", 4) }, 7);
    onLoop([this] { store.listener->onEnd({ base::ErrorKind::Rejected, "history" }); });
    pass(std::chrono::seconds(1));
    answer({ entry("b", 4) }, 12);
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
}

TEST(Directory, EntriesThatLapsedInAnOutageGetAMomentToComeBack)
{
    // All engines would seem gone when the store returns: their entries lapsed while it was away, and each engine writes
    // its own again within two seconds.
    answer({ entry("servers/a", 3), entry("servers/b", 4), entry("other", 5) }, 7);
    pass(std::chrono::seconds(5));
    events({ removal("servers/a", 8), removal("servers/b", 9), removal("other", 10) }, 10);
    CHECK_TRUE(keys.present == std::set<std::string>({ "servers/a", "servers/b" }));
    events({ { entry("servers/a", 11), false } }, 11);
    pass(std::chrono::seconds(3));
    CHECK_TRUE(keys.present == std::set<std::string> { "servers/a" });
}

TEST(Directory, WithoutAnOutageAnEntryThatWentIsGoneAtOnce)
{
    answer({ entry("servers/a", 3) }, 7);
    events({ removal("servers/a", 8) }, 8);
    CHECK_TRUE(keys.present.empty());
}

TEST(Directory, APeersNewerCopyIsTakenAndAnOlderOneIsNot)
{
    // The watch stays as it is: begun anew with each peer's copy, it waited its pause again each time and never asked the
    // store, and every gateway took copies from the others all day.
    answer({ entry("a", 3) }, 7);
    onLoop([this] {
        CHECK_FALSE(directory->adopt({ Revision(), Revision(7), { entry("x", 6) }, {} }));
        CHECK_TRUE(directory->adopt({ Revision(), Revision(9), { entry("b", 9) }, {} }));
    });
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
    LONGS_EQUAL(7, store.watchedFrom.value());
}

TEST(Directory, ACopyOfWhatChangedHasNoMore)
{
    answer({ entry("a", 3), entry("b", 4), entry("c", 5) }, 7);
    events({ { entry("a", 8), false }, removal("b", 9) }, 9);
    DirectoryCopy copy = directory->copySince(Revision(7));
    LONGS_EQUAL(1, copy.entries.size());
    STRCMP_EQUAL("a", copy.entries[0].key.c_str());
    CHECK_TRUE(copy.removed == std::vector<std::string> { "b" });
    // Further back than the removals are known, all is given.
    LONGS_EQUAL(0, directory->copySince(Revision(6)).since.value());
}

TEST(Directory, WhatIsKeptForAMomentIsNotGivenToPeers)
{
    // A gateway would send calls to an engine that had left until its own end: its peer kept the entry for a moment after
    // an outage, gave it a copy without the removal, and its watch went on behind that.
    answer({ entry("servers/a", 3), entry("servers/b", 4) }, 7);
    pass(std::chrono::seconds(5));
    events({ removal("servers/a", 8) }, 9);
    CHECK_TRUE(keys.present.contains("servers/a"));
    CHECK_TRUE(directory->copySince(Revision(7)).removed == std::vector<std::string> { "servers/a" });
    LONGS_EQUAL(1, directory->copySince(Revision()).entries.size());
    pass(std::chrono::seconds(3));
    CHECK_TRUE(directory->copySince(Revision(7)).removed == std::vector<std::string> { "servers/a" });
}

TEST(Directory, WhatPeersGaveIsCheckedOnceTheStoreIsBack)
{
    answer({ entry("a", 3) }, 7);
    onLoop([this] { directory->adopt({ Revision(6), Revision(9), { entry("b", 9) }, {} }); });
    store.listing = nullptr;
    events({}, 9);
    pass(std::chrono::seconds(1));
    CHECK_TRUE(store.listing != nullptr);
    answer({ entry("b", 9) }, 10);
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
}

TEST(Directory, ACopyOfChangesFromAheadIsNotTaken)
{
    answer({ entry("a", 3) }, 7);
    onLoop([this] {
        CHECK_FALSE(directory->adopt({ Revision(8), Revision(9), { entry("b", 9) }, {} }));
        CHECK_TRUE(directory->adopt({ Revision(6), Revision(9), { entry("b", 9) }, { "a" } }));
    });
    CHECK_TRUE(keys.present == std::set<std::string> { "b" });
}

TEST(Directory, ACopyComesBackAsItWasSentAndOtherBytesGiveNothing)
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
