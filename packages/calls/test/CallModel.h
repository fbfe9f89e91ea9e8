// Gateways and sidecars around the calls library, a key-value service and a plain service, for histories.
//
// Time is virtual and every choice comes from a seeded generator. Requests, answers and transactions are lost, delayed,
// doubled and crossed; processes die, pause and start again; the key-value service has outages. The plain service counts
// how often each call really ran, which is what every answer and refusal is checked against.

#pragma once

#include "toucanstep/calls/CallCoordinator.h"
#include "toucanstep/calls/CallExecutor.h"
#include "toucanstep/calls/GroupCommit.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace toucanstep::calls::test {

// Where tests put their seeded faults in.
class PartsFactory {
public:
    virtual ~PartsFactory() = default;
    virtual std::unique_ptr<CallExecutor> makeExecutor(const std::string& process) const { return std::make_unique<CallExecutor>(process, ExecutorLimits {}); }
    virtual std::unique_ptr<CallCoordinator> makeCoordinator(const std::string& process) const { return std::make_unique<CallCoordinator>(process, CoordinatorLimits {}); }
};

struct ModelOptions {
    size_t gateways = 2;
    size_t sidecars = 3;
    uint64_t seed = 1;
    // Percentages of messages that are lost, late or doubled; none in a calm model.
    int loss = 10;
    int late = 10;
    int doubled = 5;
    const PartsFactory* parts = nullptr;
};

enum class ModelAction {
    Run,
    Call,
    CallWithOtherBody,
    CrashSidecar,
    CrashGateway,
    PauseSidecar,
    Resume,
    CutSidecar,
    Heal,
    StartOutage,
    EndOutage,
};

struct ModelCommand {
    ModelAction action = ModelAction::Run;
    // Which gateway, sidecar or key it is about.
    size_t index = 0;
    base::Duration then {};
};

// A caller's request and what it was told.
struct CallerRequest {
    CallKey key;
    BodyDigest body;
    std::optional<CallResult> result;
    // Set where its gateway died: nobody is told anything.
    bool abandoned = false;
    base::Duration sentAt {};
    base::Duration toldAt {};
};

class CallModel {
public:
    explicit CallModel(ModelOptions);
    ~CallModel();

    void perform(const ModelCommand&);
    void run(base::Duration);
    // Sends a request to a gateway and returns its place in requests().
    size_t call(size_t gateway, const std::string& key, const std::string& body);

    const std::vector<CallerRequest>& requests() const { return m_requests; }
    int runsOf(const std::string& key) const;
    // Empty while every bound holds: at most one run of a call, every not_run true, one answer for each call, every
    // request told something in time.
    std::string violation() const;
    uint64_t transactions() const { return m_transactions; }
    void setOutage(bool outage) { m_outage = outage; }
    base::Duration now() const { return m_now; }

    // Hooks for stories: what happens when an attempt is about to reach a step. Returning false loses it.
    std::function<bool(const ExecutorAction&)> beforeExecutorAction;
    std::function<bool(const CoordinatorAction&)> beforeCoordinatorAction;
    void crashSidecar(size_t);
    void crashGateway(size_t);

private:
    struct Sidecar;
    struct Gateway;
    struct Event {
        base::Duration at;
        uint64_t order;
        std::function<void()> act;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };
    struct ServiceRun {
        AttemptId attempt;
        CallKey key;
        BodyDigest body;
        StoredAnswer answer;
    };

    base::Instant local() const { return base::Instant(m_now); }
    UnixMilliseconds unixNow() const { return UnixMilliseconds(base::toMilliseconds(m_now)); }
    void at(base::Duration, std::function<void()>);
    void deliver(const std::weak_ptr<Sidecar>&, base::Duration at, std::function<void(Sidecar&)>);
    void perform(std::shared_ptr<Sidecar>, ExecutorActions);
    void perform(std::shared_ptr<Gateway>, CoordinatorActions);
    void sendAttempt(const std::shared_ptr<Gateway>&, const SendAttempt&);
    void runCall(const std::shared_ptr<Sidecar>&, const RunCall&);
    void commitBatches(const std::shared_ptr<Sidecar>&);
    void commit(const base::Transaction&, std::function<void(const base::Outcome<base::TransactionReply>&)>);
    void read(const std::string& key, std::function<void(const base::Outcome<base::RangeReply>&)>);
    base::TransactionReply apply(const base::Transaction&);
    void tick();
    base::Duration hop();
    bool chance(int percent);
    size_t pick(size_t count);

    ModelOptions m_options;
    PartsFactory m_defaultParts;
    std::mt19937_64 m_random;
    base::Duration m_now { std::chrono::hours(1) };
    uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::shared_ptr<Sidecar>> m_sidecars;
    std::vector<std::shared_ptr<Gateway>> m_gateways;
    std::map<std::string, base::KeyValue> m_store;
    int64_t m_revision = 0;
    bool m_outage = false;
    int m_processes = 0;
    uint64_t m_transactions = 0;
    std::vector<CallerRequest> m_requests;
    std::vector<ServiceRun> m_runs;
    std::map<AttemptId, size_t> m_requestOf;
};

} // namespace toucanstep::calls::test
