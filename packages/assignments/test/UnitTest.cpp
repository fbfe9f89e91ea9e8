#include "toucanstep/assignments/AssignmentTable.h"
#include "toucanstep/assignments/Mover.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep::assignments;
using namespace toucanstep::base;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RowKey share { RowKind::LimitShare, "farm/one", 2 };
const Holder self { InstanceId("a"), StartNonce("s1") };

KeyValue entryOf(const Row& row)
{
    return KeyValue { storageKey(row.key), encodeRow(row), row.modified, row.modified };
}

Instant at(Duration time)
{
    return Instant(std::chrono::hours(1) + time);
}

RequestWindow sentAt(Duration time)
{
    return { at(time), at(time + seconds(1)) };
}

VoterSets voterSetsOf(const std::set<InstanceId>& members)
{
    return { { Generation(1), members }, std::nullopt, Revision(3) };
}

const std::set<InstanceId> threeVoters { InstanceId("x"), InstanceId("y"), InstanceId("z") };

} // namespace

TEST_GROUP(Rows) {};

TEST(Rows, EncodedRowsRoundTrip)
{
    CHECK_PROPERTY([](const std::string& subject, uint32_t slot, const std::string& payload) {
        Row row { { RowKind::ReplicaSlot, subject, slot }, self, Epoch(7), WriteNonce("n"), payload, Revision(9) };
        Error error;
        auto decoded = valueOr(error, [&] { return decodeRow(entryOf(row)); });
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == row);
    });
}

TEST(Rows, MalformedRowsAreRejected)
{
    CHECK_PROPERTY([](const std::string& key, const std::string& value) {
        Error error;
        RC_ASSERT(!valueOr(error, [&] { return parseStorageKey(key); }).has_value());
        auto row = valueOr(error, [&] { return decodeRow(KeyValue { storageKey(share), value, {}, {} }); });
        RC_ASSERT(!row.has_value());
    });
    Error error;
    for (const char* key : { "/toucanstep/assignments/limit_share/a/01", "/toucanstep/assignments/limit_share/%61/1", "/toucanstep/assignments/limit_share/a/b/1", "/toucanstep/assignments/other/a/1" })
        CHECK_FALSE(valueOr(error, [&] { return parseStorageKey(key); }).has_value());
}

// A value of nested arrays, one byte per level. A recursive parser would overflow the stack.
TEST(Rows, DeeplyNestedValuesAreRejected)
{
    Error error;
    CHECK_FALSE(valueOr(error, [&] { return decodeRow(KeyValue { storageKey(share), std::string(1'000'000, '\x91'), {}, {} }); }).has_value());
}

TEST_GROUP(AssignmentTables) {};

// Watch events and reads arrive out of order and some twice, over connections of different age. In any order, the
// table must end with the newest state: if an older row came back, its holder might use it.
TEST(AssignmentTables, OlderAnswersNeverReplaceNewerOnes)
{
    CHECK_PROPERTY([] {
        struct Change {
            bool deleted;
            int slot;
        };
        auto changes = *rc::gen::container<std::vector<Change>>(rc::gen::construct<Change>(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 3)));
        std::map<int, std::optional<Row>> truth;
        std::vector<std::function<void(AssignmentTable&)>> updates;
        int64_t revision = 0;
        for (const auto& change : changes) {
            ++revision;
            Row row { { RowKind::LimitShare, "a", static_cast<uint32_t>(change.slot) }, self, Epoch(revision), WriteNonce(std::to_string(revision)), "", Revision(revision) };
            truth[change.slot] = change.deleted ? std::nullopt : std::optional(row);
            WatchEvent event { entryOf(row), change.deleted };
            Revision current(revision);
            updates.push_back([event, current](AssignmentTable& table) { table.applyEvents({ event }, current); });
            RangeReply reply { {}, current };
            for (const auto& [slot, known] : truth) {
                if (known)
                    reply.entries.push_back(entryOf(*known));
            }
            updates.push_back([reply](AssignmentTable& table) { table.applyRange(allRowsPrefix, reply); });
        }
        auto order = *rc::gen::container<std::vector<size_t>>(updates.size() * 2, rc::gen::inRange<size_t>(0, std::max<size_t>(1, updates.size())));
        AssignmentTable table;
        if (!updates.empty())
            updates.back()(table);
        for (size_t index : order)
            updates[index](table);
        for (const auto& [slot, expected] : truth) {
            const Row* found = table.find({ RowKind::LimitShare, "a", static_cast<uint32_t>(slot) });
            RC_ASSERT((found ? std::optional(*found) : std::nullopt) == expected);
        }
    });
}

TEST_GROUP(Movers) {};

// The answer to a claim is lost, so its outcome is unknown. Claiming again blindly would leave two views of the
// writer; reading the row back resolves the outcome by its nonce.
TEST(Movers, ALostAnswerIsResolvedByTheNonce)
{
    Mover mover(self);
    Move move = mover.claim(share, "", Revision(5));
    CHECK_TRUE(mover.onOutcome(move.id, Error { ErrorKind::Timeout, "" }) == MoveState::NeedsRead);
    const auto& put = std::get<PutOperation>(move.transaction.operations[0]);
    CHECK_TRUE(mover.onRead(move.id, RangeReply { { { put.key, put.value, Revision(6), Revision(6) } }, Revision(8) }) == MoveState::Committed);
    CHECK_EQUAL(6, mover.writtenRow(move.id)->modified.value());
    CHECK_EQUAL(6, mover.writtenRow(move.id)->epoch.value());
}

// The read after a lost answer overtakes the transaction: it shows no row, a second claim is sent, and then the first
// takes effect. Both compare the same revision, so one fails and the row has one holder.
TEST(Movers, AReadThatOvertakesTheTransactionLeavesItInDoubt)
{
    Mover mover(self);
    Move first = mover.claim(share, "", Revision(5));
    mover.onOutcome(first.id, Error { ErrorKind::Timeout, "" });
    CHECK_TRUE(mover.onRead(first.id, RangeReply { {}, Revision(5) }) == MoveState::InDoubt);
    Move second = mover.claim(share, "", Revision(5));
    const auto& put = std::get<PutOperation>(first.transaction.operations[0]);
    CHECK_TRUE(mover.onOutcome(second.id, TransactionReply { false, Revision(6) }) == MoveState::Failed);
    CHECK_TRUE(mover.onRead(first.id, RangeReply { { { put.key, put.value, Revision(6), Revision(6) } }, Revision(6) }) == MoveState::Committed);
    CHECK_EQUAL(0, mover.unfinishedCount());
}

// The answer to a release is lost and a read still shows the row. If the row were used again, the late release would
// delete it while in use. It stays relinquished until a new revision names this process.
TEST(Movers, AReleasedRowIsNotUsedAgainAtTheSameRevision)
{
    HolderState holder(self, Timing {});
    Mover mover(self);
    Row row { share, self, Epoch(4), WriteNonce("n"), "", Revision(4) };
    holder.onServiceRead(sentAt({}), at({}), Revision(4), false, std::nullopt);
    holder.onListAnswer(sentAt({}), at({}), 1, true);
    CHECK_TRUE(holder.mayUse(row, at(seconds(1))));
    Move move = mover.release(row, holder);
    CHECK_FALSE(holder.mayUse(row, at(seconds(1))));
    mover.onOutcome(move.id, Error { ErrorKind::Timeout, "" });
    CHECK_TRUE(mover.onRead(move.id, RangeReply { { entryOf(row) }, Revision(4) }) == MoveState::InDoubt);
    CHECK_FALSE(holder.mayUse(row, at(seconds(1))));
    CHECK_TRUE(holder.hasRelinquished(row));
    row.modified = Revision(9);
    CHECK_TRUE(holder.mayUse(row, at(seconds(1))));
}

TEST_GROUP(HolderStates) {};

// A list answer arrives after its deadline, for example because the process was paused. It shows an old state and must
// not extend the use of rows.
TEST(HolderStates, AnAnswerAfterItsDeadlineIsIgnored)
{
    HolderState holder(self, Timing {});
    Row row { share, self, Epoch(4), WriteNonce("n"), "", Revision(4) };
    holder.onServiceRead(sentAt({}), at({}), Revision(4), false, std::nullopt);
    holder.onListAnswer(sentAt({}), at(seconds(2)), 1, true);
    CHECK_FALSE(holder.mayUse(row, at(seconds(2))));
    holder.onListAnswer(sentAt(seconds(2)), at(seconds(3)), 1, true);
    CHECK_TRUE(holder.mayUse(row, at(seconds(7))));
    CHECK_FALSE(holder.mayUse(row, at(seconds(7) + milliseconds(1))));
}

// A holder is dropped and marked, its row is taken over, the list shows it again by mistake, and the mark is deleted,
// all while the holder is paused. The next list answer alone must not restore use of a row that has moved.
TEST(HolderStates, AfterAGapTheListAloneDoesNotRestoreUse)
{
    HolderState holder(self, Timing {});
    Row row { share, self, Epoch(4), WriteNonce("n"), "", Revision(4) };
    holder.onServiceRead(sentAt({}), at({}), Revision(4), false, voterSetsOf(threeVoters));
    holder.onListAnswer(sentAt({}), at({}), 1, true);
    CHECK_TRUE(holder.mayUse(row, at(seconds(5))));
    holder.onListAnswer(sentAt(seconds(30)), at(seconds(30)), 2, true);
    CHECK_FALSE(holder.mayUse(row, at(seconds(30))));
    CHECK_TRUE(holder.hasLapsed(at(seconds(30))));
    // A read requested before the gap ended proves nothing about it.
    holder.onServiceRead(sentAt(seconds(4)), at(seconds(4)), Revision(8), false, std::nullopt);
    CHECK_FALSE(holder.mayUse(row, at(seconds(30))));
    holder.onServiceRead(sentAt(seconds(30)), at(seconds(30)), Revision(9), false, std::nullopt);
    CHECK_TRUE(holder.mayUse(row, at(seconds(30))));
}

// A gone mark exists for an instance that the list shows again. The process stops, may delete the mark itself, and
// uses its rows only after reading them without the mark.
TEST(HolderStates, AMarkedHolderStopsUntilItHasReadThatTheMarkIsLifted)
{
    HolderState holder(self, Timing {});
    Row row { share, self, Epoch(4), WriteNonce("n"), "", Revision(4) };
    holder.onServiceRead(sentAt({}), at({}), Revision(4), false, std::nullopt);
    holder.onListAnswer(sentAt({}), at({}), 1, true);
    CHECK_FALSE(holder.mayLiftMark(at({})));
    holder.onServiceRead(sentAt(seconds(1)), at(seconds(1)), Revision(6), true, std::nullopt);
    CHECK_FALSE(holder.mayUse(row, at(seconds(1))));
    CHECK_TRUE(holder.mayLiftMark(at(seconds(1))));
    holder.onServiceRead(sentAt(seconds(1)), at(seconds(1)), Revision(5), false, std::nullopt);
    CHECK_FALSE(holder.mayUse(row, at(seconds(1))));
    holder.onServiceRead(sentAt(seconds(2)), at(seconds(2)), Revision(7), false, std::nullopt);
    CHECK_TRUE(holder.mayUse(row, at(seconds(2))));
}

// Two of three voters vouch, one of them under a newer set than the holder knows. That voter has promised to stop
// vouching under the holder's set, so the two are not a majority.
TEST(HolderStates, AVoterOfANewerSetDoesNotCountForThePreviousSet)
{
    HolderState holder(self, Timing {});
    Row row { share, self, Epoch(4), WriteNonce("n"), "", Revision(4) };
    holder.onServiceRead(sentAt({}), at({}), Revision(4), false, voterSetsOf(threeVoters));
    holder.onVoterAnswer(sentAt({}), at({}), InstanceId("x"), Generation(1), true);
    holder.onVoterAnswer(sentAt({}), at({}), InstanceId("y"), Generation(2), true);
    CHECK_FALSE(holder.mayUse(row, at({})));
    holder.onVoterAnswer(sentAt({}), at({}), InstanceId("z"), Generation(1), true);
    CHECK_TRUE(holder.mayUse(row, at({})));
}

// A holder's rows have moved under promises of the previous voters. It learns the new set from a gateway and asks a
// new member that has not read the service since joining and so does not know the mark. That vote must not count.
TEST(HolderStates, AVoterWithAnOlderSetDoesNotCount)
{
    HolderState holder(self, Timing {});
    Row row { share, self, Epoch(4), WriteNonce("n"), "", Revision(4) };
    holder.onServiceRead(sentAt({}), at({}), Revision(4), false, voterSetsOf(threeVoters));
    holder.onVoterSet({ Generation(2), { InstanceId("p"), InstanceId("q"), InstanceId("r") } });
    holder.onVoterAnswer(sentAt({}), at({}), InstanceId("p"), Generation(1), true);
    holder.onVoterAnswer(sentAt({}), at({}), InstanceId("q"), Generation(0), true);
    CHECK_FALSE(holder.mayUse(row, at({})));
    holder.onVoterAnswer(sentAt({}), at({}), InstanceId("p"), Generation(2), true);
    holder.onVoterAnswer(sentAt({}), at({}), InstanceId("q"), Generation(2), true);
    CHECK_TRUE(holder.mayUse(row, at({})));
}

TEST(HolderStates, TheDefaultTimesLeaveRoomForDrift)
{
    Timing timing;
    CHECK_TRUE(isSafe(timing));
    timing.holderLimit = timing.absence;
    CHECK_FALSE(isSafe(timing));
}

TEST_GROUP(VoterStates) {};

// A gateway promises a taker, dies, and restarts while the service is down, losing its promise. If it vouched, the
// previous holder would use a row that has moved.
TEST(VoterStates, AVoterThatHasNotReadTheMarksVouchesForNobody)
{
    VoterState voter(InstanceId("x"), Timing {}, at({}));
    voter.onListed(at({}));
    CHECK_FALSE(voter.vouchFor(InstanceId("a"), at(seconds(1))));
    voter.onServiceRead(Revision(8), { { InstanceId("a"), Revision(7) } }, voterSetsOf(threeVoters));
    CHECK_FALSE(voter.vouchFor(InstanceId("a"), at(seconds(1))));
    CHECK_TRUE(voter.vouchFor(InstanceId("b"), at(seconds(1))));
}

// A service read that began before the mark was written arrives after the promise and must not cancel it. A read after
// the mark was deleted must.
TEST(VoterStates, APromiseStandsUntilItsMarkIsKnownToBeLifted)
{
    VoterState voter(InstanceId("x"), Timing {}, at({}));
    voter.onListed(at({}));
    voter.onServiceRead(Revision(5), {}, voterSetsOf(threeVoters));
    CHECK_TRUE(voter.vouchFor(InstanceId("a"), at(seconds(1))));
    VoterReply reply = voter.onAbsenceQuery(InstanceId("a"), Revision(7), at(seconds(3)));
    CHECK_EQUAL(7, reply.promisedUnder.value());
    CHECK_TRUE(reply.silentFor == seconds(2));
    voter.onServiceRead(Revision(6), {}, voterSetsOf(threeVoters));
    CHECK_FALSE(voter.vouchFor(InstanceId("a"), at(seconds(4))));
    voter.onServiceRead(Revision(9), {}, voterSetsOf(threeVoters));
    CHECK_TRUE(voter.vouchFor(InstanceId("a"), at(seconds(5))));
}

// Marks and voter sets are read by two requests, and between them a mark is written and this gateway becomes a voter.
// If its vote counted at once, it would vouch for the instance whose rows are moving, because it does not know the
// mark.
TEST(VoterStates, VoterSetsNewerThanTheMarksAreLeftForTheNextRead)
{
    VoterState voter(InstanceId("x"), Timing {}, at({}));
    voter.onListed(at({}));
    VoterSets voterSets = voterSetsOf(threeVoters);
    voter.onServiceRead(Revision(2), {}, voterSets);
    CHECK_TRUE(voter.generation() == Generation(0));
    voter.onServiceRead(Revision(3), {}, voterSets);
    CHECK_TRUE(voter.generation() == Generation(1));
}

TEST_GROUP(FailureDetectors) {};

// An answer without the instance comes from a list replica that has not yet seen it start. Without versions, only
// absence for longer than the lag proves that it was dropped, and an answer that shows it restarts that time.
TEST(FailureDetectors, AStaleListAnswerDoesNotProveThatAnInstanceWasDropped)
{
    FailureDetector detector(Timing {});
    InstanceId instance("a");
    detector.watch(instance, at({}));
    for (int second = 0; second < 9; ++second)
        detector.onListAnswer(sentAt(seconds(second)), at(seconds(second)), std::nullopt, {});
    detector.onListAnswer(sentAt(seconds(9)), at(seconds(9)), std::nullopt, { instance });
    for (int second = 10; second <= 20; ++second) {
        detector.onListAnswer(sentAt(seconds(second)), at(seconds(second)), std::nullopt, {});
        CHECK_FALSE(detector.listHasDropped(instance));
    }
    detector.onListAnswer(sentAt(seconds(21)), at(seconds(21)), std::nullopt, {});
    CHECK_TRUE(detector.listHasDropped(instance));
}

// With versions, an answer older than the one that showed the instance is ignored, however late it arrives.
TEST(FailureDetectors, AnOlderVersionIsIgnored)
{
    FailureDetector detector(Timing {});
    InstanceId instance("a");
    detector.watch(instance, at({}));
    detector.onListAnswer(sentAt({}), at({}), 5, { instance });
    detector.onListAnswer(sentAt(seconds(1)), at(seconds(1)), 4, {});
    CHECK_FALSE(detector.listHasDropped(instance));
    detector.onListAnswer(sentAt(seconds(2)), at(seconds(2)), 6, {});
    CHECK_TRUE(detector.listHasDropped(instance));
    CHECK_TRUE(detector.phase(instance, at(seconds(2))) == FailurePhase::Absent);
}

TEST_GROUP(VoterSetChanges) {};

// All gateways are replaced within minutes. If the sets were simply swapped, a holder cut off with the previous
// gateways and a taker asking the new ones would each have a majority.
TEST(VoterSetChanges, APreviousSetIsKeptUntilItsMajorityHasPromised)
{
    VoterSets known = voterSetsOf(threeVoters);
    std::set<InstanceId> next { InstanceId("p"), InstanceId("q"), InstanceId("r") };
    auto change = changeVoterSet(known, next);
    CHECK_TRUE(change.has_value());
    Error error;
    const auto& put = std::get<PutOperation>(change->operations[0]);
    auto changed = valueOr(error, [&] { return decodeVoterSets(KeyValue { put.key, put.value, {}, Revision(4) }); });
    CHECK_TRUE(changed && changed->current.members == next && changed->previous == known.current);
    CHECK_FALSE(isMajorityOfEachSet(*changed, next));
    CHECK_TRUE(isMajorityOfEachSet(*changed, { InstanceId("x"), InstanceId("y"), InstanceId("p"), InstanceId("q") }));
    CHECK_FALSE(changeVoterSet(*changed, threeVoters).has_value());
    CHECK_FALSE(retirePrevious(*changed, { InstanceId("x") }).has_value());
    CHECK_TRUE(retirePrevious(*changed, { InstanceId("x"), InstanceId("z") }).has_value());
}
