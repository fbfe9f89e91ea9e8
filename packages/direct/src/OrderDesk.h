// Carries the planner's orders to engines and keeps what each engine is known to hold.
//
// Only the gateway that has the planner's duty uses it. One order at a time is sent to an engine, each with the number of
// orders that the engine must have accepted before: an order whose answer was lost, and that is carried out late, then
// finds another number and does nothing. Until its outcome is known, the memory that it asks for counts as taken.

#pragma once

#include "toucanstep/direct/PlacementPlan.h"
#include "toucanstep/direct/StoreSpeed.h"
#include "toucanstep/direct/UpstreamTable.h"
#include "toucanstep/direct/WireFormat.h"
#include "toucanstep/http1/Client.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace toucanstep::direct {

class OrderDesk {
public:
    // `onFenced` is called where an engine has met a newer holder's order, `onChange` whenever notices have changed.
    OrderDesk(io::EventLoop&, http1::Client&, const WireFormat&, std::string holder, std::function<void()> onFenced, std::function<void()> onChange);
    ~OrderDesk();

    // The duty was taken: nothing that was known before counts.
    void begin(base::Epoch fence);
    void onUpstream(const UpstreamDescription&);
    void onUpstreamGone(const base::UpstreamId&);
    // The engines of a service as the planner sees them. Reads the reports of those that are not known yet.
    std::vector<PlannedEngine> engines(const UpstreamTable&, const base::ServiceId&, base::Instant now);
    void execute(const PlannedOrder&, base::Instant now);
    // Reads reports that are due, and sends orders again whose outcome is open.
    void tick(base::Instant now);
    // What gateways have to know before the list shows it.
    std::vector<LoadedNotice> notices() const;
    size_t storeLoadsAtOnce() const { return m_storeSpeed.loadsAtOnce(); }

private:
    struct Engine;
    using EnginePointer = std::shared_ptr<Engine>;
    void readReport(const EnginePointer&);
    void onReport(Engine&, const EngineReport&);
    void send(const EnginePointer&, const PlannedOrder&);
    void onOrderAnswered(const EnginePointer&, const PlannedOrder&, OrderOutcome);
    void onAccepted(const EnginePointer&, const PlannedOrder&, bool underWay);
    void readAnew(Engine&);
    void tell(Engine&, const ModelTarget&, bool loaded);

    io::EventLoop& m_loop;
    http1::Client& m_client;
    const WireFormat& m_format;
    std::string m_holder;
    std::function<void()> m_onFenced;
    std::function<void()> m_onChange;
    base::Epoch m_fence;
    std::map<base::UpstreamId, EnginePointer> m_engines;
    StoreSpeed m_storeSpeed;
};

} // namespace toucanstep::direct
