#include "toucanstep/routing/Admission.h"

#include <algorithm>

namespace toucanstep::routing {

AdmissionVerdict admit(const AdmissionRequest& request, const UpstreamLoad& load, base::Instant now)
{
    AdmissionVerdict verdict;
    verdict.expectedWait = expectedWait(load, request.request);
    if (request.expectedLoadEnd)
        verdict.expectedWait = std::max(verdict.expectedWait, base::remaining(now, *request.expectedLoadEnd));
    auto slack = base::remaining(now, request.deadline - request.minimumRunTime);
    if (verdict.expectedWait > slack)
        verdict.refusal = base::Refusal { base::RefusalCode::DeadlineUnreachable, base::RanState::NotRun, "the expected wait is beyond the deadline",
            now + (verdict.expectedWait - slack) };
    return verdict;
}

} // namespace toucanstep::routing
