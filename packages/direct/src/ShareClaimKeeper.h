// Keeps this gateway's claim to a share of the limits of accounts in the store, see ShareClaim.
//
// A claim's value is the gateway's endpoint for messages from other gateways, followed by a space and "settled" once it is. So gateways
// reach each other also while the membership keys with their short leases are gone.

#pragma once

#include "toucanstep/direct/DirectGateway.h"
#include "toucanstep/direct/Directory.h"
#include "toucanstep/io/EventLoop.h"
#include "toucanstep/scheduling/ShareClaim.h"

#include <optional>
#include <string_view>

namespace toucanstep::direct {

// Key prefix of the claims.
constexpr std::string_view claimPrefix = "toucanstep/claims/";

struct StoredClaim {
    base::Endpoint endpoint;
    bool settled = false;
};
// Returns nothing for a malformed value.
std::optional<StoredClaim> readClaim(std::string_view value);

class ShareClaimKeeper {
public:
    // All must outlive this.
    ShareClaimKeeper(io::EventLoop&, base::KeyValueStore&, const Directory& fleet, const DirectGatewaySettings&);

    const scheduling::ShareClaim& claim() const { return m_claim; }
    scheduling::ShareClaim& claim() { return m_claim; }
    // Has to be called several times a second.
    void tick();
    // Handles a change of the local copy of the store.
    void onDirectoryUpdated();
    // The process ends within the termination grace: the claim stays for that long.
    void leave();

private:
    const base::KeyValue* entry() const;
    base::Instant leaseEnd(base::Instant sent) const;
    std::string claimKey() const;
    std::string value(bool settled) const;
    void grantLease();
    void renewLease();
    void write();
    void writeSettled();
    // Of another gateway.
    void removeClaim(const base::InstanceId&);
    void lose(std::string_view why);

    io::EventLoop& m_loop;
    base::KeyValueStore& m_store;
    const Directory& m_fleet;
    const DirectGatewaySettings& m_settings;
    scheduling::ShareClaimSettings m_claimSettings;
    scheduling::ShareClaim m_claim;
    std::optional<base::LeaseId> m_lease;
    base::Instant m_leaseSent;
    // The revision at which this process last wrote its claim.
    std::optional<base::Revision> m_written;
    bool m_pending = false;
    bool m_leaving = false;
    base::Instant m_nextAttempt;
    base::Instant m_nextRenewal;
};

} // namespace toucanstep::direct
