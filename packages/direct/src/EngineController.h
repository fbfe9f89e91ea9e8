// Sends the planner's orders to engines and fetches the engines' reports.
//
// Only the gateway that is the planner uses it. An engine gets one request at a time; its EngineRecord holds its state.

#pragma once

#include "toucanstep/direct/WireFormat.h"
#include "toucanstep/http1/Client.h"
#include "toucanstep/planner/EngineRecord.h"
#include "toucanstep/upstreams/UpstreamAvailability.h"
#include "toucanstep/upstreams/UpstreamTable.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace toucanstep::direct {

class EngineController {
public:
    // `onFenced` is called when an engine has seen a newer planner's order, `onChange` when the notices have changed, `onAnswer` with
    // what each answer says of the engine. The availability must outlive this.
    struct Handlers {
        std::function<void()> onFenced;
        std::function<void()> onChange;
        std::function<void(const UpstreamDescription&, const ResponseMetadata&)> onAnswer;
    };
    EngineController(io::EventLoop&, http1::Client&, const WireFormat&, const UpstreamAvailability&, std::string holder, Handlers);
    ~EngineController();

    // Starts a new term as the planner: drops the state of all engines.
    void startTerm(base::Epoch fence);
    // Takes over what an earlier planner knew. Does nothing for a planner before one whose state was taken over already.
    void takeOver(const PlannerHandover&, base::Instant now);
    // For the next planner.
    PlannerState state(base::Instant now) const;
    void onUpstream(const UpstreamDescription&);
    void onUpstreamGone(const base::UpstreamId&);
    // The planner's input for the engines of a service. Adds records for new engines, whose reports are then due.
    std::vector<PlannedEngine> engines(const UpstreamTable&, const base::ServiceId&, base::Instant now);
    void execute(const PlannedOrder&, base::Instant now);
    // Fetches the reports that are due, but those of engines that have asked for a pause.
    void tick(base::Instant now);
    // Changes that the list may not show yet.
    std::vector<LoadedNotice> notices() const;
    size_t maxStoreLoads() const { return m_storeLimit.maxConcurrentLoads(); }

private:
    using EnginePointer = std::shared_ptr<EngineRecord>;
    using ResponseHandler = std::function<void(const EnginePointer&, const base::Outcome<http1::FetchedAnswer>&)>;
    void fetchReport(const EnginePointer&);
    // Calls `handler` with the response unless the engine's record has been removed meanwhile.
    void sendRequest(const EnginePointer&, const ControlRequest&, ResponseHandler handler);
    void onOrderAnswered(const EnginePointer&, const PlannedOrder&, OrderOutcome);

    io::EventLoop& m_loop;
    http1::Client& m_client;
    const WireFormat& m_format;
    const UpstreamAvailability& m_availability;
    std::string m_holder;
    Handlers m_handlers;
    base::Epoch m_fence;
    std::map<base::UpstreamId, EnginePointer> m_engines;
    // Of the planner before, by upstream, until the upstream's record exists.
    std::map<base::UpstreamId, ExecutingOrder> m_inheritedOrders;
    base::Instant m_inheritedAt;
    base::Epoch m_inheritedFence;
    StoreConcurrencyLimit m_storeLimit;
};

} // namespace toucanstep::direct
