#include "toucanstep/calls/CallExecutor.h"

#include "RecordLookup.h"
#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::calls {

using base::Instant;
using base::RefusalCode;
using internal::findRecord;

namespace {
void append(ExecutorActions& actions, ExecutorActions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}
}

CallExecutor::CallExecutor(std::string process, ExecutorLimits limits)
    : m_process(std::move(process))
    , m_limits(limits)
{
}

RecordNonce CallExecutor::nextNonce()
{
    ++m_counter;
    return RecordNonce(base::concat(m_process, "/", m_counter));
}

CallRecord CallExecutor::recordOf(const Call& call, RecordState state, UnixMilliseconds writtenAt) const
{
    CallRecord record;
    record.state = state;
    record.service = call.dispatch.key.service;
    record.attempt = call.dispatch.attempt;
    record.body = call.dispatch.body;
    record.writtenAt = writtenAt;
    return record;
}

ExecutorActions CallExecutor::submit(Call& call, Step step, RecordWrite write, Instant now)
{
    call.step = step;
    call.busy = true;
    return { SubmitWrite { call.dispatch.attempt, std::move(write), now + m_limits.storeTimeout } };
}

ExecutorActions CallExecutor::start(const CallDispatch& dispatch, Instant deadline, Instant now, UnixMilliseconds unixNow)
{
    if (m_calls.count(dispatch.attempt) || m_ended.count(dispatch.attempt))
        return {};
    Call& call = m_calls[dispatch.attempt];
    call.dispatch = dispatch;
    call.deadline = deadline;
    call.claimUntil = std::min(deadline, now + m_limits.claimWait);
    if (now >= deadline)
        return finish(call, CallReply { .kind = ReplyKind::NotRun, .reason = RefusalCode::DeadlineExceeded });
    CallRecord record = recordOf(call, RecordState::Claimed, unixNow);
    record.writer = call.claimNonce = nextNonce();
    return submit(call, Step::Claiming, RecordWrite { storageKey(dispatch.key), dispatch.expected, encodeRecord(record) }, now);
}

ExecutorActions CallExecutor::onWrite(const AttemptId& attempt, const base::Outcome<base::TransactionReply>& outcome, Instant now, UnixMilliseconds unixNow)
{
    auto found = m_calls.find(attempt);
    if (found == m_calls.end())
        return {};
    Call& call = found->second;
    call.busy = false;
    switch (call.step) {
    case Step::Claiming:
        return onClaimWritten(call, outcome, now, unixNow);
    case Step::Tombstoning:
    case Step::AbandonedWriting:
        return onTombstoneWritten(call, outcome, now);
    case Step::Storing:
        return onOutcomeWritten(call, outcome, now);
    default:
        // The call was abandoned while the write was under way; the next read tells what became of it.
        return {};
    }
}

ExecutorActions CallExecutor::onClaimWritten(Call& call, const base::Outcome<base::TransactionReply>& outcome, Instant now, UnixMilliseconds unixNow)
{
    if (const auto* error = std::get_if<base::Error>(&outcome)) {
        if (internal::isCertain(*error))
            return finish(call, CallReply { .kind = ReplyKind::NotRun, .reason = RefusalCode::StoreUnavailable });
        return onClaimLost(call, now);
    }
    const auto& reply = std::get<base::TransactionReply>(outcome);
    if (reply.committed)
        return onClaimStands(call, reply.revision, now, unixNow);
    return readRecord(call, Step::ReadingClaim, now);
}

// The claim's answer was lost, so it may stand, and the call must neither run nor be told to have run on a guess.
ExecutorActions CallExecutor::onClaimLost(Call& call, Instant now)
{
    return readRecord(call, Step::ReadingClaim, now);
}

ExecutorActions CallExecutor::onClaimStands(Call& call, base::Revision revision, Instant now, UnixMilliseconds unixNow)
{
    call.claimed = revision;
    // A process that was paused finds out here that nobody waits any more.
    if (now >= call.deadline)
        return abandon(call, RefusalCode::DeadlineExceeded, now);
    if (call.started)
        return writeTombstone(call, revision, now, unixNow);
    return run(call);
}

ExecutorActions CallExecutor::run(Call& call)
{
    call.started = true;
    call.step = Step::Running;
    return { RunCall { call.dispatch.attempt, call.deadline } };
}

ExecutorActions CallExecutor::onClaimAbsent(Call& call, Instant now, UnixMilliseconds unixNow)
{
    return writeTombstone(call, call.dispatch.expected, now, unixNow);
}

ExecutorActions CallExecutor::onOtherRecord(Call& call, const CallRecord& record, Instant)
{
    if (record.state == RecordState::Tombstone)
        return finish(call, CallReply { .kind = ReplyKind::Tombstoned, .tombstone = record.modified });
    if (record.body != call.dispatch.body)
        return finish(call, CallReply { .kind = ReplyKind::KeyReused, .reason = RefusalCode::IdempotencyKeyReused });
    if (record.state == RecordState::Finished)
        return finish(call, CallReply { .kind = ReplyKind::Answered, .answer = *record.answer, .repeated = true });
    return finish(call, CallReply { .kind = ReplyKind::MayHaveRun, .mayFinish = true, .reason = RefusalCode::OutcomeUnknown });
}

ExecutorActions CallExecutor::writeTombstone(Call& call, base::Revision expected, Instant now, UnixMilliseconds unixNow)
{
    CallRecord record = recordOf(call, RecordState::Tombstone, unixNow);
    record.writer = call.tombstoneNonce = nextNonce();
    Step step = call.replied ? Step::AbandonedWriting : Step::Tombstoning;
    return submit(call, step, RecordWrite { storageKey(call.dispatch.key), expected, encodeRecord(record) }, now);
}

ExecutorActions CallExecutor::onTombstoneWritten(Call& call, const base::Outcome<base::TransactionReply>& outcome, Instant now)
{
    const auto* reply = std::get_if<base::TransactionReply>(&outcome);
    if (reply && reply->committed) {
        if (!call.replied)
            return finish(call, CallReply { .kind = ReplyKind::Tombstoned, .tombstone = reply->revision });
        end(call);
        return {};
    }
    if (!call.replied)
        return readRecord(call, Step::ReadingClaim, now);
    call.step = Step::Abandoned;
    call.wakeAt = now + m_limits.settleInterval;
    return {};
}

ExecutorActions CallExecutor::readRecord(Call& call, Step step, Instant now)
{
    call.step = step;
    call.busy = true;
    return { ReadRecord { call.dispatch.attempt, storageKey(call.dispatch.key), now + m_limits.storeTimeout } };
}

ExecutorActions CallExecutor::onRead(const AttemptId& attempt, const base::Outcome<base::RangeReply>& outcome, Instant now, UnixMilliseconds unixNow)
{
    auto found = m_calls.find(attempt);
    if (found == m_calls.end())
        return {};
    Call& call = found->second;
    call.busy = false;
    switch (call.step) {
    case Step::ReadingClaim:
        return onClaimRead(call, outcome, now, unixNow);
    case Step::ReadingOutcome:
        return onOutcomeRead(call, outcome, now, unixNow);
    case Step::AbandonedReading:
        return onAbandonedRead(call, outcome, now, unixNow);
    default:
        return {};
    }
}

ExecutorActions CallExecutor::onClaimRead(Call& call, const base::Outcome<base::RangeReply>& outcome, Instant now, UnixMilliseconds unixNow)
{
    const auto* reply = std::get_if<base::RangeReply>(&outcome);
    if (!reply) {
        call.wakeAt = now + m_limits.settleInterval;
        return {};
    }
    auto found = findRecord(*reply, storageKey(call.dispatch.key));
    if (found.modified == call.dispatch.expected)
        return onClaimAbsent(call, now, unixNow);
    if (!found.record)
        return finish(call, CallReply { .kind = ReplyKind::NotRun, .reason = RefusalCode::Internal });
    if (found.record->writer == call.claimNonce)
        return onClaimStands(call, found.modified, now, unixNow);
    return onOtherRecord(call, *found.record, now);
}

// Gives the attempt up: only this process could have run it, and it never will. So NotRun is true at once, also while the
// claim's fate is unknown; a claim that stands or comes to stand would tell repeats that the call may have run, so a
// tombstone takes its place as soon as the service can be reached.
ExecutorActions CallExecutor::abandon(Call& call, RefusalCode reason, Instant now)
{
    auto actions = replyOnce(call, CallReply { .kind = ReplyKind::NotRun, .reason = reason });
    call.step = Step::Abandoned;
    call.wakeAt = now;
    call.settleUntil = now + m_limits.settleFor;
    return actions;
}

ExecutorActions CallExecutor::onAbandonedRead(Call& call, const base::Outcome<base::RangeReply>& outcome, Instant now, UnixMilliseconds unixNow)
{
    const auto* reply = std::get_if<base::RangeReply>(&outcome);
    if (!reply) {
        call.step = Step::Abandoned;
        call.wakeAt = now + m_limits.settleInterval;
        return {};
    }
    auto found = findRecord(*reply, storageKey(call.dispatch.key));
    bool own = found.record && found.record->writer == call.claimNonce;
    if (own || found.modified == call.dispatch.expected)
        return writeTombstone(call, found.modified, now, unixNow);
    end(call);
    return {};
}

ExecutorActions CallExecutor::onRan(const AttemptId& attempt, RunOutcome outcome, StoredAnswer answer, Instant now, UnixMilliseconds unixNow)
{
    auto found = m_calls.find(attempt);
    if (found == m_calls.end() || found->second.step != Step::Running)
        return {};
    Call& call = found->second;
    switch (outcome) {
    case RunOutcome::Unknown:
        return finish(call, CallReply { .kind = ReplyKind::MayHaveRun, .reason = RefusalCode::OutcomeUnknown });
    case RunOutcome::NotSent:
        call.claimUntil = std::min(call.deadline, now + m_limits.claimWait);
        return writeTombstone(call, call.claimed, now, unixNow);
    case RunOutcome::Answered:
        break;
    }
    call.answer = std::move(answer);
    call.wakeAt = std::min(now + m_limits.storeWait, std::max(now, call.deadline));
    call.settleUntil = now + m_limits.settleFor;
    return storeOutcome(call, now, unixNow);
}

ExecutorActions CallExecutor::storeOutcome(Call& call, Instant now, UnixMilliseconds unixNow)
{
    CallRecord record = recordOf(call, RecordState::Finished, unixNow);
    record.writer = call.outcomeNonce = nextNonce();
    record.answer = boundedAnswer(*call.answer, m_limits.storedAnswer);
    return submit(call, Step::Storing, RecordWrite { storageKey(call.dispatch.key), call.claimed, encodeRecord(record) }, now);
}

ExecutorActions CallExecutor::onOutcomeWritten(Call& call, const base::Outcome<base::TransactionReply>& outcome, Instant now)
{
    if (const auto* reply = std::get_if<base::TransactionReply>(&outcome)) {
        // Nobody else writes over a claim; where the comparison failed the record was stored before, or has been cleaned up.
        if (reply->committed)
            return finish(call, CallReply { .kind = ReplyKind::Answered, .answer = *call.answer });
    }
    return readRecord(call, Step::ReadingOutcome, now);
}

ExecutorActions CallExecutor::onOutcomeRead(Call& call, const base::Outcome<base::RangeReply>& outcome, Instant now, UnixMilliseconds unixNow)
{
    const auto* reply = std::get_if<base::RangeReply>(&outcome);
    if (!reply) {
        if (call.replied)
            call.wakeAt = now + m_limits.settleInterval;
        return {};
    }
    auto found = findRecord(*reply, storageKey(call.dispatch.key));
    if (found.modified == call.claimed)
        return storeOutcome(call, now, unixNow);
    return finish(call, CallReply { .kind = ReplyKind::Answered, .answer = *call.answer });
}

ExecutorActions CallExecutor::tick(Instant now, UnixMilliseconds unixNow)
{
    ExecutorActions actions;
    std::vector<AttemptId> due;
    for (const auto& [attempt, call] : m_calls)
        due.push_back(attempt);
    for (const auto& attempt : due)
        append(actions, wake(m_calls.at(attempt), now, unixNow));
    for (auto ended = m_ended.begin(); ended != m_ended.end();)
        ended = now >= ended->second ? m_ended.erase(ended) : std::next(ended);
    return actions;
}

ExecutorActions CallExecutor::wake(Call& call, Instant now, UnixMilliseconds)
{
    switch (call.step) {
    case Step::Claiming:
    case Step::ReadingClaim:
    case Step::Tombstoning:
        if (now >= call.claimUntil)
            return abandon(call, RefusalCode::StoreUnavailable, now);
        if (!call.busy && now >= call.wakeAt)
            return readRecord(call, Step::ReadingClaim, now);
        return {};
    case Step::Running:
        return {};
    case Step::Storing:
    case Step::ReadingOutcome: {
        ExecutorActions actions;
        if (!call.replied && now >= call.wakeAt)
            actions = replyOnce(call, CallReply { .kind = ReplyKind::Answered, .answer = *call.answer });
        if (call.busy || now < call.wakeAt)
            return actions;
        if (now >= call.settleUntil) {
            end(call);
            return actions;
        }
        append(actions, readRecord(call, Step::ReadingOutcome, now));
        return actions;
    }
    case Step::Abandoned:
        if (now >= call.settleUntil) {
            end(call);
            return {};
        }
        if (!call.busy && now >= call.wakeAt)
            return readRecord(call, Step::AbandonedReading, now);
        return {};
    case Step::AbandonedReading:
    case Step::AbandonedWriting:
        return {};
    }
    return {};
}

ExecutorActions CallExecutor::replyOnce(Call& call, CallReply reply)
{
    if (call.replied)
        return {};
    call.replied = true;
    reply.attempt = call.dispatch.attempt;
    return { SendReply { std::move(reply) } };
}

ExecutorActions CallExecutor::finish(Call& call, CallReply reply)
{
    auto actions = replyOnce(call, std::move(reply));
    end(call);
    return actions;
}

void CallExecutor::end(Call& call)
{
    AttemptId attempt = call.dispatch.attempt;
    m_ended[attempt] = call.deadline + m_limits.settleFor;
    m_calls.erase(attempt);
}

size_t CallExecutor::unsettled() const
{
    auto counted = std::count_if(m_calls.begin(), m_calls.end(), [](const auto& call) { return call.second.replied; });
    return static_cast<size_t>(counted);
}

} // namespace toucanstep::calls
