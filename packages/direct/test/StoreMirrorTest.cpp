#include "StoreMirror.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/http1/Server.h"
#include "toucanstep/testing/Waiting.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace toucanstep;
using namespace toucanstep::direct;
using namespace toucanstep::testing;
using base::Revision;

namespace {

// A store that answers a listing only when the test says so, and whose watches hear nothing.
class SilentStore final : public base::KeyValueStore {
public:
    using ListCallback = std::function<void(base::Outcome<base::RangeReply>)>;
    void get(std::string, base::Instant, ListCallback) override { }
    void stat(std::string, base::Instant, ListCallback) override { }
    void list(std::string prefix, base::Instant, ListCallback callback) override { listings[prefix] = std::move(callback); }
    void summarize(std::string, base::Instant, std::function<void(base::Outcome<base::RangeSummary>)>) override { }
    void commit(base::Transaction, base::Instant, std::function<void(base::Outcome<base::TransactionReply>)>) override { }
    void grantLease(base::Duration, base::Instant, std::function<void(base::Outcome<base::LeaseId>)>) override { }
    void keepLeaseAlive(base::LeaseId, base::Instant, std::function<void(base::Outcome<base::LeaseId>)>) override { }
    std::unique_ptr<base::WatchHandle> watch(std::string, Revision, std::shared_ptr<base::WatchListener>) override { return std::make_unique<base::WatchHandle>(); }
    std::optional<base::Instant> lastProgress() const override { return progress; }

    std::map<std::string, ListCallback> listings;
    std::optional<base::Instant> progress;
};

class Keys final : public DirectoryListener {
public:
    void onEntry(const base::KeyValue& put) override { present[put.key] = put.value; }
    void onRemoved(const std::string& key) override { present.erase(key); }
    void onDirectoryUpdated() override { updates.put(present.size()); }
    std::map<std::string, std::string> present;
    Mailbox<size_t> updates;
};

// Gives peers copies of a mirror, and notes what it is asked for.
class CopyHandler final : public http1::RequestHandler {
public:
    CopyHandler(io::EventLoop& loop, const StoreMirror& mirror)
        : m_loop(loop)
        , m_mirror(mirror)
    {
    }
    void onRequest(std::shared_ptr<http1::ServerExchange> exchange) override
    {
        targets.push_back(exchange->head().target);
        std::string copy = m_mirror.copyFor(exchange->head().target).value_or("");
        if (pause == base::Duration::zero()) {
            exchange->answer({}, copy);
            return;
        }
        exchange->begin({});
        writeFrom(exchange, copy, 0);
    }

    std::vector<std::string> targets;
    // Between the bytes of an answer.
    base::Duration pause {};

private:
    void writeFrom(const std::shared_ptr<http1::ServerExchange>& exchange, const std::string& copy, size_t at)
    {
        if (exchange->gone())
            return;
        if (at == copy.size()) {
            exchange->end();
            return;
        }
        exchange->write(copy.substr(at, 1));
        m_loop.at(m_loop.now() + pause, [this, exchange, copy, at] { writeFrom(exchange, copy, at + 1); });
    }

    io::EventLoop& m_loop;
    const StoreMirror& m_mirror;
};

} // namespace

// A mirror whose store falls silent, and a peer's mirror that knows more.
TEST_GROUP(StoreMirror)
{
    io::EventLoop loop;
    SilentStore store;
    SilentStore peerStore;
    Keys keys;
    Keys peerKeys;
    std::unique_ptr<http1::Client> client;
    std::unique_ptr<StoreMirror> mirror;
    std::unique_ptr<StoreMirror> peer;
    std::unique_ptr<CopyHandler> handler;
    std::unique_ptr<http1::Server> server;
    std::vector<CopySource> sources;

    void setup() override
    {
        loop.runAndWait([this] {
            StoreMirrorSettings settings { "text", "servers/", "fleet/", std::chrono::hours(1), std::chrono::hours(1) };
            client = std::make_unique<http1::Client>(loop);
            peer = std::make_unique<StoreMirror>(loop, peerStore, *client, settings, peerKeys);
            settings.silence = base::Duration::zero();
            mirror = std::make_unique<StoreMirror>(loop, store, *client, settings, keys);
            handler = std::make_unique<CopyHandler>(loop, *peer);
            base::Error error;
            auto listening = base::valueOr(error, [&] { return http1::Server::listen(loop, { "127.0.0.1", 0 }, *handler); });
            if (listening)
                server = std::move(*listening);
            mirror->start();
            peer->start();
        });
        CHECK_TRUE(server != nullptr);
    }
    void teardown() override
    {
        loop.runAndWait([this] {
            client.reset();
            server.reset();
            mirror.reset();
            peer.reset();
        });
    }
    void answer(SilentStore & which, const std::string& prefix, int64_t revision)
    {
        loop.runAndWait([&] { which.listings.at(prefix)(base::RangeReply { { { prefix, "v", Revision(revision), Revision(revision) } }, Revision(revision) }); });
    }
    void readAll(SilentStore & which, int64_t revision)
    {
        for (const char* prefix : { "text", "servers/", "fleet/" })
            answer(which, prefix, revision);
    }
    void catchUp()
    {
        loop.runAndWait([this] { mirror->catchUp({ { { "peer", server->endpoint() }, peer->revisions() } }); });
    }
};

TEST(StoreMirror, UpstreamsAreInUseBeforeTheTextHasArrived)
{
    // Guards against an upstream's leaving that waits until a large text has been read.
    answer(store, "servers/", 3);
    CHECK_TRUE(keys.present.contains("servers/"));
    answer(store, "fleet/", 3);
    CHECK_FALSE(mirror->known());
    answer(store, "text", 3);
    CHECK_TRUE(mirror->known());
}

TEST(StoreMirror, OnlyThePartsThatAPeerHasNewerAreCopied)
{
    // Guards against copies that move the large text although only an upstream changed.
    readAll(store, 5);
    readAll(peerStore, 5);
    while (keys.updates.take(base::Duration::zero()))
        continue;
    answer(peerStore, "servers/", 9);
    catchUp();
    CHECK_TRUE(keys.updates.take().has_value());
    loop.runAndWait([this] {
        LONGS_EQUAL(1, handler->targets.size());
        STRCMP_EQUAL("/fleet/directory/1/5", handler->targets[0].c_str());
        LONGS_EQUAL(9, mirror->part(StorePart::Upstreams).revision().value());
    });
}

TEST(StoreMirror, ACopyThatIsStillArrivingIsNotCutOff)
{
    // Guards against copies that never arrive: one that needs longer than its request's deadline began anew each time.
    readAll(store, 5);
    readAll(peerStore, 5);
    while (keys.updates.take(base::Duration::zero()))
        continue;
    loop.runAndWait([this] { handler->pause = std::chrono::milliseconds(80); });
    answer(peerStore, "text", 9);
    // 1.3 s for the copy, where its answer must begin within 0.9 s.
    LONGS_EQUAL(16, peer->copyFor("/fleet/directory/0/5")->size());
    catchUp();
    CHECK_TRUE(keys.updates.take().has_value());
    loop.runAndWait([this] { LONGS_EQUAL(1, handler->targets.size()); });
}

TEST(StoreMirror, WhileAnAnswerOfTheStoreIsArrivingNoPeerIsAsked)
{
    // Guards against a copy that takes half of the link from the store's own answer, so that neither arrives.
    loop.runAndWait([this] { mirror = std::make_unique<StoreMirror>(loop, store, *client, StoreMirrorSettings { "text", "servers/", "fleet/", std::chrono::hours(1), std::chrono::hours(1) }, keys); });
    readAll(peerStore, 9);
    store.progress = loop.now();
    catchUp();
    catchUp();
    loop.runAndWait([this] { CHECK_TRUE(handler->targets.empty()); });
    // The same with a store from which nothing came.
    store.progress.reset();
    catchUp();
    CHECK_TRUE(keys.updates.take().has_value());
}

TEST(StoreMirror, RequestsForCopiesThatCannotBeReadGetNone)
{
    // Guards against a target from another version of the program that would be taken for a part.
    CHECK_TRUE(StoreMirror::asksForCopy("/fleet/directory/1/5"));
    CHECK_FALSE(StoreMirror::asksForCopy("/metrics"));
    for (const char* target : { "/fleet/directory/", "/fleet/directory/1", "/fleet/directory/3/5", "/fleet/directory/x/5", "/fleet/directory/1/x", "/fleet/directory/-1/5" })
        CHECK_FALSE(mirror->copyFor(target).has_value());
}
