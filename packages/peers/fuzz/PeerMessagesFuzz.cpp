// Any bytes in place of a message between processes are rejected or read, and never end the process.

#include "toucanstep/base/Result.h"
#include "toucanstep/peers/Messages.h"

using namespace toucanstep;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    base::Error error;
    base::valueOr(error, [&] { return peers::decodeRunRequest(bytes); });
    base::valueOr(error, [&] { return peers::decodeAttachRequest(bytes); });
    auto event = base::valueOr(error, [&] { return peers::decodeRunEvent(bytes); });
    if (event)
        peers::encode(*event);
    return 0;
}
