#include "toucanstep/gateway/Gateway.h"

#include "FleetPlanner.h"
#include "GatewayCore.h"
#include "PermitHome.h"
#include "RecordCleaning.h"
#include "ShareLimitGate.h"
#include "ShareMover.h"
#include "StaticLimitGate.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/node/MembershipAgent.h"
#include "toucanstep/node/StrikeExchange.h"

namespace toucanstep::gateway {

namespace {

constexpr base::Duration coreTickInterval = std::chrono::milliseconds(20);
constexpr int statusOk = 200;
constexpr base::Duration notReadyRetry = std::chrono::milliseconds(500);
// A balancer sends new work for a while after a gateway has said that it is leaving; until then it is served as ever.
constexpr base::Duration leavingGrace = std::chrono::seconds(2);
constexpr unsigned callerThreads = 2;

class RunningGateway final : public Gateway {
public:
    RunningGateway(config::ProcessSettings settings, const GatewayOptions& options)
        : m_node(std::move(settings), options.node)
        , m_options(options)
        , m_agent(std::make_unique<node::AssignmentAgent>(m_node, node::AssignmentOptions {}))
        , m_members(std::make_unique<node::MembershipAgent>(m_node))
        , m_permits(std::make_unique<internal::PermitHome>(m_node))
        , m_cleaning(std::make_unique<internal::RecordCleaning>(m_node))
    {
        std::unique_ptr<internal::LimitGate> gate;
        if (options.limits == LimitMode::Shares) {
            auto shares = std::make_unique<internal::ShareLimitGate>(m_node, *m_agent);
            shares->install();
            m_shareMover = std::make_unique<internal::ShareMover>(m_node, *m_agent, *shares);
            gate = std::move(shares);
        } else
            gate = std::make_unique<internal::StaticLimitGate>(m_node);
        m_core = std::make_unique<internal::GatewayCore>(m_node, options, std::move(gate));
    }

    ~RunningGateway() override
    {
        m_callers.reset();
        m_members->stop();
        m_agent->stop();
        m_node.stop();
    }

    base::Result<void> start()
    {
        m_agent->install();
        m_members->install();
        m_permits->install();
        m_cleaning->install();
        m_strikes = std::make_unique<node::StrikeExchange>(m_node, *m_members, *m_core);
        m_strikes->install();
        m_agent->onRows([this](const node::AssignmentView& view) {
            m_node.traffic().post([this, view] { m_core->onRows(view); });
        });
        if (m_options.homes == HomeMode::Rows || m_options.limits == LimitMode::Shares) {
            m_planner = std::make_unique<internal::FleetPlanner>(m_node, *m_agent, [this] { return takeDemand(); });
            m_planner->install();
        }
        if (m_shareMover)
            m_node.addSystem([this](base::Instant now) { m_shareMover->tick(now); });
        m_node.onConfiguration([this](std::shared_ptr<const config::Configuration> configuration) {
            m_node.traffic().post([this, configuration = std::move(configuration)] {
                m_permits->onConfiguration(*configuration);
                m_core->onConfiguration(configuration);
            });
        });
        m_node.addSystem([this](base::Instant) { updateReadiness(); });
        m_node.setStatus([this] {
            nlohmann::json status;
            m_node.traffic().runAndWait([&] { status = m_core->status(); });
            status["rows"] = m_agent->view()->own.size();
            return status;
        });
        BOOST_LEAF_CHECK(m_node.start());
        m_node.traffic().post([this] { tick(); });

        formats::HttpServerOptions options;
        options.address = m_node.settings().callerListen.address;
        options.port = m_node.settings().callerListen.port;
        options.threads = callerThreads;
        base::Refusal tooLarge { base::RefusalCode::BodyTooLarge, base::RanState::NotRun, "the body is larger than this system takes", std::nullopt };
        options.bodyTooLargeAnswer = refusalBody(tooLarge, {});
        BOOST_LEAF_ASSIGN(m_callers, formats::HttpServer::start(options, [this](const std::shared_ptr<formats::HttpExchange>& exchange) { onCaller(exchange); }));
        return {};
    }

    uint16_t callerPort() const override { return m_callers->port(); }
    base::Endpoint peerEndpoint() const override { return m_node.peerEndpoint(); }
    uint16_t operatorPort() const override { return m_node.operatorPort(); }

    void leave() override
    {
        m_leaving = true;
        m_node.setReady(false);
        m_node.traffic().post([this] {
            m_node.traffic().at(m_node.traffic().now() + leavingGrace, [this] { m_core->setLeaving(); });
        });
        m_node.control().post([this] { m_members->setLeaving(); });
        if (m_shareMover)
            m_node.control().post([this] { m_shareMover->leave(m_node.control().now()); });
    }

    bool drained() const override
    {
        bool idle = false;
        m_node.traffic().runAndWait([&] { idle = m_core->leaving() && m_core->idle(); });
        bool sharesLeft = m_shareMover && !m_shareMover->done();
        return m_leaving && idle && !sharesLeft && !m_callers->openExchanges();
    }

private:
    // A gateway serves once it has a text, has read the platform's list and knows the rows.
    void updateReadiness()
    {
        bool rowsKnown = m_agent->hasRead() || (m_options.limits == LimitMode::Static && m_options.homes == HomeMode::Hash);
        if (!m_complete && m_node.configuration()->version.value() && m_node.hasListedAll() && rowsKnown)
            m_complete = true;
        m_node.setReady(m_complete && !m_leaving);
    }

    // Runs on the callers' threads: parsing and hashing keep off the traffic loop.
    void onCaller(const std::shared_ptr<formats::HttpExchange>& exchange)
    {
        base::Instant now = m_node.traffic().now();
        auto configuration = m_node.configuration();
        if (!m_complete) {
            // Without a text no key can be told from an unknown one, and without the list and the rows there is nobody to ask:
            // the caller must not hear that its key is wrong, or that there is no capacity.
            base::Refusal notReady { base::RefusalCode::StaleConfiguration, base::RanState::NotRun, "this gateway has just started; ask again", now + notReadyRetry };
            exchange->respond(httpStatus(notReady.code), refusalHeaders(notReady, now), refusalBody(notReady, now));
            return;
        }
        ParsedCallerRequest parsed = parseCallerRequest(exchange->request(), *configuration, now);
        if (auto* refusal = std::get_if<base::Refusal>(&parsed)) {
            m_node.metrics().count("toucanstep_refusals_total", base::concat("code=\"", refusalCodeName(refusal->code), "\""));
            exchange->respond(httpStatus(refusal->code), refusalHeaders(*refusal, now), refusalBody(*refusal, now));
            return;
        }
        if (std::holds_alternative<ModelListRequest>(parsed)) {
            exchange->respond(statusOk, { { "Content-Type", "application/json" } }, modelListBody(*configuration));
            return;
        }
        m_node.traffic().post([this, request = std::move(std::get<CallerRequest>(parsed)), exchange]() mutable { m_core->begin(std::move(request), exchange); });
    }

    // The last demand that traffic has handed over; a control loop must not wait for traffic.
    std::vector<placement::ModelDemand> takeDemand()
    {
        m_node.traffic().post([this] {
            auto demand = m_core->takeDemand();
            m_node.control().post([this, demand = std::move(demand)] { m_demand = demand; });
        });
        return m_demand;
    }

    void tick()
    {
        m_core->tick();
        m_node.traffic().at(m_node.traffic().now() + coreTickInterval, [this] { tick(); });
    }

    mutable node::Node m_node;
    GatewayOptions m_options;
    std::unique_ptr<node::AssignmentAgent> m_agent;
    std::unique_ptr<node::MembershipAgent> m_members;
    std::unique_ptr<node::StrikeExchange> m_strikes;
    std::unique_ptr<internal::PermitHome> m_permits;
    std::unique_ptr<internal::RecordCleaning> m_cleaning;
    std::unique_ptr<internal::ShareMover> m_shareMover;
    std::unique_ptr<internal::GatewayCore> m_core;
    std::unique_ptr<internal::FleetPlanner> m_planner;
    std::vector<placement::ModelDemand> m_demand;
    std::unique_ptr<formats::HttpServer> m_callers;
    // Once true it stays so: what was learnt serves on through any outage.
    std::atomic<bool> m_complete { false };
    std::atomic<bool> m_leaving { false };
};

} // namespace

base::Result<std::unique_ptr<Gateway>> Gateway::start(config::ProcessSettings settings, GatewayOptions options)
{
    auto gateway = std::make_unique<RunningGateway>(std::move(settings), options);
    BOOST_LEAF_CHECK(gateway->start());
    return std::unique_ptr<Gateway>(std::move(gateway));
}

} // namespace toucanstep::gateway
