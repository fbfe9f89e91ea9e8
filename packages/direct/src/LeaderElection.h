// Keeps this gateway's lease and its key in the list of gateways, and seeks, holds and gives up the planner's duty in the
// store. What is decided is in PlannerLeadership; the calls to the store and their answers are here.

#pragma once

#include "toucanstep/direct/DirectGateway.h"
#include "toucanstep/direct/Directory.h"
#include "toucanstep/direct/PlannerLeadership.h"
#include "toucanstep/io/EventLoop.h"

#include <functional>
#include <optional>
#include <string_view>

namespace toucanstep::direct {

// The other gateways' keys begin with this; their values are the endpoints at which they hear each other.
constexpr std::string_view memberPrefix = "toucanstep/gateways/";
// All keys of the gateways themselves.
constexpr std::string_view fleetPrefix = "toucanstep/";
// From a call to the store until it counts as failed.
constexpr auto storeCallTimeout = std::chrono::milliseconds(900);

class LeaderElection {
public:
    // `onTaken` is called whenever the duty has been taken.
    LeaderElection(io::EventLoop&, base::KeyValueStore&, const Directory&, const DirectGatewaySettings&, std::function<void()> onElected);

    const PlannerLeadership& leadership() const { return m_leadership; }
    // To be called several times a second.
    void tick();
    // The process will end: the member's key goes at once. A duty that is held is kept until then: a successor would have to
    // pause, and a process that starts again here takes it up without one.
    void leave();
    // The copy of the store has changed. Returns the planner, if it is another gateway.
    std::optional<base::InstanceId> onDirectoryUpdated();
    // Orders are being given.
    void recordLastPlanner();
    void resign(std::string_view why);

private:
    const base::KeyValue* entryOf(std::string_view key) const;
    LeadershipRecord record() const;
    void grantLease();
    void renewLease();
    void registerMember();
    void campaign();

    io::EventLoop& m_loop;
    base::KeyValueStore& m_store;
    const Directory& m_directory;
    const DirectGatewaySettings& m_settings;
    std::function<void()> m_onElected;
    PlannerLeadership m_leadership;
    std::optional<base::LeaseId> m_lease;
    base::Instant m_leaseRequestedAt;
    bool m_leaseRequestPending = false;
    bool m_registered = false;
    bool m_registering = false;
    bool m_campaigning = false;
    bool m_leaving = false;
    base::Instant m_nextRenewal;
    base::Instant m_nextCampaign;
};

} // namespace toucanstep::direct
