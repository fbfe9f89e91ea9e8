#include "Explanation.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/limits/AdmissionPolicy.h"
#include "toucanstep/routing/Admission.h"
#include "toucanstep/routing/Router.h"

#include <algorithm>
#include <array>

namespace toucanstep::cli::internal {

namespace {

constexpr std::array<const char*, 3> domains { "domain-1", "domain-2", "domain-3" };
constexpr int sharesPerAccount = 3;
// The dry run has a time of its own; a bucket that was empty at its start is full by now unless its rate is zero.
constexpr base::Instant start {};
constexpr base::Instant present = start + std::chrono::hours(24 * 365);
constexpr int mostPlanningRounds = 1000;

base::Refusal notRun(base::RefusalCode code, std::string message)
{
    return { code, base::RanState::NotRun, std::move(message), std::nullopt };
}

// The shares of one account at three gateways, all reachable.
class ReachableShares final : public limits::ChargeTransport {
public:
    ReachableShares(const config::ClientAccount& account, base::Instant since)
    {
        std::vector<limits::BucketLimits> slices = limits::splitLimits({ account.tokensPerSecond, account.burst }, sharesPerAccount);
        for (int index = 0; index < sharesPerAccount; ++index) {
            m_tables.emplace_back();
            m_tables.back().take({ account.id, index }, base::Epoch(1), slices[static_cast<size_t>(index)], since);
        }
    }

    std::optional<limits::ChargeReply> charge(const base::InstanceId& to, const limits::ChargeRequest& request) override
    {
        return tableOf(to).onCharge(request, present);
    }
    void send(const base::InstanceId& to, const limits::ChargeMessage& message) override
    {
        if (const auto* back = std::get_if<limits::ChargeReturn>(&message))
            tableOf(to).onReturn(*back, present);
        else if (const auto* end = std::get_if<limits::GatherUnlock>(&message))
            tableOf(to).onGatherUnlock(*end);
    }
    std::vector<limits::ShareView> shares(const base::ClientAccountId&, base::Instant now) override
    {
        std::vector<limits::ShareView> views;
        for (size_t index = 0; index < m_tables.size(); ++index) {
            for (const limits::ShareHint& hint : m_tables[index].hints(now))
                views.push_back({ nameOf(index), hint, now });
        }
        return views;
    }

private:
    static base::InstanceId nameOf(size_t index) { return base::InstanceId(base::concat("gateway-", index)); }
    limits::ShareTable& tableOf(const base::InstanceId& name)
    {
        size_t index = 0;
        while (nameOf(index) != name)
            ++index;
        return m_tables.at(index);
    }

    std::vector<limits::ShareTable> m_tables;
};

std::string milliseconds(base::Duration duration) { return base::concat(base::toMilliseconds(duration), " ms"); }

class DryRun {
public:
    DryRun(const Question& question, const config::Configuration& configuration, const AssumedFleet& fleet, std::ostream& output)
        : m_question(question)
        , m_configuration(configuration)
        , m_fleet(fleet)
        , m_output(output)
    {
    }

    std::optional<base::Refusal> run()
    {
        if (auto refusal = lookUp())
            return refusal;
        if (auto refusal = charge())
            return refusal;
        plan();
        routing::RouteDecision decision = route();
        if (decision.refusal)
            return decision.refusal;
        return admit(*decision.chosen);
    }

private:
    base::Tokens cost() const { return m_question.promptTokens + m_question.maximumTokens; }

    std::optional<base::Refusal> lookUp()
    {
        m_account = m_configuration.findAccount(m_question.account);
        if (!m_account)
            return notRun(base::RefusalCode::Unauthorized, "the text has no such account, so no key belongs to it");
        if (m_account->keys.empty())
            return notRun(base::RefusalCode::Unauthorized, "the account has no key");
        m_model = m_configuration.findModel(m_question.model);
        if (!m_model)
            return notRun(base::RefusalCode::UnknownModel, "the text has no such model");
        m_pool = m_configuration.findPool(m_model->pool);
        const config::RequestKind* kind = m_configuration.findKind(m_model->kind);
        base::Duration timeout = m_question.timeout ? *m_question.timeout : kind ? kind->defaultTimeout
                                                                                 : base::Duration::zero();
        m_deadline = base::deadlineAfter(present, timeout);
        m_output << "request: model " << m_model->id << " in pool " << m_model->pool << ", kind " << m_model->kind << ", timeout " << milliseconds(timeout) << "\n";
        return std::nullopt;
    }

    std::optional<base::Refusal> charge()
    {
        ReachableShares shares(*m_account, start);
        limits::SharePolicy policy(limits::ChargeOptions {}, shares);
        limits::PolicyDecision decision = policy.admit({ base::RequestId("dry-run"), m_account->id, cost(), m_deadline }, present);
        m_output << "limits: cost " << cost() << " tokens against a burst of " << m_account->burst << " and " << m_account->tokensPerSecond
                 << " a second: " << (decision.admitted ? "admitted" : "refused") << "\n";
        if (decision.admitted)
            return std::nullopt;
        return base::Refusal { decision.code, base::RanState::NotRun, "the account's limit", decision.retryAt };
    }

    // The planner adds rows a few at a time; its intents are taken as carried out until it adds no more.
    void plan()
    {
        placement::Planner planner(placement::PlannerSettings {});
        placement::PlanInput input;
        input.now = present;
        input.configuration = &m_configuration;
        for (const AssumedEngine& engine : m_fleet.engines)
            input.instances.push_back(engine.instance);
        bool added = true;
        for (int round = 0; added && round < mostPlanningRounds; ++round)
            added = carryOut(planner.plan(input), input);
        for (const placement::ReplicaRow& row : input.rows) {
            if (row.model == m_model->id)
                m_rows.push_back(row);
        }
        if (m_rows.empty())
            m_output << "placement: no row: no engine of pool " << m_model->pool << " can hold it\n";
    }

    bool carryOut(const std::vector<placement::ReplicaIntent>& intents, placement::PlanInput& input)
    {
        bool added = false;
        for (const placement::ReplicaIntent& intent : intents) {
            if (intent.kind != placement::IntentKind::Add)
                continue;
            added = true;
            input.rows.push_back({ intent.model, intent.slot, intent.holder, intent.epoch, base::Revision(1) });
            if (intent.model == m_model->id)
                m_output << "placement: row " << intent.slot << " at " << intent.holder << ", reason " << placement::intentReasonName(intent.reason) << "\n";
        }
        return added;
    }

    const AssumedEngine* engine(const base::UpstreamId& id) const
    {
        auto found = std::find_if(m_fleet.engines.begin(), m_fleet.engines.end(), [&](const AssumedEngine& known) { return known.instance.id == id; });
        return found == m_fleet.engines.end() ? nullptr : &*found;
    }

    bool loadedOn(const AssumedEngine& engine) const
    {
        return std::find(engine.loaded.begin(), engine.loaded.end(), m_model->id) != engine.loaded.end();
    }

    routing::UpstreamLoad loadOf(const AssumedEngine& engine) const
    {
        routing::UpstreamLoad load;
        load.slots = m_pool->slots;
        load.tokensPerSecond = m_pool->tokensPerSecond;
        load.inFlight = engine.inFlight;
        load.inFlightTokens = engine.inFlightTokens;
        return load;
    }

    routing::RouteDecision route()
    {
        routing::UpstreamTable upstreams;
        std::vector<routing::Holder> holders;
        for (const placement::ReplicaRow& row : m_rows) {
            const AssumedEngine& holding = *engine(row.holder);
            routing::UpstreamReport report;
            report.incarnation = 1;
            report.sequence = 1;
            report.load = loadOf(holding);
            report.leaving = holding.leaving;
            upstreams.report(row.holder, report, present);
            upstreams.setConnected(row.holder, true);
            routing::Holder holder { row.holder, row.epoch, loadedOn(holding) ? routing::HolderState::Loaded : routing::HolderState::Cold, std::nullopt };
            // As a gateway does, which does not know the tier and takes the best one.
            if (holder.state == routing::HolderState::Cold)
                holder.expectedLoadEnd = present + placement::loadTime(m_model->checkpoint, placement::CheckpointTier::Memory, m_configuration.loads);
            holders.push_back(holder);
        }
        routing::RouteRequest request;
        request.id = base::RequestId("dry-run");
        request.model = m_model->id;
        request.account = m_account->id;
        request.accountWeight = m_account->weight;
        request.now = present;
        request.deadline = m_deadline;
        request.cost = cost();
        request.configurationVersion = m_configuration.version;
        routing::RandomGenerator generator(1);
        routing::RouteDecision decision = routing::makeExpectedWaitRouter({})->choose(request, holders, upstreams, routing::PrefixIndex(1, std::chrono::minutes(1)), generator);
        m_output << "routing: " << (decision.chosen ? decision.chosen->value() : std::string("none")) << ", reason " << routing::routeReasonName(decision.reason)
                 << ", expected wait " << milliseconds(decision.expectedWait) << ", candidates " << routing::describeCandidates(decision) << "\n";
        return decision;
    }

    std::optional<base::Refusal> admit(const base::UpstreamId& chosen)
    {
        const AssumedEngine& holding = *engine(chosen);
        routing::AdmissionRequest request;
        request.request = { m_account->id, m_account->weight, cost() };
        request.deadline = m_deadline;
        if (!loadedOn(holding))
            request.expectedLoadEnd = present + placement::loadTime(m_model->checkpoint, m_question.tier, m_configuration.loads);
        routing::AdmissionVerdict verdict = routing::admit(request, loadOf(holding), present);
        m_output << "sidecar: " << (request.expectedLoadEnd ? base::concat("cold, load ends in ", milliseconds(*request.expectedLoadEnd - present)) : std::string("loaded"))
                 << ", expected wait " << milliseconds(verdict.expectedWait) << ": " << (verdict.refusal ? "refused" : "admitted") << "\n";
        return verdict.refusal;
    }

    const Question& m_question;
    const config::Configuration& m_configuration;
    const AssumedFleet& m_fleet;
    std::ostream& m_output;
    const config::ClientAccount* m_account = nullptr;
    const config::Model* m_model = nullptr;
    const config::UpstreamPool* m_pool = nullptr;
    base::Instant m_deadline;
    std::vector<placement::ReplicaRow> m_rows;
};

} // namespace

AssumedFleet inventFleet(const config::Configuration& configuration, int enginesPerPool)
{
    AssumedFleet fleet;
    for (const config::UpstreamPool& pool : configuration.pools) {
        if (pool.kind != config::PoolKind::Engines)
            continue;
        for (int index = 0; index < enginesPerPool; ++index) {
            AssumedEngine engine;
            engine.instance.id = base::UpstreamId(base::concat(pool.id, "-", index));
            engine.instance.pool = pool.id;
            engine.instance.domain = base::FailureDomain(domains.at(static_cast<size_t>(index) % domains.size()));
            engine.instance.memory = pool.memory;
            fleet.engines.push_back(std::move(engine));
        }
    }
    fleet.assumptions.push_back(base::concat("each pool of engines has ", enginesPerPool, " idle engines with nothing loaded, over three failure domains"));
    return fleet;
}

std::optional<base::Refusal> explain(const Question& question, const config::Configuration& configuration, const AssumedFleet& fleet, std::ostream& output)
{
    for (const std::string& assumption : fleet.assumptions)
        output << "assumed: " << assumption << "\n";
    output << "assumed: all three shares of the account's limit are full and reachable\n"
           << "assumed: rows are placed from nothing, so the homes may differ from those in force\n"
           << "assumed: nothing waits in a queue, no prompt prefix is cached, no request is under suspicion\n";
    std::optional<base::Refusal> refusal = DryRun(question, configuration, fleet, output).run();
    if (!refusal) {
        output << "result: served\n";
        return refusal;
    }
    output << "result: refused " << base::refusalCodeName(refusal->code) << ", " << base::ranStateName(refusal->ran) << ": " << refusal->message;
    if (refusal->retryAt)
        output << "; ask again in " << base::toMilliseconds(base::remaining(present, *refusal->retryAt)) << " ms";
    output << "\n";
    return refusal;
}

} // namespace toucanstep::cli::internal
