#include "OnceCalls.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/node/CallCodec.h"

namespace toucanstep::gateway::internal {

namespace {

calls::UnixMilliseconds unixNow()
{
    return calls::UnixMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

// Two calls are the same only if the service would see the same: method, path and body.
calls::BodyDigest digestOf(const CallerRequest& request)
{
    return calls::BodyDigest(base::sha256Hex(base::concat(request.httpMethod, "\n", request.path, "\n", request.body)));
}

} // namespace

OnceCalls::OnceCalls(node::Node& node, OnceCallHost& host)
    : m_node(node)
    , m_host(host)
    , m_coordinator(base::concat(node.settings().instance, "/", node.startNonce()), {})
{
}

OnceCalls::~OnceCalls()
{
    *m_alive = false;
}

void OnceCalls::begin(const base::RequestId& id, const CallerRequest& request)
{
    calls::CallId call(++m_counter);
    m_requests[call] = id;
    calls::CallKey key { request.account, base::ServiceId(request.targetId), calls::IdempotencyKey(request.idempotencyKey) };
    perform(m_coordinator.begin(call, key, digestOf(request), request.deadline, now()));
}

void OnceCalls::onReply(const std::string& encoded)
{
    base::Error error;
    if (auto reply = base::valueOr(error, [&] { return node::decodeReply(encoded); }))
        perform(m_coordinator.onReply(*reply, now(), unixNow()));
}

void OnceCalls::onNotSent(const calls::AttemptId& attempt)
{
    perform(m_coordinator.onNotSent(attempt, now()));
}

void OnceCalls::onHopLost(const calls::AttemptId& attempt)
{
    perform(m_coordinator.onHopLost(attempt, now(), unixNow()));
}

void OnceCalls::tick()
{
    perform(m_coordinator.tick(now(), unixNow()));
}

void OnceCalls::perform(const calls::CoordinatorActions& actions)
{
    for (const calls::CoordinatorAction& action : actions)
        std::visit([this](const auto& one) { perform(one); }, action);
}

void OnceCalls::perform(const calls::SendAttempt& send)
{
    auto request = m_requests.find(send.call);
    bool sent = request != m_requests.end() && m_host.sendAttempt(request->second, send.dispatch, send.deadline);
    if (sent)
        return;
    // Posted: the coordinator must not be entered from inside its own action list.
    m_node.traffic().post([this, alive = m_alive, attempt = send.dispatch.attempt] {
        if (*alive)
            onNotSent(attempt);
    });
}

void OnceCalls::perform(const calls::WriteTombstone& write)
{
    base::Transaction transaction;
    transaction.comparisons.push_back({ write.write.key, write.write.expected });
    transaction.operations.push_back(base::PutOperation { write.write.key, write.write.value, std::nullopt });
    base::LogLine("call_tombstone").add("key", write.write.key);
    m_node.store().commit(std::move(transaction), write.deadline, [this, loop = &m_node.traffic(), alive = m_alive, call = write.call](base::Outcome<base::TransactionReply> outcome) {
        loop->post([this, alive, call, outcome = std::move(outcome)] {
            if (*alive)
                perform(m_coordinator.onWrite(call, outcome, now(), unixNow()));
        });
    });
}

void OnceCalls::perform(const calls::ReadCallRecord& read)
{
    m_node.store().get(read.key, read.deadline, [this, loop = &m_node.traffic(), alive = m_alive, call = read.call](base::Outcome<base::RangeReply> outcome) {
        loop->post([this, alive, call, outcome = std::move(outcome)] {
            if (*alive)
                perform(m_coordinator.onRead(call, outcome, now(), unixNow()));
        });
    });
}

void OnceCalls::perform(const calls::FinishCall& finish)
{
    auto request = m_requests.find(finish.call);
    if (request == m_requests.end())
        return;
    base::RequestId id = request->second;
    m_requests.erase(request);
    m_host.finishCall(id, finish.result);
}

} // namespace toucanstep::gateway::internal
