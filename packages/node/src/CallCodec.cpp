#include "toucanstep/node/CallCodec.h"

#include "toucanstep/peers/Codec.h"

namespace toucanstep::node {

namespace {

// An unknown number becomes the cautious value: `MayHaveRun` is never a false promise.
calls::ReplyKind readKind(peers::FieldReader& reader)
{
    int64_t number = reader.number();
    bool known = number >= 0 && number <= static_cast<int64_t>(calls::ReplyKind::KeyReused);
    return known ? static_cast<calls::ReplyKind>(number) : calls::ReplyKind::MayHaveRun;
}

} // namespace

std::string encodeDispatch(const calls::CallDispatch& dispatch)
{
    peers::FieldWriter writer;
    writer.add(dispatch.attempt.value()).add(dispatch.key.account.value()).add(dispatch.key.service.value());
    writer.add(dispatch.key.key.value()).add(dispatch.body.value()).add(dispatch.expected.value());
    return writer.finish();
}

base::Result<calls::CallDispatch> decodeDispatch(std::string_view bytes)
{
    peers::FieldReader reader(bytes);
    calls::CallDispatch dispatch;
    dispatch.attempt = calls::AttemptId(reader.text());
    dispatch.key.account = base::ClientAccountId(reader.text());
    dispatch.key.service = base::ServiceId(reader.text());
    dispatch.key.key = calls::IdempotencyKey(reader.text());
    dispatch.body = calls::BodyDigest(reader.text());
    dispatch.expected = base::Revision(reader.number());
    if (!reader.complete())
        return base::fail(base::ErrorKind::Malformed, "not a call dispatch");
    return dispatch;
}

std::string encodeReply(const calls::CallReply& reply)
{
    peers::FieldWriter writer;
    writer.add(reply.attempt.value()).add(static_cast<int64_t>(reply.kind)).add(static_cast<int64_t>(reply.answer.status));
    writer.add(reply.answer.contentType).addBytes(reply.answer.body).addFlag(reply.answer.bodyDropped);
    writer.addFlag(reply.repeated).add(reply.tombstone.value()).add(std::string(refusalCodeName(reply.reason)));
    return writer.finish();
}

base::Result<calls::CallReply> decodeReply(std::string_view bytes)
{
    peers::FieldReader reader(bytes);
    calls::CallReply reply;
    reply.attempt = calls::AttemptId(reader.text());
    reply.kind = readKind(reader);
    reply.answer.status = static_cast<int>(reader.number());
    reply.answer.contentType = reader.text();
    reply.answer.body = reader.bytes();
    reply.answer.bodyDropped = reader.flag();
    reply.repeated = reader.flag();
    reply.tombstone = base::Revision(reader.number());
    reply.reason = base::refusalCodeFromName(reader.text()).value_or(base::RefusalCode::Internal);
    if (!reader.complete())
        return base::fail(base::ErrorKind::Malformed, "not a call reply");
    return reply;
}

} // namespace toucanstep::node
