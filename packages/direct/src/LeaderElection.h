// Keeps this gateway's lease and its key in the list of gateways, and runs the planner's election in the store.
// PlannerLeadership makes the decisions; this class sends the requests to the store and handles the responses.

#pragma once

#include "toucanstep/direct/DirectGateway.h"
#include "toucanstep/direct/Directory.h"
#include "toucanstep/direct/PlannerLeadership.h"
#include "toucanstep/io/EventLoop.h"

#include <functional>
#include <optional>
#include <string_view>

namespace toucanstep::direct {

// Key prefix of the gateways' membership entries; the values are their endpoints for messages from other gateways.
constexpr std::string_view memberPrefix = "toucanstep/gateways/";
// Key prefix of all entries written by the gateways.
constexpr std::string_view fleetPrefix = "toucanstep/";
// After this time a request to the store counts as failed.
constexpr auto storeCallTimeout = std::chrono::milliseconds(900);

class LeaderElection {
public:
    // `onElected` is called each time this gateway becomes the planner.
    LeaderElection(io::EventLoop&, base::KeyValueStore&, const Directory&, const DirectGatewaySettings&, std::function<void()> onElected);

    const PlannerLeadership& leadership() const { return m_leadership; }
    // This gateway's key is in the list of gateways.
    bool registered() const { return m_registered && !m_leaving; }
    // Until when the lease of that key lasts at least, by this gateway's clock.
    base::Instant leaseEnd() const;
    // When the store last answered a call about the lease.
    std::optional<base::Instant> lastAnswer() const { return m_lastAnswer; }
    // Has to be called several times a second.
    void tick();
    // Deletes the membership key because the process is about to end, unless another process has written it meanwhile. The
    // leadership is kept until then: a successor would have to pause, whereas a process restarted on this machine resumes
    // without a pause.
    void leave();
    // Handles a change of the local copy of the store. Returns the planner if it is another gateway.
    std::optional<base::InstanceId> onDirectoryUpdated();
    // Has to be called when this gateway starts to send orders.
    void recordLastPlanner();
    void resign(std::string_view why);

private:
    const base::KeyValue* entryOf(std::string_view key) const;
    std::string memberKey() const;
    LeadershipRecord record() const;
    void grantLease();
    void renewLease();
    void registerMember();
    void campaign();
    void checkMember();

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
    // The revision at which this process last wrote its membership key.
    base::Revision m_memberRevision;
    bool m_registering = false;
    bool m_campaigning = false;
    bool m_leaving = false;
    std::optional<base::Instant> m_lastAnswer;
    base::Instant m_nextRenewal;
    base::Instant m_nextCampaign;
};

} // namespace toucanstep::direct
