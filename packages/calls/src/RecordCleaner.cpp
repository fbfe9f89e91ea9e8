#include "toucanstep/calls/RecordCleaner.h"

namespace toucanstep::calls {

RecordCleaner::RecordCleaner(CleanerLimits limits)
    : m_limits(limits)
{
}

std::string RecordCleaner::nextPrefix()
{
    std::string prefix = bucketPrefix(m_bucket);
    m_bucket = (m_bucket + 1) % recordBuckets;
    return prefix;
}

CleanPlan RecordCleaner::plan(const base::RangeReply& reply, const RetentionPolicy& policy, UnixMilliseconds now) const
{
    CleanPlan plan;
    for (const auto& entry : reply.entries) {
        base::Error error;
        auto record = base::valueOr(error, [&] { return decodeRecord(entry); });
        if (!record) {
            plan.malformed.push_back(entry.key);
            continue;
        }
        int64_t age = now.value() - record->writtenAt.value();
        if (age <= base::toMilliseconds(policy.retention(record->service) + m_limits.margin)) {
            ++plan.kept;
            continue;
        }
        bool full = plan.transactions.empty() || plan.transactions.back().operations.size() >= m_limits.deletionsPerTransaction;
        if (full)
            plan.transactions.emplace_back();
        plan.transactions.back().comparisons.push_back({ entry.key, entry.modified });
        plan.transactions.back().operations.push_back(base::DeleteOperation { entry.key });
        ++plan.expired;
    }
    return plan;
}

} // namespace toucanstep::calls
