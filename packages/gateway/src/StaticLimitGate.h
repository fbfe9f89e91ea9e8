// Baseline: this gateway's 1/N of every limit, with N the number of gateways that the platform lists.

#pragma once

#include "LimitGate.h"
#include "toucanstep/node/Node.h"

namespace toucanstep::gateway::internal {

class StaticLimitGate final : public LimitGate {
public:
    explicit StaticLimitGate(node::Node&);

    void onConfiguration(const config::Configuration&, base::Instant now) override;
    void charge(const limits::AccountCharge&, Callback) override;
    void settle(const base::RequestId&, base::Tokens unused) override;

private:
    void rebuild(base::Instant now);

    node::Node& m_node;
    int m_count = 0;
    std::unique_ptr<limits::StaticPolicy> m_policy;
};

} // namespace toucanstep::gateway::internal
