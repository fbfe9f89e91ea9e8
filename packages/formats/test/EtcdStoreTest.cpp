#include "toucanstep/formats/EtcdStore.h"
#include "toucanstep/fakes/FakeKeyValueService.h"
#include "toucanstep/formats/Base64.h"
#include "toucanstep/testing/Property.h"
#include "toucanstep/testing/Waiting.h"

#include <thread>

using namespace toucanstep;
using namespace toucanstep::base;
using namespace toucanstep::formats;
using namespace toucanstep::testing;

namespace {

class RecordingWatch final : public WatchListener {
public:
    void onEvents(std::vector<WatchEvent> batch, Revision) override
    {
        for (auto& event : batch)
            events.put(std::move(event));
    }
    void onEnd(Error error) override { ends.put(std::move(error)); }

    Mailbox<WatchEvent> events;
    Mailbox<Error> ends;
};

ErrorKind kindOf(const auto& outcome) { return std::get<Error>(outcome).kind; }

Transaction create(const std::string& key, const std::string& value)
{
    return { .comparisons = { { key, Revision(0) } }, .operations = { PutOperation { key, value } } };
}

} // namespace

TEST_GROUP(EtcdStore)
{
    fakes::FakeKeyValueService service;
    std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>();
    std::unique_ptr<KeyValueStore> store = makeEtcdStore(service.url(), client);

    Outcome<RangeReply> list(const std::string& prefix)
    {
        Mailbox<Outcome<RangeReply>> replies;
        store->list(prefix, soon(), [&](auto reply) { replies.put(std::move(reply)); });
        return *replies.take();
    }

    Outcome<RangeReply> get(const std::string& key)
    {
        Mailbox<Outcome<RangeReply>> replies;
        store->get(key, soon(), [&](auto reply) { replies.put(std::move(reply)); });
        return *replies.take();
    }

    Outcome<TransactionReply> commit(Transaction transaction, Instant deadline = soon())
    {
        Mailbox<Outcome<TransactionReply>> replies;
        store->commit(std::move(transaction), deadline, [&](auto reply) { replies.put(std::move(reply)); });
        return *replies.take();
    }

    Outcome<LeaseId> grant(Duration timeToLive)
    {
        Mailbox<Outcome<LeaseId>> replies;
        store->grantLease(timeToLive, soon(), [&](auto reply) { replies.put(std::move(reply)); });
        return *replies.take();
    }

    Outcome<LeaseId> keepAlive(LeaseId lease)
    {
        Mailbox<Outcome<LeaseId>> replies;
        store->keepLeaseAlive(lease, soon(), [&](auto reply) { replies.put(std::move(reply)); });
        return *replies.take();
    }

    void teardown() override
    {
        store.reset();
        client.reset();
    }
};

TEST(EtcdStore, Base64ReadsBackWhatItWrote)
{
    CHECK_PROPERTY([](const std::string& bytes) { RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes); });
    CHECK_FALSE(decodeBase64("a").has_value());
    CHECK_FALSE(decodeBase64("a=b=").has_value());
    STRCMP_EQUAL("aGk=", encodeBase64("hi").c_str());
}

TEST(EtcdStore, AWriteIsReadBackWithItsRevisions)
{
    auto written = std::get<TransactionReply>(commit(create("rows/a", std::string("\0binary\xff", 8))));
    CHECK_TRUE(written.committed);
    auto read = std::get<RangeReply>(get("rows/a"));
    CHECK_EQUAL(1U, read.entries.size());
    CHECK_TRUE(read.entries[0].value == std::string("\0binary\xff", 8));
    CHECK_TRUE(read.entries[0].modified == written.revision);
    CHECK_TRUE(read.entries[0].created == written.revision);
}

TEST(EtcdStore, AStatTellsTheRevisionAndLeavesTheValueOut)
{
    auto written = std::get<TransactionReply>(commit(create("text", std::string(100'000, 'x'))));
    Mailbox<Outcome<RangeReply>> replies;
    store->stat("text", soon(), [&](auto reply) { replies.put(std::move(reply)); });
    auto read = std::get<RangeReply>(*replies.take());
    CHECK_EQUAL(1U, read.entries.size());
    CHECK_TRUE(read.entries[0].modified == written.revision);
    CHECK_TRUE(read.entries[0].value.empty());
}

TEST(EtcdStore, ASummaryTellsNewKeysChangesAndDeletions)
{
    auto summary = [&] {
        Mailbox<Outcome<RangeSummary>> replies;
        store->summarize("rows/", soon(), [&](auto reply) { replies.put(std::move(reply)); });
        return std::get<RangeSummary>(*replies.take());
    };
    CHECK_EQUAL(0, summary().count);
    CHECK_TRUE(summary().newest == Revision());
    auto first = std::get<TransactionReply>(commit(create("rows/z", "1")));
    auto second = std::get<TransactionReply>(commit(create("rows/a", "2")));
    commit(create("other", "3"));
    CHECK_EQUAL(2, summary().count);
    CHECK_TRUE(summary().newest == second.revision);
    CHECK_TRUE(summary().revision > second.revision);
    commit({ .comparisons = {}, .operations = { DeleteOperation { "rows/a" } } });
    CHECK_EQUAL(1, summary().count);
    CHECK_TRUE(summary().newest == first.revision);
}

TEST(EtcdStore, AComparisonThatFailsWritesNothing)
{
    commit(create("a", "first"));
    auto second = std::get<TransactionReply>(commit(create("a", "second")));
    CHECK_FALSE(second.committed);
    STRCMP_EQUAL("first", service.value("a")->c_str());
}

TEST(EtcdStore, AListHoldsThePrefixAndNothingElse)
{
    for (const char* key : { "a", "p", "p/1", "p/2", "q" })
        service.put(key, "");
    CHECK_EQUAL(2U, std::get<RangeReply>(list("p/")).entries.size());
    CHECK_EQUAL(5U, std::get<RangeReply>(list("")).entries.size());
    CHECK_TRUE(std::get<RangeReply>(list("none/")).entries.empty());
}

TEST(EtcdStore, DeletionsAndPutsOfOneTransactionAreOneRevision)
{
    service.put("old", "x");
    auto reply = std::get<TransactionReply>(commit({ .operations = { DeleteOperation { "old" }, PutOperation { "new", "y" } } }));
    CHECK_FALSE(service.value("old").has_value());
    CHECK_TRUE(std::get<RangeReply>(get("new")).entries[0].modified == reply.revision);
}

TEST(EtcdStore, ALostAnswerIsSettledByReadingBack)
{
    // A holder would take its row twice, or never. Its write takes effect, the connection breaks before the answer; the
    // nonce that it reads back tells it that the write was its own.
    service.loseNextAnswers(1);
    CHECK_TRUE(kindOf(commit(create("row", "nonce-1"))) == ErrorKind::Timeout);
    STRCMP_EQUAL("nonce-1", std::get<RangeReply>(get("row")).entries[0].value.c_str());
    CHECK_EQUAL(1, service.counters().transactions);
}

TEST(EtcdStore, AnOutageIsToldAsNotCarriedOut)
{
    service.setDown(true);
    CHECK_TRUE(kindOf(commit(create("a", "b"))) == ErrorKind::Unavailable);
    CHECK_TRUE(kindOf(get("a")) == ErrorKind::Unavailable);
    service.setDown(false);
    CHECK_TRUE(std::get<TransactionReply>(commit(create("a", "b"))).committed);
}

TEST(EtcdStore, AnAnswerOf503MayHaveTakenEffect)
{
    service.setAnswering503(true);
    CHECK_TRUE(kindOf(commit(create("a", "b"))) == ErrorKind::Timeout);
}

TEST(EtcdStore, AWriteThatTimedOutMayTakeEffectLater)
{
    service.setDelay(std::chrono::milliseconds(100));
    CHECK_TRUE(kindOf(commit(create("a", "late"), soon(std::chrono::milliseconds(20)))) == ErrorKind::Timeout);
    service.setDelay({});
    while (!service.value("a"))
        std::this_thread::yield();
}

TEST(EtcdStore, ATransactionAboveTheBoundIsRejected)
{
    Transaction transaction;
    for (int index = 0; index < 129; ++index)
        transaction.operations.push_back(PutOperation { std::to_string(index), "" });
    CHECK_TRUE(kindOf(commit(transaction)) == ErrorKind::Rejected);
}

TEST(EtcdStore, AKeyGoesWithItsLease)
{
    auto lease = std::get<LeaseId>(grant(std::chrono::seconds(1)));
    CHECK_TRUE(std::get<LeaseId>(keepAlive(lease)) == lease);
    Transaction transaction = create("leased", "x");
    std::get<PutOperation>(transaction.operations[0]).lease = lease;
    CHECK_TRUE(std::get<TransactionReply>(commit(transaction)).committed);
    auto watch = std::make_shared<RecordingWatch>();
    auto handle = store->watch("leased", Revision(0), watch);
    CHECK_TRUE(watch->events.take()->deleted);
    CHECK_TRUE(kindOf(keepAlive(lease)) == ErrorKind::Rejected);
}

TEST(EtcdStore, AWatchBeginsAtItsRevisionAndGoesOn)
{
    service.put("w/before", "0");
    auto first = service.put("w/a", "1");
    auto watch = std::make_shared<RecordingWatch>();
    auto handle = store->watch("w/", first, watch);
    STRCMP_EQUAL("w/a", watch->events.take()->entry.key.c_str());
    service.put("other", "2");
    auto last = service.put("w/b", "3");
    auto event = *watch->events.take();
    STRCMP_EQUAL("3", event.entry.value.c_str());
    CHECK_TRUE(event.entry.modified == last);
}

TEST(EtcdStore, AWatchEndsWithTheService)
{
    auto watch = std::make_shared<RecordingWatch>();
    auto handle = store->watch("w/", service.put("w/a", "1"), watch);
    watch->events.take();
    service.setDown(true);
    CHECK_TRUE(watch->ends.take()->kind == ErrorKind::Timeout);
}

TEST(EtcdStore, ASilentWatchEndsAndMissesNothing)
{
    // A withdrawn key would go on working. The watch's connection stays up but carries nothing any more; the silence
    // limit ends it, and a watch from the revision after the last one seen brings what was missed.
    store = makeEtcdStore(service.url(), client, { .watchSilenceLimit = std::chrono::milliseconds(200) });
    auto watch = std::make_shared<RecordingWatch>();
    auto seen = service.put("w/a", "1");
    auto handle = store->watch("w/", seen, watch);
    watch->events.take();
    service.silenceWatches();
    service.put("w/b", "2");
    CHECK_TRUE(watch->ends.take()->kind == ErrorKind::Timeout);
    handle = store->watch("w/", seen + Revision(1), watch);
    STRCMP_EQUAL("w/b", watch->events.take()->entry.key.c_str());
}

TEST(EtcdStore, WhyAWatchEndedShowsInItsError)
{
    struct Case {
        int status;
        std::string body;
        ErrorKind kind;
    };
    for (const auto& [status, body, kind] : std::vector<Case> {
             { 503, "{\"error\":\"no leader\",\"code\":14}\n", ErrorKind::Unavailable },
             { 403, "{}\n", ErrorKind::Rejected },
             { 200, "{\"error\":{\"grpc_code\":14}}\n", ErrorKind::Unavailable },
             { 200, "{\"result\":{\"canceled\":true}}\n", ErrorKind::Rejected },
             { 200, "{\"result\":{\"events\":[{\"kv\":{\"key\":\"!\"}}]}}\n", ErrorKind::Malformed },
             { 200, "nonsense\n", ErrorKind::Malformed },
             { 200, "{\"result\":{\"created\":true}}\n", ErrorKind::Timeout },
         }) {
        Error error;
        auto answer = [status = status, body = body](const std::shared_ptr<HttpExchange>& exchange) { exchange->respond(status, {}, body); };
        auto server = valueOr(error, [&] { return HttpServer::start({}, answer); });
        auto other = makeEtcdStore("http://127.0.0.1:" + std::to_string((*server)->port()), client);
        auto watch = std::make_shared<RecordingWatch>();
        auto handle = other->watch("w/", Revision(0), watch);
        CHECK_TRUE_TEXT(watch->ends.take()->kind == kind, body.c_str());
    }
}

TEST(EtcdStore, AWatchFromACompactedRevisionIsRejected)
{
    auto old = service.put("w/a", "1");
    service.put("w/a", "2");
    service.compact();
    auto watch = std::make_shared<RecordingWatch>();
    auto handle = store->watch("w/", old, watch);
    CHECK_TRUE(watch->ends.take()->kind == ErrorKind::Rejected);
}

TEST(EtcdStore, AWatchWhoseHandleIsGoneIsNotCalledAndFreesItsPlace)
{
    auto watch = std::make_shared<RecordingWatch>();
    auto handle = store->watch("w/", service.put("w/a", "1"), watch);
    watch->events.take();
    handle.reset();
    while (service.counters().watchesWaiting > 0)
        std::this_thread::yield();
    store.reset();
    client.reset();
    CHECK_FALSE(watch->ends.take(Duration::zero()).has_value());
}
