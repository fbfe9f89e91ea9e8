// Finds one entry's record in a read.

#pragma once

#include "toucanstep/calls/CallRecord.h"

#include <optional>
#include <string>

namespace toucanstep::calls::internal {

struct FoundRecord {
    // Zero where the entry does not exist.
    base::Revision modified;
    // Absent as well where the entry's value is no record.
    std::optional<CallRecord> record;
};

FoundRecord findRecord(const base::RangeReply&, const std::string& key);

// Whether the error says that the call to the service was certainly not carried out.
bool isCertain(const base::Error&);

} // namespace toucanstep::calls::internal
