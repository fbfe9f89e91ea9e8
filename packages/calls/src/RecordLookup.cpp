#include "RecordLookup.h"

namespace toucanstep::calls::internal {

FoundRecord findRecord(const base::RangeReply& reply, const std::string& key)
{
    FoundRecord found;
    for (const auto& entry : reply.entries) {
        if (entry.key != key)
            continue;
        base::Error error;
        found.modified = entry.modified;
        found.record = base::valueOr(error, [&] { return decodeRecord(entry); });
    }
    return found;
}

bool isCertain(const base::Error& error)
{
    return error.kind == base::ErrorKind::Unavailable || error.kind == base::ErrorKind::Rejected;
}

} // namespace toucanstep::calls::internal
