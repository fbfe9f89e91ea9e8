#include "PermitHome.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/peers/PermitMessages.h"

#include <algorithm>
#include <utility>

namespace toucanstep::gateway::internal {

namespace {

// An ask without a permit is answered after this, so that the sidecar can ask anew with what it has learnt meanwhile.
constexpr base::Duration longestHold = std::chrono::milliseconds(1500);
constexpr base::Duration lendInterval = std::chrono::milliseconds(100);

} // namespace

PermitHome::PermitHome(node::Node& node)
    : m_node(node)
    , m_permits(std::make_unique<placement::LoadPermits>(m_settings))
{
}

void PermitHome::install()
{
    m_node.addMethod(peers::Method(std::string(peers::permitAskMethod)), [this](const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder) { onAsk(call, responder); });
    m_node.addMethod(peers::Method(std::string(peers::permitReturnMethod)), [this](const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder) { onReturn(call, responder); });
}

void PermitHome::onConfiguration(const config::Configuration& configuration)
{
    bool same = m_settings.models == configuration.loads.concurrentLoads && m_settings.adapters == configuration.loads.adaptersInFlight;
    if (same)
        return;
    m_settings.models = configuration.loads.concurrentLoads;
    m_settings.adapters = configuration.loads.adaptersInFlight;
    // Permits are soft: those that are lent run out by themselves, and for that time a few more may be out than allowed.
    m_permits = std::make_unique<placement::LoadPermits>(m_settings);
}

void PermitHome::onAsk(const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder)
{
    base::Error error;
    auto ask = base::valueOr(error, [&] { return peers::decodePermitAsk(call.body); });
    if (!ask) {
        responder->abort();
        return;
    }
    base::Instant now = m_node.traffic().now();
    placement::PermitRequest request;
    request.borrower = base::UpstreamId(call.from.value());
    request.model = ask->model;
    request.kind = ask->adapter ? placement::PermitKind::Adapter : placement::PermitKind::Model;
    request.earliestDeadline = now + ask->remaining;
    request.weight = ask->weight;
    request.loadTime = ask->loadTime;
    Waiting waiting { request.borrower, request.model, responder, now + longestHold };
    if (auto lent = m_permits->requestPermit(request, now)) {
        answer(waiting, &*lent);
        return;
    }
    m_waiting.push_back(std::move(waiting));
    scheduleLend();
}

void PermitHome::answer(const Waiting& waiting, const placement::PermitLease* lent)
{
    base::Instant now = m_node.traffic().now();
    peers::PermitAnswer answer;
    if (lent) {
        answer.permit = lent->id.value();
        answer.lentFor = base::remaining(now, lent->until);
        base::LogLine("permit_lent").add("borrower", waiting.borrower).add("model", waiting.model).add("permit", lent->id);
    }
    waiting.responder->send(peers::encode(answer));
    waiting.responder->finish();
}

// A permit that is given back goes to the next sidecar at once. Asking again and again instead left the store idle for
// part of every load.
void PermitHome::lend()
{
    base::Instant now = m_node.traffic().now();
    std::erase_if(m_waiting, [](const Waiting& waiting) { return waiting.responder->closed(); });
    for (const placement::PermitLease& lent : m_permits->tick(now)) {
        auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting& waiting) { return waiting.borrower == lent.borrower && waiting.model == lent.model; });
        if (found == m_waiting.end()) {
            // Nobody hears the answer; the borrower gets the same permit when it asks again.
            continue;
        }
        answer(*found, &lent);
        m_waiting.erase(found);
    }
    for (const Waiting& waiting : m_waiting) {
        if (now >= waiting.answerBy)
            answer(waiting, nullptr);
    }
    std::erase_if(m_waiting, [&](const Waiting& waiting) { return now >= waiting.answerBy; });
    scheduleLend();
}

// Loans also run out without being given back, so those who wait are looked at from time to time.
void PermitHome::scheduleLend()
{
    if (m_waiting.empty() || std::exchange(m_lendScheduled, true))
        return;
    m_node.traffic().at(m_node.traffic().now() + lendInterval, [this] {
        m_lendScheduled = false;
        lend();
    });
}

void PermitHome::onReturn(const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder)
{
    base::Error error;
    auto message = base::valueOr(error, [&] { return peers::decodePermitReturn(call.body); });
    if (!message) {
        responder->abort();
        return;
    }
    if (message->permit)
        m_permits->release(placement::PermitId(message->permit));
    else
        m_permits->withdraw(base::UpstreamId(call.from.value()), message->model);
    responder->finish();
    lend();
}

} // namespace toucanstep::gateway::internal
