#include "toucanstep/peers/PermitMessages.h"

#include "toucanstep/peers/Codec.h"

namespace toucanstep::peers {

namespace {

base::leaf::error_id malformed()
{
    return base::fail(base::ErrorKind::Malformed, "not a permit message");
}

} // namespace

std::string encode(const PermitAsk& ask)
{
    return FieldWriter().add(ask.model.value()).addFlag(ask.adapter).addDuration(ask.remaining).add(ask.weight).addDuration(ask.loadTime).finish();
}

std::string encode(const PermitAnswer& answer)
{
    return FieldWriter().add(answer.permit).addDuration(answer.lentFor).addDuration(answer.expectedIn).finish();
}

std::string encode(const PermitReturn& message)
{
    return FieldWriter().add(message.model.value()).add(message.permit).finish();
}

base::Result<PermitAsk> decodePermitAsk(std::string_view bytes)
{
    FieldReader reader(bytes);
    PermitAsk ask;
    ask.model = base::ModelId(reader.text());
    ask.adapter = reader.flag();
    ask.remaining = reader.duration();
    ask.weight = reader.number();
    ask.loadTime = reader.duration();
    if (!reader.complete())
        return malformed();
    return ask;
}

base::Result<PermitAnswer> decodePermitAnswer(std::string_view bytes)
{
    FieldReader reader(bytes);
    PermitAnswer answer;
    answer.permit = reader.number();
    answer.lentFor = reader.duration();
    answer.expectedIn = reader.duration();
    if (!reader.complete())
        return malformed();
    return answer;
}

base::Result<PermitReturn> decodePermitReturn(std::string_view bytes)
{
    FieldReader reader(bytes);
    PermitReturn message;
    message.model = base::ModelId(reader.text());
    message.permit = reader.number();
    if (!reader.complete())
        return malformed();
    return message;
}

} // namespace toucanstep::peers
