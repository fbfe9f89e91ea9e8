#include "ChargeCodec.h"

#include "toucanstep/peers/Codec.h"

namespace toucanstep::gateway::internal {

namespace {

using peers::FieldReader;
using peers::FieldWriter;

enum class MessageTag : int64_t {
    Request = 1,
    Return = 2,
    GatherUnlock = 3,
};

void write(FieldWriter& writer, const limits::ShareId& share)
{
    writer.add(share.account.value()).add(static_cast<int64_t>(share.index));
}

limits::ShareId readShare(FieldReader& reader)
{
    limits::ShareId share;
    share.account = base::ClientAccountId(reader.text());
    share.index = static_cast<int>(reader.number());
    return share;
}

void write(FieldWriter& writer, const limits::ChargeRequest& request)
{
    writer.add(static_cast<int64_t>(MessageTag::Request)).add(request.charge.value());
    write(writer, request.share);
    writer.add(request.epoch.value()).add(request.minimum.value()).add(request.wanted.value()).addDuration(request.lockTtl).add(request.gatherer.value());
}

void write(FieldWriter& writer, const limits::ChargeReturn& message)
{
    writer.add(static_cast<int64_t>(MessageTag::Return)).add(message.charge.value());
    write(writer, message.share);
    writer.add(message.epoch.value()).add(message.unused.value());
}

void write(FieldWriter& writer, const limits::GatherUnlock& message)
{
    writer.add(static_cast<int64_t>(MessageTag::GatherUnlock));
    write(writer, message.share);
    writer.add(message.epoch.value()).add(message.gatherer.value());
}

limits::ChargeRequest readRequest(FieldReader& reader)
{
    limits::ChargeRequest request;
    request.charge = limits::ChargeId(reader.text());
    request.share = readShare(reader);
    request.epoch = base::Epoch(reader.number());
    request.minimum = base::Tokens(reader.number());
    request.wanted = base::Tokens(reader.number());
    request.lockTtl = reader.duration();
    request.gatherer = base::RequestId(reader.text());
    return request;
}

limits::ChargeReturn readReturn(FieldReader& reader)
{
    limits::ChargeReturn message;
    message.charge = limits::ChargeId(reader.text());
    message.share = readShare(reader);
    message.epoch = base::Epoch(reader.number());
    message.unused = base::Tokens(reader.number());
    return message;
}

limits::GatherUnlock readGatherUnlock(FieldReader& reader)
{
    limits::GatherUnlock message;
    message.share = readShare(reader);
    message.epoch = base::Epoch(reader.number());
    message.gatherer = base::RequestId(reader.text());
    return message;
}

limits::ChargeResult readResult(FieldReader& reader)
{
    switch (reader.number()) {
    case static_cast<int64_t>(limits::ChargeResult::Granted):
        return limits::ChargeResult::Granted;
    case static_cast<int64_t>(limits::ChargeResult::Insufficient):
        return limits::ChargeResult::Insufficient;
    case static_cast<int64_t>(limits::ChargeResult::Busy):
        return limits::ChargeResult::Busy;
    default:
        return limits::ChargeResult::NotHolder;
    }
}

base::leaf::error_id malformed()
{
    return base::fail(base::ErrorKind::Malformed, "not a charge message");
}

} // namespace

std::string encode(const limits::ChargeMessage& message)
{
    FieldWriter writer;
    std::visit([&](const auto& body) { write(writer, body); }, message);
    return writer.finish();
}

std::string encode(const limits::ChargeReply& reply)
{
    FieldWriter writer;
    writer.add(reply.charge.value()).add(static_cast<int64_t>(reply.result)).add(reply.granted.value()).addDuration(reply.retryAfter);
    write(writer, reply.hint.share);
    writer.add(reply.hint.epoch.value()).add(reply.hint.balance.value());
    writer.add(reply.hint.limits.tokensPerSecond.value()).add(reply.hint.limits.burst.value());
    return writer.finish();
}

std::string encode(const limits::Handover& handover)
{
    FieldWriter writer;
    write(writer, handover.share);
    return writer.add(handover.epoch.value()).add(handover.balance.value()).finish();
}

base::Result<limits::ChargeMessage> decodeChargeMessage(std::string_view bytes)
{
    FieldReader reader(bytes);
    limits::ChargeMessage message;
    switch (static_cast<MessageTag>(reader.number())) {
    case MessageTag::Request:
        message = readRequest(reader);
        break;
    case MessageTag::Return:
        message = readReturn(reader);
        break;
    case MessageTag::GatherUnlock:
        message = readGatherUnlock(reader);
        break;
    default:
        return malformed();
    }
    if (!reader.complete())
        return malformed();
    return message;
}

base::Result<limits::ChargeReply> decodeChargeReply(std::string_view bytes)
{
    FieldReader reader(bytes);
    limits::ChargeReply reply;
    reply.charge = limits::ChargeId(reader.text());
    reply.result = readResult(reader);
    reply.granted = base::Tokens(reader.number());
    reply.retryAfter = reader.duration();
    reply.hint.share = readShare(reader);
    reply.hint.epoch = base::Epoch(reader.number());
    reply.hint.balance = limits::NanoTokens(reader.number());
    reply.hint.limits.tokensPerSecond = base::Tokens(reader.number());
    reply.hint.limits.burst = base::Tokens(reader.number());
    if (!reader.complete())
        return malformed();
    return reply;
}

base::Result<limits::Handover> decodeHandover(std::string_view bytes)
{
    FieldReader reader(bytes);
    limits::Handover handover;
    handover.share = readShare(reader);
    handover.epoch = base::Epoch(reader.number());
    handover.balance = limits::NanoTokens(reader.number());
    if (!reader.complete())
        return malformed();
    return handover;
}

} // namespace toucanstep::gateway::internal
