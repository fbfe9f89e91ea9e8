#include "toucanstep/calls/GroupCommit.h"
#include "toucanstep/calls/RecordCleaner.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep::calls;
using namespace toucanstep::base;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

const Instant start = Instant(hours(1));

CallRecord finishedRecord(UnixMilliseconds writtenAt)
{
    CallRecord record { RecordState::Finished, ServiceId("orders"), AttemptId("g/1"), RecordNonce("s/1"), BodyDigest("d"), writtenAt };
    record.answer = StoredAnswer { 201, "application/json", std::string("{\0}", 3), false };
    return record;
}

RecordWrite writeOf(size_t index, bool stale)
{
    return { "/k/" + std::to_string(index), Revision(stale ? 5 : 0), "v" };
}

// Commits every batch as a service with no entry would, until nothing is left.
std::map<WriteId, bool> drain(GroupCommit& commit)
{
    std::map<WriteId, bool> committed;
    Instant now = start;
    while (commit.wakeAt()) {
        now += milliseconds(20);
        for (const auto& batch : commit.poll(now)) {
            bool holds = std::all_of(batch.transaction.comparisons.begin(), batch.transaction.comparisons.end(), [](const auto& comparison) { return comparison.modified == Revision(); });
            for (const auto& result : commit.onOutcome(batch.id, TransactionReply { holds, Revision(9) }))
                committed[result.id] = std::get<TransactionReply>(result.outcome).committed;
        }
    }
    return committed;
}

class OneRetention final : public RetentionPolicy {
public:
    Duration retention(const ServiceId&) const override { return hours(24); }
};

} // namespace

TEST_GROUP(Records) {};

TEST(Records, ValuesReadBackAsTheSameRecord)
{
    CHECK_PROPERTY([](const std::string& body, const std::string& nonce, int64_t writtenAt) {
        CallRecord record = finishedRecord(UnixMilliseconds(writtenAt));
        record.answer->body = body;
        record.writer = RecordNonce(nonce);
        record.modified = Revision(4);
        Error error;
        auto decoded = valueOr(error, [&] { return decodeRecord({ "/k", encodeRecord(record), {}, Revision(4) }); });
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == record);
    });
}

TEST(Records, BytesThatAreNoRecordAreRefused)
{
    CHECK_PROPERTY([](const std::string& value) {
        Error error;
        auto decoded = valueOr(error, [&] { return decodeRecord({ "/k", value, {}, {} }); });
        RC_ASSERT(!decoded.has_value());
    });
    std::string whole = encodeRecord(finishedRecord(UnixMilliseconds(1)));
    for (size_t length = 0; length < whole.size(); ++length) {
        Error error;
        CHECK_FALSE(valueOr(error, [&] { return decodeRecord({ "/k", whole.substr(0, length), {}, {} }); }).has_value());
    }
}

// Two accounts use the same key, or a separator within their names. Were their records one, an account would get
// another's answer.
TEST(Records, DifferentCallsNeverShareAnEntry)
{
    CHECK_PROPERTY([](const std::string& account, const std::string& service, const std::string& key, const std::string& moved) {
        CallKey one { ClientAccountId(account + moved), ServiceId(service), IdempotencyKey(key) };
        CallKey other { ClientAccountId(account), ServiceId(moved + service), IdempotencyKey(key) };
        RC_ASSERT((one == other) == (storageKey(one) == storageKey(other)));
    });
}

TEST(Records, AnAnswerAboveTheBoundLosesItsWholeBody)
{
    StoredAnswer answer { 200, "text/plain", "12345", false };
    CHECK_TRUE(boundedAnswer(answer, Bytes(5)) == answer);
    StoredAnswer cut = boundedAnswer(answer, Bytes(4));
    CHECK_TRUE(cut.bodyDropped && cut.body.empty());
}

TEST_GROUP(Grouping) {};

// One of many calls in a transaction has lost its race, so the whole transaction fails. The others are innocent and must
// not be refused for it.
TEST(Grouping, ALoserFailsAlone)
{
    CHECK_PROPERTY([] {
        auto stale = *rc::gen::container<std::vector<bool>>(*rc::gen::inRange<size_t>(0, 200), rc::gen::map(rc::gen::inRange(0, 20), [](int roll) { return roll == 0; }));
        GroupCommit commit(GroupLimits {});
        for (size_t index = 0; index < stale.size(); ++index)
            commit.add(WriteId(static_cast<int64_t>(index)), writeOf(index, stale[index]), start);
        auto committed = drain(commit);
        RC_ASSERT(committed.size() == stale.size());
        for (size_t index = 0; index < stale.size(); ++index)
            RC_ASSERT(committed[WriteId(static_cast<int64_t>(index))] != stale[index]);
    });
}

TEST(Grouping, OneLoserInAFullBatchCostsTwoTransactionsALevel)
{
    GroupCommit commit(GroupLimits {});
    for (size_t index = 0; index < 64; ++index)
        commit.add(WriteId(static_cast<int64_t>(index)), writeOf(index, index == 17), start);
    drain(commit);
    CHECK_EQUAL(13, commit.transactions());
}

TEST(Grouping, ABatchIsBoundedInMembersAndBytes)
{
    GroupLimits limits;
    limits.members = 3;
    limits.bytes = Bytes(1000);
    limits.inFlight = 100;
    GroupCommit commit(limits);
    for (size_t index = 0; index < 7; ++index) {
        RecordWrite write = writeOf(index, false);
        write.value = std::string(index == 6 ? 5000 : 300, 'x');
        commit.add(WriteId(static_cast<int64_t>(index)), write, start);
    }
    size_t members = 0;
    Instant now = start;
    while (commit.waiting() > 0) {
        for (const auto& batch : commit.poll(now)) {
            members += batch.transaction.operations.size();
            CHECK_COMPARE(batch.transaction.operations.size(), <=, 3);
        }
        now += milliseconds(20);
    }
    CHECK_EQUAL(7, members);
}

// The service refuses a transaction that writes one key twice, and both calls would be refused with it.
TEST(Grouping, TwoWritesOfAKeyAreNeverInFlightTogether)
{
    GroupCommit commit(GroupLimits {});
    commit.add(WriteId(1), writeOf(1, false), start);
    commit.add(WriteId(2), writeOf(1, false), start);
    auto first = commit.poll(start);
    CHECK_EQUAL(1, first.size());
    CHECK_EQUAL(1, first[0].transaction.operations.size());
    CHECK_EQUAL(0, commit.poll(start + milliseconds(100)).size());
    CHECK_FALSE(commit.wakeAt().has_value());
    commit.onOutcome(first[0].id, TransactionReply { true, Revision(3) });
    CHECK_EQUAL(1, commit.poll(start + milliseconds(200)).size());
}

TEST(Grouping, EveryMemberOfABatchWithoutAnswerIsTold)
{
    GroupCommit commit(GroupLimits {});
    for (size_t index = 0; index < 5; ++index)
        commit.add(WriteId(static_cast<int64_t>(index)), writeOf(index, false), start);
    auto batches = commit.poll(start);
    auto results = commit.onOutcome(batches.at(0).id, Error { ErrorKind::Timeout, "" });
    CHECK_EQUAL(5, results.size());
    CHECK_TRUE(std::holds_alternative<Error>(results[0].outcome));
    CHECK_FALSE(commit.wakeAt().has_value());
}

TEST(Grouping, AWriteCanBeTakenBackOnlyBeforeItIsSent)
{
    GroupCommit commit(GroupLimits {});
    commit.add(WriteId(1), writeOf(1, false), start);
    CHECK_TRUE(commit.withdraw(WriteId(1)));
    commit.add(WriteId(2), writeOf(2, false), start);
    commit.poll(start);
    CHECK_FALSE(commit.withdraw(WriteId(2)));
}

// The figures of docs/design/non-idempotent-calls.md: ten seconds of writes that come evenly, a service that answers
// after 3 ms, and what one sidecar asks of it.
TEST(Grouping, TheWriteRateIsBoundedUnderLoad)
{
    for (int perSecond : { 10, 100, 1000, 2000 }) {
        GroupCommit commit(GroupLimits {});
        std::multimap<Instant, BatchId> answers;
        int64_t added = 0;
        for (int step = 0; step < 10'000; ++step) {
            Instant now = start + milliseconds(step);
            for (; added * 1000 < static_cast<int64_t>(step) * perSecond; ++added)
                commit.add(WriteId(added), writeOf(static_cast<size_t>(added), false), now);
            while (!answers.empty() && answers.begin()->first <= now) {
                commit.onOutcome(answers.begin()->second, TransactionReply { true, Revision(1) });
                answers.erase(answers.begin());
            }
            for (const auto& batch : commit.poll(now))
                answers.emplace(now + milliseconds(3), batch.id);
        }
        UT_PRINT(StringFromFormat("%d writes a second: %.1f transactions a second", perSecond, static_cast<double>(commit.transactions()) / 10));
        CHECK_COMPARE(commit.transactions(), <=, 501);
        CHECK_COMPARE(commit.waiting(), <=, 64);
    }
}

TEST_GROUP(Cleaning) {};

TEST(Cleaning, OnlyRecordsPastTheirRetentionAreDeletedAndOnlyUnchanged)
{
    int64_t day = toMilliseconds(hours(24));
    RangeReply reply { {}, Revision(9) };
    reply.entries.push_back({ "/k/old", encodeRecord(finishedRecord(UnixMilliseconds(0))), {}, Revision(3) });
    reply.entries.push_back({ "/k/young", encodeRecord(finishedRecord(UnixMilliseconds(day))), {}, Revision(4) });
    reply.entries.push_back({ "/k/broken", "?", {}, Revision(5) });
    auto plan = RecordCleaner(CleanerLimits {}).plan(reply, OneRetention(), UnixMilliseconds(day + toMilliseconds(hours(1))));
    CHECK_EQUAL(1, plan.expired);
    CHECK_EQUAL(1, plan.kept);
    CHECK_EQUAL(1, plan.malformed.size());
    CHECK_EQUAL(1, plan.transactions.size());
    CHECK_EQUAL(3, plan.transactions[0].comparisons[0].modified.value());
    STRCMP_EQUAL("/k/old", std::get<DeleteOperation>(plan.transactions[0].operations[0]).key.c_str());
}

TEST(Cleaning, EveryRecordLiesInABucketThatIsVisited)
{
    RecordCleaner cleaner(CleanerLimits {});
    std::set<std::string> visited;
    for (int bucket = 0; bucket < recordBuckets; ++bucket)
        visited.insert(cleaner.nextPrefix());
    CHECK_EQUAL(recordBuckets, visited.size());
    CHECK_TRUE(visited.count(cleaner.nextPrefix()) > 0);
    CHECK_PROPERTY([&](const std::string& key) {
        std::string stored = storageKey({ ClientAccountId("a"), ServiceId("s"), IdempotencyKey(key) });
        RC_ASSERT(visited.count(stored.substr(0, bucketPrefix(0).size())) == 1u);
    });
}
