#include "ServiceCalls.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

namespace toucanstep::sidecar::internal {

namespace {

calls::UnixMilliseconds unixNow()
{
    return calls::UnixMilliseconds(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

formats::HttpCall httpCall(const std::string& upstreamUrl, const peers::RunRequest& request, base::Instant deadline)
{
    formats::HttpCall call;
    call.method = request.httpMethod;
    call.url = upstreamUrl + request.path;
    call.headers = { { "X-Request-Id", request.request.value() } };
    if (!request.contentType.empty())
        call.headers.push_back({ "Content-Type", request.contentType });
    if (!request.idempotencyKey.empty())
        call.headers.push_back({ "Idempotency-Key", request.idempotencyKey });
    call.body = request.body;
    call.deadline = deadline;
    return call;
}

} // namespace

ServiceCalls::ServiceCalls(node::Node& node)
    : m_node(node)
    , m_executor(base::concat(node.settings().instance, "/", node.startNonce()), {})
    , m_commits({})
{
}

ServiceCalls::~ServiceCalls()
{
    *m_alive = false;
}

void ServiceCalls::passThrough(const peers::RunRequest& request, base::Instant deadline, ServiceAnswered answered)
{
    m_node.http()->fetchAsync(httpCall(m_node.settings().upstreamUrl, request, deadline), [loop = &m_node.traffic(), alive = m_alive, answered = std::move(answered)](formats::HttpReply reply) {
        loop->post([alive, answered, reply = std::move(reply)] {
            if (*alive)
                answered(reply);
        });
    });
}

void ServiceCalls::runOnce(const calls::CallDispatch& dispatch, const peers::RunRequest& request, base::Instant deadline, std::function<void()> began, CallReplied replied)
{
    m_calls[dispatch.attempt] = { request, deadline, std::move(began), std::move(replied) };
    perform(m_executor.start(dispatch, deadline, now(), unixNow()));
}

void ServiceCalls::tick()
{
    perform(m_executor.tick(now(), unixNow()));
    pollCommits();
}

void ServiceCalls::perform(const calls::ExecutorActions& actions)
{
    for (const calls::ExecutorAction& action : actions)
        std::visit([this](const auto& one) { perform(one); }, action);
}

void ServiceCalls::perform(const calls::SubmitWrite& submit)
{
    calls::WriteId id(++m_counter);
    m_writes[id] = submit.attempt;
    m_commits.add(id, submit.write, now());
    pollCommits();
}

void ServiceCalls::pollCommits()
{
    for (calls::Batch& batch : m_commits.poll(now())) {
        m_node.metrics().count("toucanstep_call_transactions_total");
        base::Instant deadline = now() + m_node.options().storeTimeout;
        m_node.store().commit(std::move(batch.transaction), deadline, [this, loop = &m_node.traffic(), alive = m_alive, id = batch.id](base::Outcome<base::TransactionReply> outcome) {
            loop->post([this, alive, id, outcome = std::move(outcome)] {
                if (*alive)
                    onCommitted(id, outcome);
            });
        });
    }
}

void ServiceCalls::onCommitted(calls::BatchId id, const base::Outcome<base::TransactionReply>& outcome)
{
    for (const calls::WriteResult& result : m_commits.onOutcome(id, outcome)) {
        auto write = m_writes.find(result.id);
        if (write == m_writes.end())
            continue;
        calls::AttemptId attempt = write->second;
        m_writes.erase(write);
        perform(m_executor.onWrite(attempt, result.outcome, now(), unixNow()));
    }
    pollCommits();
}

void ServiceCalls::perform(const calls::ReadRecord& read)
{
    m_node.store().get(read.key, read.deadline, [this, loop = &m_node.traffic(), alive = m_alive, attempt = read.attempt](base::Outcome<base::RangeReply> outcome) {
        loop->post([this, alive, attempt, outcome = std::move(outcome)] {
            if (*alive)
                perform(m_executor.onRead(attempt, outcome, now(), unixNow()));
        });
    });
}

void ServiceCalls::perform(const calls::RunCall& run)
{
    auto found = m_calls.find(run.attempt);
    if (found == m_calls.end()) {
        perform(m_executor.onRan(run.attempt, calls::RunOutcome::NotSent, {}, now(), unixNow()));
        return;
    }
    found->second.began();
    base::LogLine("call_run").add("request", found->second.request.request).add("attempt", run.attempt).add("service", found->second.request.targetId);
    passThrough(found->second.request, run.deadline, [this, attempt = run.attempt](const formats::HttpReply& reply) { onRan(attempt, reply); });
}

void ServiceCalls::onRan(const calls::AttemptId& attempt, const formats::HttpReply& reply)
{
    calls::RunOutcome outcome = calls::RunOutcome::Answered;
    if (reply.error)
        outcome = reply.error->kind == base::ErrorKind::Unavailable ? calls::RunOutcome::NotSent : calls::RunOutcome::Unknown;
    calls::StoredAnswer answer;
    answer.status = reply.status;
    answer.contentType = std::string(formats::findHeader(reply.headers, "Content-Type"));
    answer.body = reply.body;
    perform(m_executor.onRan(attempt, outcome, std::move(answer), now(), unixNow()));
}

void ServiceCalls::perform(const calls::SendReply& send)
{
    auto found = m_calls.find(send.reply.attempt);
    if (found == m_calls.end())
        return;
    OnceCall call = std::move(found->second);
    m_calls.erase(found);
    call.replied(send.reply);
}

} // namespace toucanstep::sidecar::internal
