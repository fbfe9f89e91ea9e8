// Whatever bytes the key-value service gives, decoding a record ends with a record or an error, and a record that was
// decoded is encoded to one that reads back as the same.

#include "toucanstep/calls/CallRecord.h"

#include <cstdint>
#include <cstdlib>

using namespace toucanstep::calls;
using namespace toucanstep::base;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    Error error;
    KeyValue entry { "/k", std::string(reinterpret_cast<const char*>(data), size), Revision(1), Revision(2) };
    auto record = valueOr(error, [&] { return decodeRecord(entry); });
    if (!record)
        return 0;
    entry.value = encodeRecord(*record);
    auto again = valueOr(error, [&] { return decodeRecord(entry); });
    if (!again || !(*again == *record))
        std::abort();
    return 0;
}
