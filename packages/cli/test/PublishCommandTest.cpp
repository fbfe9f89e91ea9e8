#include "FakeHttpSide.h"
#include "Tool.h"

#include "ConfigurationArchive.h"
#include "toucanstep/base/Digest.h"
#include "toucanstep/cli/Command.h"
#include "toucanstep/fakes/FakeKeyValueService.h"
#include "toucanstep/formats/EtcdStore.h"
#include "toucanstep/node/Keys.h"

#include <thread>

using namespace toucanstep;
using namespace toucanstep::cli::test;

namespace {

// Passes calls on, but loses each transaction before it reaches the service, and lets a test act in its place.
class LosingStore final : public base::KeyValueStore {
public:
    LosingStore(base::KeyValueStore& store, std::function<void()> instead)
        : m_store(store)
        , m_instead(std::move(instead))
    {
    }
    void get(std::string key, base::Instant deadline, std::function<void(base::Outcome<base::RangeReply>)> callback) override
    {
        m_store.get(std::move(key), deadline, std::move(callback));
    }
    void summarize(std::string prefix, base::Instant deadline, std::function<void(base::Outcome<base::RangeSummary>)> callback) override
    {
        m_store.summarize(std::move(prefix), deadline, std::move(callback));
    }
    void stat(std::string key, base::Instant deadline, std::function<void(base::Outcome<base::RangeReply>)> callback) override
    {
        m_store.stat(std::move(key), deadline, std::move(callback));
    }
    void list(std::string prefix, base::Instant deadline, std::function<void(base::Outcome<base::RangeReply>)> callback) override
    {
        m_store.list(std::move(prefix), deadline, std::move(callback));
    }
    void commit(base::Transaction, base::Instant, std::function<void(base::Outcome<base::TransactionReply>)> callback) override
    {
        m_instead();
        callback(base::Error { base::ErrorKind::Timeout, "no answer" });
    }
    void grantLease(base::Duration, base::Instant, std::function<void(base::Outcome<base::LeaseId>)>) override { }
    void keepLeaseAlive(base::LeaseId, base::Instant, std::function<void(base::Outcome<base::LeaseId>)>) override { }
    std::unique_ptr<base::WatchHandle> watch(std::string, base::Revision, std::shared_ptr<base::WatchListener>) override { return nullptr; }

private:
    base::KeyValueStore& m_store;
    std::function<void()> m_instead;
};

} // namespace

TEST_GROUP(PublishCommand)
{
    ToolRun publish(const std::string& file, const std::string& expect, std::vector<std::string> more = {})
    {
        std::vector<std::string> arguments { "publish", file, "--store", m_service.url(), "--expect", expect, "--who", "amina" };
        arguments.insert(arguments.end(), more.begin(), more.end());
        return runTool(arguments);
    }
    ToolRun history(std::vector<std::string> more = {})
    {
        std::vector<std::string> arguments { "history", "--store", m_service.url() };
        arguments.insert(arguments.end(), more.begin(), more.end());
        return runTool(arguments);
    }
    std::string stored() const { return m_service.value(std::string(node::configurationKey)).value_or(""); }
    std::string versionText() const { return std::to_string(m_service.revision().value()); }

    fakes::FakeKeyValueService m_service;
    std::string m_text = contentOf(sample);
    TemporaryFile m_changed { replaced(contentOf(sample), "\"burst\": 20000", "\"burst\": 30000") };
    TemporaryFile m_other { replaced(contentOf(sample), "\"burst\": 20000", "\"burst\": 40000") };
};

TEST(PublishCommand, TheFirstTextIsPublishedWithAnEntryInTheHistory)
{
    ToolRun run = publish(sample, "none");
    LONGS_EQUAL_TEXT(cli::exitGood, run.status, run.errors.c_str());
    STRCMP_EQUAL(("published version " + versionText() + "\n").c_str(), run.output.c_str());
    STRCMP_EQUAL(m_text.c_str(), stored().c_str());
    ToolRun shown = history();
    LONGS_EQUAL(cli::exitGood, shown.status);
    CHECK_TRUE(shown.prints(versionText() + " "));
    CHECK_TRUE(shown.prints("amina"));
    CHECK_TRUE(shown.prints(base::sha256Hex(m_text).substr(0, 16)));
    STRCMP_EQUAL(m_text.c_str(), history({ "--text", versionText() }).output.c_str());
}

TEST(PublishCommand, ATextWithErrorsIsNotPublished)
{
    TemporaryFile wrong(replaced(m_text, "\"kind\": \"chat\"", "\"kind\": \"chatt\""));
    ToolRun run = publish(wrong.name(), "none");
    LONGS_EQUAL(cli::exitFindings, run.status);
    STRCMP_EQUAL(runTool({ "check", wrong.name() }).output.c_str(), run.errors.c_str());
    STRCMP_EQUAL("", stored().c_str());
}

TEST(PublishCommand, TheLoserOfARaceSeesWhatWonAndPublishesNothing)
{
    // Two operators change the same version. The second would undo the first's change without ever having seen it.
    // The second publishes with the version that its text was made from, and that is no longer the one in force.
    publish(sample, "none");
    std::string made = versionText();
    LONGS_EQUAL(cli::exitGood, publish(m_changed.name(), made).status);
    ToolRun loser = publish(m_other.name(), made);
    LONGS_EQUAL(3, loser.status);
    CHECK_TRUE_TEXT(loser.prints("changed accounts.first.burst: 30000 -> 40000"), loser.output.c_str());
    CHECK_TRUE_TEXT(loser.complains("version " + versionText() + " is there, not " + made), loser.errors.c_str());
    STRCMP_EQUAL(contentOf(m_changed.name()).c_str(), stored().c_str());
}

TEST(PublishCommand, OfOperatorsWhoPublishAtOnceExactlyOneWins)
{
    // Several operators press the button in the same instant. All have read the same version, so all their checks before
    // the transaction pass, and only the transaction itself can tell them apart.
    constexpr int operators = 6;
    int64_t before = m_service.revision().value();
    std::vector<ToolRun> runs(operators);
    std::vector<std::thread> threads;
    for (int index = 0; index < operators; ++index)
        threads.emplace_back([&, index] { runs[static_cast<size_t>(index)] = publish(index % 2 ? m_changed.name() : m_other.name(), "none"); });
    for (std::thread& thread : threads)
        thread.join();
    int winners = 0;
    for (const ToolRun& run : runs) {
        winners += run.status == cli::exitGood;
        CHECK_TRUE_TEXT(run.status == cli::exitGood || run.status == 3, run.errors.c_str());
    }
    LONGS_EQUAL(1, winners);
    LONGS_EQUAL(before + 1, m_service.revision().value());
}

TEST(PublishCommand, ALostAnswerIsSettledByReadingBack)
{
    // The service carries the transaction out and the connection breaks before its answer. Sent again, it would fail its
    // own comparison, and the operator would be told of a lost race against a text that is their own.
    m_service.loseNextAnswers(1);
    ToolRun run = publish(sample, "none");
    LONGS_EQUAL_TEXT(cli::exitGood, run.status, run.errors.c_str());
    STRCMP_EQUAL(("published version " + versionText() + "\n").c_str(), run.output.c_str());
    LONGS_EQUAL(1, m_service.counters().transactions);
}

TEST(PublishCommand, ALostTransactionThatNeverArrivedIsReportedAsUnknown)
{
    // The connection breaks on the way there. What is read back shows the old version still, and the transaction may yet
    // be held up somewhere; to say "not published" would be a guess.
    auto store = formats::makeEtcdStore(m_service.url(), std::make_shared<formats::HttpClient>());
    LosingStore losing(*store, [] {});
    cli::internal::ConfigurationArchive archive(losing, std::chrono::milliseconds(300));
    auto outcome = archive.publish({ m_text, "amina", "now", base::Revision(), "nonce" });
    CHECK_TRUE(std::holds_alternative<cli::internal::OutcomeUnknown>(outcome));
}

TEST(PublishCommand, ALostTransactionIsKnownToHaveLostOnceAnotherVersionStands)
{
    // The transaction vanishes, and meanwhile another operator replaces the same version. The comparison of the lost one
    // can never hold again, so the loser is told so, and does not take the other's entry in the history for their own.
    auto store = formats::makeEtcdStore(m_service.url(), std::make_shared<formats::HttpClient>());
    LosingStore losing(*store, [this] { LONGS_EQUAL(cli::exitGood, publish(m_changed.name(), "none").status); });
    cli::internal::ConfigurationArchive archive(losing, std::chrono::seconds(10));
    auto outcome = archive.publish({ m_text, "amina", "now", base::Revision(), "nonce" });
    CHECK_TRUE(std::holds_alternative<cli::internal::LostRace>(outcome));
    LONGS_EQUAL(m_service.revision().value(), std::get<cli::internal::LostRace>(outcome).winner.version.value());
}

TEST(PublishCommand, AnOutageIsSaidAndNothingIsPublished)
{
    m_service.setDown(true);
    LONGS_EQUAL(5, publish(sample, "none").status);
    LONGS_EQUAL(5, history().status);
    LONGS_EQUAL(5, runTool({ "diff", sample, "--store", m_service.url() }).status);
    m_service.setDown(false);
    m_service.setAnswering503(true);
    ToolRun run = publish(sample, "none");
    LONGS_EQUAL(5, run.status);
    CHECK_TRUE_TEXT(run.complains("nothing was published"), run.errors.c_str());
    m_service.setAnswering503(false);
    STRCMP_EQUAL("", stored().c_str());
}

TEST(PublishCommand, TheHistoryKeepsTheLastTwentyVersions)
{
    std::vector<std::string> versions { "none" };
    for (int index = 0; index < 23; ++index) {
        LONGS_EQUAL(cli::exitGood, publish(index % 2 ? m_changed.name() : sample, versions.back()).status);
        versions.push_back(versionText());
    }
    std::string shown = history().output;
    LONGS_EQUAL(1 + 20, std::count(shown.begin(), shown.end(), '\n'));
    LONGS_EQUAL(cli::exitFindings, history({ "--text", versions[3] }).status);
    LONGS_EQUAL(cli::exitGood, history({ "--text", versions[4] }).status);
    LONGS_EQUAL(cli::exitGood, history({ "--text", versions[23] }).status);
}

TEST(PublishCommand, ATextTooLargeForTextAndHistoryTogetherKeepsItsDigest)
{
    TemporaryFile large(m_text + std::string(900'000, ' '));
    ToolRun run = publish(large.name(), "none");
    LONGS_EQUAL_TEXT(cli::exitGood, run.status, run.errors.c_str());
    CHECK_TRUE(run.complains("digest only"));
    CHECK_TRUE(history().prints(base::sha256Hex(contentOf(large.name())).substr(0, 16)));
    LONGS_EQUAL(cli::exitFindings, history({ "--text", versionText() }).status);
}

TEST(PublishCommand, WaitTellsWhichNodesHaveTheTextInForceAndWhichHaveNot)
{
    // One node has the version, one is behind, one cannot be reached. The operator must see the last two by name, or
    // would take the text to be in force everywhere.
    FakeHttpSide ahead(R"({"configuration":1000})");
    FakeHttpSide behind(R"({"configuration":0})");
    ToolRun run = publish(sample, "none", { "--wait", "0.5", "--operator", ahead.address() + "," + behind.address() + ",127.0.0.1:1" });
    LONGS_EQUAL_TEXT(6, run.status, run.errors.c_str());
    CHECK_TRUE_TEXT(run.prints("in force at 1 of 3 nodes"), run.output.c_str());
    CHECK_TRUE_TEXT(run.prints("not in force at " + behind.address() + ": has version 0"), run.output.c_str());
    CHECK_TRUE_TEXT(run.prints("not in force at 127.0.0.1:1: "), run.output.c_str());
    LONGS_EQUAL(cli::exitGood, publish(m_changed.name(), versionText(), { "--wait", "5", "--operator", ahead.address() }).status);
}

TEST(PublishCommand, DiffComparesWithThePublishedText)
{
    LONGS_EQUAL(5, runTool({ "diff", sample, "--store", m_service.url() }).status);
    publish(sample, "none");
    LONGS_EQUAL(cli::exitGood, runTool({ "diff", sample, "--store", m_service.url() }).status);
    ToolRun run = runTool({ "diff", m_changed.name(), "--store", m_service.url() });
    LONGS_EQUAL(cli::exitFindings, run.status);
    STRCMP_EQUAL("changed accounts.first.burst: 20000 -> 30000\n", run.output.c_str());
}

TEST(PublishCommand, WrongCallsAreToldApartFromFailures)
{
    LONGS_EQUAL(cli::exitUnusable, runTool({ "publish", sample, "--expect", "none" }).status);
    LONGS_EQUAL(cli::exitUnusable, publish(sample, "latest").status);
    LONGS_EQUAL(cli::exitUnusable, publish(sample, "0").status);
    LONGS_EQUAL(cli::exitUnusable, publish("/nowhere/text.json", "none").status);
    LONGS_EQUAL(cli::exitUnusable, publish(sample, "none", { "--wait", "5" }).status);
    LONGS_EQUAL(cli::exitUnusable, publish(sample, "none", { "--timeout", "-1" }).status);
    LONGS_EQUAL(cli::exitUnusable, history({ "--text", "one" }).status);
    LONGS_EQUAL(cli::exitUnusable, runTool({ "diff", sample }).status);
    LONGS_EQUAL(cli::exitUnusable, runTool({ "diff", sample, sample, "--store", m_service.url() }).status);
    STRCMP_EQUAL("", stored().c_str());
}
