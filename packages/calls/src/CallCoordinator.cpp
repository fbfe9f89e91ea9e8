#include "toucanstep/calls/CallCoordinator.h"

#include "RecordLookup.h"
#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::calls {

using base::Instant;
using base::RanState;
using base::RefusalCode;

CallCoordinator::CallCoordinator(std::string process, CoordinatorLimits limits)
    : m_process(std::move(process))
    , m_limits(limits)
{
}

CoordinatorActions CallCoordinator::begin(CallId id, const CallKey& key, const BodyDigest& body, Instant deadline, Instant now)
{
    auto [found, isNew] = m_calls.emplace(id, Call {});
    if (!isNew)
        return {};
    Call& call = found->second;
    call.id = id;
    call.key = key;
    call.body = body;
    call.deadline = deadline;
    return dispatch(call, base::Revision(), now);
}

CoordinatorActions CallCoordinator::dispatch(Call& call, base::Revision expected, Instant now)
{
    if (now >= call.deadline)
        return refuse(call, RefusalCode::DeadlineExceeded, RanState::NotRun, "no time was left for another attempt", now);
    if (call.attempts >= m_limits.attempts)
        return refuse(call, RefusalCode::UpstreamFailed, RanState::NotRun, "no attempt reached the service", now);
    m_attempts.erase(call.attempt);
    ++call.attempts;
    ++m_counter;
    call.attempt = AttemptId(base::concat(m_process, "/", m_counter));
    call.expected = expected;
    call.notRun = false;
    call.step = Step::Dispatched;
    // Some of the time is kept back, so that a lost hop can still be settled; of a short time, half.
    call.attemptDeadline = call.deadline - std::min(m_limits.settleReserve, (call.deadline - now) / 2);
    m_attempts.emplace(call.attempt, call.id);
    return { SendAttempt { call.id, CallDispatch { call.attempt, call.key, call.body, expected }, call.attemptDeadline } };
}

CallCoordinator::Call* CallCoordinator::findAttempt(const AttemptId& attempt)
{
    auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return nullptr;
    Call& call = m_calls.at(found->second);
    // What comes from a hop that was given up is settled from the record instead.
    return call.step == Step::Dispatched ? &call : nullptr;
}

CoordinatorActions CallCoordinator::onReply(const CallReply& reply, Instant now, UnixMilliseconds)
{
    Call* call = findAttempt(reply.attempt);
    if (!call)
        return {};
    switch (reply.kind) {
    case ReplyKind::Answered:
        return finish(*call, CallResult { reply.answer, reply.repeated, std::nullopt });
    case ReplyKind::NotRun:
        call->notRun = true;
        if (reply.reason == RefusalCode::Leaving)
            return dispatch(*call, call->expected, now);
        return refuse(*call, reply.reason, RanState::NotRun, "the call was refused before it ran", now);
    case ReplyKind::Tombstoned:
        call->notRun = true;
        return dispatch(*call, reply.tombstone, now);
    case ReplyKind::KeyReused:
        return refuse(*call, RefusalCode::IdempotencyKeyReused, RanState::NotRun, "the key was used with another body", now);
    case ReplyKind::MayHaveRun:
        break;
    }
    if (!reply.mayFinish)
        return refuse(*call, RefusalCode::OutcomeUnknown, RanState::MayHaveRun, "the service was called and gave no answer", now);
    waitUntilNextRead(*call, Step::Waiting, now);
    return {};
}

CoordinatorActions CallCoordinator::onNotSent(const AttemptId& attempt, Instant now)
{
    Call* call = findAttempt(attempt);
    if (!call)
        return {};
    call->notRun = true;
    return dispatch(*call, call->expected, now);
}

CoordinatorActions CallCoordinator::onHopLost(const AttemptId& attempt, Instant now, UnixMilliseconds unixNow)
{
    Call* call = findAttempt(attempt);
    if (!call)
        return {};
    return onLost(*call, now, unixNow);
}

// The sidecar may have the attempt, may have run it, or may yet get it. A tombstone settles which: it changes the
// revision that the attempt's claim compares, so either the claim came first and shows, or it never succeeds.
CoordinatorActions CallCoordinator::onLost(Call& call, Instant now, UnixMilliseconds unixNow)
{
    return writeTombstone(call, now, unixNow);
}

CoordinatorActions CallCoordinator::writeTombstone(Call& call, Instant now, UnixMilliseconds unixNow)
{
    ++m_counter;
    CallRecord record;
    record.state = RecordState::Tombstone;
    record.service = call.key.service;
    record.attempt = call.attempt;
    record.writer = call.tombstone = RecordNonce(base::concat(m_process, "/", m_counter));
    record.body = call.body;
    record.writtenAt = unixNow;
    call.step = Step::WritingTombstone;
    call.busy = true;
    RecordWrite write { storageKey(call.key), call.expected, encodeRecord(record) };
    return { WriteTombstone { call.id, std::move(write), std::min(call.deadline, now + m_limits.storeTimeout) } };
}

CoordinatorActions CallCoordinator::onWrite(CallId id, const base::Outcome<base::TransactionReply>& outcome, Instant now, UnixMilliseconds)
{
    auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.step != Step::WritingTombstone)
        return {};
    Call& call = found->second;
    call.busy = false;
    const auto* reply = std::get_if<base::TransactionReply>(&outcome);
    if (reply && reply->committed)
        return onTombstoneStands(call, reply->revision, now);
    return read(call, now);
}

CoordinatorActions CallCoordinator::onTombstoneStands(Call& call, base::Revision revision, Instant now)
{
    call.notRun = true;
    return dispatch(call, revision, now);
}

CoordinatorActions CallCoordinator::read(Call& call, Instant now)
{
    call.step = Step::Reading;
    call.busy = true;
    return { ReadCallRecord { call.id, storageKey(call.key), std::min(call.deadline, now + m_limits.storeTimeout) } };
}

CoordinatorActions CallCoordinator::onRead(CallId id, const base::Outcome<base::RangeReply>& outcome, Instant now, UnixMilliseconds unixNow)
{
    auto known = m_calls.find(id);
    if (known == m_calls.end() || known->second.step != Step::Reading)
        return {};
    Call& call = known->second;
    call.busy = false;
    const auto* reply = std::get_if<base::RangeReply>(&outcome);
    if (!reply) {
        waitUntilNextRead(call, Step::Waiting, now);
        return {};
    }
    auto found = internal::findRecord(*reply, storageKey(call.key));
    if (found.modified == call.expected)
        return writeTombstone(call, now, unixNow);
    if (found.modified == base::Revision()) {
        // Cleaned up: the revision that the attempt's claim compares is gone for good.
        call.notRun = true;
        return refuse(call, RefusalCode::UpstreamFailed, RanState::NotRun, "the call's record has been cleaned up", now);
    }
    return onRecord(call, found.record, now, unixNow);
}

CoordinatorActions CallCoordinator::onRecord(Call& call, const std::optional<CallRecord>& record, Instant now, UnixMilliseconds)
{
    if (!record)
        return refuse(call, RefusalCode::Internal, RanState::MayHaveRun, "the call's record cannot be read", now);
    if (record->state == RecordState::Tombstone)
        return onTombstoneStands(call, record->modified, now);
    if (record->body != call.body)
        return refuse(call, RefusalCode::IdempotencyKeyReused, RanState::NotRun, "the key was used with another body", now);
    if (record->state == RecordState::Finished)
        return finish(call, CallResult { record->answer, true, std::nullopt });
    waitUntilNextRead(call, Step::Waiting, now);
    return {};
}

void CallCoordinator::waitUntilNextRead(Call& call, Step step, Instant now)
{
    call.step = step;
    call.wakeAt = now + m_limits.pollInterval;
}

CoordinatorActions CallCoordinator::tick(Instant now, UnixMilliseconds unixNow)
{
    CoordinatorActions actions;
    std::vector<CallId> ids;
    for (const auto& [id, call] : m_calls)
        ids.push_back(id);
    for (const auto& id : ids) {
        Call& call = m_calls.at(id);
        CoordinatorActions more;
        if (now >= call.deadline)
            more = giveUp(call, now);
        else if (call.step == Step::Dispatched && now >= call.attemptDeadline)
            more = onLost(call, now, unixNow);
        else if (call.step == Step::Waiting && !call.busy && now >= call.wakeAt)
            more = read(call, now);
        std::move(more.begin(), more.end(), std::back_inserter(actions));
    }
    return actions;
}

CoordinatorActions CallCoordinator::giveUp(Call& call, Instant now)
{
    if (call.notRun)
        return refuse(call, RefusalCode::DeadlineExceeded, RanState::NotRun, "the deadline passed before the call ran", now);
    return refuse(call, RefusalCode::OutcomeUnknown, RanState::MayHaveRun, "the deadline passed before the outcome was known", now);
}

CoordinatorActions CallCoordinator::refuse(Call& call, RefusalCode code, RanState ran, std::string message, Instant now)
{
    base::Refusal refusal { code, ran, std::move(message), std::nullopt };
    if (code != RefusalCode::IdempotencyKeyReused)
        refusal.retryAt = now + m_limits.retryAfter;
    return finish(call, CallResult { std::nullopt, false, std::move(refusal) });
}

CoordinatorActions CallCoordinator::finish(Call& call, CallResult result)
{
    CallId id = call.id;
    m_attempts.erase(call.attempt);
    m_calls.erase(id);
    return { FinishCall { id, std::move(result) } };
}

} // namespace toucanstep::calls
