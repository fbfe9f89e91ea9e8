// Decodes arbitrary bytes: decoding must return a value or an error, and re-encoding a decoded value must round-trip.

#include "toucanstep/assignments/Row.h"
#include "toucanstep/assignments/VoterSet.h"

#include <cstdint>
#include <cstdlib>

using namespace toucanstep::assignments;
using namespace toucanstep::base;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    std::string bytes(reinterpret_cast<const char*>(data), size);
    Error error;
    if (auto key = valueOr(error, [&] { return parseStorageKey(bytes); }); key && storageKey(*key) != bytes)
        std::abort();
    if (auto instance = valueOr(error, [&] { return parseGoneMarkKey(bytes); }); instance && goneMarkKey(*instance) != bytes)
        std::abort();

    KeyValue entry { storageKey({ RowKind::LimitShare, "a", 0 }), bytes, Revision(1), Revision(2) };
    if (auto row = valueOr(error, [&] { return decodeRow(entry); })) {
        entry.value = encodeRow(*row);
        auto again = valueOr(error, [&] { return decodeRow(entry); });
        if (!again || !(*again == *row))
            std::abort();
    }
    entry.value = bytes;
    if (auto voterSets = valueOr(error, [&] { return decodeVoterSets(entry); })) {
        entry.value = encodeVoterSets(*voterSets);
        auto again = valueOr(error, [&] { return decodeVoterSets(entry); });
        if (!again || !(again->current == voterSets->current) || again->previous != voterSets->previous)
            std::abort();
    }
    return 0;
}
