#include "PermitHome.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/peers/PermitMessages.h"

namespace toucanstep::gateway::internal {

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
    peers::PermitAnswer answer;
    if (auto lent = m_permits->ask(request, now)) {
        answer.permit = lent->id.value();
        answer.lentFor = base::remaining(now, lent->until);
        base::LogLine("permit_lent").add("borrower", call.from).add("model", ask->model).add("permit", lent->id);
    } else
        answer.expectedIn = base::remaining(now, m_permits->expectedAt(request, now));
    responder->send(peers::encode(answer));
    responder->finish();
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
        m_permits->giveBack(placement::PermitId(message->permit));
    else
        m_permits->withdraw(base::UpstreamId(call.from.value()), message->model);
    responder->finish();
}

} // namespace toucanstep::gateway::internal
