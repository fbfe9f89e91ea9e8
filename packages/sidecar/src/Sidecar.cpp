#include "toucanstep/sidecar/Sidecar.h"

#include "SidecarCore.h"
#include "toucanstep/node/AssignmentAgent.h"
#include "toucanstep/node/MembershipAgent.h"
#include "toucanstep/node/StrikeExchange.h"
#include "toucanstep/peers/Codec.h"

#include <set>

namespace toucanstep::sidecar {

namespace {

// A service that is down must not hold up a planned stop for longer.
constexpr base::Duration rowsPatience = std::chrono::seconds(5);
constexpr base::Duration coreTickInterval = std::chrono::milliseconds(10);

class RunningSidecar final : public Sidecar {
public:
    RunningSidecar(config::ProcessSettings settings, SidecarOptions options)
        : m_node(std::move(settings), options.node)
        , m_options(options)
        , m_agent(std::make_unique<node::AssignmentAgent>(m_node, node::AssignmentOptions {}))
        , m_members(std::make_unique<node::MembershipAgent>(m_node))
        , m_core(std::make_unique<internal::SidecarCore>(m_node, options))
    {
    }

    ~RunningSidecar() override
    {
        m_members->stop();
        m_agent->stop();
        m_node.stop();
    }

    base::Result<void> start()
    {
        m_members->install();
        m_strikes = std::make_unique<node::StrikeExchange>(m_node, *m_members, *m_core);
        m_strikes->install();
        if (m_options.placement != PlacementMode::Rows)
            m_rowsGivenBack = true;
        if (m_options.placement == PlacementMode::Rows) {
            m_agent->install();
            m_node.addSystem([this](base::Instant now) { handOutRows(now); });
            m_node.addMethod(peers::Method("release_row"), [this](const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder) { onReleaseAsked(call, responder); });
        }
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
        m_node.control().post([this] {
            m_members->setLeaving();
            m_rowsDeadline = m_node.control().now() + rowsPatience;
        });
    }

    bool drained() const override
    {
        bool idle = false;
        m_node.traffic().runAndWait([&] { idle = m_core->idle(); });
        return m_leaving && idle && m_rowsGivenBack && !m_node.openPeerCalls();
    }

private:
    // Gives the core the rows that may be used at this moment. A sidecar that was cut off from everyone must have
    // unloaded what it held before another loads it: its rows then count as withdrawn.
    void handOutRows(base::Instant now)
    {
        std::map<base::ModelId, base::Epoch> rows;
        if (m_agent->mayUse(now)) {
            for (const assignments::Row& row : m_agent->view()->own) {
                bool replica = row.key.kind == assignments::RowKind::ReplicaSlot;
                if (replica && !m_releasing.contains(row.key))
                    rows[base::ModelId(row.key.subject)] = row.epoch;
            }
        }
        if (rows != m_handedOut) {
            m_handedOut = rows;
            m_node.traffic().post([this, rows] { m_core->onRows(rows); });
        }
        if (m_rowsDeadline)
            releaseAll(now);
        if (!m_releasing.empty())
            giveBackRows();
    }

    // A leaving sidecar gives its rows back itself, so that the models have new homes at once and not only after this
    // instance is proved to be gone.
    void releaseAll(base::Instant now)
    {
        bool left = false;
        for (const assignments::Row& row : m_agent->view()->own) {
            if (row.key.kind != assignments::RowKind::ReplicaSlot)
                continue;
            left = true;
            m_releasing.insert(row.key);
        }
        // A row that is being released is out of use at once, but it stands until the service has confirmed it: ending before
        // that leaves it to nobody until this instance is proved to be gone.
        bool done = !left && m_releasing.empty();
        m_rowsGivenBack = done || now >= *m_rowsDeadline;
    }

    void onReleaseAsked(const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder)
    {
        peers::FieldReader reader(call.body);
        std::string model = reader.text();
        auto slot = static_cast<uint32_t>(reader.number());
        base::Revision expected(reader.number());
        if (!reader.complete()) {
            responder->abort();
            return;
        }
        m_node.control().post([this, key = assignments::RowKey { assignments::RowKind::ReplicaSlot, model, slot }, expected] {
            for (const assignments::Row& row : m_agent->view()->own) {
                if (row.key == key && row.modified == expected)
                    m_releasing.insert(key);
            }
        });
        responder->send({});
        responder->finish();
    }

    // A row goes back only once its model is proved to be unloaded.
    void giveBackRows()
    {
        m_node.traffic().post([this, releasing = m_releasing] {
            std::set<assignments::RowKey> ready;
            for (const assignments::RowKey& key : releasing) {
                if (m_core->mayRelease(base::ModelId(key.subject)))
                    ready.insert(key);
            }
            m_node.control().post([this, ready] { releaseReady(ready); });
        });
    }

    void releaseReady(const std::set<assignments::RowKey>& ready)
    {
        for (const assignments::Row& row : m_agent->view()->own) {
            if (!ready.contains(row.key) || m_agent->busy(row.key) || !m_releasing.contains(row.key))
                continue;
            m_agent->release(row, [this, key = row.key](assignments::MoveState state) {
                if (state != assignments::MoveState::Committed)
                    return;
                m_releasing.erase(key);
                m_node.traffic().post([this, key] { m_core->onRowReleased(base::ModelId(key.subject)); });
            });
        }
    }

    void tick()
    {
        m_core->tick();
        m_node.traffic().at(m_node.traffic().now() + coreTickInterval, [this] { tick(); });
    }

    mutable node::Node m_node;
    SidecarOptions m_options;
    std::unique_ptr<node::AssignmentAgent> m_agent;
    std::unique_ptr<node::MembershipAgent> m_members;
    std::unique_ptr<node::StrikeExchange> m_strikes;
    std::unique_ptr<internal::SidecarCore> m_core;
    // On the control loop: rows as last given to the core, and rows that are being given back.
    std::map<base::ModelId, base::Epoch> m_handedOut;
    std::set<assignments::RowKey> m_releasing;
    std::optional<base::Instant> m_rowsDeadline;
    std::atomic<bool> m_rowsGivenBack { false };
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
