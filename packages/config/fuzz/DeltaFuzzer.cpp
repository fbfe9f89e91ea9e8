// No bytes crash the reader of deltas, and what is read can be written and read again.

#include "toucanstep/config/Delta.h"

#include <cstdlib>

using namespace toucanstep;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    base::Error error;
    auto delta = base::valueOr(error, [&] { return config::decodeDelta(bytes); });
    if (!delta)
        return 0;
    auto again = base::valueOr(error, [&] { return config::decodeDelta(config::encodeDelta(*delta)); });
    if (!again || !(*again == *delta))
        std::abort();
    base::valueOr(error, [&] { return config::applyDelta(*delta, "a short base\n"); });
    return 0;
}
