// Deletes records that have outlived their service's retention.
//
// Reads one bucket at a time, so that each call to the service is bounded however many records there are. Each deletion
// compares the revision it was decided on, so a record that changed meanwhile stays. Within the retention a call runs at
// most once; after it the same key names a new call.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/calls/CallRecord.h"

#include <functional>
#include <vector>

namespace toucanstep::calls {

class RetentionPolicy {
public:
    virtual ~RetentionPolicy() = default;
    // How long records of the service are kept. A service that the text no longer lists keeps its records for the
    // longest retention that the implementation knows.
    virtual base::Duration retention(const base::ServiceId&) const = 0;
};

struct CleanerLimits {
    size_t deletionsPerTransaction = 64;
    // Added to the retention: the most by which wall clocks of the fleet differ, plus the longest call.
    base::Duration margin = std::chrono::minutes(10);
};

struct CleanPlan {
    std::vector<base::Transaction> transactions;
    size_t expired = 0;
    size_t kept = 0;
    // Keys whose values are no records; they are left alone and reported.
    std::vector<std::string> malformed;
};

class RecordCleaner {
public:
    explicit RecordCleaner(CleanerLimits);

    // The prefix to list next; comes back to the first bucket after the last.
    std::string nextPrefix();
    CleanPlan plan(const base::RangeReply&, const RetentionPolicy&, UnixMilliseconds now) const;

private:
    CleanerLimits m_limits;
    int m_bucket = 0;
};

} // namespace toucanstep::calls
