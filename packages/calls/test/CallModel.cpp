#include "CallModel.h"

#include <algorithm>
#include <tuple>

namespace toucanstep::calls::test {

using base::Duration;
using base::Error;
using base::ErrorKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr Duration tickLength = milliseconds(50);
constexpr Duration storeTimeout = milliseconds(500);
constexpr Duration callTimeout = seconds(10);
// A caller is told at the first tick after its deadline.
constexpr Duration toldWithin = callTimeout + 2 * tickLength;
constexpr int notSentPercent = 5;

CallKey callKey(const std::string& key)
{
    return { base::ClientAccountId("account"), base::ServiceId("orders"), IdempotencyKey(key) };
}
}

struct CallModel::Sidecar {
    Sidecar(std::unique_ptr<CallExecutor> made)
        : executor(std::move(made))
        , commits(GroupLimits {})
    {
    }

    std::unique_ptr<CallExecutor> executor;
    GroupCommit commits;
    std::map<WriteId, AttemptId> writes;
    std::map<AttemptId, std::weak_ptr<Gateway>> askers;
    std::map<AttemptId, CallDispatch> dispatches;
    std::vector<std::function<void(Sidecar&)>> inbox;
    int64_t nextWrite = 0;
    bool paused = false;
    bool cut = false;
};

struct CallModel::Gateway {
    std::unique_ptr<CallCoordinator> coordinator;
    std::map<CallId, size_t> requests;
};

CallModel::CallModel(ModelOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_sidecars(options.sidecars)
    , m_gateways(options.gateways)
{
    for (size_t index = 0; index < options.sidecars; ++index)
        crashSidecar(index);
    for (size_t index = 0; index < options.gateways; ++index)
        crashGateway(index);
}

CallModel::~CallModel() = default;

void CallModel::crashSidecar(size_t index)
{
    const PartsFactory& parts = m_options.parts ? *m_options.parts : m_defaultParts;
    m_sidecars[index] = std::make_shared<Sidecar>(parts.makeExecutor("s" + std::to_string(++m_processes)));
}

void CallModel::crashGateway(size_t index)
{
    if (m_gateways[index]) {
        for (const auto& [id, request] : m_gateways[index]->requests)
            m_requests[request].abandoned = !m_requests[request].result;
    }
    const PartsFactory& parts = m_options.parts ? *m_options.parts : m_defaultParts;
    m_gateways[index] = std::make_shared<Gateway>();
    m_gateways[index]->coordinator = parts.makeCoordinator("g" + std::to_string(++m_processes));
}

void CallModel::perform(const ModelCommand& command)
{
    size_t sidecar = command.index % m_options.sidecars;
    size_t gateway = command.index % m_options.gateways;
    switch (command.action) {
    case ModelAction::Run:
        break;
    case ModelAction::Call:
    case ModelAction::CallWithOtherBody:
        call(pick(m_options.gateways), "key" + std::to_string(command.index), command.action == ModelAction::Call ? "body" : "other");
        break;
    case ModelAction::CrashSidecar:
        crashSidecar(sidecar);
        break;
    case ModelAction::CrashGateway:
        crashGateway(gateway);
        break;
    case ModelAction::PauseSidecar:
        m_sidecars[sidecar]->paused = true;
        break;
    case ModelAction::Resume:
        for (auto& each : m_sidecars)
            each->paused = false;
        break;
    case ModelAction::CutSidecar:
        m_sidecars[sidecar]->cut = true;
        break;
    case ModelAction::Heal:
        for (auto& each : m_sidecars)
            each->cut = false;
        break;
    case ModelAction::StartOutage:
        m_outage = true;
        break;
    case ModelAction::EndOutage:
        m_outage = false;
        break;
    }
    run(command.then);
}

size_t CallModel::call(size_t gatewayIndex, const std::string& key, const std::string& body)
{
    auto gateway = m_gateways[gatewayIndex];
    size_t request = m_requests.size();
    m_requests.push_back({ callKey(key), BodyDigest(body), std::nullopt, false, m_now, {} });
    CallId id(static_cast<int64_t>(request) + 1);
    gateway->requests[id] = request;
    perform(gateway, gateway->coordinator->begin(id, callKey(key), BodyDigest(body), local() + callTimeout, local()));
    return request;
}

void CallModel::run(Duration duration)
{
    Duration end = m_now + duration;
    while (m_now < end)
        tick();
}

void CallModel::tick()
{
    m_now += tickLength;
    while (!m_events.empty() && m_events.top().at <= m_now) {
        auto act = m_events.top().act;
        m_events.pop();
        act();
    }
    auto sidecars = m_sidecars;
    for (auto& sidecar : sidecars) {
        if (sidecar->paused)
            continue;
        auto inbox = std::move(sidecar->inbox);
        sidecar->inbox.clear();
        for (auto& act : inbox)
            act(*sidecar);
        perform(sidecar, sidecar->executor->tick(local(), unixNow()));
        commitBatches(sidecar);
    }
    auto gateways = m_gateways;
    for (auto& gateway : gateways)
        perform(gateway, gateway->coordinator->tick(local(), unixNow()));
}

void CallModel::at(Duration when, std::function<void()> act)
{
    m_events.push({ when, ++m_order, std::move(act) });
}

void CallModel::deliver(const std::weak_ptr<Sidecar>& target, Duration when, std::function<void(Sidecar&)> act)
{
    at(when, [target, act = std::move(act)] {
        auto sidecar = target.lock();
        if (!sidecar)
            return;
        if (sidecar->paused)
            sidecar->inbox.push_back(act);
        else
            act(*sidecar);
    });
}

void CallModel::perform(std::shared_ptr<Sidecar> sidecar, ExecutorActions actions)
{
    std::weak_ptr<Sidecar> weak = sidecar;
    for (auto& action : actions) {
        if (beforeExecutorAction && !beforeExecutorAction(action))
            continue;
        if (auto* write = std::get_if<SubmitWrite>(&action)) {
            WriteId id(++sidecar->nextWrite);
            sidecar->writes[id] = write->attempt;
            sidecar->commits.add(id, write->write, local());
        } else if (auto* reading = std::get_if<ReadRecord>(&action)) {
            AttemptId attempt = reading->attempt;
            read(reading->key, [this, weak, attempt](const auto& outcome) {
                deliver(weak, m_now, [this, weak, attempt, outcome](Sidecar& self) {
                    auto more = self.executor->onRead(attempt, outcome, local(), unixNow());
                    if (auto shared = weak.lock())
                        perform(shared, std::move(more));
                });
            });
        } else if (auto* running = std::get_if<RunCall>(&action))
            runCall(sidecar, *running);
        else if (auto* sending = std::get_if<SendReply>(&action)) {
            auto gateway = sidecar->askers[sending->reply.attempt];
            if (sidecar->cut || chance(m_options.loss))
                continue;
            at(m_now + hop(), [this, gateway, reply = sending->reply] {
                if (auto target = gateway.lock())
                    perform(target, target->coordinator->onReply(reply, local(), unixNow()));
            });
        }
    }
}

void CallModel::commitBatches(const std::shared_ptr<Sidecar>& sidecar)
{
    std::weak_ptr<Sidecar> weak = sidecar;
    for (auto& batch : sidecar->commits.poll(local())) {
        BatchId id = batch.id;
        commit(batch.transaction, [this, weak, id](const auto& outcome) {
            deliver(weak, m_now, [this, id, outcome, weak](Sidecar& self) {
                for (const auto& result : self.commits.onOutcome(id, outcome)) {
                    auto more = self.executor->onWrite(self.writes[result.id], result.outcome, local(), unixNow());
                    self.writes.erase(result.id);
                    if (auto shared = weak.lock())
                        perform(shared, std::move(more));
                }
            });
        });
    }
}

void CallModel::runCall(const std::shared_ptr<Sidecar>& sidecar, const RunCall& running)
{
    std::weak_ptr<Sidecar> weak = sidecar;
    CallDispatch dispatch = sidecar->dispatches[running.attempt];
    auto report = [this, weak, attempt = running.attempt](RunOutcome outcome, const StoredAnswer& answer, Duration when) {
        deliver(weak, when, [this, weak, attempt, outcome, answer](Sidecar& self) {
            auto more = self.executor->onRan(attempt, outcome, answer, local(), unixNow());
            if (auto shared = weak.lock())
                perform(shared, std::move(more));
        });
    };
    if (chance(m_options.loss ? notSentPercent : 0)) {
        report(RunOutcome::NotSent, {}, m_now + hop());
        return;
    }
    bool answered = !chance(m_options.loss);
    Duration giveUpAt = std::max(m_now, Duration(running.deadline.time_since_epoch()));
    // The service gets the request whether or not the sidecar lives on.
    at(m_now + hop(), [this, dispatch, report, answered, giveUpAt] {
        StoredAnswer answer { 200, "text/plain", "run " + std::to_string(m_runs.size()), false };
        m_runs.push_back({ dispatch.attempt, dispatch.key, dispatch.body, answer });
        if (answered)
            report(RunOutcome::Answered, answer, m_now + hop());
        else
            report(RunOutcome::Unknown, {}, giveUpAt);
    });
}

void CallModel::perform(std::shared_ptr<Gateway> gateway, CoordinatorActions actions)
{
    std::weak_ptr<Gateway> weak = gateway;
    for (auto& action : actions) {
        if (beforeCoordinatorAction && !beforeCoordinatorAction(action))
            continue;
        if (auto* sending = std::get_if<SendAttempt>(&action))
            sendAttempt(gateway, *sending);
        else if (auto* write = std::get_if<WriteTombstone>(&action)) {
            base::Transaction transaction;
            transaction.comparisons.push_back({ write->write.key, write->write.expected });
            transaction.operations.push_back(base::PutOperation { write->write.key, write->write.value, std::nullopt });
            commit(transaction, [this, weak, id = write->call](const auto& outcome) {
                if (auto self = weak.lock())
                    perform(self, self->coordinator->onWrite(id, outcome, local(), unixNow()));
            });
        } else if (auto* reading = std::get_if<ReadCallRecord>(&action)) {
            read(reading->key, [this, weak, id = reading->call](const auto& outcome) {
                if (auto self = weak.lock())
                    perform(self, self->coordinator->onRead(id, outcome, local(), unixNow()));
            });
        } else if (auto* finished = std::get_if<FinishCall>(&action)) {
            CallerRequest& request = m_requests[gateway->requests[finished->call]];
            request.result = finished->result;
            request.toldAt = m_now;
        }
    }
}

void CallModel::sendAttempt(const std::shared_ptr<Gateway>& gateway, const SendAttempt& sending)
{
    std::weak_ptr<Gateway> asker = gateway;
    auto sidecar = m_sidecars[pick(m_sidecars.size())];
    AttemptId attempt = sending.dispatch.attempt;
    m_requestOf[attempt] = gateway->requests[sending.call];
    if (chance(m_options.loss ? notSentPercent : 0)) {
        at(m_now + hop(), [this, asker, attempt] {
            if (auto self = asker.lock())
                perform(self, self->coordinator->onNotSent(attempt, local()));
        });
        return;
    }
    // The connection may be noticed to have broken at any time after the attempt was sent.
    if (chance(m_options.loss)) {
        at(m_now + hop() + hop(), [this, asker, attempt] {
            if (auto self = asker.lock())
                perform(self, self->coordinator->onHopLost(attempt, local(), unixNow()));
        });
    }
    if (sidecar->cut || chance(m_options.loss))
        return;
    // The remaining time travels, so a message that lay long on its way gets a deadline that is too late.
    Duration remaining = base::remaining(local(), sending.deadline);
    Duration arrival = m_now + hop() + (chance(m_options.late) ? Duration(seconds(pick(15))) : Duration::zero());
    int copies = chance(m_options.doubled) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        std::weak_ptr<Sidecar> target = sidecar;
        deliver(target, arrival + copy * hop(), [this, asker, target, dispatch = sending.dispatch, remaining](Sidecar& self) {
            self.askers[dispatch.attempt] = asker;
            self.dispatches[dispatch.attempt] = dispatch;
            auto more = self.executor->start(dispatch, local() + remaining, local(), unixNow());
            if (auto shared = target.lock())
                perform(shared, std::move(more));
        });
    }
}

void CallModel::commit(const base::Transaction& transaction, std::function<void(const base::Outcome<base::TransactionReply>&)> then)
{
    auto settled = std::make_shared<bool>(false);
    ++m_transactions;
    auto once = [settled, then](const base::Outcome<base::TransactionReply>& outcome) {
        if (!std::exchange(*settled, true))
            then(outcome);
    };
    // A refused connection says for certain that nothing was carried out; a silent service does not.
    if (m_outage && chance(30)) {
        at(m_now + hop(), [once] { once(Error { ErrorKind::Unavailable, "refused" }); });
        return;
    }
    at(m_now + storeTimeout, [once] { once(Error { ErrorKind::Timeout, "no answer" }); });
    if (chance(m_options.loss))
        return;
    // A transaction may take effect long after its sender has given it up, or died.
    Duration arrival = m_now + hop() + (chance(m_options.late) ? Duration(seconds(pick(15))) : Duration::zero());
    at(arrival, [this, transaction, once] {
        if (m_outage)
            return;
        auto reply = apply(transaction);
        if (!chance(m_options.loss))
            at(m_now + hop(), [once, reply] { once(reply); });
    });
}

void CallModel::read(const std::string& key, std::function<void(const base::Outcome<base::RangeReply>&)> then)
{
    auto settled = std::make_shared<bool>(false);
    auto once = [settled, then](const base::Outcome<base::RangeReply>& outcome) {
        if (!std::exchange(*settled, true))
            then(outcome);
    };
    at(m_now + storeTimeout, [once] { once(Error { ErrorKind::Timeout, "no answer" }); });
    if (chance(m_options.loss))
        return;
    at(m_now + hop(), [this, key, once] {
        if (m_outage)
            return;
        base::RangeReply reply { {}, base::Revision(m_revision) };
        auto found = m_store.find(key);
        if (found != m_store.end())
            reply.entries.push_back(found->second);
        at(m_now + hop(), [once, reply] { once(reply); });
    });
}

base::TransactionReply CallModel::apply(const base::Transaction& transaction)
{
    for (const auto& comparison : transaction.comparisons) {
        auto found = m_store.find(comparison.key);
        base::Revision modified = found == m_store.end() ? base::Revision() : found->second.modified;
        if (modified != comparison.modified)
            return { false, base::Revision(m_revision) };
    }
    ++m_revision;
    for (const auto& operation : transaction.operations) {
        const auto& put = std::get<base::PutOperation>(operation);
        m_store[put.key] = { put.key, put.value, base::Revision(m_revision), base::Revision(m_revision) };
    }
    return { true, base::Revision(m_revision) };
}

int CallModel::runsOf(const std::string& key) const
{
    auto counted = std::count_if(m_runs.begin(), m_runs.end(), [&](const ServiceRun& run) { return run.key == callKey(key); });
    return static_cast<int>(counted);
}

std::string CallModel::violation() const
{
    std::map<CallKey, const ServiceRun*> ran;
    for (const auto& run : m_runs) {
        if (!ran.emplace(run.key, &run).second)
            return "the call " + run.key.key.value() + " ran twice";
        const auto& request = m_requests[m_requestOf.at(run.attempt)];
        if (request.result && request.result->refusal && request.result->refusal->ran == base::RanState::NotRun)
            return "a request of " + run.key.key.value() + " was told not_run, and ran";
    }
    for (const auto& request : m_requests) {
        if (!request.result) {
            if (!request.abandoned && m_now > request.sentAt + toldWithin)
                return "a request of " + request.key.key.value() + " was told nothing";
            continue;
        }
        if (request.toldAt > request.sentAt + toldWithin)
            return "a request of " + request.key.key.value() + " was told too late";
        if (!request.result->answer)
            continue;
        auto found = ran.find(request.key);
        if (found == ran.end() || !(found->second->answer == *request.result->answer))
            return "a request of " + request.key.key.value() + " got an answer that is not its run's";
        if (found->second->body != request.body)
            return "a request of " + request.key.key.value() + " got the answer to another body";
    }
    return {};
}

Duration CallModel::hop()
{
    bool slow = chance(m_options.late);
    return milliseconds(1 + pick(slow ? 1500 : 20));
}

bool CallModel::chance(int percent)
{
    return static_cast<int>(pick(100)) < percent;
}

size_t CallModel::pick(size_t count)
{
    return static_cast<size_t>(m_random() % count);
}

} // namespace toucanstep::calls::test
