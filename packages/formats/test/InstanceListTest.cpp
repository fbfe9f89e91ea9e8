#include "toucanstep/formats/InstanceList.h"
#include "toucanstep/fakes/FakeInstanceList.h"
#include "toucanstep/testing/Waiting.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::base;
using namespace toucanstep::formats;
using namespace toucanstep::testing;

TEST_GROUP(InstanceList)
{
    fakes::FakeInstanceList fake;
    std::shared_ptr<HttpClient> client = std::make_shared<HttpClient>();

    Outcome<InstanceListing> outcome(const std::string& name = "engines", std::string url = {})
    {
        auto list = makeInstanceList(url.empty() ? fake.url() : std::move(url), client);
        Mailbox<Outcome<InstanceListing>> replies;
        list->read(name, soon(), [&](auto reply) { replies.put(std::move(reply)); });
        return *replies.take();
    }

    InstanceListing read(const std::string& name = "engines") { return std::get<InstanceListing>(outcome(name)); }

    ErrorKind kindOfAnswer(const std::string& body)
    {
        Error error;
        auto server = base::valueOr(error, [&] {
            return HttpServer::start({}, [body](const std::shared_ptr<HttpExchange>& exchange) { exchange->respond(200, {}, body); });
        });
        return std::get<Error>(outcome("x", "http://127.0.0.1:" + std::to_string((*server)->port()))).kind;
    }

    void put(const std::string& id, bool terminating = false)
    {
        fake.put("engines", { .instance = InstanceId(id), .endpoint = { "127.0.0.1", 7001 }, .failureDomain = FailureDomain("a"), .ready = !terminating, .terminating = terminating });
    }

    void teardown() override { client.reset(); }
};

TEST(InstanceList, AnInstanceIsReadWithAllItsFields)
{
    put("e1");
    put("e2", true);
    fake.put("gateways", { .instance = InstanceId("g1") });
    auto listing = read();
    CHECK_EQUAL(2U, listing.instances.size());
    const auto& first = listing.instances[0];
    STRCMP_EQUAL("e1", first.instance.value().c_str());
    STRCMP_EQUAL("127.0.0.1:7001", first.endpoint.text().c_str());
    STRCMP_EQUAL("a", first.failureDomain.value().c_str());
    CHECK_TRUE(first.ready && !first.terminating);
    CHECK_TRUE(!listing.instances[1].ready && listing.instances[1].terminating);
    CHECK_TRUE(listing.version == 3U);
    CHECK_TRUE(read("none").instances.empty());
}

TEST(InstanceList, ALaggingListShowsAnOlderState)
{
    put("e1");
    fake.setLag(std::chrono::hours(1));
    CHECK_TRUE(read().instances.empty());
    fake.setLag(Duration::zero());
    CHECK_EQUAL(1U, read().instances.size());
}

TEST(InstanceList, AnAnswerThatGoesBackHasAnOlderVersion)
{
    // A holder that lives would be taken for gone: an answer older than one already seen lacks it. The version tells.
    put("e1");
    put("e2");
    auto newest = read();
    fake.goBack(1, 1);
    auto older = read();
    CHECK_EQUAL(1U, older.instances.size());
    CHECK_TRUE(*older.version < *newest.version);
    CHECK_TRUE(read().version == newest.version);
}

TEST(InstanceList, AnAnswerThatIsNotUnderstoodInFullIsAnError)
{
    CHECK_TRUE(kindOfAnswer("{") == ErrorKind::Malformed);
    CHECK_TRUE(kindOfAnswer(R"({"kind":"Status"})") == ErrorKind::Malformed);
    CHECK_TRUE(kindOfAnswer(R"({"kind":"EndpointSliceList","metadata":{"continue":"x"},"items":[]})") == ErrorKind::Malformed);
    CHECK_TRUE(kindOfAnswer(R"({"kind":"EndpointSliceList","items":[{"ports":[{"port":1}],"endpoints":[{"addresses":["127.0.0.1"]}]}]})") == ErrorKind::Malformed);
    CHECK_TRUE(kindOfAnswer(R"({"kind":"EndpointSliceList","items":[7,{"endpoints":[7]}]})") == ErrorKind::Malformed);
}

TEST(InstanceList, AListThatIsDownIsUnavailable)
{
    fake.setDown(true);
    CHECK_TRUE(std::get<Error>(outcome()).kind == ErrorKind::Unavailable);
}
