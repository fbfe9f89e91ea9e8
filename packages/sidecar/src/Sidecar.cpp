#include "toucanstep/sidecar/Sidecar.h"

#include "SidecarCore.h"

namespace toucanstep::sidecar {

namespace {

constexpr base::Duration coreTickInterval = std::chrono::milliseconds(10);

class RunningSidecar final : public Sidecar {
public:
    RunningSidecar(config::ProcessSettings settings, SidecarOptions options)
        : m_node(std::move(settings), options.node)
        , m_core(std::make_unique<internal::SidecarCore>(m_node, options))
    {
    }

    ~RunningSidecar() override { m_node.stop(); }

    base::Result<void> start()
    {
        m_node.addMethod(peers::Method(std::string(peers::runMethod)), [this](const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder) { m_core->onRun(call, std::move(responder)); });
        m_node.addMethod(peers::Method(std::string(peers::attachMethod)), [this](const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder) { m_core->onAttach(call, std::move(responder)); });
        m_node.addMethod(peers::Method(std::string(peers::reportMethod)), [this](const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder) { m_core->onReport(call, responder); });
        m_node.onConfiguration([this](std::shared_ptr<const config::Configuration> configuration) {
            m_node.traffic().post([this, configuration = std::move(configuration)] { m_core->onConfiguration(configuration); });
            m_node.setReady(!m_leaving);
        });
        m_node.setStatus([this] {
            nlohmann::json status;
            m_node.traffic().runAndWait([&] { status = m_core->status(); });
            return status;
        });
        BOOST_LEAF_CHECK(m_node.start());
        m_node.traffic().post([this] { tick(); });
        return {};
    }

    base::Endpoint peerEndpoint() const override { return m_node.peerEndpoint(); }
    uint16_t operatorPort() const override { return m_node.operatorPort(); }

    void leave() override
    {
        m_leaving = true;
        m_node.setReady(false);
        m_node.traffic().post([this] { m_core->setLeaving(); });
    }

    bool drained() const override
    {
        bool idle = false;
        m_node.traffic().runAndWait([&] { idle = m_core->idle(); });
        return m_leaving && idle;
    }

private:
    void tick()
    {
        m_core->tick();
        m_node.traffic().at(m_node.traffic().now() + coreTickInterval, [this] { tick(); });
    }

    mutable node::Node m_node;
    std::unique_ptr<internal::SidecarCore> m_core;
    std::atomic<bool> m_leaving { false };
};

} // namespace

base::Result<std::unique_ptr<Sidecar>> Sidecar::start(config::ProcessSettings settings, SidecarOptions options)
{
    auto sidecar = std::make_unique<RunningSidecar>(std::move(settings), options);
    BOOST_LEAF_CHECK(sidecar->start());
    return std::unique_ptr<Sidecar>(std::move(sidecar));
}

} // namespace toucanstep::sidecar
