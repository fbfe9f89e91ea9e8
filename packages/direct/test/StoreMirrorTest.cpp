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

// A store that answers list requests and delivers events of watches only when the test says so.
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
    std::unique_ptr<base::WatchHandle> watch(std::string prefix, Revision, std::shared_ptr<base::WatchListener> listener) override
    {
        listeners[prefix] = std::move(listener);
        return std::make_unique<base::WatchHandle>();
    }
    std::optional<base::Instant> lastProgress() const override { return progress; }

    std::map<std::string, ListCallback> listings;
    std::map<std::string, std::shared_ptr<base::WatchListener>> listeners;
    std::optional<base::Instant> progress;
};

class RecordingListener final : public DirectoryListener {
public:
    void onEntry(const base::KeyValue& put) override { present[put.key] = put.value; }
    void onRemoved(const std::string& key) override { present.erase(key); }
    void onDirectoryUpdated() override { updates.put(present.size()); }
    std::map<std::string, std::string> present;
    Mailbox<size_t> updates;
};

// Serves copies of a mirror to peers and records the request targets.
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
        std::string copy = m_mirror.copyResponse(exchange->head().target).value_or("");
        if (pause == base::Duration::zero()) {
            exchange->answer({}, copy);
            return;
        }
        exchange->begin({});
        writeFrom(exchange, copy, 0);
    }

    std::vector<std::string> targets;
    // Delay between the bytes of an answer.
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

// A mirror whose store is silent, and a peer's mirror with newer revisions.
TEST_GROUP(StoreMirror)
{
    io::EventLoop loop;
    SilentStore store;
    SilentStore peerStore;
    RecordingListener keys;
    RecordingListener peerKeys;
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
            settings.silenceThreshold = base::Duration::zero();
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
    void answerList(SilentStore & which, const std::string& prefix, int64_t revision)
    {
        loop.runAndWait([&] { which.listings.at(prefix)(base::RangeReply { { { prefix, "v", Revision(revision), Revision(revision) } }, Revision(revision) }); });
    }
    void readAll(SilentStore & which, int64_t revision)
    {
        for (const char* prefix : { "text", "servers/", "fleet/" })
            answerList(which, prefix, revision);
    }
    void catchUp()
    {
        loop.runAndWait([this] { mirror->catchUp({ { { "peer", server->endpoint() }, peer->revisions() } }, std::nullopt); });
    }
};

TEST(StoreMirror, UpstreamsAreUsableBeforeTheDesiredStateHasArrived)
{
    // Guards against the removal of an upstream being delayed until a large desired state has been read.
    answerList(store, "servers/", 3);
    CHECK_TRUE(keys.present.contains("servers/"));
    answerList(store, "fleet/", 3);
    CHECK_FALSE(mirror->synced());
    answerList(store, "text", 3);
    CHECK_TRUE(mirror->synced());
}

TEST(StoreMirror, OnlyPartsOfWhichAPeerHasANewerRevisionAreCopied)
{
    // Guards against copying the large desired state when only an upstream has changed.
    readAll(store, 5);
    readAll(peerStore, 5);
    while (keys.updates.take(base::Duration::zero()))
        continue;
    answerList(peerStore, "servers/", 9);
    catchUp();
    CHECK_TRUE(keys.updates.take().has_value());
    loop.runAndWait([this] {
        LONGS_EQUAL(1, handler->targets.size());
        STRCMP_EQUAL("/fleet/directory/1/5", handler->targets[0].c_str());
        LONGS_EQUAL(9, mirror->part(StorePart::Upstreams).revision().value());
    });
}

TEST(StoreMirror, ACopyThatIsStillArrivingIsNotAborted)
{
    // Guards against copies that never complete: a transfer longer than the request's deadline was restarted each time.
    readAll(store, 5);
    readAll(peerStore, 5);
    while (keys.updates.take(base::Duration::zero()))
        continue;
    loop.runAndWait([this] { handler->pause = std::chrono::milliseconds(80); });
    answerList(peerStore, "text", 9);
    // The transfer takes 1.3 s, longer than the 0.9 s within which an answer must begin.
    LONGS_EQUAL(16, peer->copyResponse("/fleet/directory/0/5")->size());
    catchUp();
    CHECK_TRUE(keys.updates.take().has_value());
    loop.runAndWait([this] { LONGS_EQUAL(1, handler->targets.size()); });
}

TEST(StoreMirror, NoPeerIsAskedWhileAnAnswerOfTheStoreIsArriving)
{
    // Guards against a copy that competes with the store's own answer for bandwidth, so that neither completes.
    loop.runAndWait([this] { mirror = std::make_unique<StoreMirror>(loop, store, *client, StoreMirrorSettings { "text", "servers/", "fleet/", std::chrono::hours(1), std::chrono::hours(1) }, keys); });
    readAll(peerStore, 9);
    store.progress = loop.now();
    catchUp();
    catchUp();
    loop.runAndWait([this] { CHECK_TRUE(handler->targets.empty()); });
    // Once the store shows no progress, the peer is asked.
    store.progress.reset();
    catchUp();
    CHECK_TRUE(keys.updates.take().has_value());
}

// Guards against an upstream list that stays behind although a peer has said that it knows more, and against calls to the store
// for what the peer can tell.
TEST(StoreMirror, UpstreamsThatAPeerKnowsAreCopiedWhenItSaysSo)
{
    loop.runAndWait([this] { mirror = std::make_unique<StoreMirror>(loop, store, *client, StoreMirrorSettings { "text", "servers/", "fleet/", std::chrono::hours(1), std::chrono::hours(1) }, keys); });
    loop.runAndWait([this] { mirror->start(); });
    readAll(store, 5);
    readAll(peerStore, 5);
    while (keys.updates.take(base::Duration::zero()))
        continue;
    auto share = [this] { mirror->onUpstreamsConfirmed({ "peer", server->endpoint() }, *peer->upstreamConfirmation()); };
    loop.runAndWait([&] {
        peerStore.listeners.at("servers/")->onEvents({ { { "servers/x", "v", Revision(8), Revision(8) }, false } }, Revision(9));
        share();
    });
    CHECK_TRUE(keys.updates.take().has_value());
    loop.runAndWait([&] {
        LONGS_EQUAL(9, mirror->part(StorePart::Upstreams).revision().value());
        CHECK_TRUE(keys.present.contains("servers/x"));
        // Without further changes nothing is copied.
        peerStore.listeners.at("servers/")->onEvents({}, Revision(20));
        share();
        LONGS_EQUAL(20, mirror->part(StorePart::Upstreams).revision().value());
        LONGS_EQUAL(1, handler->targets.size());
    });
}

// Guards against a fleet that copies whole lists from each other while it starts: after a new list a peer cannot tell what has
// changed, and the store is asked instead.
TEST(StoreMirror, APeerThatDoesNotKnowAllChangesIsNotCopied)
{
    readAll(peerStore, 9);
    CHECK_FALSE(peer->copyResponse("/fleet/changes/1/5").has_value());
    CHECK_TRUE(peer->copyResponse("/fleet/directory/1/5").has_value());
    CHECK_TRUE(peer->copyResponse("/fleet/changes/1/9").has_value());
}

TEST(StoreMirror, MalformedCopyRequestsGetNoCopy)
{
    // Guards against a target in another version's format being mistaken for a valid part.
    CHECK_TRUE(StoreMirror::isCopyRequest("/fleet/directory/1/5"));
    CHECK_FALSE(StoreMirror::isCopyRequest("/metrics"));
    for (const char* target : { "/fleet/directory/", "/fleet/directory/1", "/fleet/directory/3/5", "/fleet/directory/x/5", "/fleet/directory/1/x", "/fleet/directory/-1/5" })
        CHECK_FALSE(mirror->copyResponse(target).has_value());
}
