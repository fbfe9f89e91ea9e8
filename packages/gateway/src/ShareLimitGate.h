// Charges requests to the shares of their account, wherever they are held, and answers other gateways' charges of the
// shares that this one holds.

#pragma once

#include "LimitGate.h"
#include "toucanstep/limits/ChargeCoordinator.h"
#include "toucanstep/limits/ShareTable.h"
#include "toucanstep/node/AssignmentAgent.h"

#include <absl/container/flat_hash_map.h>
#include <map>

namespace toucanstep::gateway::internal {

// Every account's limit is cut into this many shares; a gateway may hold several.
inline constexpr int sharesPerAccount = 3;

inline constexpr std::string_view chargeMethod = "charge";
inline constexpr std::string_view handoverMethod = "share_handover";

class ShareLimitGate final : public LimitGate {
public:
    ShareLimitGate(node::Node&, node::AssignmentAgent&);
    ~ShareLimitGate() override;

    // Registers the methods; before Node::start().
    void install();

    void onConfiguration(const config::Configuration&, base::Instant now) override;
    void charge(const limits::AccountCharge&, Callback) override;
    void settle(const base::RequestId&, base::Tokens unused) override;

    // The rows have changed.
    void onRows(const node::AssignmentView&);
    // Stops using a share and gives its stock back for the next holder.
    std::optional<limits::Handover> release(const limits::ShareId&);
    void sendHandover(const base::InstanceId& to, const limits::Handover&);

private:
    struct Charging {
        limits::ChargeCoordinator planner;
        Callback callback;
        base::ClientAccountId account;
        io::EventLoop::TimerId timer = 0;
    };
    struct KnownHint {
        limits::ShareHint hint;
        base::Instant observedAt;
    };
    struct HolderHealth {
        base::Instant unreachableUntil;
    };

    base::Instant now() const { return m_node.traffic().now(); }
    std::vector<limits::ShareView> viewsOf(const base::ClientAccountId&, base::Instant now);
    void carry(const base::RequestId&, const std::vector<limits::AddressedMessage>&);
    void sendCharge(const base::RequestId&, const limits::AddressedMessage&);
    void advance(const base::RequestId&, std::vector<limits::AddressedMessage>);
    void onReply(const base::RequestId&, const limits::ChargeReply&);
    void onAnswered(const base::InstanceId& holder, bool answered);
    void finish(const base::RequestId&);
    std::optional<limits::ChargeReply> handleLocally(const limits::ChargeMessage&);
    void onCharge(const peers::IncomingCall&, const std::shared_ptr<peers::PeerResponder>&);
    void onHandover(const peers::IncomingCall&, const std::shared_ptr<peers::PeerResponder>&);
    std::vector<limits::BucketLimits> slicesOf(const base::ClientAccountId&) const;

    node::Node& m_node;
    node::AssignmentAgent& m_agent;
    limits::ShareTable m_table;
    // Holder and epoch of every share, by account and index.
    std::map<limits::ShareId, assignments::Row> m_rows;
    absl::flat_hash_map<limits::ShareId, KnownHint> m_hints;
    absl::flat_hash_map<base::InstanceId, HolderHealth> m_health;
    absl::flat_hash_map<base::RequestId, std::unique_ptr<Charging>> m_charging;
    absl::flat_hash_map<base::RequestId, std::vector<limits::ChargedPart>> m_admitted;
    absl::flat_hash_map<base::ClientAccountId, limits::BucketLimits> m_limits;
};

} // namespace toucanstep::gateway::internal
