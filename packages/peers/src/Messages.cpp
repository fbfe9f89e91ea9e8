#include "toucanstep/peers/Messages.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/peers/Codec.h"

#include <algorithm>

namespace toucanstep::peers {

namespace {

enum class EventTag : int64_t {
    Start = 1,
    Chunk = 2,
    End = 3,
    Refused = 4,
    Call = 5,
    Report = 6,
};

// More queues than this in one report are not from a sidecar of ours.
constexpr int64_t maximumQueues = 4096;

base::leaf::error_id malformed(std::string_view what)
{
    return base::fail(base::ErrorKind::Malformed, base::concat("not a ", what));
}

void writeBody(FieldWriter& writer, const AnswerStart& start)
{
    writer.add(static_cast<int64_t>(EventTag::Start)).add(static_cast<int64_t>(start.status)).add(start.contentType);
}

void writeBody(FieldWriter& writer, const AnswerChunk& chunk)
{
    writer.add(static_cast<int64_t>(EventTag::Chunk)).add(chunk.index).addBytes(chunk.bytes);
}

void writeBody(FieldWriter& writer, const AnswerEnd& end)
{
    writer.add(static_cast<int64_t>(EventTag::End)).add(end.chunks).add(end.usedTokens.value()).addFlag(end.cold);
}

void writeBody(FieldWriter& writer, const AnswerRefused& refused)
{
    writer.add(static_cast<int64_t>(EventTag::Refused)).add(std::string(refusalCodeName(refused.code)));
    writer.add(std::string(ranStateName(refused.ran))).add(refused.message).addDuration(refused.retryAfter);
}

void writeBody(FieldWriter& writer, const AnswerCall& call)
{
    writer.add(static_cast<int64_t>(EventTag::Call)).addBytes(call.reply);
}

void writeBody(FieldWriter& writer, const AnswerReport&)
{
    writer.add(static_cast<int64_t>(EventTag::Report));
}

void writeReport(FieldWriter& writer, const SidecarReport& report)
{
    writer.add(report.incarnation).add(report.sequence).add(report.slots).add(report.tokensPerSecond);
    writer.add(report.inFlight).add(report.inFlightTokens.value()).add(report.lastDispatchSeen);
    writer.addFlag(report.leaving).addFlag(report.quarantining).add(report.configuration.value());
    writer.add(static_cast<int64_t>(report.phase)).addDuration(report.loadRemaining);
    writer.add(static_cast<int64_t>(report.queues.size()));
    for (const AccountQueue& queue : report.queues)
        writer.add(queue.account.value()).add(queue.weight).add(queue.queued.value()).add(queue.servedPerSecond.value());
}

ModelPhase readPhase(FieldReader& reader)
{
    switch (reader.number()) {
    case static_cast<int64_t>(ModelPhase::Loading):
        return ModelPhase::Loading;
    case static_cast<int64_t>(ModelPhase::Loaded):
        return ModelPhase::Loaded;
    default:
        return ModelPhase::Cold;
    }
}

SidecarReport readReport(FieldReader& reader)
{
    SidecarReport report;
    report.incarnation = reader.number();
    report.sequence = reader.number();
    report.slots = reader.number();
    report.tokensPerSecond = reader.number();
    report.inFlight = reader.number();
    report.inFlightTokens = base::Tokens(reader.number());
    report.lastDispatchSeen = reader.number();
    report.leaving = reader.flag();
    report.quarantining = reader.flag();
    report.configuration = base::Revision(reader.number());
    report.phase = readPhase(reader);
    report.loadRemaining = reader.duration();
    int64_t queues = std::min(reader.number(), maximumQueues);
    for (int64_t index = 0; index < queues && !reader.failed(); ++index) {
        AccountQueue queue;
        queue.account = base::ClientAccountId(reader.text());
        queue.weight = reader.number();
        queue.queued = base::Tokens(reader.number());
        queue.servedPerSecond = base::Tokens(reader.number());
        report.queues.push_back(std::move(queue));
    }
    return report;
}

AnswerStart readStart(FieldReader& reader)
{
    AnswerStart start;
    start.status = static_cast<int>(reader.number());
    start.contentType = reader.text();
    return start;
}

AnswerChunk readChunk(FieldReader& reader)
{
    AnswerChunk chunk;
    chunk.index = reader.number();
    chunk.bytes = reader.bytes();
    return chunk;
}

AnswerEnd readEnd(FieldReader& reader)
{
    AnswerEnd end;
    end.chunks = reader.number();
    end.usedTokens = base::Tokens(reader.number());
    end.cold = reader.flag();
    return end;
}

// An unknown name becomes the cautious value: `may_have_run` is never a false promise.
AnswerRefused readRefused(FieldReader& reader)
{
    AnswerRefused refused;
    refused.code = base::refusalCodeFromName(reader.text()).value_or(base::RefusalCode::Internal);
    refused.ran = base::ranStateFromName(reader.text()).value_or(base::RanState::MayHaveRun);
    refused.message = reader.text();
    refused.retryAfter = reader.duration();
    return refused;
}

} // namespace

std::string encode(const RunRequest& request)
{
    FieldWriter writer;
    writer.add(request.request.value()).add(request.attempt).add(request.account.value()).add(request.key.value());
    writer.add(request.configuration.value()).addDuration(request.remaining).add(request.kind);
    writer.add(static_cast<int64_t>(request.target)).add(request.targetId).add(request.httpMethod).add(request.path);
    writer.add(request.idempotencyKey).add(request.contentType).add(request.promptTokens.value()).add(request.maximumTokens.value());
    writer.addFlag(request.stream).add(request.fingerprint).add(request.dispatchNumber).addBytes(request.callDispatch).addBytes(request.body);
    return writer.finish();
}

base::Result<RunRequest> decodeRunRequest(std::string_view bytes)
{
    FieldReader reader(bytes);
    RunRequest request;
    request.request = base::RequestId(reader.text());
    request.attempt = reader.number();
    request.account = base::ClientAccountId(reader.text());
    request.key = base::KeyFingerprint(reader.text());
    request.configuration = base::Revision(reader.number());
    request.remaining = reader.duration();
    request.kind = reader.text();
    int64_t target = reader.number();
    request.target = target == static_cast<int64_t>(TargetKind::Service) ? TargetKind::Service : TargetKind::Model;
    request.targetId = reader.text();
    request.httpMethod = reader.text();
    request.path = reader.text();
    request.idempotencyKey = reader.text();
    request.contentType = reader.text();
    request.promptTokens = base::Tokens(reader.number());
    request.maximumTokens = base::Tokens(reader.number());
    request.stream = reader.flag();
    request.fingerprint = reader.text();
    request.dispatchNumber = reader.number();
    request.callDispatch = reader.bytes();
    request.body = reader.bytes();
    if (!reader.complete())
        return malformed("run request");
    return request;
}

std::string encode(const AttachRequest& request)
{
    return FieldWriter().add(request.request.value()).add(request.attempt).add(request.nextChunk).finish();
}

base::Result<AttachRequest> decodeAttachRequest(std::string_view bytes)
{
    FieldReader reader(bytes);
    AttachRequest request;
    request.request = base::RequestId(reader.text());
    request.attempt = reader.number();
    request.nextChunk = reader.number();
    if (!reader.complete() || request.nextChunk < 0)
        return malformed("attach request");
    return request;
}

std::string encode(const RunEvent& event)
{
    FieldWriter writer;
    writer.add(event.request.value()).addFlag(event.report.has_value());
    if (event.report)
        writeReport(writer, *event.report);
    std::visit([&](const auto& body) { writeBody(writer, body); }, event.body);
    return writer.finish();
}

base::Result<RunEvent> decodeRunEvent(std::string_view bytes)
{
    FieldReader reader(bytes);
    RunEvent event;
    event.request = base::RequestId(reader.text());
    if (reader.flag())
        event.report = readReport(reader);
    switch (static_cast<EventTag>(reader.number())) {
    case EventTag::Start:
        event.body = readStart(reader);
        break;
    case EventTag::Chunk:
        event.body = readChunk(reader);
        break;
    case EventTag::End:
        event.body = readEnd(reader);
        break;
    case EventTag::Refused:
        event.body = readRefused(reader);
        break;
    case EventTag::Call:
        event.body = AnswerCall { reader.bytes() };
        break;
    case EventTag::Report:
        event.body = AnswerReport {};
        break;
    default:
        return malformed("run event");
    }
    if (!reader.complete())
        return malformed("run event");
    return event;
}

AnswerRefused toMessage(const base::Refusal& refusal, base::Instant now)
{
    AnswerRefused message;
    message.code = refusal.code;
    message.ran = refusal.ran;
    message.message = refusal.message;
    if (refusal.retryAt)
        message.retryAfter = base::remaining(now, *refusal.retryAt);
    return message;
}

base::Refusal toRefusal(const AnswerRefused& message, base::Instant now)
{
    base::Refusal refusal;
    refusal.code = message.code;
    refusal.ran = message.ran;
    refusal.message = message.message;
    if (message.retryAfter >= base::Duration::zero())
        refusal.retryAt = now + message.retryAfter;
    return refusal;
}

} // namespace toucanstep::peers
