// Carries the planner's orders to engines and reads the engines' reports.
//
// Only the gateway that has the planner's duty uses it. One call at a time is sent to an engine; what is known of it is in
// its EngineRecord.

#pragma once

#include "EngineRecord.h"
#include "toucanstep/direct/UpstreamTable.h"
#include "toucanstep/direct/WireFormat.h"
#include "toucanstep/http1/Client.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace toucanstep::direct {

class EngineController {
public:
    // `onFenced` is called where an engine has met a newer holder's order, `onChange` whenever notices have changed.
    EngineController(io::EventLoop&, http1::Client&, const WireFormat&, std::string holder, std::function<void()> onFenced, std::function<void()> onChange);
    ~EngineController();

    // The duty was taken: nothing that was known before counts.
    void startTerm(base::Epoch fence);
    void onUpstream(const UpstreamDescription&);
    void onUpstreamGone(const base::UpstreamId&);
    // The engines of a service as the planner sees them. Reads the reports of those that are not known yet.
    std::vector<PlannedEngine> engines(const UpstreamTable&, const base::ServiceId&, base::Instant now);
    void execute(const PlannedOrder&, base::Instant now);
    // Reads the reports that are due.
    void tick(base::Instant now);
    // What gateways have to know before the list shows it.
    std::vector<LoadedNotice> notices() const;
    size_t maxStoreLoads() const { return m_storeLimit.maxConcurrentLoads(); }

private:
    using EnginePointer = std::shared_ptr<EngineRecord>;
    using ResponseHandler = std::function<void(const EnginePointer&, const base::Outcome<http1::FetchedAnswer>&)>;
    void fetchReport(const EnginePointer&);
    // Calls `handler` with the answer unless the engine's record has gone meanwhile.
    void sendRequest(const EnginePointer&, const ControlRequest&, ResponseHandler handler);
    void onOrderAnswered(const EnginePointer&, const PlannedOrder&, OrderOutcome);

    io::EventLoop& m_loop;
    http1::Client& m_client;
    const WireFormat& m_format;
    std::string m_holder;
    std::function<void()> m_onFenced;
    std::function<void()> m_onChange;
    base::Epoch m_fence;
    std::map<base::UpstreamId, EnginePointer> m_engines;
    StoreConcurrencyLimit m_storeLimit;
};

} // namespace toucanstep::direct
